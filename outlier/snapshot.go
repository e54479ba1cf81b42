package outlier

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// entry is one target in the making of a snapshot.
type entry struct {
	target fleet.Target
	weight float64
	status Status
	score  int
	// cold and draining are what the target itself said, or follows from
	// when it joined.
	cold, draining bool
	// elsewhere means that other instances do not use the target.
	elsewhere bool
}

// usable tells whether the target counts as healthy capacity but for
// ejections.
func (e *entry) usable() bool {
	return e.target.State == fleet.Joined && !e.cold && !e.draining
}

// place is what a snapshot says of one target.
type place struct {
	weight float64
	status Status
}

// Snapshot is what an instance knows of a service's targets at one time. It
// does not change.
type Snapshot struct {
	places map[fleet.TargetID]place
}

// Weight is the target's share of new work against a target in full use: 0
// means it must not be chosen, 1 that it is in full use. It is 0 for a target
// that is not known.
func (s *Snapshot) Weight(t fleet.TargetID) float64 {
	if s == nil {
		return 0
	}
	return s.places[t].weight
}

// Status tells why the target has its weight.
func (s *Snapshot) Status(t fleet.TargetID) Status {
	if s == nil {
		return Status{Phase: Gone}
	}
	p, ok := s.places[t]
	if !ok {
		return Status{Phase: Gone}
	}
	return p.status
}

// equal tells whether two snapshots say the same.
func (s *Snapshot) equal(o *Snapshot) bool {
	if s == nil || o == nil || len(s.places) != len(o.places) {
		return false
	}
	for t, p := range s.places {
		if o.places[t] != p {
			return false
		}
	}
	return true
}

// publish makes the snapshot of entries whose floor has been held. Where
// every joined target would be refused work because it is draining, it is
// offered all the same: it refuses by itself, without running anything.
func publish(entries []*entry) *Snapshot {
	offered := false
	for _, e := range entries {
		offered = offered || e.weight > 0
	}
	places := make(map[fleet.TargetID]place, len(entries))
	for _, e := range entries {
		if !offered && e.target.State == fleet.Joined {
			e.weight = 1
		}
		places[e.target.ID] = place{weight: e.weight, status: e.status}
	}
	return &Snapshot{places: places}
}

// rampSteps is how finely a growing share is cut, so that snapshots do not
// change with every tick.
const rampSteps = 16

// ramp is the share of a target that started so long ago.
func ramp(passed, whole time.Duration) float64 {
	if passed >= whole || whole <= 0 {
		return 1
	}
	step := int(rampSteps * max(passed, 0) / whole)
	return startWeight + (1-startWeight)*float64(step)/rampSteps
}
