package slotshare

import (
	"github.com/clementinereel/clementinereel/balancer/leastload"
	"github.com/clementinereel/clementinereel/balancer/policy"
)

// Name selects the policy in settings.
const Name = "slot_share"

// Policy implements policy.Policy.
type Policy struct {
	rest leastload.Policy
}

// Choose takes a home target with a free home slot, or lets leastload choose.
func (p Policy) Choose(r policy.Request) int {
	homes := r.Set.Homes
	for k := range homes {
		i := homes[(int(r.Number)+k)%len(homes)]
		c := &r.Set.Candidates[i]
		if c.Load.InFlight() < c.Home && r.Usable(i) {
			return i
		}
	}
	return p.rest.Choose(r)
}
