package policy

import (
	"sync/atomic"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Load is what one instance knows of one target's load. It is safe for
// concurrent use and outlives the snapshots that point to it.
type Load struct {
	inFlight atomic.Int32
	// until is when the back-off ends, in nanoseconds since the Unix epoch.
	until atomic.Int64
}

// InFlight is how many requests of this instance the target is serving.
func (l *Load) InFlight() int { return int(l.inFlight.Load()) }

// Acquire counts a request in, unless limit are in flight already.
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

// Release counts a request out.
func (l *Load) Release() {
	if l.inFlight.Add(-1) < 0 {
		panic("policy: a request was released twice")
	}
}

// BackOff leaves the target alone from now on for d. A later end that is
// already set stays.
func (l *Load) BackOff(now int64, d time.Duration) {
	end := now + int64(d)
	for {
		old := l.until.Load()
		if old >= end || l.until.CompareAndSwap(old, end) {
			return
		}
	}
}

// BackedOff tells whether the target is to be left alone at now.
func (l *Load) BackedOff(now int64) bool { return l.until.Load() > now }

// Until is when the back-off ends, in nanoseconds since the Unix epoch.
func (l *Load) Until() int64 { return l.until.Load() }

// MaxTried bounds the targets that one request may exclude.
const MaxTried = 8

// Tried are the targets that one request has been at. The zero value is
// empty. It is a value: passing it allocates nothing.
type Tried struct {
	ids [MaxTried]fleet.TargetID
	n   int
}

// Add notes a target. It returns false when MaxTried are noted already.
func (t *Tried) Add(id fleet.TargetID) bool {
	if t.n == MaxTried {
		return false
	}
	t.ids[t.n] = id
	t.n++
	return true
}

// Len is how many targets are noted.
func (t *Tried) Len() int { return t.n }

// Has tells whether the target is noted.
func (t *Tried) Has(id fleet.TargetID) bool {
	for i := range t.n {
		if t.ids[i] == id {
			return true
		}
	}
	return false
}
