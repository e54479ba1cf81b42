package gateway

import (
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/suspicion"
)

const (
	// maxPendingEvidence limits the observations queued for the next heartbeat.
	maxPendingEvidence = 40
	// initialResponseKB is the assumed response size until responses have been seen.
	initialResponseKB = 4
	// minCutDuration and maxCutDuration limit how long a path is avoided after a connection
	// failed to open. The time doubles with each consecutive failure.
	minCutDuration = 2 * time.Second
	maxCutDuration = 8 * time.Second
	// cutCorrelationWindow is the time within which failed paths to different targets are
	// attributed to this instance.
	cutCorrelationWindow = 4 * time.Second
)

// RecordResponseSize records the size of a response for placement.
func (k *Knowledge) RecordResponseSize(name document.ServiceName, bytes int) {
	const minWeight = 0.03
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.service(name)
	s.responses++
	weight := max(minWeight, 1/float64(s.responses+1)) // the initial size counts as one response
	s.meanResponseKB += weight * (float64(bytes)/1024 - s.meanResponseKB)
}

// Observe records the result of an attempt of this instance.
func (k *Knowledge) Observe(now time.Time, name document.ServiceName, id fleet.TargetID, o suspicion.Observation, began time.Time, took time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := mesh.Evidence{Service: name, Target: id, Observation: o, DurationMillis: took.Milliseconds()}
	p := pendingEvidence{e, began}
	if o == suspicion.Unreachable && k.avoidPath(now, id) {
		// Paths to several targets fail at once: the fault is on this instance's side and must
		// not be sent to others as evidence against the targets.
		k.holdUnreachable(now, p)
		return
	}
	if k.predatesRestart(id, began) {
		return
	}
	k.observe(now, e, began, sourceSelf)
	k.countSuccess(e, began)
	if o == suspicion.Success {
		k.target(id).cutDuration = 0
	}
	if o == suspicion.Unreachable || o == suspicion.ConnRefused {
		k.holdUnreachable(now, p)
		return
	}
	if o == suspicion.Success {
		k.releaseUnreachable(now)
	}
	k.addPending(p)
}

// addPending queues an observation for the other instances.
func (k *Knowledge) addPending(p pendingEvidence) {
	if len(k.pending) < maxPendingEvidence {
		k.pending = append(k.pending, p)
	}
}

// heldEvidence is an observation that a target is unreachable, which is evidence against the target only
// if this instance reaches others.
type heldEvidence struct {
	pendingEvidence
	at time.Time
	// several is set if other targets were unreachable too.
	several bool
}

// holdUnreachable keeps the observation until the next success at any target.
func (k *Knowledge) holdUnreachable(now time.Time, p pendingEvidence) {
	several := k.held != nil && now.Sub(k.held.at) < cutCorrelationWindow && (k.held.several || k.held.Target != p.Target)
	k.held = &heldEvidence{p, now, several}
}

// releaseUnreachable queues the held observation, unless several targets were unreachable: then the fault
// was on this instance's side.
func (k *Knowledge) releaseUnreachable(now time.Time) {
	held := k.held
	k.held = nil
	if held != nil && !held.several && now.Sub(held.at) < cutCorrelationWindow {
		k.addPending(held.pendingEvidence)
	}
}

// avoidPath avoids the path to a target for some time. It reports whether the path to another
// target failed recently.
func (k *Knowledge) avoidPath(now time.Time, id fleet.TargetID) (others bool) {
	t := k.target(id)
	others = k.lastCut.id != "" && k.lastCut.id != id && now.Sub(k.lastCut.at) < cutCorrelationWindow
	k.lastCut.id, k.lastCut.at = id, now
	t.cutDuration = min(max(2*t.cutDuration, minCutDuration), maxCutDuration)
	t.cutUntil = now.Add(t.cutDuration)
	eventlog.Info(eventlog.PathAvoided, "target", id, "avoid_ms", t.cutDuration.Milliseconds(), "others", others)
	return others
}

// sourceSelf is the source of this instance's own observations.
const sourceSelf = "self"

// sourceOperator is the source of changes made by an operator.
const sourceOperator = "operator"

func (k *Knowledge) observe(now time.Time, e mesh.Evidence, began time.Time, from string) {
	if k.predatesRestart(e.Target, began) {
		return
	}
	s := k.service(e.Service)
	before, after, change := k.updateEstimate(now, s, &e, began, from)
	if reachedTarget(e.Observation) {
		k.target(e.Target).lastUse = now
		k.target(e.Target).recordArrival(began)
	}
	if e.Observation == suspicion.Success {
		s.latency.add(millis(e.DurationMillis))
	}
	switch change {
	case suspicion.BecameSuspected:
		r := s.estimator.Rates()
		eventlog.Info(eventlog.TargetSuspected, "target", e.Target, "service", e.Service, "by", from, "evidence", e.Observation,
			"age_ms", now.Sub(began).Milliseconds(), "sick_before", eventlog.Fraction(before), "sick", eventlog.Fraction(after), "sound_fails", eventlog.Fraction(r.HealthyFailureRate), "bout_ms", r.UnhealthyPeriod.Milliseconds())
	case suspicion.BecameCleared:
		eventlog.Info(eventlog.TargetCleared, "target", e.Target, "service", e.Service, "by", from, "evidence", e.Observation,
			"age_ms", now.Sub(began).Milliseconds(), "sick_before", eventlog.Fraction(before), "sick", eventlog.Fraction(after))
	}
}

// predatesRestart reports whether an attempt that began at the given time ran on a process that
// has since been replaced. A peer may still make such attempts for the fraction of a second in
// which the change propagates.
func (k *Knowledge) predatesRestart(id fleet.TargetID, began time.Time) bool {
	t := k.targets[id]
	return t != nil && began.Before(t.restartedAt)
}

// updateEstimate applies the evidence to the target's health estimate.
func (k *Knowledge) updateEstimate(now time.Time, s *service, e *mesh.Evidence, began time.Time, from string) (before, after float64, c suspicion.Change) {
	if e.Observation != suspicion.IdleReset {
		return s.estimator.Observe(now, e.Target, e.Observation, began)
	}
	idle := millis(e.DurationMillis)
	weight := 1.0
	if from != sourceSelf {
		weight = 1 / float64(max(k.instanceCount.recent.value(), 1))
	}
	targetFails := s.estimator.QuickFailureProbability(now, e.Target)
	before, after, c = s.estimator.ObserveIdleReset(now, e.Target, s.reuse.staleProbability(idle))
	s.reuse.recordBreak(now, idle, targetFails, weight)
	k.target(e.Target).reuse.tighten(now, idle)
	return before, after, c
}

// RecordReuse records a successful exchange on a connection that had been idle.
func (k *Knowledge) RecordReuse(now time.Time, name document.ServiceName, idle time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.service(name).reuse.recordSuccess(now, idle)
}

// LatencyBounds returns the bounds on the durations of the service's good attempts.
func (k *Knowledge) LatencyBounds(name document.ServiceName) latencyBounds {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.service(name).latency.current()
}
