package evidence

import (
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/outlier"
	"github.com/clementinereel/clementinereel/peer/peerv1"
)

var phases = map[outlier.Phase]peerv1.TargetPhase{
	outlier.Ejected:   peerv1.TargetPhase_TARGET_PHASE_EJECTED,
	outlier.Trial:     peerv1.TargetPhase_TARGET_PHASE_TRIAL,
	outlier.Returning: peerv1.TargetPhase_TARGET_PHASE_RETURNING,
	outlier.Warming:   peerv1.TargetPhase_TARGET_PHASE_WARMING,
	outlier.Draining:  peerv1.TargetPhase_TARGET_PHASE_DRAINING,
}

var reasons = map[outlier.Reason]peerv1.AccusationReason{
	outlier.ReasonNone:    peerv1.AccusationReason_ACCUSATION_REASON_UNSPECIFIED,
	outlier.ReasonFailing: peerv1.AccusationReason_ACCUSATION_REASON_FAILING,
	outlier.ReasonSlow:    peerv1.AccusationReason_ACCUSATION_REASON_SLOW,
}

func encodeReports(rs []outlier.Report) *peerv1.ReportRequest {
	m := &peerv1.ReportRequest{}
	for _, r := range rs {
		m.From, m.Zone = string(r.From), string(r.Zone)
		m.Reports = append(m.Reports, encodeReport(r))
	}
	return m
}

func encodeReport(r outlier.Report) *peerv1.ServiceReport {
	m := &peerv1.ServiceReport{
		Service: string(r.Service), Session: r.Session, Seq: r.Seq, Acked: r.Acked,
		Suspect: r.Suspect, MedianMicros: uint64(r.Median.Microseconds()), Samples: r.Samples,
	}
	for _, t := range r.Targets {
		m.Targets = append(m.Targets, &peerv1.TargetCounts{
			Target: string(t.Target),
			Good:   t.Counts.Good, Failed: t.Counts.Failed,
			Fast: t.Counts.Fast, Slow: t.Counts.Slow,
			Shed: t.Counts.Shed, Cold: t.Counts.Cold, Draining: t.Counts.Draining,
		})
	}
	return m
}

func decodeReports(m *peerv1.ReportRequest) ([]outlier.Report, error) {
	if m.From == "" {
		return nil, errors.New("report without a sender")
	}
	rs := make([]outlier.Report, 0, len(m.Reports))
	for _, r := range m.Reports {
		if r.Session <= 0 || r.Seq == 0 {
			return nil, errors.Errorf("report on %q without session or number", r.Service)
		}
		rs = append(rs, decodeReport(m, r))
	}
	return rs, nil
}

func decodeReport(m *peerv1.ReportRequest, r *peerv1.ServiceReport) outlier.Report {
	d := outlier.Report{
		Service: fleet.ServiceID(r.Service), From: fleet.InstanceID(m.From), Zone: fleet.Zone(m.Zone),
		Session: r.Session, Seq: r.Seq, Acked: r.Acked,
		Suspect: r.Suspect, Median: micros(r.MedianMicros), Samples: r.Samples,
	}
	for _, t := range r.Targets {
		d.Targets = append(d.Targets, outlier.TargetCounts{
			Target: fleet.TargetID(t.Target),
			Counts: outlier.Counts{
				Good: t.Good, Failed: t.Failed, Fast: t.Fast, Slow: t.Slow,
				Shed: t.Shed, Cold: t.Cold, Draining: t.Draining,
			},
		})
	}
	return d
}

func encodeVerdicts(vs []outlier.Verdicts) []*peerv1.ServiceVerdicts {
	ms := make([]*peerv1.ServiceVerdicts, 0, len(vs))
	for _, v := range vs {
		m := &peerv1.ServiceVerdicts{
			Service: string(v.Service), From: string(v.From), Number: v.Number,
			Session: v.Session, Ack: v.Ack, MedianMicros: uint64(v.Median.Microseconds()),
			FailureRate: v.FailureRate, SlowRate: v.SlowRate,
		}
		for _, e := range v.Entries {
			m.Targets = append(m.Targets, &peerv1.TargetVerdict{
				Target: string(e.Target), Zone: string(e.Zone),
				Phase: phases[e.Phase], Reason: reasons[e.Reason],
				RemainingMillis: uint64(e.Remaining.Milliseconds()), Score: uint32(max(e.Score, 0)),
			})
		}
		ms = append(ms, m)
	}
	return ms
}

func decodeVerdicts(ms []*peerv1.ServiceVerdicts) []outlier.Verdicts {
	vs := make([]outlier.Verdicts, 0, len(ms))
	for _, m := range ms {
		v := outlier.Verdicts{
			Service: fleet.ServiceID(m.Service), From: fleet.InstanceID(m.From), Number: m.Number,
			Session: m.Session, Ack: m.Ack, Median: micros(m.MedianMicros),
			FailureRate: share(m.FailureRate), SlowRate: share(m.SlowRate),
		}
		for _, t := range m.Targets {
			if e, ok := decodeVerdict(t); ok {
				v.Entries = append(v.Entries, e)
			}
		}
		vs = append(vs, v)
	}
	return vs
}

// decodeVerdict returns false for a verdict with an unsupported phase.
func decodeVerdict(t *peerv1.TargetVerdict) (outlier.Verdict, bool) {
	v := outlier.Verdict{
		Target: fleet.TargetID(t.Target), Zone: fleet.Zone(t.Zone),
		Remaining: millis(t.RemainingMillis), Score: int(t.Score),
	}
	known := false
	for p, m := range phases {
		if m == t.Phase {
			v.Phase, known = p, true
		}
	}
	for r, m := range reasons {
		if m == t.Reason {
			v.Reason = r
		}
	}
	return v, known
}

// share limits a ratio received from another instance to 0..1; NaN becomes 0.
func share(x float64) float64 {
	if x > 0 {
		return min(x, 1)
	}
	return 0
}

// micros converts a duration received from another instance, capped at 1 h.
func micros(us uint64) time.Duration {
	const maxMicros = uint64(time.Hour / time.Microsecond)
	return time.Duration(min(us, maxMicros)) * time.Microsecond
}
