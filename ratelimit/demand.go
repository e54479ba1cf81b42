package ratelimit

import (
	"math"
	"time"
)

// due tells whether the account should send a demand now.
func (a *Account) due(now time.Time) bool {
	since := now.Sub(a.asked)
	if a.waiting && since < answerWithin {
		return false
	}
	if a.pause > askEvery && !a.used.After(a.asked) {
		return since >= maxPause
	}
	if a.urgent {
		return since >= max(askUrgently, a.pause)
	}
	if a.rare() {
		return false
	}
	if a.wants(0.25) {
		return since >= max(askEvery, a.pause)
	}
	if now.Sub(a.used) < keepAlive && since >= keepAlive {
		return true
	}
	return a.wants(0) && since >= askLazily
}

// wants tells whether a line lacks more than the given part of its target.
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

// idle tells whether the account can be forgotten.
func (a *Account) idle(now time.Time) bool {
	if now.Sub(a.used) < idleAfter {
		return false
	}
	for i := range a.lines {
		if a.lines[i].inFlight > 0 || a.lines[i].balance < -minDebt {
			return false
		}
	}
	return true
}

// demand makes the account's next demand.
func (a *Account) demand(now time.Time) Demand {
	a.settle(now)
	if !a.waiting {
		a.waitedAt = now
	}
	a.seq = a.seqs.Add(1)
	a.asked, a.waiting, a.urgent = now, true, false
	d := Demand{Customer: a.customer, Holder: a.holder, Seq: a.seq, Applied: a.applied}
	d.Limits = make([]LimitDemand, 0, len(a.lines))
	for i := range a.lines {
		l := &a.lines[i]
		if a.tells(now, l) {
			d.Limits = append(d.Limits, a.demandLine(now, l))
		}
	}
	return d
}

// tells tells whether a demand should mention the line: since it lacks tokens
// or slots, or since it is used and was not mentioned for long.
func (a *Account) tells(now time.Time, l *line) bool {
	lack := a.target(l) - l.balance
	if lack >= 1 || a.dry(l) || a.full(l) {
		return true
	}
	used := l.offered > 0 || l.inFlight > 0 || l.rate >= 0.01
	return used && now.Sub(l.told) >= keepAlive
}

func (a *Account) demandLine(now time.Time, l *line) LimitDemand {
	interval := now.Sub(l.told).Seconds()
	l.told = now
	want := math.Max(a.target(l), math.Min(l.offered-l.own(a.listed), l.Burst)) - l.balance
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

// average folds the requests offered since the last demand into the rate and
// begins the next count.
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

// Slots wanted beyond the mean in flight: standard deviations of a Poisson
// arrival, and a part for accounts with hardly any traffic. With 2 deviations
// more than one request in a hundred was refused at a tenth of the limit; with
// a larger part, the wants of 44 little used accounts crowd out a busy one.
const (
	slotSpread = 3
	spareSlots = 0.5
)

// wantSlots is the concurrency that would refuse few of the requests that
// were offered, given the mean number in flight of those that entered.
func (l *line) wantSlots(busy float64) int {
	mean := busy
	if l.entered > 0 {
		mean = busy * math.Max(1, l.offered/l.entered)
	}
	return max(l.inFlight+1, int(math.Ceil(mean+slotSpread*math.Sqrt(mean)+spareSlots)))
}

// apply books a grant; late and repeated ones have no effect.
func (a *Account) apply(now time.Time, g Grant) bool {
	if !a.waiting || g.Seq != a.seq || g.Stale {
		return false
	}
	a.waiting = false
	if now.Sub(a.asked) > g.Lifetime {
		return false
	}
	a.applied = g.Seq
	a.heard = a.asked
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
		l.at = now
		dry, full, tokens = dry || a.dry(l), full || a.full(l), tokens+lg.Tokens
	}
	a.pause = a.nextPause(dry, full, tokens)
	return true
}

// nextPause grows while grants bring not even one token to an account that is
// dry.
func (a *Account) nextPause(dry, full bool, tokens float64) time.Duration {
	switch {
	case !dry && !full:
		return 0
	case !dry || tokens >= 1:
		return askEvery
	}
	return min(maxPause, max(askEvery, 2*a.pause))
}
