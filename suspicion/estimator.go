package suspicion

import (
	"math"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Observation is the outcome of an attempt, as evidence of the health of its target.
// Values are sent between instances.
type Observation uint8

const (
	// Success is a successful attempt.
	Success Observation = iota + 1
	// Failure is a failed request: a failure response, a reset, or a cut or forged response.
	Failure
	// Slow is an attempt that has been open for longer than nearly all others.
	Slow
	// Unreachable is a connection that could not be established.
	Unreachable
	// IdleReset is an immediate break of a connection that had been idle: the target may be
	// unhealthy, or may have dropped the connection.
	IdleReset
	// ConnRefused is a refused connection: no process listens.
	ConnRefused
	// WrongTarget is a response from another target at the address.
	WrongTarget
	// QuickFailure is a failure that came much sooner than a usual response. Failures of
	// healthy targets take as long as their work.
	QuickFailure
	// Stalled is an attempt that is still open long after it became Slow.
	Stalled
)

var observationNames = map[Observation]string{
	Success: "good", Failure: "bad", Slow: "slow", Unreachable: "unreachable", IdleReset: "rested-break",
	ConnRefused: "down", WrongTarget: "elsewhere", QuickFailure: "quick-failure", Stalled: "stalled",
}

// String returns the name of the observation in logs.
func (o Observation) String() string { return observationNames[o] }

// IsFailure reports whether the observation is Failure or QuickFailure.
func (o Observation) IsFailure() bool { return o == Failure || o == QuickFailure }

// quickFailureRatio is the fraction of the usual duration below which a failure is quick.
const quickFailureRatio = 0.15

// ClassifyFailure returns the observation for a failure after the duration took, at a service whose
// requests usually take the duration usual.
func ClassifyFailure(took, usual time.Duration) Observation {
	if float64(took) < quickFailureRatio*float64(usual) {
		return QuickFailure
	}
	return Failure
}

// Priors of the learned rates. The pseudo counts are small, so that some tens of
// observations outweigh them.
const (
	priorUnhealthyFailureRate = 0.8
	priorUnhealthyAttempts    = 20
	priorHealthyFailureRate   = 0.015
	priorHealthyAttempts      = 200
	priorUnhealthyQuickShare  = 0.3
	priorHealthyQuickShare    = 0.15
	priorUnhealthySlowRate    = 0.3
	priorHealthySlowRate      = 0.04
	// Shares of slow attempts that stall.
	priorUnhealthyStalledShare = 0.9
	priorHealthyStalledShare   = 0.15
	priorUnhealthyPeriod       = 7 * time.Second
	priorHealthyPeriod         = 35 * time.Second
	priorPeriods               = 4
)

// Likelihood ratios, unhealthy to healthy, of observations whose rates are not learned.
const (
	// unreachableRatio is low since single instances lose the path to healthy targets too.
	unreachableRatio = 3
	// absentTargetRatio applies where the target's process does not listen at its address: a
	// running target neither refuses connections nor lets another one respond.
	absentTargetRatio = 500
)

// Thresholds and bounds of the estimates and the learned rates.
const (
	// SuspectThreshold is the probability from which a target counts as unhealthy.
	SuspectThreshold = 0.5
	// ClearThreshold is the probability below which it counts as healthy again.
	ClearThreshold = 0.25
	// minConfirmingFailures is the number of failures that make a suspicion an unhealthy period:
	// a single failure more often comes from a healthy target.
	minConfirmingFailures = 2
	// maxObservationGap bounds the time between two observations that counts for the learned
	// periods: the target's state during a longer gap is unknown.
	maxObservationGap = 4 * time.Second
	// minEstimate and maxEstimate bound the estimate, so that it still responds to the next
	// observation after a long run of equal ones.
	maxEstimate = 0.98
	minEstimate = 0.003
)

// target is the state of one target. Times are zero until the first observation of their kind.
type target struct {
	// unhealthy is the probability that the target is unhealthy, as of updatedAt.
	unhealthy float64
	updatedAt time.Time
	// lastFailure is the time of the latest observation other than Success.
	lastFailure time.Time
	lastSuccess time.Time
	suspected   bool
	failures    int // since the estimate was last below ClearThreshold
	// unhealthySeconds is the sum of the times between these failures.
	unhealthySeconds float64
}

// Estimator holds the estimates of one service's targets. It is not safe for concurrent use.
type Estimator struct {
	targets map[fleet.TargetID]*target

	// Attempts at unhealthy and at healthy targets, and how many of them failed or were slow.
	// An attempt counts for both, weighted by the target's estimate. All start with the priors.
	unhealthyFailures, unhealthySlow, unhealthyAttempts float64
	healthyFailures, healthySlow, healthyAttempts       float64
	// unhealthyQuick and healthyQuick are how many of the failures were quick.
	unhealthyQuick, healthyQuick float64
	// unhealthyStalled and healthyStalled are how many of the slow attempts stalled.
	unhealthyStalled, healthyStalled float64
	// unhealthySeconds is the time between failures of unhealthy periods that ended, healthySeconds
	// that between successes; recoveries and onsets count the unhealthy periods that ended and began.
	unhealthySeconds, recoveries float64
	healthySeconds, onsets       float64
	recentSlow                   movingShare
	recentFailures               movingShare
}

// New returns an estimator without observations.
func New() *Estimator {
	return &Estimator{
		targets:           make(map[fleet.TargetID]*target),
		unhealthyFailures: priorUnhealthyFailureRate * priorUnhealthyAttempts,
		unhealthyAttempts: priorUnhealthyAttempts,
		healthyFailures:   priorHealthyFailureRate * priorHealthyAttempts,
		healthyAttempts:   priorHealthyAttempts,
		unhealthyQuick:    priorUnhealthyQuickShare * priorUnhealthyFailureRate * priorUnhealthyAttempts,
		healthyQuick:      priorHealthyQuickShare * priorHealthyFailureRate * priorHealthyAttempts,
		unhealthySlow:     priorUnhealthySlowRate * priorUnhealthyAttempts,
		healthySlow:       priorHealthySlowRate * priorHealthyAttempts,
		unhealthyStalled:  priorUnhealthyStalledShare * priorUnhealthySlowRate * priorUnhealthyAttempts,
		healthyStalled:    priorHealthyStalledShare * priorHealthySlowRate * priorHealthyAttempts,
		unhealthySeconds:  priorUnhealthyPeriod.Seconds() * priorPeriods,
		recoveries:        priorPeriods,
		healthySeconds:    priorHealthyPeriod.Seconds() * priorPeriods,
		onsets:            priorPeriods,
	}
}

// Rates are the learned parameters of the model.
type Rates struct {
	// Shares of attempts that fail.
	UnhealthyFailureRate, HealthyFailureRate float64
	// Shares of failures that are quick.
	UnhealthyQuickShare, HealthyQuickShare float64
	// Shares of attempts that are slow.
	UnhealthySlowRate, HealthySlowRate float64
	// Shares of slow attempts that stall.
	UnhealthyStalledShare, HealthyStalledShare float64
	// Mean lengths of unhealthy and healthy periods.
	UnhealthyPeriod, HealthyPeriod time.Duration
}

// Rates returns the parameters as learned so far.
func (e *Estimator) Rates() Rates {
	return Rates{
		UnhealthyFailureRate: e.unhealthyFailures / e.unhealthyAttempts,
		HealthyFailureRate:   e.healthyFailures / e.healthyAttempts,
		UnhealthyQuickShare:  e.unhealthyQuick / e.unhealthyFailures,
		HealthyQuickShare:    e.healthyQuick / e.healthyFailures,
		UnhealthySlowRate:    e.unhealthySlow / e.unhealthyAttempts,
		HealthySlowRate:      e.healthySlow / e.healthyAttempts,

		UnhealthyStalledShare: e.unhealthyStalled / e.unhealthySlow,
		HealthyStalledShare:   e.healthyStalled / e.healthySlow,

		UnhealthyPeriod: seconds(e.unhealthySeconds / e.recoveries),
		HealthyPeriod:   seconds(e.healthySeconds / e.onsets),
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// movingShare is an exponential moving average of the share of a service's attempts that have
// some property.
type movingShare struct {
	share float64
	at    time.Time
}

const movingShareTimeConstant = 2 * time.Second

// add records an observation; matches reports whether it has the property. Its weight grows with
// the time since the previous one, so that the average does not depend on the request rate.
func (r *movingShare) add(now time.Time, o Observation, matches bool) {
	if o != Success && !o.IsFailure() && o != Slow && o != Stalled {
		return
	}
	x := 0.0
	if matches {
		x = 1
	}
	weight := 1 - math.Exp(-max(now.Sub(r.at).Seconds(), 0.02)/movingShareTimeConstant.Seconds())
	r.share += weight * (x - r.share)
	r.at = now
}

// RecentFailureRate returns the share of the service's attempts that failed within about the last
// 2 s.
func (e *Estimator) RecentFailureRate() float64 { return e.recentFailures.share }

// Change is the effect of an observation on the suspected state of a target.
type Change uint8

const (
	// Unchanged means that no threshold was passed.
	Unchanged Change = iota
	// BecameSuspected means that the target counts as unhealthy from now on.
	BecameSuspected
	// BecameCleared means that the target counts as healthy again.
	BecameCleared
)

// Observe records an observation of an attempt that began at the given time. It returns the
// probability that the target is unhealthy, before and after.
func (e *Estimator) Observe(now time.Time, id fleet.TargetID, o Observation, began time.Time) (before, after float64, c Change) {
	t := e.target(now, id)
	e.decay(now, t)
	e.recentSlow.add(now, o, o == Slow)
	e.recentFailures.add(now, o, o.IsFailure() || o == Stalled)
	e.learnSlow(t, o)
	return e.update(now, t, o, e.likelihoodRatio(t, o, began))
}

// ObserveIdleReset records an IdleReset, where stale is the share of connections idle for as long
// that are stale. The lower that share is, the stronger the evidence against the target.
func (e *Estimator) ObserveIdleReset(now time.Time, id fleet.TargetID, stale float64) (before, after float64, c Change) {
	t := e.target(now, id)
	e.decay(now, t)
	unhealthy, healthy := e.unhealthyQuick/e.unhealthyAttempts, e.healthyQuick/e.healthyAttempts
	return e.update(now, t, IdleReset, (stale+(1-stale)*unhealthy)/(stale+(1-stale)*healthy))
}

// update applies the likelihood ratio of an observation to the target's estimate.
func (e *Estimator) update(now time.Time, t *target, o Observation, ratio float64) (before, after float64, c Change) {
	before = t.unhealthy
	t.unhealthy = posterior(t.unhealthy, ratio)
	e.learnFailures(t, o)
	e.learnDurations(now, t, o)
	return before, t.unhealthy, e.updateSuspected(now, t)
}

// posterior returns an estimate after evidence with the given likelihood ratio, unhealthy to healthy.
func posterior(unhealthy, ratio float64) float64 {
	odds := unhealthy / (1 - unhealthy) * ratio
	return min(max(odds/(1+odds), minEstimate), maxEstimate)
}

func (e *Estimator) target(now time.Time, id fleet.TargetID) *target {
	t := e.targets[id]
	if t == nil {
		t = &target{unhealthy: e.longRunUnhealthy(), updatedAt: now}
		e.targets[id] = t
	}
	return t
}

// likelihoodRatio returns the likelihood ratio of the observation, unhealthy to healthy.
func (e *Estimator) likelihoodRatio(t *target, o Observation, began time.Time) float64 {
	r := e.Rates()
	switch o {
	case Success:
		if began.Before(t.lastFailure) {
			// The attempt began before the latest failure and is no evidence of
			// the target's health since.
			return 1
		}
		return (1 - r.UnhealthyFailureRate) / (1 - r.HealthyFailureRate)
	case Failure:
		return r.UnhealthyFailureRate * (1 - r.UnhealthyQuickShare) / (r.HealthyFailureRate * (1 - r.HealthyQuickShare))
	case QuickFailure:
		return r.UnhealthyFailureRate * r.UnhealthyQuickShare / (r.HealthyFailureRate * r.HealthyQuickShare)
	case Slow:
		// While the whole service is slow, slowness is no evidence against single targets.
		return max(r.UnhealthySlowRate/max(r.HealthySlowRate, e.recentSlow.share), 1)
	case Stalled:
		return max(r.UnhealthyStalledShare/max(r.HealthyStalledShare, e.recentSlow.share), 1)
	case Unreachable:
		return unreachableRatio
	case ConnRefused, WrongTarget:
		return absentTargetRatio
	}
	return 1
}

// learnFailures counts a stalled attempt as a failure: most of them are never answered.
func (e *Estimator) learnFailures(t *target, o Observation) {
	if o != Success && !o.IsFailure() && o != Stalled {
		return
	}
	failed := 0.0
	if o != Success {
		failed = 1
	}
	if o == QuickFailure {
		e.unhealthyQuick += t.unhealthy
		e.healthyQuick += 1 - t.unhealthy
	}
	e.unhealthyAttempts += t.unhealthy
	e.unhealthyFailures += t.unhealthy * failed
	e.healthyAttempts += 1 - t.unhealthy
	e.healthyFailures += (1 - t.unhealthy) * failed
}

// learnSlow weights by the estimate from before the observation, so that slowness does not
// reinforce its own association with unhealthy targets.
func (e *Estimator) learnSlow(t *target, o Observation) {
	switch o {
	case Slow:
		e.unhealthySlow += t.unhealthy
		e.healthySlow += 1 - t.unhealthy
	case Stalled:
		e.unhealthyStalled += t.unhealthy
		e.healthyStalled += 1 - t.unhealthy
	}
}

// learnDurations adds the time since the previous observation of the same kind to the time in
// unhealthy or in healthy periods. The state between a success and a failure is unknown.
func (e *Estimator) learnDurations(now time.Time, t *target, o Observation) {
	switch o {
	case Success:
		if gap := now.Sub(t.lastSuccess); gap < maxObservationGap && !t.lastFailure.After(t.lastSuccess) {
			e.healthySeconds += gap.Seconds()
		}
		t.lastSuccess = now
		return
	case Failure, QuickFailure:
		if gap := now.Sub(t.lastFailure); t.suspected && t.failures > 0 && gap < maxObservationGap {
			t.unhealthySeconds += gap.Seconds()
		}
		t.failures++
		if t.failures == minConfirmingFailures {
			e.onsets++
		}
	}
	t.lastFailure = now
}

// updateSuspected updates the suspected state. It counts a confirmed unhealthy period and its length
// together at the period's end: unhealthy targets get few requests, so that ends are seen late, and
// counting periods that are not over yet would lengthen the learned mean, the more targets there are.
func (e *Estimator) updateSuspected(now time.Time, t *target) Change {
	switch {
	case !t.suspected && t.unhealthy >= SuspectThreshold:
		t.suspected = true
		return BecameSuspected
	case !t.suspected && t.unhealthy < ClearThreshold:
		t.failures, t.unhealthySeconds = 0, 0
	case t.suspected && t.unhealthy < ClearThreshold:
		if t.failures >= minConfirmingFailures {
			e.recoveries++
			e.unhealthySeconds += t.unhealthySeconds + min(now.Sub(t.lastFailure), maxObservationGap).Seconds()/2
		}
		t.suspected, t.failures, t.unhealthySeconds = false, 0, 0
		return BecameCleared
	}
	return Unchanged
}

// longRunUnhealthy returns the share of time for which a target is unhealthy.
func (e *Estimator) longRunUnhealthy() float64 {
	unhealthy, healthy := e.unhealthySeconds/e.recoveries, e.healthySeconds/e.onsets
	return unhealthy / (unhealthy + healthy)
}

// decay updates the estimate for the time since the last update.
func (e *Estimator) decay(now time.Time, t *target) {
	dt := now.Sub(t.updatedAt).Seconds()
	if dt <= 0 {
		return
	}
	t.unhealthy = e.decayed(t.unhealthy, dt)
	t.updatedAt = now
}

// decayed returns an estimate after dt seconds without observations.
func (e *Estimator) decayed(unhealthy, dt float64) float64 {
	rate := e.recoveries/e.unhealthySeconds + e.onsets/e.healthySeconds
	longRun := e.longRunUnhealthy()
	return longRun + (unhealthy-longRun)*math.Exp(-rate*dt)
}

// Each calls f with each target that has an estimate, and the probability that it is unhealthy.
func (e *Estimator) Each(now time.Time, f func(id fleet.TargetID, unhealthy float64)) {
	for id, t := range e.targets {
		f(id, e.decayed(t.unhealthy, max(now.Sub(t.updatedAt).Seconds(), 0)))
	}
}

// Adopt sets the estimate of a target to that of another instance if the target has none here, and
// reports whether it did.
func (e *Estimator) Adopt(now time.Time, id fleet.TargetID, unhealthy float64) bool {
	if e.targets[id] != nil {
		return false
	}
	t := &target{unhealthy: min(max(unhealthy, minEstimate), maxEstimate), updatedAt: now}
	t.suspected = t.unhealthy >= SuspectThreshold
	e.targets[id] = t
	return true
}

// UnhealthyProbability returns the probability that the target is unhealthy. Without observations
// of the target, it is the long-run share.
func (e *Estimator) UnhealthyProbability(now time.Time, id fleet.TargetID) float64 {
	t := e.targets[id]
	if t == nil {
		return e.longRunUnhealthy()
	}
	return e.decayed(t.unhealthy, max(now.Sub(t.updatedAt).Seconds(), 0))
}

// minOpenShare bounds the evidence of an attempt that is open, which is no more than that of a slow one.
const minOpenShare = 0.1

// Probabilities returns the probabilities that the target is unhealthy and that an attempt at it fails, where
// the latest attempt has been open for so long that only openShare of the attempts at healthy targets still
// would be; 1 if none is open. How much that weighs depends on how often attempts at unhealthy targets hang:
// where they fail at once, an open one is no evidence.
func (e *Estimator) Probabilities(now time.Time, id fleet.TargetID, openShare float64) (unhealthy, failure float64) {
	failureRate, hangRate := e.unhealthyFailures/e.unhealthyAttempts, e.unhealthyStalled/e.unhealthyAttempts
	ratio := (hangRate + (1-failureRate)*openShare) / max(openShare, minOpenShare)
	unhealthy = posterior(e.UnhealthyProbability(now, id), max(ratio, 1))
	return unhealthy, unhealthy*failureRate + (1-unhealthy)*e.healthyFailures/e.healthyAttempts
}

// QuickFailureProbability returns the probability that an attempt at the target is a QuickFailure.
func (e *Estimator) QuickFailureProbability(now time.Time, id fleet.TargetID) float64 {
	unhealthy := e.UnhealthyProbability(now, id)
	return unhealthy*e.unhealthyQuick/e.unhealthyAttempts + (1-unhealthy)*e.healthyQuick/e.healthyAttempts
}

// SuspectedCount returns the number of targets that count as unhealthy.
func (e *Estimator) SuspectedCount() int {
	n := 0
	for _, t := range e.targets {
		if t.suspected {
			n++
		}
	}
	return n
}

// Prune removes the targets for which keep returns false.
func (e *Estimator) Prune(keep func(fleet.TargetID) bool) {
	for id := range e.targets {
		if !keep(id) {
			delete(e.targets, id)
		}
	}
}
