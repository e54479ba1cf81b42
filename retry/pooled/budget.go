package pooled

import (
	"time"
)

// Config is the limit on added attempts.
type Config struct {
	// Ratio is the number of attempts that may be added per request.
	Ratio float64
	// Slack is the number of further attempts that may be added in any window.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// burstShare is the share of the limit that the full buckets hold, available at once; the rest flows
	// in within a window. A larger share helps in short periods of failures, a smaller one in long
	// ones: a period of one window gets all of the limit, a lasting one 1 - burstShare of it.
	burstShare = 0.5
	// safetyFactor lowers the limit to allow for attempts that take up to half a second to reach
	// their target, and for loans in transit.
	safetyFactor = 0.95
	// urgentReserve is the share of a full bucket that non-urgent requests leave to urgent ones
	// of the same service, if there are any.
	urgentReserve = 0.3
	// slots is the number of slots per window in which requests are counted.
	slots = 20
	// loanTimeout is how long after its request a loan is accepted, and may exceed the capacity
	// of the bucket. It bounds the tokens outside of buckets at any time.
	loanTimeout = 500 * time.Millisecond
)

// requestCounts are the numbers of requests in a slot.
type requestCounts struct {
	all, urgent int
}

// Budget is one service's budget at one instance. It is not safe for concurrent use.
type Budget struct {
	cfg Config
	// tokens is the content of the bucket as of updatedAt.
	tokens    float64
	updatedAt time.Time
	slots     [slots]requestCounts
	slot      int64
	total     requestCounts
	// borrowed are tokens lent by others. They go into the bucket after loanDeadline.
	borrowed     float64
	loanDeadline time.Time
}

// New returns the budget of a process that started at the given time.
func New(cfg Config, started time.Time) *Budget { return &Budget{cfg: cfg, updatedAt: started} }

// advance clears the slots that have left the window.
func (b *Budget) advance(now time.Time) {
	current := now.UnixNano() / int64(b.cfg.Window/slots)
	for steps := min(current-b.slot, slots); steps > 0; steps-- {
		s := &b.slots[(current-steps+1)%slots]
		b.total.all -= s.all
		b.total.urgent -= s.urgent
		*s = requestCounts{}
	}
	b.slot = max(b.slot, current)
}

// RecordRequest records a request and adds its tokens.
func (b *Budget) RecordRequest(now time.Time, urgent bool) {
	b.advance(now)
	s := &b.slots[b.slot%slots]
	s.all++
	b.total.all++
	if urgent {
		s.urgent++
		b.total.urgent++
	}
	b.tokens += (1 - burstShare) * safetyFactor * b.cfg.Ratio
}

// refill adds the slack for the time since the last call, and returns the capacity of the bucket.
// instances is the maximum number of instances that share the slack, or 0 if unknown.
func (b *Budget) refill(now time.Time, instances int) (full float64) {
	b.advance(now)
	slack := 0.0
	if instances > 0 {
		slack = safetyFactor * b.cfg.Slack / float64(instances)
	}
	if passed := now.Sub(b.updatedAt); passed > 0 {
		b.tokens += (1 - burstShare) * slack * passed.Seconds() / b.cfg.Window.Seconds()
		b.updatedAt = now
	}
	if now.After(b.loanDeadline) {
		b.tokens += b.borrowed
		b.borrowed = 0
	}
	full = burstShare * (safetyFactor*b.cfg.Ratio*float64(b.total.all) + slack)
	b.tokens = min(b.tokens, full)
	return full
}

// Available returns the number of attempts that may be added now, including loans.
func (b *Budget) Available(now time.Time, instances int) float64 {
	b.refill(now, instances)
	return b.tokens + b.borrowed
}

// Spend records an added attempt if the budget allows it, and reports whether it does.
func (b *Budget) Spend(now time.Time, instances int, urgent bool) bool {
	need, full := 1.0, b.refill(now, instances)
	if !urgent && b.total.urgent > 0 {
		need += urgentReserve * full
	}
	if b.tokens+b.borrowed < need {
		return false
	}
	b.take()
	return true
}

// Balance is the state of a bucket.
type Balance struct {
	// Tokens is the content, including loans, Capacity what the bucket holds at most.
	Tokens, Capacity float64
	// Inflow is the refill rate, in tokens per second at the present load.
	Inflow float64
	// RequestsPerSecond is the mean load of the last window.
	RequestsPerSecond float64
}

// Balance returns the state of the bucket.
func (b *Budget) Balance(now time.Time, instances int) Balance {
	full := b.refill(now, instances)
	window := b.cfg.Window.Seconds()
	return Balance{
		Tokens: b.tokens + b.borrowed, Capacity: full, Inflow: full / burstShare * (1 - burstShare) / window,
		RequestsPerSecond: float64(b.total.all) / window,
	}
}

// SpendAbove records an added attempt if at least the given share of a full bucket is left afterwards; a non-urgent
// request also leaves urgentReserve. A full bucket that holds a token always allows an attempt: its refill would be lost.
func (b *Budget) SpendAbove(now time.Time, instances int, share float64, urgent bool) bool {
	full := b.refill(now, instances)
	if !urgent && b.total.urgent > 0 {
		share = max(share, urgentReserve)
	}
	need := max(min(1+share*full, full), 1)
	if b.tokens+b.borrowed < need {
		return false
	}
	b.take()
	return true
}

// take takes one token, of loans first.
func (b *Budget) take() {
	lent := min(b.borrowed, 1)
	b.borrowed -= lent
	b.tokens -= 1 - lent
}

// Lend removes tokens for a loan, at most half of the bucket and at most the number requested, and
// returns how many the borrower may spend.
func (b *Budget) Lend(now time.Time, instances int, requested float64) float64 {
	b.refill(now, instances)
	lent := max(min(requested, b.tokens/2), 0)
	b.tokens -= lent
	return lent
}

// LoanRequested records that a loan was requested from other instances.
func (b *Budget) LoanRequested(now time.Time) { b.loanDeadline = now.Add(loanTimeout) }

// ReceiveLoan adds a loan of another instance, unless it was requested more than loanTimeout ago.
func (b *Budget) ReceiveLoan(now time.Time, lent float64) {
	if !now.After(b.loanDeadline) {
		b.borrowed += lent
	}
}
