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

// Members is an immutable list of the live instances as one of them sees it.
// It is built once for each change and shared by the balancers of all
// services; two Members are equal only if they come from one NewMembers.
type Members struct {
	v *memberView
}

type memberView struct {
	self Member
	// hashed is in the order of the hash of the IDs, so that neighbours in it
	// have nothing in common.
	hashed []Member
	// perZone counts the members of each zone.
	perZone map[fleet.Zone]int
	// rankByZone is self's place when the members are sorted by zone first.
	rankByZone int
	// groups are self's groups as seen from each zone with members.
	groups map[fleet.Zone]group
}

// NewMembers builds the list. Self is added if the list lacks it.
func NewMembers(self Member, all []Member) Members {
	v := &memberView{self: self, perZone: make(map[fleet.Zone]int), groups: make(map[fleet.Zone]group)}
	v.hashed = distinct(append(slices.Clone(all), self))
	for _, m := range v.hashed {
		v.perZone[m.Zone]++
	}
	for z := range v.perZone {
		v.groups[z] = v.countGroup(z)
	}
	v.rankByZone = rankByZone(v.hashed, self)
	return Members{v}
}

// Len is the number of instances in the list.
func (m Members) Len() int { return len(m.v.hashed) }

// distinct returns the members by the hash of their IDs, each once.
func distinct(ms []Member) []Member {
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
			return rank + countFrom(hashed[i:], self.Zone)
		}
		if m.Zone <= self.Zone {
			rank++
		}
	}
	return rank
}

// countFrom counts the members whose zone sorts before z.
func countFrom(ms []Member, z fleet.Zone) int {
	n := 0
	for _, m := range ms {
		if m.Zone < z {
			n++
		}
	}
	return n
}

// group is the members on one side of a zone's border: those inside the zone
// or those outside of it.
type group struct {
	// size is the number of members in the group.
	size int
	// rank is self's place in it, in hash order.
	rank int
}

// groupFor returns the group that self belongs to as seen from a zone.
func (v *memberView) groupFor(z fleet.Zone) group {
	if g, ok := v.groups[z]; ok {
		return g
	}
	return v.countGroup(z)
}

func (v *memberView) countGroup(z fleet.Zone) group {
	inside := v.self.Zone == z
	g := group{size: v.perZone[z]}
	if !inside {
		g.size = len(v.hashed) - g.size
	}
	for _, m := range v.hashed {
		if m.ID == v.self.ID {
			break
		}
		if (m.Zone == z) == inside {
			g.rank++
		}
	}
	return g
}
