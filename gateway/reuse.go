package gateway

import "time"

const (
	// reuseIdle is how long a connection may have been idle to carry work that must
	// not be repeated: a target may close it at the same moment.
	reuseIdle = 6 * time.Second
	// reuseRepeatable is the same for work that can be repeated: as long as the
	// target keeps it.
	reuseRepeatable = time.Minute
	// reuseShare is the part of the idle time at which a connection broke that others
	// may still reach.
	reuseShare = 0.6
	// reuseMemory is how long a break is remembered. Opening connections anew costs
	// less than a lost request, but not for ever.
	reuseMemory = 8 * time.Second
)

// reuse bounds the idle times of connections to a service's targets. Targets may forget
// idle connections without a notice, and whatever is sent next on them is lost; where
// one did, the others of its service are not trusted either for a while.
type reuse struct {
	bound time.Duration
	until time.Time
}

// broke notes that a connection proved to be stale after it was idle.
func (r *reuse) broke(now time.Time, idle time.Duration) {
	bound := time.Duration(reuseShare * float64(idle))
	if now.Before(r.until) {
		bound = min(bound, r.bound)
	}
	r.bound, r.until = bound, now.Add(reuseMemory)
}

// most is how long a connection may have been idle.
func (r *reuse) most(now time.Time, repeatable bool) time.Duration {
	usual := reuseIdle
	if repeatable {
		usual = reuseRepeatable
	}
	if now.Before(r.until) {
		return min(r.bound, usual)
	}
	return usual
}
