package registry

import (
	"slices"
	"time"
)

const (
	// minOutage is the shortest gap between responses that counts as an outage of the log. Entries
	// lapse only in longer ones, and the handover between two readers of the log takes less.
	minOutage = time.Second
	// spanRetention is how long spans are kept: longer than any grace period.
	spanRetention = 30 * time.Second
)

// Span is a time in which the log was available to at least one instance without a break: each read
// was answered in time.
type Span struct{ From, Until time.Time }

// IsZero reports whether the span is unset.
func (s Span) IsZero() bool { return s.Until.IsZero() }

// logAvailability records when the log was available, as reported by all instances. The log counts
// as unavailable only if no instance got a response: one without a response proves nothing.
type logAvailability struct {
	// spans are in order; the gaps between them are outages.
	spans []Span
	// unavailable is whether some instance gets no response now and none is known to get one.
	unavailable bool
}

// record adds a span, merging those that are less than minOutage apart.
func (a *logAvailability) record(s Span) {
	covered := func(o Span) bool { return !s.From.Before(o.From) && !s.Until.After(o.Until) }
	if s.IsZero() || s.Until.Before(s.From) || slices.ContainsFunc(a.spans, covered) {
		return
	}
	before := func(o Span) bool { return s.From.Sub(o.Until) >= minOutage }
	after := func(o Span) bool { return o.From.Sub(s.Until) >= minOutage }
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

// prune drops spans that no grace period depends on any more.
func (a *logAvailability) prune(now time.Time) {
	a.spans = slices.DeleteFunc(a.spans, func(s Span) bool { return now.Sub(s.Until) > spanRetention })
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
		outages = append(outages, Span{a.spans[i-1].Until, a.spans[i].From})
	}
	if a.unavailable {
		outages = append(outages, Span{a.last().Until, now})
	}
	return outages
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// RecordAnswered records a span in which the log answered some instance.
func (r *Registry) RecordAnswered(s Span) { r.availability.record(s) }

// LastAnswered returns the latest span in which the log answered some instance; zero if there is
// none.
func (r *Registry) LastAnswered() Span { return r.availability.last() }

// SetUnavailable records whether some instance gets no response from the log and none is known to
// get one. It reports whether that changed.
func (r *Registry) SetUnavailable(unavailable bool) bool {
	changed := r.availability.unavailable != unavailable
	r.availability.unavailable = unavailable
	return changed
}

// LastOutage returns the last outage of the log that has ended; zero if there is none.
func (r *Registry) LastOutage() Span {
	n := len(r.availability.spans)
	if n < 2 {
		return Span{}
	}
	return Span{r.availability.spans[n-2].Until, r.availability.spans[n-1].From}
}
