package slotshare

import (
	"github.com/clementinereel/clementinereel/balancer/leastload"
	"github.com/clementinereel/clementinereel/balancer/policy"
)

// Name selects the policy in settings.
const Name = "slot_share"

// Policy implements policy.Policy.
type Policy struct {
	fallback leastload.Policy
}

// Choose returns a target with a free home slot, or the choice of leastload
// if there is none.
func (p Policy) Choose(r policy.Request) int {
	homes := r.Set.Homes
	for k := range homes {
		i := homes[(int(r.Number)+k)%len(homes)]
		c := &r.Set.Candidates[i]
		if c.Load.InFlight() < c.HomeSlots && r.Usable(i) {
			return i
		}
	}
	return p.fallback.Choose(r)
}
