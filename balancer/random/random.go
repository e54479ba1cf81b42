package random

import "github.com/clementinereel/clementinereel/balancer/policy"

// Name selects the policy in settings.
const Name = "random"

// Policy implements policy.Policy.
type Policy struct{}

// maxDraws bounds the draws by weight before Choose scans for a usable
// candidate.
const maxDraws = 4

// Choose draws among all candidates.
func (Policy) Choose(r policy.Request) int {
	all := r.Set.All()
	for k := uint64(1); k <= maxDraws; k++ {
		if i := r.Set.Draw(all, r.Rand(k)); r.Usable(i) {
			return i
		}
	}
	return r.Scan(all, r.Rand(0))
}
