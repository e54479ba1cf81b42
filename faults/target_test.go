package faults

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/emulator"
	"github.com/clementinereel/clementinereel/fleet"
)

// TestRetryStorm lets half of all work fail. What comes to the targets stays
// within the budget on top of first tries.
func TestRetryStorm(t *testing.T) {
	t.Parallel()
	f := New(t, Setup{Binaries: binaries})
	f.SetAll("price-catalogue", emulator.Behavior{ErrorPercent: 50})
	rep := run(t, f.Load(10*time.Second, lookups(f)))
	c := rep.Class(fleet.Lookup)
	budget := f.Route(fleet.Lookup).Retry.BudgetPercent
	allowed := c.Operations * (100 + budget) / 100
	// Each instance may start with a few retries in hand.
	allowed += 10 * len(f.Instances)
	work := f.Work("price-catalogue")
	assert.Assert(t, work <= allowed, "%d operations made %d tries, allowed %d", c.Operations, work, allowed)
}

// TestCutBetweenInstanceAndTarget drops, for one instance only, what a target
// answers, then what it is sent. Promises hold.
func TestCutBetweenInstanceAndTarget(t *testing.T) {
	t.Parallel()
	for _, d := range []Direction{Requests, Answers} {
		t.Run(string(d), func(t *testing.T) {
			t.Parallel()
			f := New(t, Setup{Binaries: binaries, TargetLinks: true})
			streams := mix(f)
			for n := range streams {
				streams[n].Timeout = 5 * time.Second
			}
			rep := runBeside(t, f.Load(longLoad, streams), func() {
				time.Sleep(time.Second)
				for _, svc := range f.Contract.Services {
					f.Targets[svc.Name][0].Callers.From(f.Instances[0]).Cut(d)
				}
				time.Sleep(4 * time.Second)
			})
			assertPromises(t, rep)
		})
	}
}
