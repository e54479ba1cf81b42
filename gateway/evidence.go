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
	// evidenceMost bounds the observations that wait for the next heartbeat.
	evidenceMost = 40
	// guessedAnswerKB is taken for an answer's size until some came.
	guessedAnswerKB = 4
	// cutFirst and cutMost bound how long a path is avoided after a connection
	// did not come about; the time doubles with each failure in a row.
	cutFirst = 2 * time.Second
	cutMost  = 8 * time.Second
	// cutTogether is the time within which cut paths to different targets are
	// put down to this instance.
	cutTogether = 4 * time.Second
)

// Answered records the length of an answer, which placement weighs.
func (k *Knowledge) Answered(name document.ServiceName, bytes int) {
	const leastWeight = 0.03
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.service(name)
	s.answers++
	weight := max(leastWeight, 1/float64(s.answers+1)) // the first guess counts as one
	s.answerKB += weight * (float64(bytes)/1024 - s.answerKB)
}

// Observe takes in what an attempt of this instance said of its target.
func (k *Knowledge) Observe(now time.Time, name document.ServiceName, id fleet.TargetID, o suspicion.Observation, began time.Time, took time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := mesh.Evidence{Service: name, Target: id, Observation: o, DurationMillis: took.Milliseconds()}
	if o == suspicion.Unreachable && k.cut(now, id) {
		// Several targets at once: the fault is on this instance's side, and says
		// nothing of them to others.
		return
	}
	if k.ofEarlierProcess(id, began) {
		return
	}
	k.observe(now, e, began, fromSelf)
	k.tally(e, began)
	if o == suspicion.Success {
		k.target(id).cutFor = 0
	}
	if len(k.pending) < evidenceMost {
		k.pending = append(k.pending, gathered{e, began})
	}
}

// cut avoids the path to a target for a while. It tells whether the path to another
// target was found cut lately.
func (k *Knowledge) cut(now time.Time, id fleet.TargetID) (others bool) {
	t := k.target(id)
	others = k.lastCut.id != "" && k.lastCut.id != id && now.Sub(k.lastCut.at) < cutTogether
	k.lastCut.id, k.lastCut.at = id, now
	t.cutFor = min(max(2*t.cutFor, cutFirst), cutMost)
	t.cutUntil = now.Add(t.cutFor)
	eventlog.Info(eventlog.PathCut, "target", id, "avoid_ms", t.cutFor.Milliseconds(), "others", others)
	return others
}

// fromSelf names this instance as the source of an observation.
const fromSelf = "self"

// fromOperator names an operator as the source of a change.
const fromOperator = "operator"

func (k *Knowledge) observe(now time.Time, e mesh.Evidence, began time.Time, from string) {
	if k.ofEarlierProcess(e.Target, began) {
		return
	}
	s := k.service(e.Service)
	before, after, change := k.estimate(now, s, &e, began, from)
	if arrived(e.Observation) {
		k.target(e.Target).lastUse = now
		k.target(e.Target).arrived(began)
	}
	if e.Observation == suspicion.Success {
		s.latency.add(millis(e.DurationMillis))
	}
	switch change {
	case suspicion.BecameSuspected:
		r := s.estimator.Rates()
		eventlog.Info(eventlog.TargetSuspected, "target", e.Target, "service", e.Service, "by", from, "evidence", e.Observation,
			"age_ms", now.Sub(began).Milliseconds(), "sick_before", eventlog.Share(before), "sick", eventlog.Share(after), "sound_fails", eventlog.Share(r.HealthyFailureRate), "bout_ms", r.UnhealthyPeriod.Milliseconds())
	case suspicion.BecameCleared:
		eventlog.Info(eventlog.TargetCleared, "target", e.Target, "service", e.Service, "by", from, "evidence", e.Observation,
			"age_ms", now.Sub(began).Milliseconds(), "sick_before", eventlog.Share(before), "sick", eventlog.Share(after))
	}
}

// ofEarlierProcess tells whether an attempt that began at the given time was made at a
// process that another has followed. A peer that does not know that yet may still make
// some for the fraction of a second in which a change spreads.
func (k *Knowledge) ofEarlierProcess(id fleet.TargetID, began time.Time) bool {
	t := k.targets[id]
	return t != nil && began.Before(t.restartedAt)
}

// estimate moves the estimate of the evidence's target.
func (k *Knowledge) estimate(now time.Time, s *service, e *mesh.Evidence, began time.Time, from string) (before, after float64, c suspicion.Change) {
	if e.Observation != suspicion.IdleReset {
		return s.estimator.Observe(now, e.Target, e.Observation, began)
	}
	idle := millis(e.DurationMillis)
	weight := 1.0
	if from != fromSelf {
		weight = 1 / float64(max(k.census.most.number(), 1))
	}
	targetFails := s.estimator.QuickFailureProbability(now, e.Target)
	before, after, c = s.estimator.ObserveIdleReset(now, e.Target, s.reuse.stale(idle))
	s.reuse.broke(now, idle, targetFails, weight)
	k.target(e.Target).reuse.after(now, idle)
	return before, after, c
}

// Rested records that a connection to the service carried an exchange after it was idle.
func (k *Knowledge) Rested(now time.Time, name document.ServiceName, idle time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.service(name).reuse.served(now, idle)
}

// Durations sums up how long good attempts at the service take.
func (k *Knowledge) Durations(name document.ServiceName) bounds {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.service(name).latency.known()
}
