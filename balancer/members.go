package balancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinereel/clementinereel/fleet"
)

// Member is one instance of the fleet.
type Member struct {
	ID   fleet.InstanceID
	Zone fleet.Zone
}

// Members is an immutable list of the live instances from the view of one of
// them. It is built once for each change and shared by the balancers of all
// services; two Members are equal only if they come from the same call of
// NewMembers.
type Members struct {
	v *memberView
}

type memberView struct {
	self Member
	// byHash is sorted by the hash of the IDs, so that neighbors are
	// unrelated.
	byHash []Member
	// perZone is the number of members by zone.
	perZone map[fleet.Zone]int
	// rankByZone is self's rank when the members are sorted by zone, then by
	// hash.
	rankByZone int
	// groups is self's group relative to each zone that has members.
	groups map[fleet.Zone]group
}

// NewMembers returns the Members of the instance self. Self is added if all
// lacks it.
func NewMembers(self Member, all []Member) Members {
	v := &memberView{self: self, perZone: make(map[fleet.Zone]int), groups: make(map[fleet.Zone]group)}
	v.byHash = uniqueByHash(append(slices.Clone(all), self))
	for _, m := range v.byHash {
		v.perZone[m.Zone]++
	}
	for z := range v.perZone {
		v.groups[z] = v.computeGroup(z)
	}
	v.rankByZone = rankByZone(v.byHash, self)
	return Members{v}
}

// Len returns the number of instances in the list.
func (m Members) Len() int { return len(m.v.byHash) }

// uniqueByHash sorts ms by the hash of their IDs and removes duplicates. It
// reorders ms in place.
func uniqueByHash(ms []Member) []Member {
	type keyed struct {
		hash uint64
		Member
	}
	ks := make([]keyed, len(ms))
	for i, m := range ms {
		ks[i] = keyed{xxhash.Sum64String(string(m.ID)), m}
	}
	slices.SortFunc(ks, func(a, b keyed) int {
		if a.hash != b.hash {
			return cmp.Compare(a.hash, b.hash)
		}
		return cmp.Compare(a.ID, b.ID)
	})
	for i, k := range ks {
		ms[i] = k.Member
	}
	return slices.CompactFunc(ms, func(a, b Member) bool { return a.ID == b.ID })
}

func rankByZone(hashed []Member, self Member) int {
	rank := 0
	for i, m := range hashed {
		if m.ID == self.ID {
			return rank + countBeforeZone(hashed[i:], self.Zone)
		}
		if m.Zone <= self.Zone {
			rank++
		}
	}
	return rank
}

// countBeforeZone returns the number of members whose zone sorts before z.
func countBeforeZone(ms []Member, z fleet.Zone) int {
	n := 0
	for _, m := range ms {
		if m.Zone < z {
			n++
		}
	}
	return n
}

// group is the set of members on the same side of a zone's border as self:
// those inside the zone or those outside.
type group struct {
	// size is the number of members in the group.
	size int
	// rank is self's rank in the group, in hash order.
	rank int
}

// groupFor returns the group of self relative to zone z.
func (v *memberView) groupFor(z fleet.Zone) group {
	if g, ok := v.groups[z]; ok {
		return g
	}
	return v.computeGroup(z)
}

func (v *memberView) computeGroup(z fleet.Zone) group {
	inside := v.self.Zone == z
	g := group{size: v.perZone[z]}
	if !inside {
		g.size = len(v.byHash) - g.size
	}
	for _, m := range v.byHash {
		if m.ID == v.self.ID {
			break
		}
		if (m.Zone == z) == inside {
			g.rank++
		}
	}
	return g
}
