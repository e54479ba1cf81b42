package balancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinereel/clementinereel/fleet"
)

// Assignment is the part of one target's capacity that one instance may use.
type Assignment struct {
	Target fleet.Target
	// Connections is the instance's share of the target's connections; 0 when
	// the target isn't in the instance's subset.
	Connections int
	// HomeSlots is the number of the target's slots that are assigned to the
	// instance, its home slots.
	HomeSlots int
}

// Assign divides the targets' connections and slots among the members and
// returns the part of the members' own instance, sorted by zone and then by
// the hash of the ID. Only joined targets count. The result depends only on
// announced targets and members, never on weights, so that instances with
// equal lists compute the same division.
//
// With equal member lists, the shares of a target over all instances add up
// to at most Connections less the margin.
func Assign(cfg Config, ts []fleet.Target, members Members) []Assignment {
	as := joinedTargets(ts)
	assignConnections(cfg, as, members.v)
	assignHomeSlots(cfg, as, members.v)
	return as
}

func joinedTargets(ts []fleet.Target) []Assignment {
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
	instances := max(len(v.byHash), cfg.MinInstances)
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
// A window is a fixed number of consecutive ranks of instances. For instances
// in the zone of the targets, the windows of that zone's targets start evenly
// spaced; for all others, the windows of all targets do, interleaved by zone.
// This spreads both the instances of a target and the targets of an instance
// evenly, and puts an instance's targets outside its own zone into different
// zones.
func assignWindows(budget int, as []Assignment, v *memberView) {
	positions := interleavedPositions(as)
	for lo := 0; lo < len(as); {
		hi := zoneEnd(as, lo)
		z := as[lo].Target.Zone
		g := v.groupFor(z)
		inside := v.self.Zone == z
		width := windowWidth(budget, hi-lo, v.perZone[z], len(v.byHash), inside)
		for i := lo; i < hi; i++ {
			start := positions[i] * g.size / len(as)
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

// interleavedPositions returns the position of each target in an order that
// takes the targets of the zones in rotation.
func interleavedPositions(as []Assignment) []int {
	order := make([]int, len(as))
	rankInZone := make([]int, len(as))
	for i := range as {
		order[i] = i
		if i > 0 && as[i].Target.Zone == as[i-1].Target.Zone {
			rankInZone[i] = rankInZone[i-1] + 1
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(rankInZone[a], rankInZone[b]) })
	positions := make([]int, len(as))
	for position, i := range order {
		positions[i] = position
	}
	return positions
}

// windowWidth returns the number of instances on self's side of the zone
// border that connect to a target of the zone. Half of a target's connections
// go to the instances of its own zone, more if that is needed for each of
// them to reach a target there, and the rest to all others. Connections that
// one side can't use go to the other.
func windowWidth(budget, targets, inZone, total int, inside bool) int {
	each := (inZone + targets - 1) / targets
	own := min(inZone, budget, max(budget/2, each))
	others := min(total-inZone, budget-own)
	if inside {
		return min(inZone, budget-others)
	}
	return others
}

// assignHomeSlots lays out all slots over the instances, both in zone order,
// and gives self the slots at its position. With fewer slots than instances,
// several instances share a slot. Adjacent positions are slots of different
// targets.
func assignHomeSlots(cfg Config, as []Assignment, v *memberView) {
	slots := len(as) * cfg.Slots
	if slots == 0 {
		return
	}
	n := len(v.byHash)
	lo := v.rankByZone * slots / n
	hi := max((v.rankByZone+1)*slots/n, lo+1)
	for lo < hi {
		first := firstInZone(as, lo/cfg.Slots)
		zone := as[first:zoneEnd(as, first)]
		k := (lo - first*cfg.Slots) % len(zone)
		zone[k].HomeSlots++
		lo++
	}
}

// firstInZone returns the index of the first target in the zone of target i.
func firstInZone(as []Assignment, i int) int {
	for i > 0 && as[i-1].Target.Zone == as[i].Target.Zone {
		i--
	}
	return i
}
