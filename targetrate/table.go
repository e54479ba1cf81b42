package targetrate

import (
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Announcement is the rate that a response announced for its target.
type Announcement struct {
	Target fleet.TargetID
	// Rate is 0 if the response announced none.
	Rate Rate
	// At is the time of the response, or the start of its attempt if it announced no rate: a
	// response to an attempt that started before the last announcement does not end the rate.
	At time.Time
}

// Change is the effect of an announcement.
type Change uint8

const (
	// Unchanged means that the rate is the same, or that a later announcement is in force.
	Unchanged Change = iota
	// Began means that the target had no rate before.
	Began
	// Changed means that the target had another rate before.
	Changed
	// Ended means that the target no longer has a rate.
	Ended
)

// String returns the name of the change in logs.
func (c Change) String() string { return [...]string{"unchanged", "began", "altered", "ended"}[c] }

// endedRetention is for how long the end of a rate is kept and sent to others, so that earlier
// announcements that arrive late have no effect.
const endedRetention = 10 * time.Second

// minRefresh is the time by which a report of the rate in force must be later to replace the earlier
// one. It exceeds the transit of a report: instances repeat reports to each other, and an
// announcement that became younger with each repetition would outdate the response that ends the
// rate.
const minRefresh = 250 * time.Millisecond

// entry is the state of one target.
type entry struct {
	Announcement
	bucket bucket
	// holder is the last reported holder of the rate, holderAt the time of the report.
	holder   string
	holderAt time.Time
	// deniedUntil is the time until which no token is requested from the holder.
	deniedUntil time.Time
}

// Table holds the rates of targets.
type Table struct {
	mu      sync.Mutex
	targets map[fleet.TargetID]*entry
}

// New returns an empty table.
func New() *Table { return &Table{targets: make(map[fleet.TargetID]*entry)} }

// Apply records an announcement that this instance received from the target and returns its effect.
func (t *Table) Apply(now time.Time, n Announcement) Change { return t.apply(now, n, 0) }

// ApplyReported records an announcement that another instance reported and returns its effect. Its
// time includes the transit of the report.
func (t *Table) ApplyReported(now time.Time, n Announcement) Change {
	return t.apply(now, n, minRefresh)
}

// apply records an announcement. One of the rate in force counts only if it is later by minNewer.
func (t *Table) apply(now time.Time, n Announcement, minNewer time.Duration) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.targets[n.Target]
	if e == nil {
		e = &entry{Announcement: Announcement{Target: n.Target}}
		t.targets[n.Target] = e
	}
	before := e.Rate
	if !n.At.After(e.At) || before == n.Rate && n.At.Sub(e.At) < minNewer {
		return Unchanged
	}
	e.Announcement = n
	switch {
	case before == n.Rate:
		return Unchanged
	case before == 0:
		return Began
	case n.Rate == 0:
		e.bucket = bucket{}
		return Ended
	}
	e.bucket.refill(now, before)
	return Changed
}

// Rate returns the rate in force at a target, or 0 if there is none.
func (t *Table) Rate(id fleet.TargetID) Rate { return t.Latest(id).Rate }

// Latest returns the latest announcement for a target.
func (t *Table) Latest(id fleet.TargetID) Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.targets[id]; e != nil {
		return e.Announcement
	}
	return Announcement{Target: id}
}

// Len returns the number of targets with a rate in force.
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

// Active returns the announcements of all rates in force.
func (t *Table) Active() []Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Announcement
	for _, e := range t.targets {
		if e.Rate > 0 {
			all = append(all, e.Announcement)
		}
	}
	return all
}

// Shareable returns the announcements to be sent to other instances: rates in force and those that ended
// within endedRetention.
func (t *Table) Shareable(now time.Time) []Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Announcement
	for _, e := range t.targets {
		if e.Rate > 0 || now.Sub(e.At) < endedRetention {
			all = append(all, e.Announcement)
		}
	}
	return all
}

// Prune removes the targets for which keep returns false, and rates that ended longer than endedRetention
// ago.
func (t *Table) Prune(now time.Time, keep func(fleet.TargetID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.targets {
		if !keep(id) || e.Rate == 0 && now.Sub(e.At) > endedRetention {
			delete(t.targets, id)
		}
	}
}
