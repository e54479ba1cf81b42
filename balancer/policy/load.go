package policy

import (
	"sync/atomic"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Load is one instance's load state of one target. It is safe for concurrent
// use and outlives the snapshots that point to it.
type Load struct {
	inFlight atomic.Int32
	// backOffEnd is the end of the back-off, in nanoseconds since the Unix
	// epoch.
	backOffEnd atomic.Int64
}

// InFlight returns the number of this instance's requests in flight at the
// target.
func (l *Load) InFlight() int { return int(l.inFlight.Load()) }

// Acquire adds a request in flight. It returns false if limit requests are in
// flight already.
func (l *Load) Acquire(limit int) bool {
	for {
		n := l.inFlight.Load()
		if int(n) >= limit {
			return false
		}
		if l.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release removes a request that Acquire added.
func (l *Load) Release() {
	if l.inFlight.Add(-1) < 0 {
		panic("policy: Release called without a matching Acquire")
	}
}

// BackOff excludes the target for d from now, in nanoseconds since the Unix
// epoch. It never shortens a back-off.
func (l *Load) BackOff(now int64, d time.Duration) {
	end := now + int64(d)
	for {
		old := l.backOffEnd.Load()
		if old >= end || l.backOffEnd.CompareAndSwap(old, end) {
			return
		}
	}
}

// BackedOff reports whether the target is backed off at now, in nanoseconds
// since the Unix epoch.
func (l *Load) BackedOff(now int64) bool { return l.backOffEnd.Load() > now }

// BackOffEnd returns the end of the back-off, in nanoseconds since the Unix
// epoch.
func (l *Load) BackOffEnd() int64 { return l.backOffEnd.Load() }

// MaxTried is the maximum number of targets that one request may exclude.
const MaxTried = 8

// Tried is the set of targets that one request has tried. The zero value is
// empty. It is passed by value, without allocation.
type Tried struct {
	ids [MaxTried]fleet.TargetID
	n   int
}

// Add adds a target. It returns false if the set already holds MaxTried
// targets.
func (t *Tried) Add(id fleet.TargetID) bool {
	if t.n == MaxTried {
		return false
	}
	t.ids[t.n] = id
	t.n++
	return true
}

// Len returns the number of targets in the set.
func (t *Tried) Len() int { return t.n }

// Has reports whether the set contains the target.
func (t *Tried) Has(id fleet.TargetID) bool {
	for i := range t.n {
		if t.ids[i] == id {
			return true
		}
	}
	return false
}
