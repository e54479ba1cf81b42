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

// tick runs every system once.
func (i *Instance) tick(now time.Time) {
	m := i.followMembers()
	i.allowances.Table().SetView(i.limiterView())
	i.evidence.Tick(now)
	i.services.Tick(now, m.forBalancer)
	i.operations.Tick(now)
	i.judgeReady(now)
}
