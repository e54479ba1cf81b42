package balancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinereel/clementinereel/fleet"
)

// Assignment is what one instance may use of one target.
type Assignment struct {
	Target fleet.Target
	// Connections is the instance's share of the target's connections; 0
	// when the target isn't in the instance's subset.
	Connections int
	// Home is how many of the target's slots are the instance's own.
	Home int
}

// Assign divides the targets' connections and slots among the members and
// returns self's part, sorted by zone and then by the hash of the ID. Only
// joined targets count. It depends on announced facts alone, never on
// weights, so that instances with the same lists divide alike.
//
// The bound: with equal member lists, the shares of a target over all
// instances add up to at most Connections less the margin.
func Assign(cfg Config, ts []fleet.Target, members Members) []Assignment {
	as := joined(ts)
	assignConnections(cfg, as, members.v)
	assignHomes(cfg, as, members.v)
	return as
}

func joined(ts []fleet.Target) []Assignment {
	as := make([]Assignment, 0, len(ts))
	for _, t := range ts {
		if t.State == fleet.Joined {
			as = append(as, Assignment{Target: t})
		}
	}
	slices.SortFunc(as, func(a, b Assignment) int {
		return cmp.Or(
			cmp.Compare(a.Target.Zone, b.Target.Zone),
			cmp.Compare(xxhash.Sum64String(string(a.Target.ID)), xxhash.Sum64String(string(b.Target.ID))),
			cmp.Compare(a.Target.ID, b.Target.ID))
	})
	return as
}

func assignConnections(cfg Config, as []Assignment, v *memberView) {
	budget := int(float64(cfg.Connections) * (1 - cfg.Margin))
	instances := max(len(v.hashed), cfg.Instances)
	if each := budget / instances; each > 0 {
		for i := range as {
			as[i].Connections = min(each, cfg.Slots)
		}
		return
	}
	assignWindows(budget, as, v)
}

func zoneEnd(as []Assignment, lo int) int {
	hi := lo
	for hi < len(as) && as[hi].Target.Zone == as[lo].Target.Zone {
		hi++
	}
	return hi
}

// assignWindows gives one connection to each target whose window covers self.
// A window holds a fixed number of consecutive ranks. Towards the instances of
// their own zone, the windows of a zone's targets start evenly spaced; towards
// all others, so do the windows of all targets, the zones taking turns. Both
// the instances of a target and the targets of an instance are thus spread
// evenly, and an instance's targets elsewhere are in different zones.
func assignWindows(budget int, as []Assignment, v *memberView) {
	turn := turns(as)
	for lo := 0; lo < len(as); {
		hi := zoneEnd(as, lo)
		z := as[lo].Target.Zone
		g := v.groupFor(z)
		inside := v.self.Zone == z
		width := windowWidth(budget, hi-lo, v.perZone[z], len(v.hashed), inside)
		for i := lo; i < hi; i++ {
			start := turn[i] * g.size / len(as)
			if inside {
				start = (i - lo) * g.size / (hi - lo)
			}
			if (g.rank-start+g.size)%g.size < width {
				as[i].Connections = 1
			}
		}
		lo = hi
	}
}

// turns returns each target's place when the zones take turns.
func turns(as []Assignment) []int {
	order := make([]int, len(as))
	within := make([]int, len(as))
	for i := range as {
		order[i] = i
		if i > 0 && as[i].Target.Zone == as[i-1].Target.Zone {
			within[i] = within[i-1] + 1
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(within[a], within[b]) })
	places := make([]int, len(as))
	for place, i := range order {
		places[i] = place
	}
	return places
}

// windowWidth splits a target's connections: half to the instances of its own
// zone, more if it takes more for each of them to reach a target there, and
// the rest to all others; what one side can't use goes to the other.
func windowWidth(budget, targets, inZone, total int, inside bool) int {
	each := (inZone + targets - 1) / targets
	own := min(inZone, budget, max(budget/2, each))
	others := min(total-inZone, budget-own)
	if inside {
		return min(inZone, budget-others)
	}
	return others
}

// assignHomes lays the slots out over the instances, both in zone order, and
// gives self the slots at its place; with fewer slots than instances, several
// instances share one. Neighbouring places are slots of different targets.
func assignHomes(cfg Config, as []Assignment, v *memberView) {
	slots := len(as) * cfg.Slots
	if slots == 0 {
		return
	}
	n := len(v.hashed)
	lo := v.rankByZone * slots / n
	hi := max((v.rankByZone+1)*slots/n, lo+1)
	for lo < hi {
		first := targetAt(as, lo/cfg.Slots)
		zone := as[first:zoneEnd(as, first)]
		k := (lo - first*cfg.Slots) % len(zone)
		zone[k].Home++
		lo++
	}
}

// targetAt returns the first target in the zone of target i.
func targetAt(as []Assignment, i int) int {
	for i > 0 && as[i-1].Target.Zone == as[i].Target.Zone {
		i--
	}
	return i
}
