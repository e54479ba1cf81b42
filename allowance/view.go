package allowance

import (
	"sync/atomic"
	"time"

	"github.com/clementinereel/clementinereel/membership"
	"github.com/clementinereel/clementinereel/ratelimit"
)

// Views derives what package ratelimit needs to know of the fleet from the
// member view and the platform's list. Get is safe for concurrent use.
type Views struct {
	current atomic.Pointer[ratelimit.View]
	epoch   uint64
}

// NewViews returns the view of an instance that knows of no other.
func NewViews(now time.Time) *Views {
	v := &Views{}
	v.current.Store(&ratelimit.View{Listed: 1, Reached: 1, Since: now})
	return v
}

// Update takes a member view and the number of live instances on the
// platform's list, 0 if the list is not known. Members that are alive count as
// reached; the listed ones that are not are what a partition may have cut off.
func (v *Views) Update(now time.Time, members *membership.View, listed int) ratelimit.View {
	reached := 0
	for i := range members.Members {
		if members.Members[i].State == membership.Alive {
			reached++
		}
	}
	next := ratelimit.View{Listed: max(1, listed, reached), Reached: max(1, reached)}
	next.Since = v.Get().Since
	if members.Epoch != v.epoch {
		v.epoch = members.Epoch
		next.Since = now
	}
	v.current.Store(&next)
	return next
}

// Get returns the view in force.
func (v *Views) Get() ratelimit.View { return *v.current.Load() }
