package leastload

import "github.com/clementinereel/clementinereel/balancer/policy"

// Name selects the policy in settings.
const Name = "least_load"

// Policy implements policy.Policy.
type Policy struct{}

// Numbers of the request's random draws.
const (
	drawZone = iota + 16
	drawFirst
	drawSecond
	drawScan
)

// Choose looks in the own zone first for LocalShare of the requests, and
// elsewhere when nothing there is usable. A request that was already turned
// away by a target looks everywhere.
func (Policy) Choose(r policy.Request) int {
	if r.Set.Local > 0 && r.Tried.Len() == 0 && r.Rand(drawZone) < r.Set.LocalShare {
		if i := best(r, r.Set.Own()); i != policy.None {
			return i
		}
	}
	return best(r, r.Set.All())
}

func best(r policy.Request, in policy.Span) int {
	a := r.Set.Draw(in, r.Rand(drawFirst))
	b := r.Set.Draw(in, r.Rand(drawSecond))
	usableA, usableB := r.Usable(a), r.Usable(b)
	switch {
	case usableA && usableB:
		return lighter(r.Set, a, b)
	case usableA:
		return a
	case usableB:
		return b
	}
	return r.Scan(in, r.Rand(drawScan))
}

func lighter(s *policy.Set, a, b int) int {
	if s.Candidates[b].Load.InFlight() < s.Candidates[a].Load.InFlight() {
		return b
	}
	return a
}
