package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// This file checks what a tenant is granted that sends more than its quota for longer than the window.

// steadyStart is how long after the first request a steady load is measured, or the scenario begins.
var steadyStart = 2 * simBounds.Window

// TestSteadyLoadUsesTheWindow answers a tenant at three times its quota for many windows: of what the bound allows in
// a window, it is granted all but the part of the margin that is kept for failures.
func TestSteadyLoadUsesTheWindow(t *testing.T) {
	for _, c := range []struct {
		limit Limit
		least float64
	}{{Limit{445, 445}, 0.9}, {simLimits[0], 0.88}, {simLimits[1], 0.74}} {
		t.Run(fmt.Sprint(c.limit), func(t *testing.T) {
			t.Parallel()
			f := newSimFleet(1, simZones[36], c.limit)
			f.run(simTrafficStart, 0, nil, func(time.Duration) {})
			f.run(steadyStart, 3*c.limit.Rate, f.anyInstance, func(time.Duration) {})
			before := len(f.grants)
			f.run(simLength, 3*c.limit.Rate, f.anyInstance, func(time.Duration) {})
			windows := simLength.Seconds() / f.bounds.Window.Seconds()
			share := float64(len(f.grants)-before) / windows / f.bounds.most(c.limit)
			t.Logf("%.3f of the bound granted", share)
			assert.Assert(t, share >= c.least)
			assert.Assert(t, float64(f.most()) <= f.bounds.most(c.limit))
		})
	}
}

// TestFleetStaysWithinQuotaInSteadyLoad has the scenarios after a load far beyond the limit has lasted for more than a
// window, so that the window is used when instances fail.
func TestFleetStaysWithinQuotaInSteadyLoad(t *testing.T) {
	count, n := uint64(1), 36
	if *fleetSeeds > 0 {
		count, n = *fleetSeeds, *fleetSize
	}
	for _, sc := range scenarios {
		for seed := *firstSeed; seed < *firstSeed+count; seed++ {
			l := simLimits[seed%uint64(len(simLimits))]
			t.Run(fmt.Sprintf("%d/%s/%d", n, sc.name, seed), func(t *testing.T) {
				t.Parallel()
				f := newSimFleet(seed, simZones[n], l)
				f.run(simTrafficStart, 0, nil, func(time.Duration) {})
				f.run(steadyStart, l.Rate*30, f.anyInstance, func(time.Duration) {})
				f.run(simLength, l.Rate*30, f.anyInstance, func(at time.Duration) { sc.at(f, at) })
				most := f.bounds.most(l)
				t.Logf("%.2f of the margin used", 1-(most-float64(f.most()))/f.bounds.margin(l))
				assert.Assert(t, float64(f.most()) <= most, "%d granted within %v, at most %.0f", f.most(), f.bounds.Window, most)
			})
		}
	}
}
