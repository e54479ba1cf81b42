package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/membership"
)

// Member is a candidate for a role.
type Member = membership.Member

// preference ranks members ahead of their weights; lower is better.
type preference uint8

const (
	preferred preference = iota
	notReady
	suspect
	leaving
	excluded
)

func preferenceOf(m Member) preference {
	switch m.State {
	case membership.Alive:
		if m.Ready {
			return preferred
		}
		return notReady
	case membership.Suspect:
		return suspect
	case membership.Leaving:
		return leaving
	}
	return excluded
}

// candidate is a member prepared for ranking.
type candidate struct {
	id   fleet.InstanceID
	hash uint64
	pref preference
}

// weight mixes the hashes of a key and a member (the finalizer of SplitMix64).
func weight(key, member uint64) uint64 {
	h := key ^ member
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// Owner returns the member that holds the role named by key. ok is false if no
// member is eligible.
func Owner(key string, members []Member) (id fleet.InstanceID, ok bool) {
	keyHash := xxhash.Sum64String(key)
	best := candidate{pref: excluded}
	var bestWeight uint64
	for i := range members {
		c := candidateOf(&members[i])
		if c.pref == excluded {
			continue
		}
		w := weight(keyHash, c.hash)
		if c.before(w, best, bestWeight) {
			best, bestWeight = c, w
		}
	}
	return best.id, best.pref != excluded
}

// Ranked returns the first n members, or fewer, in the ranking for the role
// named by key: the owner, its successor, and so on.
func Ranked(key string, members []Member, n int) []fleet.InstanceID {
	return NewTable(members).Ranked(key, n)
}

func candidateOf(m *Member) candidate {
	return candidate{id: m.ID, hash: xxhash.Sum64String(string(m.ID)), pref: preferenceOf(*m)}
}

// before reports whether candidate c, of weight w, ranks before other.
func (c candidate) before(w uint64, other candidate, otherWeight uint64) bool {
	if c.pref != other.pref {
		return c.pref < other.pref
	}
	if w != otherWeight {
		return w > otherWeight
	}
	return c.id < other.id
}

// Table holds the hashes of the members, to look up the owners of many keys. It
// is immutable.
type Table struct {
	candidates []candidate // sorted by preference, best first
	numBest    int         // number of candidates that share the best preference
}

// NewTable builds a table of members. It must be rebuilt when the epoch of the
// membership view changes.
func NewTable(members []Member) *Table {
	t := &Table{candidates: make([]candidate, 0, len(members))}
	for i := range members {
		if c := candidateOf(&members[i]); c.pref != excluded {
			t.candidates = append(t.candidates, c)
		}
	}
	slices.SortStableFunc(t.candidates, func(a, b candidate) int { return int(a.pref) - int(b.pref) })
	for t.numBest < len(t.candidates) && t.candidates[t.numBest].pref == t.candidates[0].pref {
		t.numBest++
	}
	return t
}

// Owner is like the function Owner, for the members of the table.
func (t *Table) Owner(key string) (id fleet.InstanceID, ok bool) {
	if t.numBest == 0 {
		return "", false
	}
	keyHash := xxhash.Sum64String(key)
	best := &t.candidates[0]
	bestWeight := weight(keyHash, best.hash)
	for i := 1; i < t.numBest; i++ {
		c := &t.candidates[i]
		w := weight(keyHash, c.hash)
		if w > bestWeight || w == bestWeight && c.id < best.id {
			best, bestWeight = c, w
		}
	}
	return best.id, true
}

// Ranked is like the function Ranked, for the members of the table.
func (t *Table) Ranked(key string, n int) []fleet.InstanceID {
	keyHash := xxhash.Sum64String(key)
	n = min(n, len(t.candidates))
	first := make([]*candidate, 0, n+1) // the best n so far, in order
	for i := range t.candidates {
		c := &t.candidates[i]
		at := len(first)
		for at > 0 && c.before(weight(keyHash, c.hash), *first[at-1], weight(keyHash, first[at-1].hash)) {
			at--
		}
		if at < n {
			first = slices.Insert(first, at, c)
			first = first[:min(len(first), n)]
		}
	}
	ids := make([]fleet.InstanceID, len(first))
	for i, c := range first {
		ids[i] = c.id
	}
	return ids
}
