package gateway

import (
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/targetrate"
)

// This file records the rates that targets and other instances report, and forwards them.

// applyRate applies a rate that another instance reported. Changes from another zone are forwarded
// within this one.
func (rs *Rates) applyRate(now time.Time, p *mesh.Packet, r mesh.TargetRate) {
	n, err := decodeNaming(now, r)
	if err != nil {
		rs.metrics.CountRateRefused(targetrate.OutOfRange)
		return
	}
	change := rs.table.ApplyReported(now, n)
	if r.Holder != "" && p.Zone != rs.zone {
		rs.table.SetReportedHolder(now, r.Target, r.Holder)
	}
	if change == targetrate.Unchanged {
		return
	}
	logRateChange(n, change, p.Addr, now)
	if p.Zone != rs.zone && !p.Relayed {
		rs.node.TellRates([]mesh.TargetRate{encodeNaming(now, n, "")}, false)
	}
}

// decodeNaming returns the naming of a target's rate that another instance sent, or an error if it is
// out of range.
func decodeNaming(now time.Time, r mesh.TargetRate) (targetrate.Announcement, error) {
	rate := targetrate.Rate(r.Permille) / permille
	if rate != 0 && (rate < targetrate.MinRate || rate > targetrate.MaxRate) || r.AgeMillis < 0 || r.AgeMillis > maxRateAge.Milliseconds() {
		return targetrate.Announcement{}, errors.Errorf("rate out of range: %v requests per second, %d ms old", rate, r.AgeMillis)
	}
	return targetrate.Announcement{Target: r.Target, Rate: rate, At: now.Add(-millis(r.AgeMillis))}, nil
}

// encodeNaming returns the naming as it is sent to other instances.
func encodeNaming(now time.Time, n targetrate.Announcement, holder string) mesh.TargetRate {
	return mesh.TargetRate{Target: n.Target, Permille: int64(permille * n.Rate), AgeMillis: now.Sub(n.At).Milliseconds(), Holder: holder}
}

// fill adds the current rates to a packet, with their holders in this zone.
func (rs *Rates) fill(now time.Time, p *mesh.Packet) {
	namings := rs.table.Shareable(now)
	if len(namings) == 0 {
		return
	}
	candidates := rs.candidates(now)
	for _, n := range namings[:min(len(namings), maxRatesPerPacket)] {
		holder := ""
		if rs.heldInZone(now, n.Target) {
			holder = targetrate.Holder(n.Target, candidates)
		}
		p.Rates = append(p.Rates, encodeNaming(now, n, holder))
	}
}

// recordNaming applies a naming that this instance received from a target, and announces changes.
func (rs *Rates) recordNaming(n targetrate.Announcement) {
	now := time.Now()
	change := rs.table.Apply(now, n)
	if change == targetrate.Unchanged {
		if inForce := rs.table.Latest(n.Target); n.Rate == 0 && inForce.Rate > 0 {
			logOutdatedEnd(n, inForce, now)
		}
		return
	}
	logRateChange(n, change, sourceSelf, now)
	rs.node.TellRates([]mesh.TargetRate{encodeNaming(now, n, "")}, true)
}

// recordRate records the target's rate from an attempt's response. A sealed response without a rate
// ends the rate.
func (c *call) recordRate(e attemptResult, began time.Time) {
	if e.result.Response == nil || c.h.Rates == nil {
		return
	}
	rate, named, err := targetrate.Parse(e.result.Response.Header.Values(c.h.Client.Headers.Rate))
	if err == nil && named && !authenticated(&e.result) {
		err = errors.WithStack(&targetrate.RefusedError{Cause: targetrate.Unverified})
	}
	switch {
	case err != nil:
		c.rejectRate(e, err)
	case named:
		c.h.Rates.recordNaming(targetrate.Announcement{Target: e.placed.ID, Rate: rate, At: time.Now()})
	case e.result.Response.Sealed && c.h.Rates.table.Rate(e.placed.ID) > 0:
		c.h.Rates.recordNaming(targetrate.Announcement{Target: e.placed.ID, At: began})
	}
}

// authenticated reports whether the response comes from the target itself: it is sealed, or is a
// refusal to run the request.
func authenticated(r *exchange.Result) bool { return r.Response.Sealed || r.Kind == exchange.Refused }

// rejectRate counts and logs a response header that is not a valid rate.
func (c *call) rejectRate(e attemptResult, err error) {
	var refused *targetrate.RefusedError
	if errors.As(err, &refused) {
		c.h.Metrics.CountRateRefused(refused.Cause)
	}
	eventlog.Info(eventlog.RateRefused, "request", c.id, "service", c.service, "target", e.placed.ID, "why", err.Error(), "in_force", c.h.Rates.table.Rate(e.placed.ID))
}

// logOutdatedEnd logs that a response without a rate did not end the rate in force, because that was
// announced after the start of its attempt.
func logOutdatedEnd(n, inForce targetrate.Announcement, now time.Time) {
	eventlog.Info(eventlog.RateEndOutdated, "target", n.Target, "rate", float64(inForce.Rate), "age_ms", now.Sub(n.At).Milliseconds(), "in_force_age_ms", now.Sub(inForce.At).Milliseconds())
}

// logRateChange logs a change of a target's rate.
func logRateChange(n targetrate.Announcement, change targetrate.Change, by string, now time.Time) {
	eventlog.Info(eventlog.RateAnnounced, "target", n.Target, "change", change, "rate", float64(n.Rate), "by", by, "age_ms", now.Sub(n.At).Milliseconds())
}
