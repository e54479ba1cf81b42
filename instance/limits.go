package instance

import (
	"time"

	"github.com/clementinereel/clementinereel/allowance"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/publication"
	"github.com/clementinereel/clementinereel/ratelimit"
)

// shareLimits sets up the customers' limits over the fleet.
func (i *Instance) shareLimits() {
	i.limiter = allowance.NewServer(i.limitsOf, i.limiterView, time.Now)
	i.allowances = allowance.NewClient(allowance.Config{
		Self:    i.self,
		Source:  i.limitsOf,
		Limiter: i.limiterOf,
		HTTP:    i.transport.Client(),
		Local:   i.limiter,
		Clock:   time.Now,
		Metrics: i.metrics.Metrics(),
	})
	i.peers.Handle(i.limiter.Handler())
}

// limitsOf returns a customer's limits in force.
func (i *Instance) limitsOf(c fleet.CustomerID) (ratelimit.Limits, bool) {
	v := i.view.Load()
	if v == nil || v.Contracts[c] == nil {
		return nil, false
	}
	p := v.Contracts[c]
	if known, ok := i.limits.Load(c); ok && known.(*limitsInForce).of == p {
		return known.(*limitsInForce).limits, true
	}
	l := &limitsInForce{of: p, limits: ratelimit.LimitsOf(&p.Contract)}
	i.limits.Store(c, l)
	return l.limits, true
}

// limitsInForce are the limits of one published contract.
type limitsInForce struct {
	of     *publication.Published
	limits ratelimit.Limits
}

// shareOf tells which part of a service's requests of a class arrives here:
// that of the route where it is largest.
func (i *Instance) shareOf(id fleet.ServiceID, class fleet.Class) float64 {
	customer, name := id.Split()
	share := 0.0
	if p := i.view.Load().Contracts[customer]; p != nil {
		for k := range p.Contract.Routes {
			r := &p.Contract.Routes[k]
			if r.Service == name && r.Class == class {
				share = max(share, i.allowances.Table().Share(customer, ratelimit.RouteID(r.Name)))
			}
		}
	}
	return share
}

// limiterOf returns the instance that hands out a customer's allowances.
func (i *Instance) limiterOf(c fleet.CustomerID) (fleet.InstanceID, bool) {
	return i.members.Load().roles.Owner(allowance.Partition(c))
}

// limiterView is what this instance knows of the fleet. The platform's list
// counts instances that cannot be reached as well, so a part of the fleet that
// is cut off does not take itself for the whole.
func (i *Instance) limiterView() ratelimit.View {
	m := i.members.Load()
	return ratelimit.View{
		Listed:  max(len(i.gossip.Listed()), len(m.view.Members), 1),
		Reached: max(m.live, 1),
		Since:   m.since,
	}
}

// reloadLimits puts the limits of changed contracts in force.
func (i *Instance) reloadLimits(before, after *publication.View) {
	now := time.Now()
	for id, p := range after.Contracts {
		if before == nil || before.Contracts[id] != p {
			i.allowances.Table().Reload(now, id)
		}
	}
}
