package ratelimit

import (
	"math"
	"time"
)

// due reports whether the account should send a demand now.
func (a *Account) due(now time.Time) bool {
	since := now.Sub(a.lastDemandAt)
	if a.waiting && since < grantTimeout {
		return false
	}
	if a.pause > demandInterval && !a.used.After(a.lastDemandAt) {
		return since >= maxPause
	}
	if a.urgent {
		return since >= max(urgentDemandInterval, a.pause)
	}
	if a.rarelyUsed() {
		return false
	}
	if a.wants(0.25) {
		return since >= max(demandInterval, a.pause)
	}
	if now.Sub(a.used) < keepAliveInterval && since >= keepAliveInterval {
		return true
	}
	return a.wants(0) && since >= smallDemandInterval
}

// wants reports whether a line lacks more than the given part of its target.
func (a *Account) wants(part float64) bool {
	for i := range a.lines {
		l := &a.lines[i]
		lack := a.target(l) - l.balance
		if lack >= 1 && lack > part*a.target(l)+1 {
			return true
		}
		if part == 0 && lack >= 1 {
			return true
		}
	}
	return false
}

// idle reports whether the account can be removed.
func (a *Account) idle(now time.Time) bool {
	if now.Sub(a.used) < idleTimeout {
		return false
	}
	for i := range a.lines {
		if a.lines[i].inFlight > 0 || a.lines[i].balance < -minDebt {
			return false
		}
	}
	return true
}

// demand returns the account's next demand.
func (a *Account) demand(now time.Time) Demand {
	a.settle(now)
	if !a.waiting {
		a.waitingSince = now
	}
	a.seq = a.seqs.Add(1)
	a.lastDemandAt, a.waiting, a.urgent = now, true, false
	d := Demand{Customer: a.customer, Holder: a.holder, Seq: a.seq, Applied: a.applied}
	d.Limits = make([]LimitDemand, 0, len(a.lines))
	for i := range a.lines {
		l := &a.lines[i]
		if a.needsReport(now, l) {
			d.Limits = append(d.Limits, a.demandLine(now, l))
		}
	}
	return d
}

// needsReport reports whether a demand should include the line: it lacks tokens
// or slots, or it is in use and was last included keepAliveInterval ago or more.
func (a *Account) needsReport(now time.Time, l *line) bool {
	lack := a.target(l) - l.balance
	if lack >= 1 || a.dry(l) || a.full(l) {
		return true
	}
	used := l.offered > 0 || l.inFlight > 0 || l.rate >= 0.01
	return used && now.Sub(l.reportedAt) >= keepAliveInterval
}

func (a *Account) demandLine(now time.Time, l *line) LimitDemand {
	interval := now.Sub(l.reportedAt).Seconds()
	l.reportedAt = now
	want := math.Max(a.target(l), math.Min(l.offered-l.overdraft(a.listed), l.Burst)) - l.balance
	d := LimitDemand{ID: l.ID, Balance: l.balance, Want: math.Max(0, want), InFlight: l.inFlight}
	if l.granted {
		d.Slots = l.slots
	}
	if l.Concurrency > 0 {
		l.busyUntil(now)
		d.Busy = l.meanBusy(interval)
		d.WantSlots = l.wantSlots(d.Busy)
	}
	l.average(interval)
	d.Offered = l.rate
	return d
}

// average updates the average rate with the requests offered since the last
// demand and resets the counters.
func (l *line) average(interval float64) {
	if interval > 0 {
		keep := math.Exp(-interval / smoothing.Seconds())
		l.rate = l.rate*keep + l.offered/interval*(1-keep)
	}
	l.offered, l.entered, l.busy = 0, 0, 0
}

func (l *line) meanBusy(interval float64) float64 {
	if interval <= 0 {
		return float64(l.inFlight)
	}
	return l.busy / interval
}

// Slots wanted beyond the mean in flight: standard deviations of Poisson
// arrivals, and a constant part for accounts with little traffic. With 2
// deviations more than 1 % of requests were refused at a tenth of the limit;
// with a larger constant, the wants of 44 rarely used accounts displace a busy one.
const (
	slotSpread = 3
	spareSlots = 0.5
)

// wantSlots returns the concurrency that would refuse few of the offered
// requests, given the mean number in flight of those that were admitted.
func (l *line) wantSlots(busy float64) int {
	mean := busy
	if l.entered > 0 {
		mean = busy * math.Max(1, l.offered/l.entered)
	}
	return max(l.inFlight+1, int(math.Ceil(mean+slotSpread*math.Sqrt(mean)+spareSlots)))
}

// apply records a grant and reports whether it took effect; late and repeated
// grants have none.
func (a *Account) apply(now time.Time, g Grant) bool {
	if !a.waiting || g.Seq != a.seq || g.Stale {
		return false
	}
	a.waiting = false
	if now.Sub(a.lastDemandAt) > g.Lifetime {
		return false
	}
	a.applied = g.Seq
	a.lastGrantAt = a.lastDemandAt
	dry, full, tokens := false, false, 0.0
	for i := range g.Limits {
		lg := &g.Limits[i]
		j := a.index(lg.ID)
		if j < 0 {
			continue
		}
		l := &a.lines[j]
		l.balance += math.Max(0, lg.Tokens)
		l.slots, l.granted, l.level, l.share = lg.Slots, true, lg.Level, lg.Share
		l.settledAt = now
		dry, full, tokens = dry || a.dry(l), full || a.full(l), tokens+lg.Tokens
	}
	a.pause = a.nextPause(dry, full, tokens)
	return true
}

// nextPause doubles the pause, up to maxPause, while grants bring less than one
// token to an account that is low on tokens.
func (a *Account) nextPause(dry, full bool, tokens float64) time.Duration {
	switch {
	case !dry && !full:
		return 0
	case !dry || tokens >= 1:
		return demandInterval
	}
	return min(maxPause, max(demandInterval, 2*a.pause))
}
