package outlier

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// sentCounts are one target's counts in the report session under way.
type sentCounts struct {
	counts Counts
	// changed means that counts differ from what the last report said, and
	// in is the report that first said them.
	changed bool
	in      uint64
}

// outbox makes a detector's reports.
type outbox struct {
	to      fleet.InstanceID
	session int64
	seq     uint64
	acked   uint64
	last    time.Time
	routine time.Duration
	// urgent and changed tell what came up since the last report.
	urgent, changed bool
	median          time.Duration
	samples         uint32
}

func (o *outbox) add(s *seat, c Counts) {
	s.sent.counts = s.sent.counts.plus(c)
	s.sent.changed = true
	o.changed = true
	o.urgent = o.urgent || c.urgent()
}

// due tells whether a report is worth sending now.
func (o *outbox) due(now time.Time) bool {
	passed := now.Sub(o.last)
	switch {
	case o.urgent:
		return passed >= FlushInterval
	case o.changed, o.seq > o.acked:
		return passed >= max(o.routine, RoutineInterval)
	}
	return false
}

func (o *outbox) acknowledge(v Verdicts) {
	if v.Session == o.session && v.Ack <= o.seq {
		o.acked = max(o.acked, v.Ack)
	}
}

// ReportTo tells which instance the reports go to. A change begins a new
// session, since the new aggregator has none of the old one's counts.
func (d *Detector) ReportTo(aggregator fleet.InstanceID) {
	if d.out.to == aggregator {
		return
	}
	d.out = outbox{
		to: aggregator, routine: d.out.routine,
		median: d.out.median, samples: d.out.samples, last: d.out.last,
	}
	for _, s := range d.seats {
		s.sent = sentCounts{}
	}
}

// SetRoutine stretches the time between reports that carry nothing urgent
// beyond RoutineInterval, for instances that have many services.
func (d *Detector) SetRoutine(interval time.Duration) { d.out.routine = interval }

// report returns what the aggregator should hear now, or nil.
func (d *Detector) report(now time.Time) *Report {
	o := &d.out
	if !o.due(now) {
		return nil
	}
	if o.session == 0 {
		o.session = now.UnixNano()
	}
	o.seq++
	o.last = now
	o.urgent, o.changed = false, false
	r := &Report{
		Service: d.service, From: d.self, Zone: d.zone,
		Session: o.session, Seq: o.seq, Acked: o.acked,
		Suspect: d.suspect, Median: o.median, Samples: o.samples,
	}
	for _, s := range d.seats {
		if s.sent.changed {
			s.sent.changed = false
			s.sent.in = o.seq
		}
		if s.sent.in > o.acked {
			r.Targets = append(r.Targets, TargetCounts{Target: s.target.ID, Counts: s.sent.counts})
		}
	}
	return r
}
