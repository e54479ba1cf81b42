package gateway

import (
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/targetrate"
)

// This file takes in what targets and other instances tell of rates, and passes it on.

// hear takes in a rate that another instance tells. What is news from another zone is passed on to the own
// one.
func (rs *Rates) hear(now time.Time, p *mesh.Packet, r mesh.TargetRate) {
	n, err := heardNaming(now, r)
	if err != nil {
		rs.metrics.CountRateRefused(targetrate.OutOfRange)
		return
	}
	change := rs.table.Apply(now, n)
	if r.Holder != "" && p.Zone != rs.zone {
		rs.table.SetReportedHolder(now, r.Target, r.Holder)
	}
	if change == targetrate.Unchanged {
		return
	}
	logRate(n, change, p.Addr, now)
	if p.Zone != rs.zone && !p.Relayed {
		rs.node.TellRates([]mesh.TargetRate{toldRate(now, n, "")}, false)
	}
}

// heardNaming is what another instance tells of a target's rate.
func heardNaming(now time.Time, r mesh.TargetRate) (targetrate.Announcement, error) {
	rate := targetrate.Rate(r.Permille) / permille
	if rate != 0 && (rate < targetrate.MinRate || rate > targetrate.MaxRate) || r.AgeMillis < 0 || r.AgeMillis > oldestRate.Milliseconds() {
		return targetrate.Announcement{}, errors.Errorf("%v requests a second, %d ms ago", rate, r.AgeMillis)
	}
	return targetrate.Announcement{Target: r.Target, Rate: rate, At: now.Add(-millis(r.AgeMillis))}, nil
}

// toldRate is a naming as it is told.
func toldRate(now time.Time, n targetrate.Announcement, holder string) mesh.TargetRate {
	return mesh.TargetRate{Target: n.Target, Permille: int64(permille * n.Rate), AgeMillis: now.Sub(n.At).Milliseconds(), Holder: holder}
}

// fill puts the rates that are known into a packet, with who of the own zone holds them.
func (rs *Rates) fill(now time.Time, p *mesh.Packet) {
	namings := rs.table.Shareable(now)
	if len(namings) == 0 {
		return
	}
	candidates := rs.candidates(now)
	for _, n := range namings[:min(len(namings), ratesMost)] {
		holder := ""
		if rs.ours(now, n.Target) {
			holder = targetrate.Holder(n.Target, candidates)
		}
		p.Rates = append(p.Rates, toldRate(now, n, holder))
	}
}

// learn takes in what an attempt of this instance says of its target's rate, and tells the others what
// is news.
func (rs *Rates) learn(n targetrate.Announcement) {
	now := time.Now()
	change := rs.table.Apply(now, n)
	if change == targetrate.Unchanged {
		return
	}
	logRate(n, change, fromSelf, now)
	rs.node.TellRates([]mesh.TargetRate{toldRate(now, n, "")}, true)
}

// learnRate takes in what an attempt's end says of its target's rate.
func (c *call) learnRate(e attemptResult, began time.Time) {
	if e.result.Answer == nil || c.h.Rates == nil {
		return
	}
	rate, named, err := targetrate.Parse(e.result.Answer.Header.Values(c.h.Client.Headers.Rate))
	if err == nil && named && !vouched(&e.result) {
		err = errors.WithStack(&targetrate.RefusedError{Cause: targetrate.Unverified})
	}
	switch {
	case err != nil:
		c.refuseRate(e, err)
	case named:
		c.h.Rates.learn(targetrate.Announcement{Target: e.placed.ID, Rate: rate, At: time.Now()})
	case e.result.Answer.Sealed && c.h.Rates.table.Rate(e.placed.ID) > 0:
		c.h.Rates.learn(targetrate.Announcement{Target: e.placed.ID, At: began})
	}
}

// vouched tells whether the answer is the target's own: sealed, or a refusal to run the request.
func vouched(r *exchange.Result) bool { return r.Answer.Sealed || r.Kind == exchange.Refused }

// refuseRate notes that what a target named is no rate.
func (c *call) refuseRate(e attemptResult, err error) {
	var refused *targetrate.RefusedError
	if errors.As(err, &refused) {
		c.h.Metrics.CountRateRefused(refused.Cause)
	}
	eventlog.Info(eventlog.RateRefused, "request", c.id, "service", c.service, "target", e.placed.ID, "why", err.Error(), "in_force", c.h.Rates.table.Rate(e.placed.ID))
}

// logRate tells what changed of a target's rate.
func logRate(n targetrate.Announcement, change targetrate.Change, by string, now time.Time) {
	eventlog.Info(eventlog.RateNamed, "target", n.Target, "change", change, "rate", float64(n.Rate), "by", by, "age_ms", now.Sub(n.At).Milliseconds())
}
