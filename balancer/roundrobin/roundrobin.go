package roundrobin

import "github.com/clementinereel/clementinereel/balancer/policy"

// Name selects the policy in settings.
const Name = "round_robin"

// Policy implements policy.Policy.
type Policy struct{}

// Choose returns the next candidate in rotation, or the first usable one
// after it. The seed determines the start position of an instance.
func (Policy) Choose(r policy.Request) int {
	n := uint64(len(r.Set.Candidates))
	for k := range n {
		i := int((r.Seed%n + r.Number + k) % n)
		if r.Usable(i) {
			return i
		}
	}
	return policy.None
}
