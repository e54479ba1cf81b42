package registry

import (
	"slices"
	"time"
)

const (
	// defaultMinOutage is the shortest gap between responses that may be an outage of the log, where
	// the renewal interval of entries is not known. Entries lapse only in longer ones.
	defaultMinOutage = time.Second
	// minOutageIntervals is the same in renewal intervals. Entries lapse after three without a renewal,
	// up to one and two thirds of which may have passed before the outage.
	minOutageIntervals = 4.0 / 3
	// maxFailures bounds the failed spans that are kept.
	maxFailures = 64
	// SpanRetention is how long spans are kept: longer than any grace period.
	SpanRetention = 30 * time.Second
)

// Span is a time in which the log was available to at least one instance without a break: each read
// was answered in time.
type Span struct{ From, Until time.Time }

// IsZero reports whether the span is unset.
func (s Span) IsZero() bool { return s.Until.IsZero() }

// overlaps reports whether the spans have a moment in common.
func (s Span) overlaps(o Span) bool { return !s.From.After(o.Until) && !o.From.After(s.Until) }

// logAvailability records when the log was available, as reported by all instances. The log counts
// as unavailable only while no instance got a response and calls of some instance failed: one
// without a response proves nothing, and neither does a time in which nobody called.
type logAvailability struct {
	// minOutage is the shortest time without responses, from the first call that failed on, in which
	// entries may lapse.
	minOutage time.Duration
	// spans are in order; the gaps between them are outages if calls failed in them for long enough.
	spans []Span
	// failures are times from the start of a call until it failed; those that overlap are merged.
	failures []Span
	// unavailable is whether some instance gets no response now and none is known to get one.
	unavailable bool
}

// record adds a span, merging those between which no entry can have lapsed.
func (a *logAvailability) record(s Span) {
	covered := func(o Span) bool { return !s.From.Before(o.From) && !s.Until.After(o.Until) }
	if s.IsZero() || s.Until.Before(s.From) || slices.ContainsFunc(a.spans, covered) {
		return
	}
	before := func(o Span) bool { return s.From.Sub(o.Until) >= a.minOutage }
	after := func(o Span) bool { return o.From.Sub(s.Until) >= a.minOutage }
	var spans []Span
	i := 0
	for ; i < len(a.spans) && before(a.spans[i]); i++ {
		spans = append(spans, a.spans[i])
	}
	for ; i < len(a.spans) && !after(a.spans[i]); i++ {
		s = Span{earlier(s.From, a.spans[i].From), later(s.Until, a.spans[i].Until)}
	}
	a.spans = append(append(spans, s), a.spans[i:]...)
}

// recordFailure adds a time in which a call had no response.
func (a *logAvailability) recordFailure(s Span) {
	if s.IsZero() || s.Until.Before(s.From) {
		return
	}
	var apart []Span
	for _, o := range a.failures {
		if !o.overlaps(s) {
			apart = append(apart, o)
			continue
		}
		s = Span{earlier(s.From, o.From), later(s.Until, o.Until)}
	}
	if len(apart) >= maxFailures {
		apart = apart[1:]
	}
	a.failures = append(apart, s)
}

// prune drops spans that no grace period depends on any more.
func (a *logAvailability) prune(now time.Time) {
	ended := func(s Span) bool { return now.Sub(s.Until) > SpanRetention }
	a.spans = slices.DeleteFunc(a.spans, ended)
	a.failures = slices.DeleteFunc(a.failures, ended)
}

// last returns the latest span, zero if there is none.
func (a *logAvailability) last() Span {
	if len(a.spans) == 0 {
		return Span{}
	}
	return a.spans[len(a.spans)-1]
}

// outages returns the times in which the log was unavailable, including an outage in progress.
func (a *logAvailability) outages(now time.Time) []Span {
	var outages []Span
	for i := 1; i < len(a.spans); i++ {
		if gap := a.gapBefore(i); a.isOutage(gap) {
			outages = append(outages, gap)
		}
	}
	if a.unavailable {
		outages = append(outages, Span{a.last().Until, now})
	}
	return outages
}

// gapBefore returns the time between the i-th span and the one before it.
func (a *logAvailability) gapBefore(i int) Span { return Span{a.spans[i-1].Until, a.spans[i].From} }

// isOutage reports whether entries may have lapsed in a gap because the log was unavailable. The part of the
// gap before the first call that failed counts as a time in which nobody called: the readers ended, and
// others had not taken over yet.
func (a *logAvailability) isOutage(gap Span) bool { return a.failingTime(gap) >= a.minOutage }

// failingTime returns the time from the first call that failed in a gap to its end; 0 if none failed.
func (a *logAvailability) failingTime(gap Span) time.Duration {
	first := gap.Until
	for _, f := range a.failures {
		if gap.overlaps(f) {
			first = earlier(first, later(gap.From, f.From))
		}
	}
	return gap.Until.Sub(first)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// SetRenewalInterval sets the interval at which targets renew their entries, which tells how short an
// outage of the log may be in which entries of live targets lapse.
func (r *Registry) SetRenewalInterval(interval time.Duration) {
	r.availability.minOutage = defaultMinOutage
	if interval > 0 {
		r.availability.minOutage = time.Duration(minOutageIntervals * float64(interval))
	}
}

// RecordAnswered records a span in which the log answered some instance.
func (r *Registry) RecordAnswered(s Span) { r.availability.record(s) }

// RecordFailed records a span in which a call of some instance had no answer from the log.
func (r *Registry) RecordFailed(s Span) { r.availability.recordFailure(s) }

// LastAnswered returns the latest span in which the log answered some instance; zero if there is
// none.
func (r *Registry) LastAnswered() Span { return r.availability.last() }

// SetUnavailable records whether some instance gets no response from the log now and none is known
// to get one. It reports whether that changed.
func (r *Registry) SetUnavailable(now time.Time, unavailable bool) bool {
	changed := r.availability.unavailable != unavailable
	r.availability.unavailable = unavailable
	if changed && unavailable {
		r.availability.recordFailure(Span{now, now})
	}
	return changed
}

// MayBeOutage reports whether the log may have been unavailable during a time without answers, so long
// that entries lapsed.
func (r *Registry) MayBeOutage(gap Span) bool {
	return r.availability.isOutage(gap)
}

// Gap is a time between two spans with answers.
type Gap struct {
	Span
	// Failing is the time from the first call that failed in the gap to its end.
	Failing time.Duration
	// Outage is whether it counts as an outage of the log.
	Outage bool
}

// LastGap returns the last time between two spans with answers; zero if there is none.
func (r *Registry) LastGap() Gap {
	n := len(r.availability.spans)
	if n < 2 {
		return Gap{}
	}
	gap := r.availability.gapBefore(n - 1)
	return Gap{Span: gap, Failing: r.availability.failingTime(gap), Outage: r.availability.isOutage(gap)}
}
