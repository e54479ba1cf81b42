package admission

import (
	"slices"
	"time"
)

// waiter is one waiting request.
type waiter struct {
	ticket   Ticket
	value    int
	deadline time.Time
}

// waitList is ordered by value, the greatest first, then by arrival. It is
// short, so that a slice serves.
type waitList []waiter

// ahead is how many requests a new one of the given value would wait behind.
func (l waitList) ahead(value int) int {
	for i := range l {
		if l[i].value < value {
			return i
		}
	}
	return len(l)
}

func (l *waitList) insert(w waiter) {
	*l = slices.Insert(*l, l.ahead(w.value), w)
}

func (l *waitList) remove(t Ticket) bool {
	for i := range *l {
		if (*l)[i].ticket == t {
			*l = slices.Delete(*l, i, i+1)
			return true
		}
	}
	return false
}
