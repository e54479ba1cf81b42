package faults

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/emulator"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/load"
)

// quiet is how long a target must get no work to count as left alone.
const quiet = 3 * time.Second

// waitQuiet waits until no work comes to a target any more.
func waitQuiet(t *testing.T, target *Target) {
	t.Helper()
	last, since := target.Stats().Work, time.Now()
	Eventually(t, func() error {
		if n := target.Stats().Work; n != last {
			last, since = n, time.Now()
		}
		if time.Since(since) < quiet {
			return errors.Errorf("%s still gets work: %d", target.ID, last)
		}
		return nil
	})
}

// TestLeavingTargetGetsNoNewWork announces that a target leaves while one
// instance cannot reach the log. No instance gives the target new work after
// seconds, and the running work finishes.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f := New(t, Setup{Binaries: binaries, Target: emulator.Options{Service: emulator.ServiceTime{Mean: 5e6}}})
	leaving := f.Targets["price-catalogue"][0]
	rep := runBeside(t, f.Load(longLoad, mix(f)), func() {
		Eventually(t, func() error {
			if leaving.Stats().Work == 0 {
				return errors.New("no work yet")
			}
			return nil
		})
		f.Instances[0].LogLink.CutBoth()
		leaving.Announce(fleet.Leaving)
		waitQuiet(t, leaving)
	})
	assertPromises(t, rep)
	// Confirmations at the instance without the log may be refused as not
	// run: their claims go through the log.
	for _, class := range []fleet.Class{fleet.Lookup, fleet.Upload} {
		c := rep.Class(class)
		assert.Equal(t, c.Ended[load.Whole], c.Operations, "%v: %+v", class, c.Answers)
	}
	c := rep.Class(fleet.Confirmation)
	assert.Equal(t, c.Ended[load.Whole]+c.Ended[load.NotRun], c.Operations, "%+v", c.Answers)
	assert.Equal(t, leaving.Stats().Canceled, 0)
}
