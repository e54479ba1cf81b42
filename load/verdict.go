package load

import "time"

// Verdict is how one ask ended, as its caller saw it.
type Verdict string

const (
	// Whole is the whole answer to the caller's own request.
	Whole Verdict = "whole"
	// Wrong is an answer that came to its end as HTTP sees it, but is not
	// the whole answer to the caller's own request.
	Wrong Verdict = "wrong"
	// Truncated is an answer that visibly broke off.
	Truncated Verdict = "truncated"
	// NotRun and Unknown are what the fleet said of an operation.
	NotRun  Verdict = "not-run"
	Unknown Verdict = "unknown"
	// Limited is status 429.
	Limited Verdict = "limited"
	// Unavailable is status 503.
	Unavailable Verdict = "unavailable"
	// Refused is another status from 400 to 499.
	Refused Verdict = "refused"
	// Failed is another status from 500 on.
	Failed Verdict = "failed"
	// Lost means that no answer came.
	Lost Verdict = "lost"
)

// final tells whether a caller has no reason to ask again under its key.
func (v Verdict) final() bool {
	return v == Whole || v == Wrong || v == Refused
}

// ask is one request of an operation.
type ask struct {
	sent     time.Time
	answered time.Time
	verdict  Verdict
	detail   detail
}

// detail describes an answer for the report: the status with the type of the
// problem, and what the problem says of the case.
type detail struct {
	kind string
	text string
}

// outcome is what became of an operation.
type outcome struct {
	asks []ask
	// verdict is Whole if any ask was, else that of the last ask answered.
	verdict Verdict
	// latency is from the intended start to the first whole answer, or to
	// the end of the last ask.
	latency time.Duration
}

// conclude sums the asks of an operation up.
func conclude(intended time.Time, asks []ask) outcome {
	o := outcome{asks: asks, verdict: Lost}
	end, word := intended, time.Time{}
	for _, a := range asks {
		if a.verdict == Whole && (o.verdict != Whole || a.answered.Before(end)) {
			o.verdict, end = Whole, a.answered
		}
		if o.verdict == Whole {
			continue
		}
		if a.answered.After(end) {
			end = a.answered
		}
		if a.verdict != Lost && a.answered.After(word) {
			o.verdict, word = a.verdict, a.answered
		}
	}
	o.latency = end.Sub(intended)
	return o
}
