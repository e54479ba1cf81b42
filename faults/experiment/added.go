package experiment

import (
	"testing"
	"time"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/emulator"
	"github.com/clementinereel/clementinereel/faults"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/load"
)

// Steps of the search for the capacity of the machine, in lookups a second.
const (
	firstRate = 500
	lastRate  = 64_000
	stepTime  = 3 * time.Second
	addedTime = 10 * time.Second
	// enough is the share of whole answers, and slow the latency at p99 in
	// milliseconds, that a rate within the capacity has to keep.
	enough = 0.995
	slow   = 100
)

// addedWork is the work of the targets whose latency is compared: short, with
// room to queue, so that targets are not what limits.
var addedWork = emulator.Options{
	Service: emulator.ServiceTime{Shape: emulator.Fixed, Mean: contract.Duration(time.Millisecond)},
	Queue:   1000,
}

// unlimited lifts the contract's limits beyond what the machine can do.
func unlimited(c *contract.Contract) {
	const rate = 1_000_000
	c.Limits = contract.Limits{Rate: rate}
	for n := range c.Routes {
		c.Routes[n].Limits = contract.Limits{Rate: rate}
		c.Routes[n].Hedge = nil
	}
}

// Added is what the fleet adds at half of the machine's capacity.
type Added struct {
	// Capacity is the highest rate of lookups a second that was served.
	Capacity float64
	Report   *load.Report
}

// MeasureAdded searches the capacity of the machine, which instances, targets
// and callers share, and compares lookups through the fleet with direct ones
// at half of it, in one run.
func MeasureAdded(t testing.TB, b *faults.Binaries, instances int) Added {
	t.Helper()
	f := faults.New(t, faults.Setup{
		Binaries: b, Instances: instances, NoLinks: true, Edit: unlimited,
		Target: addedWork, Targets: map[string]int{"price-catalogue": 10},
	})
	var a Added
	for rate := float64(firstRate); rate <= lastRate; rate *= 2 {
		c := lookups(t, f, rate, stepTime, load.ThroughFleet).Class(fleet.Lookup)
		share := float64(c.Ended[load.Whole]) / float64(max(1, c.Operations+c.NotSent))
		t.Logf("%.0f lookups/s: %.2f%% whole, p50 %.2f ms, p99 %.2f ms", rate, 100*share, c.Latency.P50, c.Latency.P99)
		if share < enough || c.Latency.P99 > slow {
			break
		}
		a.Capacity = rate
	}
	a.Report = lookups(t, f, max(a.Capacity, firstRate)/2, addedTime, load.Both)
	return a
}

func lookups(t testing.TB, f *faults.Fleet, rate float64, d time.Duration, way load.Route) *load.Report {
	t.Helper()
	s := f.Stream(fleet.Lookup, rate)
	o := f.Load(d, []load.Stream{s})
	o.Route = way
	o.Targets = nil
	for _, target := range f.Targets[f.Route(fleet.Lookup).Service] {
		o.Targets = append(o.Targets, target.URL())
	}
	return loadBeside(t, o, func() {})
}
