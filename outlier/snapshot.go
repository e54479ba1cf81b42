package outlier

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// entry is one target of a snapshot under construction.
type entry struct {
	target fleet.Target
	weight float64
	status Status
	score  int
	// cold and draining were reported by the target itself; cold also follows
	// from the time it joined.
	cold, draining bool
	// ejectedElsewhere means that the target is ejected for another zone.
	ejectedElsewhere bool
}

// usable reports whether the target counts as healthy capacity, disregarding
// ejections.
func (e *entry) usable() bool {
	return e.target.State == fleet.Joined && !e.cold && !e.draining
}

// snapshotEntry is one target's weight and status in a snapshot.
type snapshotEntry struct {
	weight float64
	status Status
}

// Snapshot is the immutable state of a service's targets at one time, as seen by
// one instance.
type Snapshot struct {
	entries map[fleet.TargetID]snapshotEntry
}

// Weight returns the target's share of new work relative to a target in full use:
// 0 means that it must not be chosen, 1 full use. It is 0 for an unknown target.
func (s *Snapshot) Weight(t fleet.TargetID) float64 {
	if s == nil {
		return 0
	}
	return s.entries[t].weight
}

// Status returns the reason for the target's weight.
func (s *Snapshot) Status(t fleet.TargetID) Status {
	if s == nil {
		return Status{Phase: Gone}
	}
	p, ok := s.entries[t]
	if !ok {
		return Status{Phase: Gone}
	}
	return p.status
}

// equal reports whether two snapshots have the same content.
func (s *Snapshot) equal(o *Snapshot) bool {
	if s == nil || o == nil || len(s.entries) != len(o.entries) {
		return false
	}
	for t, p := range s.entries {
		if o.entries[t] != p {
			return false
		}
	}
	return true
}

// newSnapshot builds the snapshot after the floor has been enforced. If no target
// would get work, because all are draining, all joined targets get full weight:
// they reject work themselves, without executing it.
func newSnapshot(entries []*entry) *Snapshot {
	offered := false
	for _, e := range entries {
		offered = offered || e.weight > 0
	}
	places := make(map[fleet.TargetID]snapshotEntry, len(entries))
	for _, e := range entries {
		if !offered && e.target.State == fleet.Joined {
			e.weight = 1
		}
		places[e.target.ID] = snapshotEntry{weight: e.weight, status: e.status}
	}
	return &Snapshot{entries: places}
}

// rampSteps is the number of steps of a growing share; steps keep snapshots from
// changing with every tick.
const rampSteps = 16

// ramp returns the share of a target at a time since its slow start began.
func ramp(passed, total time.Duration) float64 {
	if passed >= total || total <= 0 {
		return 1
	}
	step := int(rampSteps * max(passed, 0) / total)
	return startWeight + (1-startWeight)*float64(step)/rampSteps
}
