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
			assert.Assert(t, steadyShare(t, c.limit) >= c.least)
		})
	}
}

// steadyShare returns which share of what the bound allows is granted in a long load of three times the quota.
func steadyShare(t *testing.T, l Limit) float64 {
	f := newSimFleet(1, simZones[36], l)
	f.run(simTrafficStart, 0, nil, func(time.Duration) {})
	f.run(steadyStart, 3*l.Rate, f.anyInstance, func(time.Duration) {})
	before := len(f.grants)
	f.run(simLength, 3*l.Rate, f.anyInstance, func(time.Duration) {})
	windows := simLength.Seconds() / f.bounds.Window.Seconds()
	share := float64(len(f.grants)-before) / windows / f.bounds.most(l)
	t.Logf("%.3f of the bound granted", share)
	assert.Assert(t, float64(f.most()) <= f.bounds.most(l))
	return share
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

// TestBurstAfterRestartsStaysWithinQuota: half of the instances restart, and their tokens are released at those that stand in.
// When they hold tokens again, a tenant with a burst of many windows of its rate sends all of it, after a time in which
// the new buckets fill and the released tokens have not expired.
func TestBurstAfterRestartsStaysWithinQuota(t *testing.T) {
	const downtime, beforeHolders, little, untilHolders = 500 * time.Millisecond, 8 * time.Second, 2 * time.Second, 600 * time.Millisecond
	for _, l := range []Limit{{10, 200}, {40, 400}} {
		for _, pause := range []time.Duration{5300 * time.Millisecond, 6500 * time.Millisecond} {
			for seed := range uint64(6) {
				t.Run(fmt.Sprint(l, pause, seed), func(t *testing.T) {
					t.Parallel()
					none := func(time.Duration) {}
					f := newSimFleet(seed, simZones[36], l)
					f.run(30*time.Second, 0, nil, none)
					someInstances(f, 0.5, func(i *simInstance) { f.kill(i, downtime) })
					f.run(beforeHolders, 0, nil, none)
					f.run(little, l.Rate, f.anyInstance, none)
					f.run(untilHolders+pause, 0, nil, none)
					f.run(6*time.Second, 30*l.Rate, f.anyInstance, none)
					most := f.bounds.most(l)
					assert.Assert(t, float64(f.most()) <= most, "%d granted within %v, at most %.0f", f.most(), f.bounds.Window, most)
				})
			}
		}
	}
}

// TestFullBucketGrantsEveryRank: below the quota no rank is refused for the sake of a more urgent one.
func TestFullBucketGrantsEveryRank(t *testing.T) {
	for _, capacity := range []float64{1, 1.5, 2, 5, 50} {
		b := bucket{tokens: capacity, updatedAt: testStart}
		for range 100 {
			b.demand.add(testStart, 0)
		}
		assert.Assert(t, b.takeRanked(testStart, Ranks-1, capacity, func() float64 { return 0.5 }), "capacity %v", capacity)
	}
}

// TestSteadyLoadUsesTheBound has what is promised to a tenant at three times its quota: 0.95 of what the bound allows.
func TestSteadyLoadUsesTheBound(t *testing.T) {
	for _, l := range []Limit{{445, 445}, simLimits[0], simLimits[1]} {
		t.Run(fmt.Sprint(l), func(t *testing.T) {
			t.Parallel()
			assert.Assert(t, steadyShare(t, l) >= 0.95)
		})
	}
}
