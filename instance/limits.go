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
	server := allowance.NewServer(i.limitsOf, i.limiterView, time.Now)
	i.allowances = allowance.NewClient(allowance.Config{
		Self:    i.self,
		Source:  i.limitsOf,
		Limiter: i.limiterOf,
		HTTP:    i.transport.Client(),
		Local:   server,
		Clock:   time.Now,
		Metrics: i.metrics.Metrics(),
	})
	i.peers.Handle(server.Handler())
}

// limitsOf returns a customer's limits in force.
func (i *Instance) limitsOf(c fleet.CustomerID) (ratelimit.Limits, bool) {
	v := i.view.Load()
	if v == nil || v.Contracts[c] == nil {
		return nil, false
	}
	return ratelimit.LimitsOf(&v.Contracts[c].Contract), true
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
