package outlier

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// ApplyVerdicts takes in what an aggregator says. Verdicts that are older
// than others of the same aggregator are ignored, so they may come late,
// twice or never.
func (d *Detector) ApplyVerdicts(now time.Time, v Verdicts) {
	d.out.acknowledge(v)
	if v.Median > 0 {
		d.pooledMedian = v.Median
	}
	if v.FailureRate > 0 && v.SlowRate > 0 {
		d.judge.pooled = [channels]float64{failure: v.FailureRate, slowness: v.SlowRate}
		d.pooledAt = now
	}
	h := d.held[v.From]
	if h != nil && v.Number < h.verdicts.Number {
		return
	}
	if h == nil && len(v.Entries) == 0 {
		return
	}
	d.held[v.From] = &heldVerdicts{at: now, verdicts: v}
	d.active = true
}

// joinVerdicts finds the strictest verdict on each target, moved on by the
// time since it was heard, and forgets aggregators whose verdicts ran out.
func (d *Detector) joinVerdicts(now time.Time) {
	if len(d.held) == 0 {
		return
	}
	for _, s := range d.seats {
		s.pooled, s.elsewhere = nil, false
	}
	for from, h := range d.held {
		if !d.join(now, h) {
			delete(d.held, from)
		}
	}
}

// join applies one aggregator's verdicts and tells whether any still holds.
func (d *Detector) join(now time.Time, h *heldVerdicts) bool {
	holds := false
	for _, v := range h.verdicts.Entries {
		w, over := v.run(d.cfg, now.Sub(h.at))
		if over {
			continue
		}
		holds = true
		i, known := d.judge.index[v.Target]
		if !known {
			continue
		}
		if v.Zone != "" && v.Zone != d.zone {
			d.seats[i].elsewhere = d.seats[i].elsewhere || w.Phase == Ejected || w.Phase == Trial
			continue
		}
		d.seats[i].hear(w, now, d.cfg)
	}
	return holds
}

// hear takes a verdict that holds for the instance.
func (s *seat) hear(v Verdict, now time.Time, cfg Config) {
	switch v.Phase {
	case Warming:
		s.coldAt = later(s.coldAt, now.Add(v.Remaining-cfg.SlowStart))
	case Draining:
		s.drainingAt = later(s.drainingAt, now.Add(v.Remaining-drainHold))
	default:
		if s.pooled == nil || stricter(v, *s.pooled) {
			s.pooled = &v
		}
	}
}

// stricter orders verdicts on one target whatever order they came in.
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

// publish makes the next snapshot and returns what changed.
func (d *Detector) publish(now time.Time) []Event {
	entries := make([]*entry, len(d.seats))
	joined := 0
	for i, s := range d.seats {
		entries[i] = d.entry(s, now)
		if s.target.State == fleet.Joined {
			joined++
		}
	}
	holdFloor(entries, need(d.cfg.FloorPercent, joined))
	next := publish(entries)
	if next.equal(d.snapshot) {
		return nil
	}
	before := d.snapshot
	d.snapshot = next
	return d.changes(now, before, next)
}

// entry is a target's place before the floor is held.
func (d *Detector) entry(s *seat, now time.Time) *entry {
	e := &entry{target: s.target, weight: 1, elsewhere: s.elsewhere}
	if s.target.State != fleet.Joined {
		e.weight = 0
		e.status.Phase = Gone
		return e
	}
	if d.warming(s, now) {
		e.cold = true
		e.weight = ramp(now.Sub(s.warmFrom()), d.cfg.SlowStart)
		e.status = Status{Phase: Warming, Until: s.warmFrom().Add(d.cfg.SlowStart)}
	}
	if !s.drainingAt.IsZero() && now.Sub(s.drainingAt) < drainHold {
		e.draining = true
		e.weight = 0
		e.status = Status{Phase: Draining, Until: s.drainingAt.Add(drainHold)}
		return e
	}
	s.drainingAt = time.Time{}
	d.setAside(e, s, now)
	return e
}

// setAside applies the stricter of the instance's own ejection and the
// verdict of an aggregator.
func (d *Detector) setAside(e *entry, s *seat, now time.Time) {
	if s.pooled != nil {
		v := s.pooled
		scope := ScopeFleet
		if v.Zone != "" {
			scope = ScopeZone
		}
		st := Status{Phase: v.Phase, Scope: scope, Reason: v.Reason, Until: now.Add(v.Remaining)}
		d.lower(e, st, v.Score, now)
	}
	if s.stay != nil {
		st := Status{Phase: s.stay.phase, Scope: ScopeInstance, Reason: s.stay.reason, Until: s.stay.until}
		d.lower(e, st, int(s.stay.score), now)
	}
}

func (d *Detector) lower(e *entry, st Status, score int, now time.Time) {
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

// changes lists the targets whose phase, scope or share by the floor changed.
func (d *Detector) changes(now time.Time, before, after *Snapshot) []Event {
	var events []Event
	for _, s := range d.seats {
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
