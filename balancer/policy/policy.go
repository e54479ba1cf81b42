package policy

import (
	"math/rand/v2"
	"sort"

	"github.com/clementinereel/clementinereel/fleet"
)

// None is the index that stands for "no candidate".
const None = -1

// Policy chooses one candidate for a request. Implementations are stateless
// or safe for concurrent use.
type Policy interface {
	// Choose returns the index of a usable candidate, or None.
	Choose(r Request) int
}

// Candidate is one target that the instance may choose.
type Candidate struct {
	Target fleet.Target
	// Weight is above 0; below 1 the target is on trial or in slow start.
	Weight float64
	// Home is how many of the target's slots are this instance's own.
	Home int
	// Limit is how many requests this instance may have in flight there: its
	// share of the target's connections.
	Limit int
	// Load survives rebuilds of the snapshot.
	Load *Load
}

// Set is an immutable snapshot of the candidates. Those of the instance's own
// zone come first.
type Set struct {
	Candidates []Candidate
	// Local is how many candidates, from the first, are in the own zone.
	Local int
	// LocalShare is the share of requests, from 0 to 1, that should stay in
	// the own zone for targets to be loaded evenly over the zones.
	LocalShare float64
	// Homes are the indexes of candidates with Home above 0.
	Homes []int
	// cumulative[i] is the sum of the weights up to and including i.
	cumulative []float64
}

// NewSet builds a snapshot from candidates sorted with the own zone's first.
func NewSet(cs []Candidate, local int, localShare float64) Set {
	s := Set{Candidates: cs, Local: local, LocalShare: localShare}
	s.cumulative = make([]float64, len(cs))
	sum := 0.0
	for i := range cs {
		sum += cs[i].Weight
		s.cumulative[i] = sum
		if cs[i].Home > 0 {
			s.Homes = append(s.Homes, i)
		}
	}
	return s
}

// Span is a range of candidate indexes, from Lo up to but excluding Hi.
type Span struct{ Lo, Hi int }

// All is the span of every candidate.
func (s *Set) All() Span { return Span{0, len(s.Candidates)} }

// Own is the span of the candidates in the own zone.
func (s *Set) Own() Span { return Span{0, s.Local} }

// Draw picks a candidate of the span in proportion to weight; u is from 0
// up to but excluding 1. The span isn't empty.
func (s *Set) Draw(in Span, u float64) int {
	base := 0.0
	if in.Lo > 0 {
		base = s.cumulative[in.Lo-1]
	}
	at := base + u*(s.cumulative[in.Hi-1]-base)
	i := in.Lo + sort.Search(in.Hi-in.Lo, func(k int) bool { return s.cumulative[in.Lo+k] > at })
	return min(i, in.Hi-1)
}

// Request is one request that needs a target. It is passed by value, so that
// choosing allocates nothing.
type Request struct {
	Set *Set
	// Now is in nanoseconds since the Unix epoch.
	Now int64
	// Tried are the targets that must not be chosen again.
	Tried Tried
	// Seed and Number give the request its own random numbers.
	Seed, Number uint64
}

// Rand returns the k-th random number of the request, from 0 up to 1.
func (r Request) Rand(k uint64) float64 {
	var g rand.PCG
	g.Seed(r.Seed+k, r.Number)
	return float64(g.Uint64()>>11) / (1 << 53)
}

// Usable tells whether candidate i may be chosen: not yet tried, within the
// connection share and not backed off from.
func (r Request) Usable(i int) bool {
	c := &r.Set.Candidates[i]
	return c.Load.InFlight() < c.Limit && !c.Load.BackedOff(r.Now) && !r.Tried.Has(c.Target.ID)
}

// Scan returns the first usable candidate of the span, beginning at a random
// one, or None. It is the way out when drawing keeps meeting unusable ones.
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

// LeastBackedOff returns the candidate whose back-off ends first among those
// not tried and within the connection share, or None. It serves a request
// for which no usable candidate is left.
func (r Request) LeastBackedOff() int {
	best, until := None, int64(0)
	for i := range r.Set.Candidates {
		c := &r.Set.Candidates[i]
		if c.Load.InFlight() >= c.Limit || r.Tried.Has(c.Target.ID) {
			continue
		}
		if u := c.Load.Until(); best == None || u < until {
			best, until = i, u
		}
	}
	return best
}
