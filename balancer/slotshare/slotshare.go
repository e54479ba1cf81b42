// Package slotshare uses the instance's own share of the service's slots
// first, and falls back on leastload when the share is in use.
//
// An instance that keeps at most its home slots busy at a target makes the
// number of requests there a sum of a few bounded counts; independent random
// choices of as many instances vary more, and collide more often.
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
