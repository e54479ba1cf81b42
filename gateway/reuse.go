package gateway

import (
	"math"
	"time"
)

const (
	// reuseIdle is how long a connection may have been idle to carry a request where
	// nothing speaks against it: as long as the target keeps it.
	reuseIdle = time.Minute
	// reuseShare is the part of the idle time at which a connection broke that others
	// may still reach.
	reuseShare = 0.6
	// reuseMemory is how long a break is remembered. Opening connections anew costs
	// less than a lost request, but not for ever.
	reuseMemory = 8 * time.Second
	// restedLeast is the idle time from which a connection counts as rested: a
	// target that answered just before has not forgotten it.
	restedLeast = 100 * time.Millisecond
	// restedMemory is the time constant with which exchanges on rested connections
	// are forgotten: targets may begin to drop connections at any time.
	restedMemory = 15 * time.Second
	// restedClasses is how many classes of idle times are counted; each spans a
	// factor of two from restedLeast on.
	restedClasses = 8
	// priorStale is the part of rested connections that is taken to break until some
	// were used, priorRested how many exchanges that guess counts for. The guess is
	// about what a target that answered just before fails at once, so that a first
	// break is put down to the connection, and one where targets are often sick to
	// the target.
	priorStale  = 0.02
	priorRested = 10
	// bearableStale is the part of rested connections that may break before those of
	// the whole service are not used any more. A new connection costs about a twentieth
	// of a request; twice that asks for more than one break, of which a target's bad
	// time brings one.
	bearableStale = 0.1
)

// reuse bounds the idle times of connections to a service's targets. Targets may forget
// idle connections without a notice, and whatever is sent next on them is lost; where
// some did, the others of the service are not trusted either for a while.
//
// Where one connection broke, no rested one to its target is used for a while; where
// several did, none to the service.
//
// A sick target resets requests too, on rested connections and on fresh ones. What
// breaks while others that rested as long serve well is put down to its target.
type reuse struct {
	idleBound
	// well counts the exchanges that went well by the class of the connection's idle
	// time; broken counts the breaks, by the probability that they were stale.
	well   [restedClasses]float64
	broken float64
	at     time.Time
}

// class is the class of an idle time.
func class(idle time.Duration) int {
	x := math.Log2(float64(idle) / float64(restedLeast))
	return min(max(int(x), 0), restedClasses-1)
}

// forget fades what was counted by the time since the last call.
func (r *reuse) forget(now time.Time) {
	keep := math.Exp(-max(now.Sub(r.at), 0).Seconds() / restedMemory.Seconds())
	r.at = now
	r.broken *= keep
	for i := range r.well {
		r.well[i] *= keep
	}
}

// served notes that a connection carried an exchange well after it was idle.
func (r *reuse) served(now time.Time, idle time.Duration) {
	if idle < restedLeast {
		return
	}
	r.forget(now)
	r.well[class(idle)]++
}

// stale is the part of the connections that rested for about as long that break.
func (r *reuse) stale(idle time.Duration) float64 {
	n := 0.0
	for i := class(time.Duration(reuseShare * float64(idle))); i < restedClasses; i++ {
		n += r.well[i]
	}
	return (priorStale*priorRested + r.broken) / (priorRested + r.broken + n)
}

// broke notes a break that came at once on a connection that was idle, at a target that
// fails a request like this at once with the given probability. Its weight is 1 for one
// of this instance's own; a report of one of n other instances weighs 1/n, since they use
// as many rested connections each, of which nothing is told.
func (r *reuse) broke(now time.Time, idle time.Duration, targetFails, weight float64) {
	r.forget(now)
	s := r.stale(idle)
	r.broken += weight * s / (s + (1-s)*targetFails)
	if r.stale(idle) < bearableStale {
		return
	}
	r.after(now, idle)
}

// idleBound bounds for a while how long connections may have been idle.
type idleBound struct {
	bound time.Duration
	until time.Time
}

// after sets the bound after a break of a connection that was idle for the given time.
func (b *idleBound) after(now time.Time, idle time.Duration) {
	bound := time.Duration(reuseShare * float64(idle))
	if now.Before(b.until) {
		bound = min(bound, b.bound)
	}
	b.bound, b.until = bound, now.Add(reuseMemory)
}

// most is how long a connection may have been idle.
func (b *idleBound) most(now time.Time) time.Duration {
	if now.Before(b.until) {
		return min(b.bound, reuseIdle)
	}
	return reuseIdle
}
