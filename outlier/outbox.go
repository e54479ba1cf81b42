package outlier

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// sentCounts are one target's counts in the current report session.
type sentCounts struct {
	counts Counts
	// changed means that counts differ from those in the last report; firstSeq
	// is the first report with the current counts.
	changed  bool
	firstSeq uint64
}

// outbox schedules a detector's reports and tracks their acknowledgement.
type outbox struct {
	to      fleet.InstanceID
	session int64
	seq     uint64
	acked   uint64
	last    time.Time
	routine time.Duration
	// urgent and changed describe the counts added since the last report.
	urgent, changed bool
	median          time.Duration
	samples         uint32
}

func (o *outbox) add(s *targetState, c Counts) {
	s.sent.counts = s.sent.counts.plus(c)
	s.sent.changed = true
	o.changed = true
	o.urgent = o.urgent || c.urgent()
}

// due reports whether a report should be sent now.
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

// ReportTo sets the instance that reports are sent to. A change starts a new
// session, since the new aggregator has none of the old one's counts.
func (d *Detector) ReportTo(aggregator fleet.InstanceID) {
	if d.out.to == aggregator {
		return
	}
	d.out = outbox{
		to: aggregator, routine: d.out.routine,
		median: d.out.median, samples: d.out.samples, last: d.out.last,
	}
	for _, s := range d.targets {
		s.sent = sentCounts{}
	}
}

// SetRoutine extends the interval between reports without urgent counts beyond
// RoutineInterval, for instances that have many services.
func (d *Detector) SetRoutine(interval time.Duration) { d.out.routine = interval }

// report returns the report to send to the aggregator now, or nil.
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
	for _, s := range d.targets {
		if s.sent.changed {
			s.sent.changed = false
			s.sent.firstSeq = o.seq
		}
		if s.sent.firstSeq > o.acked {
			r.Targets = append(r.Targets, TargetCounts{Target: s.target.ID, Counts: s.sent.counts})
		}
	}
	return r
}
