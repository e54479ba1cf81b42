package instance

import (
	"time"

	"k8s.io/klog/v2"
)

// isolationTimeout is how long an instance that hears neither the log nor any
// peer stays ready. Beyond it a contract change may be in force elsewhere, and
// the balancer does better to use other instances. An instance that never had
// a peer stays ready: there is nobody else.
const isolationTimeout = 8 * time.Second

// judgeReady decides whether the balancer should send requests here.
func (i *Instance) judgeReady(now time.Time) {
	ready := !i.stopping.Load() && i.follower.Next() > 0 && !i.isolated(now) && i.operationsOpen(now)
	if i.ready.Swap(ready) == ready {
		return
	}
	i.gossip.SetReady(ready)
	klog.InfoS("readiness changed", "instance", i.self.Instance, "ready", ready)
}

// operationsWait is how long a fresh instance puts off being ready until it
// can run confirmations. Beyond it lookups and uploads are worth more.
const operationsWait = 10 * time.Second

// operationsOpen tells whether confirmations need hold readiness back no more.
func (i *Instance) operationsOpen(now time.Time) bool {
	return i.operations.Ready() || i.ready.Load() || now.Sub(i.started) > operationsWait
}

// isolated tells whether the instance has been cut off for too long.
func (i *Instance) isolated(now time.Time) bool {
	if len(i.members.Load().view.Members) > 1 {
		i.hadPeers = true
	}
	contact := i.follower.Contact()
	if peer := i.gossip.View().LastContact; peer.After(contact) {
		contact = peer
	}
	return i.hadPeers && now.Sub(contact) > isolationTimeout
}
