package faults

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/load"
)

// TestFreshInstanceStartsWhileTheLogIsDown takes the log away for good; an
// instance that starts then takes the configuration from its peers.
func TestFreshInstanceStartsWhileTheLogIsDown(t *testing.T) {
	t.Parallel()
	for _, outage := range []LogOutage{LogRefuses, LogHangs} {
		t.Run(string(outage), func(t *testing.T) {
			t.Parallel()
			f := New(t, Setup{Binaries: binaries})
			f.SetLog(outage)
			fresh := f.AddInstance(len(f.Instances))
			fresh.WaitReady()
			assertWhole(t, run(t, f.Load(time.Second, lookups(f), fresh)))
			assertWhole(t, run(t, f.Load(time.Second, lookups(f))))
		})
	}
}

// TestInstanceCutFromTheLogFollowsItsPeers publishes a contract that one
// instance can learn of from its peers only.
func TestInstanceCutFromTheLogFollowsItsPeers(t *testing.T) {
	t.Parallel()
	f := New(t, Setup{Binaries: binaries})
	cut := f.Instances[0]
	cut.LogLink.CutBoth()
	f.Contract.Hosts = append(f.Contract.Hosts, "second.daugava.example")
	f.PublishContract()
	o := f.Load(200*time.Millisecond, lookups(f), cut)
	o.Host = "second.daugava.example"
	Eventually(t, func() error {
		c := run(t, o).Class(fleet.Lookup)
		if c.Ended[load.Whole] != c.Operations {
			return errors.Errorf("answers: %v", c.Answers)
		}
		return nil
	})
}
