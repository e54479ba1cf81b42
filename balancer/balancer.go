package balancer

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/clementinereel/clementinereel/balancer/policy"
	"github.com/clementinereel/clementinereel/fleet"
)

// Balancer owns what one instance knows of the load on one service's targets.
// Update is called by one goroutine at a time; Picker by any.
type Balancer struct {
	cfg    Config
	seed   uint64
	policy policy.Policy
	picker atomic.Pointer[Picker]
	number atomic.Uint64

	loads   map[fleet.TargetID]*policy.Load
	targets []fleet.Target
	members Members
	// assigned is the division for targets and members; it is replaced, never
	// changed, since Pickers share it.
	assigned []Assignment
	weights  []float64
}

// New returns a Balancer whose Picker holds no target yet. The config passes
// Check; a wrong one panics.
func New(cfg Config, seed uint64) *Balancer {
	if err := cfg.Check(); err != nil {
		panic("balancer: " + err.Error())
	}
	b := &Balancer{cfg: cfg.withDefaults(), seed: seed, loads: make(map[fleet.TargetID]*policy.Load)}
	b.policy = policyNamed(b.cfg.Policy)
	b.picker.Store(&Picker{b: b})
	return b
}

// Picker returns the current snapshot.
func (b *Balancer) Picker() *Picker { return b.picker.Load() }

// Update rebuilds the Picker if anything changed since the last call.
//
// ts are the service's announced targets. weight is 0 for a target that is
// not to be chosen, below 1 for one on trial or in slow start, else 1.
func (b *Balancer) Update(now time.Time, ts []fleet.Target, weight func(fleet.TargetID) float64, members Members) {
	divided := b.divide(ts, members)
	if !b.weigh(weight) && !divided {
		return
	}
	b.forget(now)
	b.publish()
}

// divide redoes the division if targets or members changed.
func (b *Balancer) divide(ts []fleet.Target, members Members) bool {
	if b.members == members && slices.Equal(b.targets, ts) {
		return false
	}
	b.targets = append(b.targets[:0], ts...)
	b.members = members
	b.assigned = Assign(b.cfg, ts, members)
	return true
}

// weigh reads the weights and tells whether one changed.
func (b *Balancer) weigh(weight func(fleet.TargetID) float64) bool {
	changed := len(b.weights) != len(b.assigned)
	b.weights = slices.Grow(b.weights[:0], len(b.assigned))[:len(b.assigned)]
	for i, a := range b.assigned {
		w := weight(a.Target.ID)
		changed = changed || w != b.weights[i]
		b.weights[i] = w
	}
	return changed
}

// forget drops the counters of targets that are gone and idle.
func (b *Balancer) forget(now time.Time) {
	known := make(map[fleet.TargetID]bool, len(b.targets))
	for _, t := range b.targets {
		known[t.ID] = true
	}
	for id, l := range b.loads {
		if !known[id] && l.InFlight() == 0 && !l.BackedOff(now.UnixNano()) {
			delete(b.loads, id)
		}
	}
}

func (b *Balancer) publish() {
	cs, spare := b.candidates()
	local := b.localFirst(cs)
	set := policy.NewSet(cs, local, b.localShare(cs, local))
	b.picker.Store(&Picker{b: b, set: set, spare: spare, assigned: b.assigned})
}

// candidates returns the targets of the subset that may be chosen. If there
// is none, the instance may use any other target of the service by a single
// connection out of the margin; spare says so.
func (b *Balancer) candidates() (cs []policy.Candidate, spare bool) {
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
			Target: a.Target, Weight: b.weights[i], Home: home(a, b.weights[i], n), Limit: n, Load: b.load(a.Target.ID),
		})
	}
	return cs
}

// home is how many home slots of a target are used. A target on trial or in
// slow start has none: it gets its work by weight alone.
func home(a Assignment, weight float64, limit int) int {
	if weight < 1 {
		return 0
	}
	return min(a.Home, limit)
}

func (b *Balancer) load(id fleet.TargetID) *policy.Load {
	l, ok := b.loads[id]
	if !ok {
		l = new(policy.Load)
		b.loads[id] = l
	}
	return l
}

// localFirst moves the candidates of the own zone to the front and returns
// how many there are.
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

// localShare is how much of this instance's work its own zone can carry: the
// zone's share of the service's weight over its share of the instances.
func (b *Balancer) localShare(cs []policy.Candidate, local int) float64 {
	if local == 0 {
		return 0
	}
	zone, total := b.zoneWeight()
	instances := float64(b.members.v.perZone[b.members.v.self.Zone]) / float64(b.members.Len())
	return min(1, zone/total/instances)
}

// zoneWeight sums the weights of the service's targets, in the own zone and
// in all.
func (b *Balancer) zoneWeight() (zone, total float64) {
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
