package instance

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/follow"
	"github.com/clementinereel/clementinereel/publication"
	"github.com/clementinereel/clementinereel/rendezvous"
)

// checkpointRole names the role that appends checkpoints of the configuration.
const checkpointRole = "config/checkpoint"

// followConfiguration sets up the follower of the configuration stream.
func (i *Instance) followConfiguration() {
	i.follower = follow.New(follow.Options{
		Log:        i.platform,
		Peers:      follow.NewRemotePeers(i.transport.Client(), i.gossip.View),
		Tail:       i.tails,
		Checkpoint: func() bool { return i.holdsRole(checkpointRole) },
		OnChange:   i.apply,
		Registry:   i.metrics.Metrics(),
		Settings:   follow.Settings{Retention: i.cfg.Platform.Retention.D()},
	})
	i.peers.Handle(i.follower.Handler())
}

// In a fleet of more than tailAll instances only the first tailers of the
// role read the log; the others are told by peers.
const (
	tailRole = "config/tail"
	tailAll  = 64
	tailers  = 16
)

// tails tells whether this instance reads the log itself.
func (i *Instance) tails() bool {
	m := i.members.Load()
	if len(m.view.Members) <= tailAll {
		return true
	}
	return slices.Contains(m.roles.Ranked(tailRole, tailers), i.self.Instance)
}

// holdsRole tells whether this instance holds a role, as far as it knows.
func (i *Instance) holdsRole(name string) bool {
	owner, ok := rendezvous.Owner(name, i.gossip.View().Members)
	return ok && owner == i.self.Instance
}

// apply takes a new state into force.
func (i *Instance) apply(v *publication.View) {
	before := i.view.Swap(v)
	i.services.Update(time.Now(), v, i.members.Load().forBalancer)
	i.routes.Store(i.routes.Load().Update(v))
	i.reloadLimits(before, v)
	i.gossip.SetOffset(int64(v.Next))
	klog.InfoS("configuration in force", "instance", i.self.Instance, "next", v.Next,
		"contracts", len(v.Contracts), "services", len(i.services.All()))
}
