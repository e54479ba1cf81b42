package admission

import (
	"slices"
	"time"
)

// waiter is one queued request.
type waiter struct {
	ticket   Ticket
	value    int
	deadline time.Time
}

// waitList is ordered by descending value, then by arrival. It is short enough
// for linear searches.
type waitList []waiter

// ahead returns the number of requests that would precede a new request of the
// given value.
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
