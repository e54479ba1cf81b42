package policy

import (
	"math/rand/v2"
	"sort"

	"github.com/clementinereel/clementinereel/fleet"
)

// None is the index that means "no candidate".
const None = -1

// Policy chooses one candidate for a request. Implementations must be
// stateless or safe for concurrent use.
type Policy interface {
	// Choose returns the index of a usable candidate, or None.
	Choose(r Request) int
}

// Candidate is a target that the instance may choose.
type Candidate struct {
	Target fleet.Target
	// Weight is above 0; a value below 1 means that the target is on trial or
	// in slow start.
	Weight float64
	// HomeSlots is the number of the target's slots that are assigned to this
	// instance.
	HomeSlots int
	// Limit is the maximum number of this instance's requests in flight at
	// the target: its share of the target's connections.
	Limit int
	// Load is kept when the snapshot is rebuilt.
	Load *Load
}

// Set is an immutable snapshot of the candidates. Those of the instance's own
// zone come first.
type Set struct {
	Candidates []Candidate
	// LocalCount is the number of candidates in the instance's own zone.
	LocalCount int
	// LocalShare is the fraction of requests, from 0 to 1, that should stay
	// in the instance's own zone to load targets evenly across zones.
	LocalShare float64
	// Homes are the indexes of the candidates with HomeSlots above 0.
	Homes []int
	// cumulative[i] is the sum of the weights up to and including i.
	cumulative []float64
}

// NewSet returns the Set of cs, whose first localCount candidates are those
// of the instance's own zone.
func NewSet(cs []Candidate, localCount int, localShare float64) Set {
	s := Set{Candidates: cs, LocalCount: localCount, LocalShare: localShare}
	s.cumulative = make([]float64, len(cs))
	sum := 0.0
	for i := range cs {
		sum += cs[i].Weight
		s.cumulative[i] = sum
		if cs[i].HomeSlots > 0 {
			s.Homes = append(s.Homes, i)
		}
	}
	return s
}

// Span is the half-open range of candidate indexes from Lo to Hi.
type Span struct{ Lo, Hi int }

// All returns the span of all candidates.
func (s *Set) All() Span { return Span{0, len(s.Candidates)} }

// LocalSpan returns the span of the candidates in the instance's own zone.
func (s *Set) LocalSpan() Span { return Span{0, s.LocalCount} }

// Draw returns a candidate of the span in proportion to weight, for a random
// number u in [0, 1). The span must not be empty.
func (s *Set) Draw(in Span, u float64) int {
	base := 0.0
	if in.Lo > 0 {
		base = s.cumulative[in.Lo-1]
	}
	at := base + u*(s.cumulative[in.Hi-1]-base)
	i := in.Lo + sort.Search(in.Hi-in.Lo, func(k int) bool { return s.cumulative[in.Lo+k] > at })
	return min(i, in.Hi-1)
}

// Request is a request that needs a target. It is passed by value, so that
// choosing allocates nothing.
type Request struct {
	Set *Set
	// Now is in nanoseconds since the Unix epoch.
	Now int64
	// Tried is the set of targets that must not be chosen again.
	Tried Tried
	// Seed and Number determine the random numbers of the request.
	Seed, Number uint64
}

// Rand returns the k-th random number of the request, in [0, 1).
func (r Request) Rand(k uint64) float64 {
	var g rand.PCG
	g.Seed(r.Seed+k, r.Number)
	return float64(g.Uint64()>>11) / (1 << 53)
}

// Usable reports whether candidate i may be chosen: not yet tried, within the
// connection share and not backed off.
func (r Request) Usable(i int) bool {
	c := &r.Set.Candidates[i]
	return c.Load.InFlight() < c.Limit && !c.Load.BackedOff(r.Now) && !r.Tried.Has(c.Target.ID)
}

// Scan returns the first usable candidate of the span, starting at a position
// given by the random number u in [0, 1), or None. Policies fall back to it
// when the candidates that they draw aren't usable.
func (r Request) Scan(in Span, u float64) int {
	n := in.Hi - in.Lo
	first := int(u * float64(n))
	for k := range n {
		i := in.Lo + (first+k)%n
		if r.Usable(i) {
			return i
		}
	}
	return None
}

// SoonestAvailable returns the candidate whose back-off ends first among
// those not tried and within the connection share, or None. It is used for
// requests without a usable candidate.
func (r Request) SoonestAvailable() int {
	best, end := None, int64(0)
	for i := range r.Set.Candidates {
		c := &r.Set.Candidates[i]
		if c.Load.InFlight() >= c.Limit || r.Tried.Has(c.Target.ID) {
			continue
		}
		if u := c.Load.BackOffEnd(); best == None || u < end {
			best, end = i, u
		}
	}
	return best
}
