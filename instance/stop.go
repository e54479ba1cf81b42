package instance

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// sealWait bounds the hand-over of operations.
const sealWait = 10 * time.Second

// peerStopWait bounds the wait for peers' calls at the end of a stop.
const peerStopWait = 2 * time.Second

// Stop ends the instance without cutting a request. It takes new requests
// until the balancer has noticed that the instance is not ready, and the
// systems run until the last request is answered.
func (i *Instance) Stop() {
	start := time.Now()
	klog.InfoS("stopping", "instance", i.self.Instance)
	i.stopping.Store(true)
	i.gossip.Leave()
	time.Sleep(i.cfg.Stop.BalancerWait.D())
	i.finishRequests()
	i.sealOperations()
	i.cancel()
	i.systems.Wait()
	i.evidence.Close()
	i.operations.Close()
	i.closePeers()
	_ = i.admin.Close()
	i.pool.Close()
	klog.InfoS("stopped", "instance", i.self.Instance, "took", time.Since(start).Round(time.Millisecond))
}

// finishRequests stops accepting callers and waits for running requests.
func (i *Instance) finishRequests() {
	ctx, cancel := context.WithTimeout(context.Background(), i.cfg.Stop.InFlightWait.D())
	defer cancel()
	if err := i.callers.Shutdown(ctx); err != nil {
		klog.ErrorS(err, "requests cut", "instance", i.self.Instance)
	}
}

// sealOperations waits for outcomes to reach the log and hands tickets over.
func (i *Instance) sealOperations() {
	ctx, cancel := context.WithTimeout(context.Background(), sealWait)
	defer cancel()
	if err := i.operations.Seal(ctx); err != nil {
		klog.ErrorS(err, "operations not handed over whole", "instance", i.self.Instance)
	}
}

// closePeers lets the peers' running calls end.
func (i *Instance) closePeers() {
	ctx, cancel := context.WithTimeout(context.Background(), peerStopWait)
	defer cancel()
	if err := i.peers.Shutdown(ctx); err != nil {
		_ = i.peers.Close()
	}
}
