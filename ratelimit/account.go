package ratelimit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// horizon is the period of expected demand for which an account holds tokens.
	horizon = 600 * time.Millisecond
	// spread is the number of standard deviations of random arrivals over the
	// horizon that an account holds in addition.
	spread = 1.5
	// smoothing is the time constant of the offered rate's average.
	smoothing = 3 * time.Second
	// demandInterval is the minimum time between demands on a tick.
	demandInterval = 400 * time.Millisecond
	// urgentDemandInterval is the minimum time between demands of an account that
	// is about to refuse requests.
	urgentDemandInterval = 20 * time.Millisecond
	// maxPause bounds the time between demands for which the limiter has no tokens.
	maxPause = 5 * time.Second
	// smallDemandInterval is the time after which even a small want is sent.
	smallDemandInterval = time.Second
	// chargeInterval is the period in which a rarely used account makes at most
	// one charge; minDebt is the smallest debt, in tokens, that is charged.
	chargeInterval = 15 * time.Second
	minDebt        = 0.01
	// grantTimeout is how long an account waits for the grant before it sends a
	// new demand.
	grantTimeout = 500 * time.Millisecond
	// cutOffAfter is how long a demand is unanswered before the account accrues
	// its own entitlement.
	cutOffAfter = 200 * time.Millisecond
	// keepAliveInterval is how often an account in use contacts its limiter.
	keepAliveInterval = Lifetime / 3
	// idleTimeout is the time without requests after which an account may be removed.
	idleTimeout = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After of refused requests.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Refusal is the part of a limit that a refused request exceeded.
type Refusal string

const (
	// NoToken means that the rate and its burst are used up.
	NoToken Refusal = "rate"
	// NoSlot means that the account's concurrency is used up.
	NoSlot Refusal = "concurrency"
)

// Decision is the result of applying the limits to one request.
type Decision struct {
	// OK reports whether the request is admitted; Done must be called then.
	OK bool
	// Refusal and RefusedBy give the reason for a refusal and the limit.
	Refusal   Refusal
	RefusedBy LimitID
	// RetryAfter is how long a refused caller should wait.
	RetryAfter time.Duration
	// Limit, Remaining and Reset describe the tighter of the limits that
	// were checked, for the headers. Reset is the time until the burst is
	// fully available again.
	Limit     Limit
	Remaining float64
	Reset     time.Duration

	account *Account
	route   LimitID
}

// Done ends an admitted request. It must be called exactly once.
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

	used         time.Time
	seq          uint64
	applied      uint64
	lastDemandAt time.Time
	lastGrantAt  time.Time
	waiting      bool
	waitingSince time.Time
	urgent       bool
	// charge is the Seq of the pending charge, 0 if there is none.
	charge uint64
	// pause is the minimum time to the next demand if the last grant left the
	// account low, 0 otherwise.
	pause time.Duration
}

// line is the account's part of one limit.
type line struct {
	Limit
	balance   float64
	level     float64
	settledAt time.Time
	slots     int
	granted   bool
	share     float64
	inFlight  int
	// charged is the part of the debt in the pending charge.
	charged float64

	// rate is the moving average of offered requests per second. Since the last
	// demand, offered and entered count requests, and busy sums request-seconds.
	rate       float64
	offered    float64
	entered    float64
	busy       float64
	busyAt     time.Time
	reportedAt time.Time
}

// newAccount returns an empty account. All accounts of the process number their
// demands from one counter, so that a recreated account continues upwards.
func newAccount(now time.Time, t *Table, c fleet.CustomerID, ls Limits) *Account {
	a := &Account{
		seqs:         &t.seqs,
		customer:     c,
		holder:       t.holder,
		listed:       int(t.listed.Load()),
		used:         now,
		lastDemandAt: now,
		applied:      t.seqs.Load(),
	}
	a.setLimits(now, ls)
	return a
}

// setLimits applies a contract's limits. Lines of limits that remain keep
// their state; lines of removed limits are dropped.
func (a *Account) setLimits(now time.Time, ls Limits) {
	lines := make([]line, 0, len(ls))
	for _, l := range ls {
		ln := line{settledAt: now, busyAt: now, reportedAt: now}
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

// take decides on one request and reports whether the account became urgent.
func (a *Account) take(now time.Time, id LimitID) (d Decision, wake bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used = now
	a.settle(now)
	route := max(0, a.index(id))
	customerLine, routeLine := &a.lines[0], &a.lines[route]
	customerLine.offered++
	if route != 0 {
		routeLine.offered++
	}
	refusedBy, refusal := customerLine, a.refusal(customerLine)
	if refusal == "" {
		refusedBy, refusal = routeLine, a.refusal(routeLine)
	}
	ok := refusal == ""
	if ok {
		customerLine.enter(now)
		if route != 0 {
			routeLine.enter(now)
		}
	}
	wake = a.markUrgent(customerLine, routeLine)
	d = a.decision(ok, route)
	if !ok {
		d.Refusal, d.RefusedBy = refusal, refusedBy.ID
	}
	return d, wake
}

// refusal returns what the line lacks for one more request, or "" if nothing.
func (a *Account) refusal(l *line) Refusal {
	switch {
	case l.balance-1 < -l.overdraft(a.listed):
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

// markUrgent reports, once per demand, that a line is nearly used up.
func (a *Account) markUrgent(customerLine, routeLine *line) bool {
	if a.urgent {
		return false
	}
	a.urgent = a.low(customerLine) || a.low(routeLine)
	return a.urgent
}

// low reports whether the line would refuse a request soon.
func (a *Account) low(l *line) bool {
	return a.full(l) || a.dry(l)
}

// full reports whether the line has no free slot.
func (a *Account) full(l *line) bool {
	return l.Concurrency > 0 && l.inFlight >= a.slots(l)
}

// dry reports whether the line has few tokens left.
func (a *Account) dry(l *line) bool {
	overdraft := l.overdraft(a.listed)
	left := l.balance + overdraft
	return left < 1 || left < math.Max(l.expected()/4, overdraft/2)
}

// expected returns the number of tokens that the line should have available.
func (l *line) expected() float64 {
	mean := l.rate * horizon.Seconds()
	return mean + spread*math.Sqrt(mean)
}

// target returns the balance that the line should hold: the expected use in
// excess of its overdraft.
func (a *Account) target(l *line) float64 {
	return math.Max(0, l.expected()-l.overdraft(a.listed))
}

// done ends a request on the given route's line and on the customer's line.
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

// busyUntil adds the request-seconds in flight up to now.
func (l *line) busyUntil(now time.Time) {
	if dt := now.Sub(l.busyAt); dt > 0 {
		l.busy += float64(l.inFlight) * dt.Seconds()
		l.busyAt = now
	}
}

// settle drops granted tokens when their lifetime has ended, and lets an account
// whose demands stay unanswered accrue its own entitlement.
func (a *Account) settle(now time.Time) {
	expired := now.Sub(a.lastGrantAt) > Lifetime
	cutOff := a.waiting && now.Sub(a.waitingSince) > cutOffAfter
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
			l.earn(now, a.waitingSince, a.listed)
		}
		l.settledAt = now
	}
}

// earn adds the entitlement accrued since the line's last update, counted from
// the start of the wait at the earliest and only up to paying its debt.
func (l *line) earn(now, waitedAt time.Time, listed int) {
	if l.balance >= 0 {
		return
	}
	since := l.settledAt
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
	left := l.balance + l.overdraft(a.listed) + l.level
	return math.Max(0, math.Min(l.Burst, left))
}

// retryAfter estimates when the refusing lines will have a token for each
// request of the backlog since the last demand, served in sequence.
func (a *Account) retryAfter(route int) time.Duration {
	wait := minRetryAfter
	for _, i := range [2]int{0, route} {
		l := &a.lines[i]
		short := 1 - (l.balance + l.overdraft(a.listed))
		if short <= 0 {
			continue
		}
		backlog := math.Max(1, l.offered/4)
		wait = max(wait, seconds(short*backlog/l.Rate*a.shareOf(l)))
	}
	return min(wait, maxRetryAfter)
}

// shareOf returns the factor by which this account's part of the rate is smaller
// than the full rate: 1 while it has a grant, n without one.
func (a *Account) shareOf(l *line) float64 {
	if l.granted {
		return 1
	}
	return float64(a.listed)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
