package ratelimit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// horizon is for how long of its demand an account holds tokens.
	horizon = 600 * time.Millisecond
	// spread is how many standard deviations of a random flow over the
	// horizon an account holds on top.
	spread = 1.5
	// smoothing is the time constant of the offered rate's average.
	smoothing = 3 * time.Second
	// askEvery is the least time between demands on a tick.
	askEvery = 400 * time.Millisecond
	// askUrgently is the least time between demands of an account that is
	// about to refuse requests.
	askUrgently = 20 * time.Millisecond
	// maxPause bounds the time between demands that the limiter has nothing for.
	maxPause = 5 * time.Second
	// askLazily is the time after which even a small want is told.
	askLazily = time.Second
	// chargeEvery is the period in which a rarely used account makes at most
	// one charge, minDebt what is worth one.
	chargeEvery = 15 * time.Second
	minDebt     = 0.01
	// answerWithin is when an unanswered demand is given up.
	answerWithin = 500 * time.Millisecond
	// cutOffAfter is how long a demand is unanswered before the account earns
	// its own entitlement.
	cutOffAfter = 200 * time.Millisecond
	// keepAlive is how often an account in use speaks to its limiter.
	keepAlive = Lifetime / 3
	// idleAfter is when an unused account ends.
	idleAfter = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Refusal tells what of a limit a refused request lacked.
type Refusal string

const (
	// NoToken: the rate and its burst are used up.
	NoToken Refusal = "rate"
	// NoSlot: as many requests are in flight as the account may have.
	NoSlot Refusal = "concurrency"
)

// Decision is what the limits say to one request.
type Decision struct {
	// OK tells whether the request may go on; Done must be called then.
	OK bool
	// Refusal and RefusedBy tell why a request was refused, and by which limit.
	Refusal   Refusal
	RefusedBy LimitID
	// RetryAfter is how long a refused caller should wait.
	RetryAfter time.Duration
	// Limit, Remaining and Reset describe the tighter of the limits that
	// were asked, for the headers. Reset is when Remaining is whole again.
	Limit     Limit
	Remaining float64
	Reset     time.Duration

	account *Account
	route   LimitID
}

// Done ends a request that was let through. It must be called once.
func (d Decision) Done(now time.Time) {
	if d.account != nil {
		d.account.done(now, d.route)
	}
}

// Account is one instance's allowance under one customer's limits. It is
// safe for concurrent use.
type Account struct {
	mu       sync.Mutex
	seqs     *atomic.Uint64
	customer fleet.CustomerID
	holder   fleet.Holder
	listed   int
	lines    []line

	used     time.Time
	seq      uint64
	applied  uint64
	asked    time.Time
	heard    time.Time
	waiting  bool
	waitedAt time.Time
	urgent   bool
	// charge is the Seq of the charge that is under way, 0 if none is.
	charge uint64
	// pause is the least time to the next demand if the last grant left the
	// account low, 0 otherwise.
	pause time.Duration
}

// line is the account's part of one limit.
type line struct {
	Limit
	balance  float64
	level    float64
	at       time.Time
	slots    int
	granted  bool
	share    float64
	inFlight int
	// charged is the part of the debt in the charge under way.
	charged float64

	// rate averages the offered requests a second; offered and entered count
	// requests and busy adds up request-seconds since the last demand.
	rate    float64
	offered float64
	entered float64
	busy    float64
	busyAt  time.Time
	told    time.Time
}

// newAccount returns an empty account. The counter numbers the demands of all
// accounts of the process, so that one that is made anew goes on upwards.
func newAccount(now time.Time, t *Table, c fleet.CustomerID, ls Limits) *Account {
	a := &Account{
		seqs:     &t.seqs,
		customer: c,
		holder:   t.holder,
		listed:   int(t.listed.Load()),
		used:     now,
		asked:    now,
		applied:  t.seqs.Load(),
	}
	a.setLimits(now, ls)
	return a
}

// setLimits puts a contract's limits in force. Lines of limits that stay keep
// their balance; routes that are gone are kept while requests run.
func (a *Account) setLimits(now time.Time, ls Limits) {
	lines := make([]line, 0, len(ls))
	for _, l := range ls {
		ln := line{at: now, busyAt: now, told: now}
		if i := a.index(l.ID); i >= 0 {
			ln = a.lines[i]
		}
		ln.Limit = l
		ln.balance = math.Min(ln.balance, l.Burst)
		lines = append(lines, ln)
	}
	a.lines = lines
}

func (a *Account) index(id LimitID) int {
	for i := range a.lines {
		if a.lines[i].ID == id {
			return i
		}
	}
	return -1
}

// take decides on one request and tells whether the account turned urgent.
func (a *Account) take(now time.Time, id LimitID) (d Decision, wake bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used = now
	a.settle(now)
	route := max(0, a.index(id))
	whole, part := &a.lines[0], &a.lines[route]
	whole.offered++
	if route != 0 {
		part.offered++
	}
	refusedBy, refusal := whole, a.refusal(whole)
	if refusal == "" {
		refusedBy, refusal = part, a.refusal(part)
	}
	ok := refusal == ""
	if ok {
		whole.enter(now)
		if route != 0 {
			part.enter(now)
		}
	}
	wake = a.turnUrgent(whole, part)
	d = a.decision(ok, route)
	if !ok {
		d.Refusal, d.RefusedBy = refusal, refusedBy.ID
	}
	return d, wake
}

// refusal tells what the line lacks for one more request; empty if nothing.
func (a *Account) refusal(l *line) Refusal {
	switch {
	case l.balance-1 < -l.own(a.listed):
		return NoToken
	case a.full(l):
		return NoSlot
	}
	return ""
}

func (a *Account) slots(l *line) int {
	if l.granted {
		return l.slots
	}
	return l.ownSlots(a.listed)
}

func (l *line) enter(now time.Time) {
	l.busyUntil(now)
	l.balance--
	l.inFlight++
	l.entered++
}

// turnUrgent reports, once a demand, that a line is near its end.
func (a *Account) turnUrgent(whole, part *line) bool {
	if a.urgent {
		return false
	}
	a.urgent = a.low(whole) || a.low(part)
	return a.urgent
}

// low tells whether the line would refuse a request soon.
func (a *Account) low(l *line) bool {
	return a.full(l) || a.dry(l)
}

// full tells whether the line has no free slot.
func (a *Account) full(l *line) bool {
	return l.Concurrency > 0 && l.inFlight >= a.slots(l)
}

// dry tells whether the line has few tokens left.
func (a *Account) dry(l *line) bool {
	own := l.own(a.listed)
	left := l.balance + own
	return left < 1 || left < math.Max(l.expected()/4, own/2)
}

// expected is how many tokens the line should have at hand.
func (l *line) expected() float64 {
	mean := l.rate * horizon.Seconds()
	return mean + spread*math.Sqrt(mean)
}

// target is the balance that the line should hold: what is expected beyond
// its overdraft.
func (a *Account) target(l *line) float64 {
	return math.Max(0, l.expected()-l.own(a.listed))
}

// done ends a request of the given line and of the whole.
func (a *Account) done(now time.Time, route LimitID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lines[0].leave(now)
	if i := a.index(route); i > 0 {
		a.lines[i].leave(now)
	}
}

func (l *line) leave(now time.Time) {
	l.busyUntil(now)
	l.inFlight--
}

// busyUntil adds up the time that requests were in flight.
func (l *line) busyUntil(now time.Time) {
	if dt := now.Sub(l.busyAt); dt > 0 {
		l.busy += float64(l.inFlight) * dt.Seconds()
		l.busyAt = now
	}
}

// settle drops what was granted once its lifetime ended, and lets an account
// whose demands stay unanswered earn its own entitlement.
func (a *Account) settle(now time.Time) {
	expired := now.Sub(a.heard) > Lifetime
	cutOff := a.waiting && now.Sub(a.waitedAt) > cutOffAfter
	if !expired && !cutOff {
		return
	}
	for i := range a.lines {
		l := &a.lines[i]
		if expired {
			l.granted = false
			l.level = 0
			l.balance = math.Min(l.balance, 0)
		}
		if cutOff {
			l.earn(now, a.waitedAt, a.listed)
		}
		l.at = now
	}
}

// earn adds the line's entitlement since it last earned, though not from
// before the wait began, and not beyond paying its debt.
func (l *line) earn(now, waitedAt time.Time, listed int) {
	if l.balance >= 0 {
		return
	}
	since := l.at
	if waitedAt.After(since) {
		since = waitedAt
	}
	earned := now.Sub(since).Seconds() * l.Rate / float64(listed)
	l.balance = math.Min(0, l.balance+earned)
}

// decision describes the tighter limit.
func (a *Account) decision(ok bool, route int) Decision {
	l := &a.lines[route]
	if a.remaining(&a.lines[0]) < a.remaining(l) {
		l = &a.lines[0]
	}
	left := a.remaining(l)
	d := Decision{OK: ok, Limit: l.Limit, Remaining: left}
	d.Reset = seconds((l.Burst - left) / l.Rate)
	if ok {
		d.account, d.route = a, a.lines[route].ID
		return d
	}
	d.RetryAfter = a.retryAfter(route)
	return d
}

func (a *Account) remaining(l *line) float64 {
	left := l.balance + l.own(a.listed) + l.level
	return math.Max(0, math.Min(l.Burst, left))
}

// retryAfter is when the refusing lines should have a token for everyone who
// was refused since the last demand, one after the other.
func (a *Account) retryAfter(route int) time.Duration {
	wait := minRetryAfter
	for _, i := range [2]int{0, route} {
		l := &a.lines[i]
		short := 1 - (l.balance + l.own(a.listed))
		if short <= 0 {
			continue
		}
		backlog := math.Max(1, l.offered/4)
		wait = max(wait, seconds(short*backlog/l.Rate*a.shareOf(l)))
	}
	return min(wait, maxRetryAfter)
}

// shareOf is the factor by which this account's part of the rate is smaller
// than the whole: 1 while it hears from the limiter.
func (a *Account) shareOf(l *line) float64 {
	if l.granted {
		return 1
	}
	return float64(a.listed)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
