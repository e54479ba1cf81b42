package targetrate

import (
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Naming is what an answer said of a target's rate.
type Naming struct {
	Target fleet.TargetID
	// Rate is the named one; 0 if the answer named none.
	Rate Rate
	// At is when the answer came, or when its attempt began if it named none: an answer to an
	// attempt that began before the last naming ends nothing.
	At time.Time
}

// Change is what a naming changed.
type Change uint8

const (
	// Unchanged: it was known, or something later is.
	Unchanged Change = iota
	// Began: the target had no rate.
	Began
	// Altered: the target had another.
	Altered
	// Ended: the target has none any more.
	Ended
)

// String names the change in logs.
func (c Change) String() string { return [...]string{"unchanged", "began", "altered", "ended"}[c] }

// endedFor is for how long the end of a rate is told to others, and remembered beside namings that come late.
const endedFor = 10 * time.Second

// entry is what is known of one target.
type entry struct {
	Naming
	bucket bucket
	// holder is the instance that was last said to hold the rate, and when that was said.
	holder   string
	holderAt time.Time
	// deniedUntil is until when no request is asked for.
	deniedUntil time.Time
}

// Table is what an instance knows of targets' rates.
type Table struct {
	mu      sync.Mutex
	targets map[fleet.TargetID]*entry
}

// New returns an empty table.
func New() *Table { return &Table{targets: make(map[fleet.TargetID]*entry)} }

// Take takes in a naming, and tells what it changed.
func (t *Table) Take(now time.Time, n Naming) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.targets[n.Target]
	if e == nil {
		e = &entry{Naming: Naming{Target: n.Target}}
		t.targets[n.Target] = e
	}
	if !n.At.After(e.At) {
		return Unchanged
	}
	before := e.Rate
	e.Naming = n
	switch {
	case before == n.Rate:
		return Unchanged
	case before == 0:
		return Began
	case n.Rate == 0:
		e.bucket = bucket{}
		return Ended
	}
	e.bucket.settle(now, before)
	return Altered
}

// Rate is the rate in force at a target; 0 if there is none.
func (t *Table) Rate(id fleet.TargetID) Rate { return t.Naming(id).Rate }

// Naming is the latest that is known of a target.
func (t *Table) Naming(id fleet.TargetID) Naming {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.targets[id]; e != nil {
		return e.Naming
	}
	return Naming{Target: id}
}

// Len is how many targets have a rate.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.targets {
		if e.Rate > 0 {
			n++
		}
	}
	return n
}

// InForce are the rates that targets name now.
func (t *Table) InForce() []Naming {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Naming
	for _, e := range t.targets {
		if e.Rate > 0 {
			all = append(all, e.Naming)
		}
	}
	return all
}

// Told are the rates in force and those that have just ended, to be told to others.
func (t *Table) Told(now time.Time) []Naming {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Naming
	for _, e := range t.targets {
		if e.Rate > 0 || now.Sub(e.At) < endedFor {
			all = append(all, e.Naming)
		}
	}
	return all
}

// Forget drops what is known of targets that are not kept, and ends that are long over.
func (t *Table) Forget(now time.Time, keep func(fleet.TargetID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.targets {
		if !keep(id) || e.Rate == 0 && now.Sub(e.At) > endedFor {
			delete(t.targets, id)
		}
	}
}
