package suspicion

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
)

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(seconds(s)) }

func TestSingleFailureAfterIdlePeriodSuspects(t *testing.T) {
	e := New()
	e.Observe(at(0), "a", Success, at(0))
	_, after, c := e.Observe(at(10), "a", Failure, at(10))
	assert.Assert(t, after > 0.8, after)
	assert.Equal(t, c, BecameSuspected)
	assert.Assert(t, e.UnhealthyProbability(at(22), "a") < 0.4, "the estimate must recover with time")
}

func TestFailureAmongSuccessesWeighsLess(t *testing.T) {
	e := New()
	for n := range 20 {
		e.Observe(at(float64(n)/10), "a", Success, at(float64(n)/10))
	}
	_, after, _ := e.Observe(at(2), "a", Failure, at(2))
	assert.Assert(t, after < SuspectThreshold, after)
	_, after, _ = e.Observe(at(2.1), "a", Failure, at(2.1))
	assert.Assert(t, after > 0.9, after)
}

func TestSuccessStartedBeforeFailureDoesNotClear(t *testing.T) {
	e := New()
	_, afterFailure, _ := e.Observe(at(1), "a", Failure, at(0.9))
	_, after, _ := e.Observe(at(1.2), "a", Success, at(0.8))
	assert.Assert(t, afterFailure-after < 0.1)
	_, after, c := e.Observe(at(1.6), "a", Success, at(1.2))
	assert.Assert(t, afterFailure-after > 0.2)
	_, _, second := e.Observe(at(1.9), "a", Success, at(1.6))
	assert.Assert(t, c == BecameCleared || second == BecameCleared)
}

// TestRatesAreLearned checks that the learned rates approach those of a deployment that differs
// from the priors.
func TestRatesAreLearned(t *testing.T) {
	const unhealthyPeriod, healthyPeriod, unhealthyFailureRate, healthyFailureRate = 1.0, 40.0, 0.5, 0.03
	rng := rand.New(rand.NewPCG(1, 2))
	e := New()
	ids := []fleet.TargetID{"a", "b", "c", "d", "e", "f", "g", "h"}
	unhealthy := map[fleet.TargetID]bool{}
	now := 0.0
	for range 60000 {
		now += 0.01
		id := ids[rng.IntN(len(ids))]
		rate := 1 / healthyPeriod
		if unhealthy[id] {
			rate = 1 / unhealthyPeriod
		}
		if rng.Float64() < rate*0.01*float64(len(ids)) {
			unhealthy[id] = !unhealthy[id]
		}
		fails := healthyFailureRate
		if unhealthy[id] {
			fails = unhealthyFailureRate
		}
		o := Success
		if rng.Float64() < fails {
			o = Failure
		}
		e.Observe(at(now), id, o, at(now))
	}
	r := e.Rates()
	assert.Assert(t, r.HealthyFailureRate > 0.015 && r.HealthyFailureRate < 0.045, "%+v", r)
	assert.Assert(t, r.UnhealthyFailureRate > 0.3 && r.UnhealthyFailureRate < 0.8, "%+v", r)
	assert.Assert(t, r.UnhealthyPeriod > 300*time.Millisecond && r.UnhealthyPeriod < 3*time.Second, "%+v", r)
	assert.Assert(t, r.HealthyPeriod > 10*time.Second, "%+v", r)
}

// TestQuickFailuresWeighMoreThanSlowOnes learns from unhealthy targets that fail at once and healthy
// ones that fail after their work. A single failure then suspects a target only if it was quick.
func TestQuickFailuresWeighMoreThanSlowOnes(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	e := New()
	ids := []fleet.TargetID{"a", "b", "c", "d", "e", "f"}
	now := 0.0
	for range 4000 {
		now += 0.02
		i := rng.IntN(len(ids))
		unhealthy := int(now/4)%len(ids) == i
		o := Success
		switch {
		case unhealthy && rng.Float64() < 0.8:
			o = QuickFailure
		case rng.Float64() < 0.012:
			o = Failure
		}
		e.Observe(at(now), ids[i], o, at(now))
	}
	for n := range 4 {
		e.Observe(at(now+float64(n)), "g", Success, at(now+float64(n)))
		e.Observe(at(now+float64(n)), "h", Success, at(now+float64(n)))
	}
	_, slow, _ := e.Observe(at(now+5), "g", Failure, at(now+5))
	_, quick, _ := e.Observe(at(now+5), "h", QuickFailure, at(now+5))
	assert.Assert(t, slow < SuspectThreshold, "after a slow failure: %.3f, %+v", slow, e.Rates())
	assert.Assert(t, quick > 0.9, "after a quick failure: %.3f, %+v", quick, e.Rates())
}

// TestIdleResetWeightDependsOnStaleRate: a reset of an idle connection is strong evidence against the
// target where idle connections are rarely stale, and weak evidence where they often are.
func TestIdleResetWeightDependsOnStaleRate(t *testing.T) {
	after := func(stale float64) float64 {
		e := New()
		e.Observe(at(0), "a", Success, at(0))
		_, after, _ := e.ObserveIdleReset(at(2), "a", stale)
		return after
	}
	assert.Assert(t, after(0.005) > SuspectThreshold, "%v", after(0.005))
	assert.Assert(t, after(0.3) < ClearThreshold, "%v", after(0.3))
}

// TestAdoptOnlyUnobservedTargets: a new instance adopts the estimates of others, except for targets
// that it has observed itself.
func TestAdoptOnlyUnobservedTargets(t *testing.T) {
	other, fresh := New(), New()
	other.Observe(at(0), "a", Failure, at(0))
	fresh.Observe(at(1), "b", Success, at(1))
	other.Observe(at(0), "b", Failure, at(0))
	other.Each(at(1), func(id fleet.TargetID, unhealthy float64) { fresh.Adopt(at(1), id, unhealthy) })
	assert.Equal(t, fresh.UnhealthyProbability(at(1), "a"), other.UnhealthyProbability(at(1), "a"))
	assert.Assert(t, fresh.UnhealthyProbability(at(1), "b") < ClearThreshold)
	assert.Equal(t, fresh.SuspectedCount(), 1)
}

// TestOngoingUnhealthyPeriodsDoNotSkewLearnedLength guards against a learned length of unhealthy
// periods that grows with the number of targets. Unhealthy targets get few requests, so that the end of
// a period is seen late. When the time between failures counted at once, the learned length rose from
// 7 s to 33 s within 9 s among 193 targets, of which three in ten were unhealthy for some 3 s at a time,
// and to 94 s among 358. Healthy targets then stayed unused, which delayed the detection of further ends.
//
// Each target gets 2.8 attempts a second until it is suspected, and three failures at that time, from
// instances that have not yet heard of each other's failures.
func TestOngoingUnhealthyPeriodsDoNotSkewLearnedLength(t *testing.T) {
	for _, targets := range []int{193, 358, 1124} { // per service, in fleets of 134, 293 and 920 instances
		r := ratesAfterSimulation(targets)
		assert.Assert(t, r.UnhealthyPeriod < 8*time.Second, "%d targets: %+v", targets, r)
		assert.Assert(t, r.HealthyPeriod < 4*seconds(healthyPeriodSeconds), "%d targets: %+v", targets, r)
	}
}

// healthyPeriodSeconds is the mean healthy period in ratesAfterSimulation.
const healthyPeriodSeconds = 7.0

// ratesAfterSimulation returns the rates learned from 8 s of simulated attempts.
func ratesAfterSimulation(targets int) Rates {
	const (
		unhealthyPeriod = 3.0
		perSecond       = 2.8
		step            = 0.02
	)
	rng := rand.New(rand.NewPCG(5, 6))
	e := New()
	unhealthy := make([]bool, targets)
	for now := 0.0; now < 8; now += step {
		for i := range unhealthy {
			id := fleet.TargetID(fmt.Sprint("t", i))
			rate := 1 / healthyPeriodSeconds
			if unhealthy[i] {
				rate = 1 / unhealthyPeriod
			}
			if rng.Float64() < rate*step {
				unhealthy[i] = !unhealthy[i]
			}
			if e.UnhealthyProbability(at(now), id) >= SuspectThreshold || rng.Float64() >= perSecond*step {
				continue
			}
			if !unhealthy[i] {
				e.Observe(at(now), id, Success, at(now))
				continue
			}
			for n := range 3 {
				e.Observe(at(now+0.1*float64(n)), id, QuickFailure, at(now))
			}
		}
	}
	return e.Rates()
}
