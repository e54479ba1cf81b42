package leastload

import "github.com/clementinereel/clementinereel/balancer/policy"

// Name selects the policy in settings.
const Name = "least_load"

// Policy implements policy.Policy.
type Policy struct{}

// Indexes of the request's random numbers, for Request.Rand.
const (
	drawZone = iota + 16
	drawFirst
	drawSecond
	drawScan
)

// Choose searches the instance's own zone first for a fraction LocalShare of
// the requests, and all zones when no target there is usable. A request that
// a target has already rejected searches all zones.
func (Policy) Choose(r policy.Request) int {
	if r.Set.LocalCount > 0 && r.Tried.Len() == 0 && r.Rand(drawZone) < r.Set.LocalShare {
		if i := chooseIn(r, r.Set.LocalSpan()); i != policy.None {
			return i
		}
	}
	return chooseIn(r, r.Set.All())
}

func chooseIn(r policy.Request, in policy.Span) int {
	a := r.Set.Draw(in, r.Rand(drawFirst))
	b := r.Set.Draw(in, r.Rand(drawSecond))
	usableA, usableB := r.Usable(a), r.Usable(b)
	switch {
	case usableA && usableB:
		return lessLoaded(r.Set, a, b)
	case usableA:
		return a
	case usableB:
		return b
	}
	return r.Scan(in, r.Rand(drawScan))
}

func lessLoaded(s *policy.Set, a, b int) int {
	if s.Candidates[b].Load.InFlight() < s.Candidates[a].Load.InFlight() {
		return b
	}
	return a
}
