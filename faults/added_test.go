package faults

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/load"
)

// addedTime is how long each rate is measured.
const addedTime = 8 * time.Second

// TestAddedLatency prints what two instances add to the latency of lookups.
// The variable ADDED_LATENCY names the rates, in lookups a second over both
// ways together, with commas between. docs/MEASUREMENTS.md uses it.
func TestAddedLatency(t *testing.T) {
	rates := os.Getenv("ADDED_LATENCY")
	if rates == "" {
		t.Skip("ADDED_LATENCY is not set")
	}
	f := New(t, Setup{Binaries: binaries, Instances: 2, NoLinks: true, Edit: roomy})
	for _, s := range strings.Split(rates, ",") {
		rate, err := strconv.ParseFloat(s, 64)
		assert.NilError(t, err)
		o := f.Load(addedTime, []load.Stream{f.Stream(fleet.Lookup, rate)})
		o.Route = load.Both
		measureAdded(t, rate, run(t, o))
	}
}

// roomy gives a contract more than one machine can use.
func roomy(c *contract.Contract) {
	c.Limits = contract.Limits{Rate: 50_000, Burst: 10_000}
	for k := range c.Routes {
		c.Routes[k].Limits = contract.Limits{Rate: 50_000, Burst: 10_000}
	}
	for k := range c.Services {
		c.Services[k].Slots = 64
	}
}

func measureAdded(t *testing.T, rate float64, rep *load.Report) {
	avg, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		avg = []byte("unknown")
	}
	for _, c := range rep.Classes {
		t.Logf("%.0f/s %-6s operations %d not sent %d whole %d p50 %.2f p99 %.2f ms", rate, c.Route,
			c.Operations, c.NotSent, c.Ended[load.Whole], c.Latency.P50, c.Latency.P99)
	}
	for _, a := range rep.Added {
		t.Logf("%.0f/s added p50 %.2f ms (x %.2f) p99 %.2f ms (x %.2f), load average %s", rate,
			a.AddedP50, a.RatioP50, a.AddedP99, a.RatioP99, strings.TrimSpace(string(avg)))
	}
}
