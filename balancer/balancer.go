package balancer

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/clementinereel/clementinereel/balancer/policy"
	"github.com/clementinereel/clementinereel/fleet"
)

// Balancer holds one instance's load state for the targets of one service.
// Update must not be called concurrently with itself; Picker is safe for
// concurrent use.
type Balancer struct {
	cfg          Config
	seed         uint64
	policy       policy.Policy
	picker       atomic.Pointer[Picker]
	requestCount atomic.Uint64

	loads   map[fleet.TargetID]*policy.Load
	targets []fleet.Target
	members Members
	// assigned is the division for targets and members. It is replaced, never
	// modified, since Pickers share it.
	assigned []Assignment
	weights  []float64
}

// New returns a Balancer whose Picker has no targets yet. It panics if cfg
// fails Check.
func New(cfg Config, seed uint64) *Balancer {
	if err := cfg.Check(); err != nil {
		panic("balancer: " + err.Error())
	}
	b := &Balancer{cfg: cfg.withDefaults(), seed: seed, loads: make(map[fleet.TargetID]*policy.Load)}
	b.policy = policyByName(b.cfg.Policy)
	b.picker.Store(&Picker{b: b})
	return b
}

// Picker returns the current snapshot.
func (b *Balancer) Picker() *Picker { return b.picker.Load() }

// Update rebuilds the Picker if anything changed since the last call.
//
// ts are the service's announced targets. weight returns 0 for a target that
// must not be chosen, a value below 1 for a target on trial or in slow start,
// and 1 otherwise.
func (b *Balancer) Update(now time.Time, ts []fleet.Target, weight func(fleet.TargetID) float64, members Members) {
	reassigned := b.reassign(ts, members)
	if !b.updateWeights(weight) && !reassigned {
		return
	}
	b.evictLoads(now)
	b.publish()
}

// reassign recomputes the assignments if targets or members changed, and
// reports whether they did.
func (b *Balancer) reassign(ts []fleet.Target, members Members) bool {
	if b.members == members && slices.Equal(b.targets, ts) {
		return false
	}
	b.targets = append(b.targets[:0], ts...)
	b.members = members
	b.assigned = Assign(b.cfg, ts, members)
	return true
}

// updateWeights stores the current weights and reports whether one changed.
func (b *Balancer) updateWeights(weight func(fleet.TargetID) float64) bool {
	changed := len(b.weights) != len(b.assigned)
	b.weights = slices.Grow(b.weights[:0], len(b.assigned))[:len(b.assigned)]
	for i, a := range b.assigned {
		w := weight(a.Target.ID)
		changed = changed || w != b.weights[i]
		b.weights[i] = w
	}
	return changed
}

// evictLoads removes the load state of targets that are no longer announced,
// have no requests in flight and aren't backed off.
func (b *Balancer) evictLoads(now time.Time) {
	announced := make(map[fleet.TargetID]bool, len(b.targets))
	for _, t := range b.targets {
		announced[t.ID] = true
	}
	for id, l := range b.loads {
		if !announced[id] && l.InFlight() == 0 && !l.BackedOff(now.UnixNano()) {
			delete(b.loads, id)
		}
	}
}

func (b *Balancer) publish() {
	cs, outsideSubset := b.candidates()
	local := b.localFirst(cs)
	set := policy.NewSet(cs, local, b.localShare(cs, local))
	b.picker.Store(&Picker{b: b, set: set, outsideSubset: outsideSubset, assigned: b.assigned})
}

// candidates returns the eligible targets of the subset. If there is none, it
// returns all eligible targets of the service with outsideSubset set; the
// instance may use each of them over a single connection, taken from the
// margin.
func (b *Balancer) candidates() (cs []policy.Candidate, outsideSubset bool) {
	cs = b.collect(func(a Assignment) int { return a.Connections })
	if len(cs) > 0 {
		return cs, false
	}
	cs = b.collect(func(Assignment) int { return 1 })
	return cs, len(cs) > 0
}

func (b *Balancer) collect(limit func(Assignment) int) []policy.Candidate {
	cs := make([]policy.Candidate, 0, len(b.assigned))
	for i, a := range b.assigned {
		n := limit(a)
		if n == 0 || b.weights[i] <= 0 {
			continue
		}
		cs = append(cs, policy.Candidate{
			Target: a.Target, Weight: b.weights[i], HomeSlots: usableHomeSlots(a, b.weights[i], n), Limit: n, Load: b.load(a.Target.ID),
		})
	}
	return cs
}

// usableHomeSlots returns the number of home slots in use at a target. A
// target on trial or in slow start has none: it receives requests by weight
// alone.
func usableHomeSlots(a Assignment, weight float64, limit int) int {
	if weight < 1 {
		return 0
	}
	return min(a.HomeSlots, limit)
}

func (b *Balancer) load(id fleet.TargetID) *policy.Load {
	l, ok := b.loads[id]
	if !ok {
		l = new(policy.Load)
		b.loads[id] = l
	}
	return l
}

// localFirst moves the candidates of the instance's own zone to the front and
// returns their number.
func (b *Balancer) localFirst(cs []policy.Candidate) int {
	zone := b.members.v.self.Zone
	slices.SortStableFunc(cs, func(x, y policy.Candidate) int {
		return btoi(x.Target.Zone != zone) - btoi(y.Target.Zone != zone)
	})
	local := 0
	for local < len(cs) && cs[local].Target.Zone == zone {
		local++
	}
	return local
}

// localShare returns the fraction of this instance's requests that its own
// zone can serve: the zone's share of the service's weight divided by its
// share of the instances.
func (b *Balancer) localShare(cs []policy.Candidate, local int) float64 {
	if local == 0 {
		return 0
	}
	zone, total := b.weightTotals()
	instances := float64(b.members.v.perZone[b.members.v.self.Zone]) / float64(b.members.Len())
	return min(1, zone/total/instances)
}

// weightTotals returns the sums of the weights of the service's targets, in
// the instance's own zone and in all zones.
func (b *Balancer) weightTotals() (zone, total float64) {
	for i, a := range b.assigned {
		total += b.weights[i]
		if a.Target.Zone == b.members.v.self.Zone {
			zone += b.weights[i]
		}
	}
	return zone, total
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
