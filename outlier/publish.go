package outlier

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// ApplyVerdicts applies the verdicts of an aggregator. Verdicts older than others
// of the same aggregator are ignored, so they may be delayed, duplicated or lost.
func (d *Detector) ApplyVerdicts(now time.Time, v Verdicts) {
	d.out.acknowledge(v)
	if v.Median > 0 {
		d.pooledMedian = v.Median
	}
	if v.FailureRate > 0 && v.SlowRate > 0 {
		d.judge.pooled = [channels]float64{failure: v.FailureRate, slowness: v.SlowRate}
		d.pooledAt = now
	}
	h := d.received[v.From]
	if h != nil && v.Number < h.verdicts.Number {
		return
	}
	if h == nil && len(v.Entries) == 0 {
		return
	}
	d.received[v.From] = &receivedVerdicts{at: now, verdicts: v}
	d.active = true
}

// mergeVerdicts determines the strictest verdict on each target, advanced by the
// time since it was received, and removes aggregators whose verdicts expired.
func (d *Detector) mergeVerdicts(now time.Time) {
	if len(d.received) == 0 {
		return
	}
	for _, s := range d.targets {
		s.pooled, s.ejectedElsewhere = nil, false
	}
	for from, h := range d.received {
		if !d.merge(now, h) {
			delete(d.received, from)
		}
	}
}

// merge applies one aggregator's verdicts and reports whether any is in force.
func (d *Detector) merge(now time.Time, h *receivedVerdicts) bool {
	holds := false
	for _, v := range h.verdicts.Entries {
		w, over := v.after(d.cfg, now.Sub(h.at))
		if over {
			continue
		}
		holds = true
		i, known := d.judge.index[v.Target]
		if !known {
			continue
		}
		if v.Zone != "" && v.Zone != d.zone {
			d.targets[i].ejectedElsewhere = d.targets[i].ejectedElsewhere || w.Phase == Ejected || w.Phase == Trial
			continue
		}
		d.targets[i].applyVerdict(w, now, d.cfg)
	}
	return holds
}

// applyVerdict applies a verdict that covers this instance.
func (s *targetState) applyVerdict(v Verdict, now time.Time, cfg Config) {
	switch v.Phase {
	case Warming:
		s.coldAt = later(s.coldAt, now.Add(v.Remaining-cfg.SlowStart))
	case Draining:
		s.drainingAt = later(s.drainingAt, now.Add(v.Remaining-drainTTL))
	default:
		if s.pooled == nil || stricter(v, *s.pooled) {
			s.pooled = &v
		}
	}
}

// stricter orders verdicts on one target independently of their arrival order.
func stricter(v, w Verdict) bool {
	switch {
	case v.Phase != w.Phase:
		return v.Phase < w.Phase
	case (v.Zone == "") != (w.Zone == ""):
		return v.Zone == ""
	case v.Remaining != w.Remaining:
		return v.Remaining > w.Remaining
	case v.Score != w.Score:
		return v.Score > w.Score
	}
	return v.Reason > w.Reason
}

// publish builds the next snapshot and returns the changes.
func (d *Detector) publish(now time.Time) []Event {
	entries := make([]*entry, len(d.targets))
	joined := 0
	for i, s := range d.targets {
		entries[i] = d.entry(s, now)
		if s.target.State == fleet.Joined {
			joined++
		}
	}
	enforceFloor(entries, minFullTargets(d.cfg.FloorPercent, joined))
	next := newSnapshot(entries)
	if next.equal(d.snapshot) {
		return nil
	}
	before := d.snapshot
	d.snapshot = next
	return d.changes(now, before, next)
}

// entry returns a target's entry before the floor is enforced.
func (d *Detector) entry(s *targetState, now time.Time) *entry {
	e := &entry{target: s.target, weight: 1, ejectedElsewhere: s.ejectedElsewhere}
	if s.target.State != fleet.Joined {
		e.weight = 0
		e.status.Phase = Gone
		return e
	}
	if d.warming(s, now) {
		e.cold = true
		e.weight = ramp(now.Sub(s.warmingSince()), d.cfg.SlowStart)
		e.status = Status{Phase: Warming, Until: s.warmingSince().Add(d.cfg.SlowStart)}
	}
	if !s.drainingAt.IsZero() && now.Sub(s.drainingAt) < drainTTL {
		e.draining = true
		e.weight = 0
		e.status = Status{Phase: Draining, Until: s.drainingAt.Add(drainTTL)}
		return e
	}
	s.drainingAt = time.Time{}
	d.applyEjections(e, s, now)
	return e
}

// applyEjections applies the stricter of the instance's own ejection and the
// verdict of an aggregator.
func (d *Detector) applyEjections(e *entry, s *targetState, now time.Time) {
	if s.pooled != nil {
		v := s.pooled
		scope := ScopeFleet
		if v.Zone != "" {
			scope = ScopeZone
		}
		st := Status{Phase: v.Phase, Scope: scope, Reason: v.Reason, Until: now.Add(v.Remaining)}
		d.lowerWeight(e, st, v.Score, now)
	}
	if s.ejection != nil {
		st := Status{Phase: s.ejection.phase, Scope: ScopeInstance, Reason: s.ejection.reason, Until: s.ejection.until}
		d.lowerWeight(e, st, int(s.ejection.score), now)
	}
}

func (d *Detector) lowerWeight(e *entry, st Status, score int, now time.Time) {
	w := 0.0
	switch st.Phase {
	case Trial:
		w = trialWeight
	case Returning:
		w = ramp(d.cfg.SlowStart-st.Until.Sub(now), d.cfg.SlowStart)
	}
	if w >= e.weight {
		return
	}
	e.weight, e.status, e.score = w, st, score
}

// changes returns the targets whose phase, scope or GivenBack changed.
func (d *Detector) changes(now time.Time, before, after *Snapshot) []Event {
	var events []Event
	for _, s := range d.targets {
		id := s.target.ID
		b, a := before.Status(id), after.Status(id)
		if before == nil {
			b = Status{}
		}
		if b.Phase == a.Phase && b.Scope == a.Scope && b.GivenBack == a.GivenBack {
			continue
		}
		events = append(events, Event{Time: now, Service: d.service, Target: id, Before: b, After: a})
	}
	return events
}
