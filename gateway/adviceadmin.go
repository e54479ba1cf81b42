package gateway

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/clementinereel/clementinereel/advice"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/targetrate"
)

// adviceReports returns the advice in force, sorted by target.
func (g *Gateway) adviceReports(now time.Time) []advice.Report {
	reports := make(map[fleet.TargetID]*advice.Report)
	report := func(id fleet.TargetID) *advice.Report {
		r := reports[id]
		if r == nil {
			r = &advice.Report{Target: id}
			if t := g.state.Targets().Target(id); t != nil {
				r.Service = t.Service
			}
			reports[id] = r
		}
		return r
	}
	for _, d := range g.state.Departures() {
		since := now.Add(-millis(d.AgeMillis))
		report(d.ID).LeavingSince = &since
	}
	for id, until := range g.knowledge.activeBackoffs(now) {
		report(id).BackoffUntil = &until
	}
	for _, n := range g.rates.table.Active() {
		r := report(n.Target)
		r.Rate, r.RateHolder = float64(n.Rate), g.rates.holder(now, n.Target)
	}
	all := make([]advice.Report, 0, len(reports))
	for _, r := range reports {
		all = append(all, *r)
	}
	slices.SortFunc(all, func(a, b advice.Report) int { return strings.Compare(string(a.Target), string(b.Target)) })
	return all
}

// listAdvice serves the advice in force to operators.
func (g *Gateway) listAdvice(c echo.Context) error {
	return c.JSON(http.StatusOK, g.adviceReports(time.Now()))
}

// liftAdvice ends the advice of a target for an operator: departure and rate on all instances, the
// backoff on this one. Later advice of the target takes effect again.
func (g *Gateway) liftAdvice(c echo.Context) error {
	id := fleet.TargetID(c.Param("target"))
	now := time.Now()
	lifted := g.knowledge.endBackoff(now, id)
	for _, d := range g.state.Departures() {
		if d.ID == id {
			d.Lifted, d.AgeMillis = true, 0
			lifted = g.applyDeparture(d, sourceOperator) || lifted
		}
	}
	if g.rates.table.Rate(id) > 0 {
		g.rates.recordNaming(targetrate.Announcement{Target: id, At: now})
		lifted = true
	}
	if !lifted {
		return c.String(http.StatusNotFound, "the target says nothing of itself that this instance knows")
	}
	return c.NoContent(http.StatusNoContent)
}
