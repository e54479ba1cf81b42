package instance

import (
	"context"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// tickInterval is the time between two runs of every system.
const tickInterval = 100 * time.Millisecond

// run runs the systems until the context ends.
func (i *Instance) run(ctx context.Context) {
	every(ctx, tickInterval, i.tick)
}

// every calls f at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			f(now)
		}
	}
}

// warmInterval is the time between two rounds of opening connections ahead
// of use.
const warmInterval = 250 * time.Millisecond

// warm keeps connections to targets open ahead of use.
func (i *Instance) warm(ctx context.Context) {
	every(ctx, warmInterval, func(time.Time) { i.pool.Warm(ctx) })
}

// tidyInterval is the time between two runs of what need not happen at every
// tick.
const tidyInterval = 2 * time.Second

// tidy forgets what is over and follows slow changes.
func (i *Instance) tidy(ctx context.Context) {
	every(ctx, tidyInterval, func(time.Time) {
		i.limiter.Tick()
		i.allowances.Forget(i.gone)
		i.services.Rebalance(i.shareOf)
	})
}

// gone tells whether an instance has left the fleet.
func (i *Instance) gone(id fleet.InstanceID) bool {
	_, ok := i.members.Load().view.Get(id)
	return !ok
}

// tick runs every system once.
func (i *Instance) tick(now time.Time) {
	m := i.followMembers()
	i.allowances.Table().SetView(i.limiterView())
	i.evidence.Tick(now)
	i.suspect.Update(int64(i.evidence.Suspect()))
	i.services.Tick(now, m.forBalancer)
	i.operations.Tick(now)
	i.judgeReady(now)
}
