package instance

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/outlier"
	"github.com/clementinereel/clementinereel/telemetry"
	"github.com/clementinereel/clementinereel/upstream"
)

// tickInterval is the time between two runs of every system.
const tickInterval = 50 * time.Millisecond

// run runs the systems until the context ends.
func (i *Instance) run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			i.tick(ctx, now)
		}
	}
}

// tick runs every system once.
func (i *Instance) tick(ctx context.Context, now time.Time) {
	m := i.followMembers()
	i.allowances.Table().SetView(i.limiterView())
	for _, out := range i.services.Tick(now, m.forBalancer) {
		i.report(ctx, out)
	}
	i.judgeReady(now)
}

// report writes down what a service's detector found.
func (i *Instance) report(_ context.Context, out upstream.Output) {
	for _, e := range out.Events {
		i.logEvent(out.Service, e)
	}
}

func (i *Instance) logEvent(svc *upstream.Service, e outlier.Event) {
	klog.InfoS("target changed", "instance", i.self.Instance, "service", svc.ID,
		"target", e.Target, "from", e.Before.Phase.String(), "to", e.After.Phase.String(),
		"reason", e.After.Reason.String(), "scope", e.After.Scope.String(), "given_back", e.After.GivenBack)
	i.metrics.Counter("target_changes",
		telemetry.Label{Key: "service", Value: string(svc.ID)},
		telemetry.Label{Key: "to", Value: e.After.Phase.String()}).Inc(1)
}
