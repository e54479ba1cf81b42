package instance

import (
	"context"
	"time"
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
			i.tick(now)
		}
	}
}

// warmInterval is the time between two rounds of opening connections ahead
// of use.
const warmInterval = 250 * time.Millisecond

// warm keeps connections to targets open ahead of use.
func (i *Instance) warm(ctx context.Context) {
	t := time.NewTicker(warmInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			i.pool.Warm(ctx)
		}
	}
}

// tick runs every system once.
func (i *Instance) tick(now time.Time) {
	m := i.followMembers()
	i.allowances.Table().SetView(i.limiterView())
	i.evidence.Tick(now)
	i.services.Tick(now, m.forBalancer)
	i.operations.Tick(now)
	i.judgeReady(now)
}
