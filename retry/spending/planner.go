package spending

import (
	"time"

	"github.com/clementinereel/clementinereel/retry/pooled"
	"github.com/clementinereel/clementinereel/waitqueue"
)

const (
	// ReservedShare is the share of a full bucket that is kept for the time after a recovery while a service rejects
	// widely.
	ReservedShare = 0.5
	// releaseShare is the rate at which those that wait are released after a recovery, as a share of the usual
	// load. With first attempts, retries and those that wait no more than 1.5 times the usual load arrives.
	releaseShare = 0.35
	// releaseJitter is the largest part by which the time between two releases differs from its mean.
	releaseJitter = 0.3
	// minReleaseRate is the least rate of releases per second: with hardly any load few requests wait.
	minReleaseRate = 0.5
	// maxLateness is how long after its last useful start a request may still get an attempt, since decisions
	// are made at intervals.
	maxLateness = 50 * time.Millisecond
)

// Account is the retry budget of a service at this instance.
type Account interface {
	// Balance returns the state of the bucket.
	Balance(now time.Time) pooled.Balance
	// SpendAbove takes a token for a request of the given rank if the given share of a full bucket is left afterwards.
	SpendAbove(now time.Time, share float64, rank int) bool
}

// Verdict is what becomes of a request that waits.
type Verdict string

const (
	// Granted means that the request gets an attempt, which has been taken out of the budget.
	Granted Verdict = "granted"
	// Displaced means that the queue is full and the request is last in order.
	Displaced Verdict = "queue full"
	// NotCovered means that the budget is not expected to cover an attempt.
	NotCovered Verdict = "budget does not cover it"
	// Expired means that the budget or, after a recovery, the limit on the rate of releases allowed no attempt
	// until the last useful start.
	Expired Verdict = "no attempt in time"
)

// Decision is what becomes of one request.
type Decision struct {
	waitqueue.Request
	Verdict Verdict
}

// Config is how a Planner spends the budget.
type Config struct {
	Bounds waitqueue.Bounds
	// ReservedShare is the share of a full bucket that is kept while the service rejects widely.
	ReservedShare float64
	// Random returns numbers in [0, 1).
	Random func() float64
}

// Planner decides for the requests of one service. It is not safe for concurrent use.
type Planner struct {
	cfg   Config
	queue *waitqueue.Queue
	// releaseAt is the earliest time of the next release; zero until the first after a rejection is planned.
	releaseAt time.Time
}

// New returns a planner for which nothing waits.
func New(cfg Config) *Planner { return &Planner{cfg: cfg, queue: waitqueue.New(cfg.Bounds)} }

// Len returns the number of requests that wait.
func (p *Planner) Len() int { return p.queue.Len() }

// Waiting returns the requests that wait, in order.
func (p *Planner) Waiting(now time.Time) []waitqueue.Request { return p.queue.Ordered(now) }

// Leave removes a request whose caller has left or that is no longer to wait. It reports whether it waited.
func (p *Planner) Leave(id uint64) bool {
	removed := p.queue.Remove(id)
	p.resetIfEmpty()
	return removed
}

// resetIfEmpty forgets the time of the next release once nothing waits.
func (p *Planner) resetIfEmpty() {
	if p.queue.Len() == 0 {
		p.releaseAt = time.Time{}
	}
}

// Join adds a request if it may wait. It returns how many are ahead, and whom that displaced or, if it may not
// wait, the request itself.
func (p *Planner) Join(now time.Time, r waitqueue.Request, a Account) (ahead int, out []Decision) {
	ahead = p.queue.Position(now, r)
	switch {
	case !now.Before(r.LastStart):
		return ahead, []Decision{{r, Expired}}
	case !covers(a.Balance(now), ahead, r.LastStart.Sub(now)):
		return ahead, []Decision{{r, NotCovered}}
	}
	for _, removed := range p.queue.Add(now, r) {
		out = append(out, Decision{removed, Displaced})
	}
	return ahead, out
}

// covers reports whether a bucket is expected to allow an attempt within the given time after those ahead.
func covers(b pooled.Balance, ahead int, within time.Duration) bool {
	return b.Capacity >= 1 && b.Tokens+b.Inflow*within.Seconds() >= float64(ahead+1)
}

// RetryAfter returns the time after which the budget is expected to cover one more request.
func RetryAfter(b pooled.Balance, ahead int) time.Duration {
	missing := float64(ahead+1) - b.Tokens
	if missing <= 0 || b.Inflow <= 0 {
		return 0
	}
	return time.Duration(missing / b.Inflow * float64(time.Second))
}

// Decide removes the requests that get an attempt or are given up now, and returns them. rejecting is set while the
// service rejects widely.
func (p *Planner) Decide(now time.Time, rejecting bool, a Account) []Decision {
	if p.queue.Len() == 0 {
		p.releaseAt = time.Time{}
		return nil
	}
	var out []Decision
	if rejecting {
		p.releaseAt = time.Time{}
		out = p.spendInflow(now, a)
	} else {
		out = p.release(now, a)
	}
	return append(out, p.expire(now, rejecting, a)...)
}

// spendInflow grants attempts to the first in order from what the bucket holds above the reserved share.
func (p *Planner) spendInflow(now time.Time, a Account) (out []Decision) {
	for p.queue.Len() > 0 && a.SpendAbove(now, p.cfg.ReservedShare, p.queue.FirstRank()) {
		out = append(out, p.grant(now, p.queue.Ordered(now)[0]))
	}
	return out
}

// release grants attempts that are due to the first in order.
func (p *Planner) release(now time.Time, a Account) (out []Decision) {
	if p.releaseAt.IsZero() {
		// Instances that notice a recovery together begin at different times.
		p.releaseAt = now.Add(time.Duration((0.5 + p.cfg.Random()) * float64(releaseInterval(now, a))))
	}
	for p.queue.Len() > 0 && !now.Before(p.releaseAt) && a.SpendAbove(now, 0, p.queue.FirstRank()) {
		p.planRelease(now, a)
		out = append(out, p.grant(now, p.queue.Ordered(now)[0]))
	}
	return out
}

// planRelease sets the time of the next release after one that is made now. If this one is early, the next is later; if
// it is late by more than an interval, the delay is not made up for.
func (p *Planner) planRelease(now time.Time, a Account) {
	interval := releaseInterval(now, a)
	if now.Sub(p.releaseAt) > interval {
		p.releaseAt = now
	}
	factor := 1 + releaseJitter*(2*p.cfg.Random()-1)
	p.releaseAt = p.releaseAt.Add(time.Duration(factor * float64(interval)))
}

// releaseInterval returns the mean time between two releases.
func releaseInterval(now time.Time, a Account) time.Duration {
	return time.Duration(float64(time.Second) / max(releaseShare*a.Balance(now).RequestsPerSecond, minReleaseRate))
}

// expire decides for the requests that have reached their last useful start.
func (p *Planner) expire(now time.Time, rejecting bool, a Account) (out []Decision) {
	for _, r := range p.queue.Expired(now) {
		switch {
		case now.Sub(r.LastStart) > maxLateness:
			p.queue.Remove(r.ID)
			out = append(out, Decision{r, Expired})
		case rejecting && a.SpendAbove(now, p.cfg.ReservedShare, r.Rank):
			out = append(out, p.grant(now, r))
		case !rejecting && p.releaseAt.Sub(now) < releaseInterval(now, a) && a.SpendAbove(now, 0, r.Rank):
			p.planRelease(now, a)
			out = append(out, p.grant(now, r))
		default:
			p.queue.Remove(r.ID)
			out = append(out, Decision{r, Expired})
		}
	}
	return out
}

func (p *Planner) grant(now time.Time, r waitqueue.Request) Decision {
	p.queue.Grant(now, r.ID)
	p.resetIfEmpty()
	return Decision{r, Granted}
}
