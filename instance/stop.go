package instance

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// stop ends the instance without cutting a request.
func (i *Instance) stop() {
	start := time.Now()
	i.ready.Store(false)
	klog.InfoS("stopping", "instance", i.cfg.Instance, "step", "not-ready")
	time.Sleep(i.cfg.Stop.BalancerWait.D())
	ctx, cancel := context.WithTimeout(context.Background(), i.cfg.Stop.InFlightWait.D())
	defer cancel()
	if err := i.callers.Shutdown(ctx); err != nil {
		klog.ErrorS(err, "requests cut", "instance", i.cfg.Instance)
	}
	klog.InfoS("stopped", "instance", i.cfg.Instance, "took", time.Since(start).Round(time.Millisecond))
}
