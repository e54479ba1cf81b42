package gateway

import (
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/suspicion"
)

// recordResult updates the state of the target with the result of an attempt.
func (c *call) recordResult(e attemptResult) {
	began := time.Now().Add(-e.result.Took)
	c.h.Metrics.CountAttempt(c.service, e.result.Kind)
	c.recordContent(e, began)
	c.recordRate(e, began)
	c.recordPath(e)
	c.recordRejection(e)
	if errors.Is(e.result.Err, exchange.ErrNoMemory) {
		return // neither the target nor the request is at fault
	}
	if e.result.Reused && e.result.Response != nil {
		c.h.Knowledge.RecordReuse(time.Now(), c.service, e.result.IdleFor)
	}
	if executionFailed(&e.result) && c.h.Poison.RecordFailure(time.Now(), &c.content, e.placed.ID) {
		eventlog.Info(eventlog.RequestAtFault, "request", c.id, "service", c.service, "target", e.placed.ID)
		return // the request is at fault, not the target
	}
	switch res := e.result; res.Kind {
	case exchange.Answered:
		if res.Response.Status == http.StatusGatewayTimeout {
			return // handled like exchange.TimedOut below
		}
		if executionFailed(&res) {
			c.observe(e.placed, c.classifyFailure(res.Took-res.Waited), began, 0)
			return
		}
		c.h.Poison.RecordSuccess(time.Now(), &c.content, e.placed.ID)
		c.h.Knowledge.RecordResponseSize(c.service, len(res.Response.Body))
		c.h.Responses.Record(c.route.Name, len(res.Response.Body))
		c.observe(e.placed, suspicion.Success, began, res.Took-res.Waited)
	case exchange.Refused:
		if res.Response.Status == http.StatusMisdirectedRequest {
			c.observe(e.placed, suspicion.WrongTarget, began, 0)
		}
	case exchange.Unsent:
		o := suspicion.Unreachable
		if errors.Is(res.Err, syscall.ECONNREFUSED) {
			o = suspicion.ConnRefused
		}
		c.observe(e.placed, o, began, 0)
	case exchange.Broken:
		o := c.classifyFailure(res.Took)
		// A response that exceeds a bound is the target's doing, however long the connection was idle.
		if res.Reused && o == suspicion.QuickFailure && res.IdleFor >= minRestedIdle && exchange.ExceededPart(res.Err) == "" {
			c.observe(e.placed, suspicion.IdleReset, began, res.IdleFor)
			return
		}
		c.observe(e.placed, o, began, 0)
	case exchange.TimedOut:
		// Slowness was recorded while the attempt was open. The timeout is no further evidence,
		// since a route's timeout may be shorter than its work.
	}
}

// executionFailed reports whether a target may have executed the request without serving it.
func executionFailed(r *exchange.Result) bool {
	switch r.Kind {
	case exchange.Answered:
		return r.Response.Status >= http.StatusInternalServerError || !forwardable(r.Response)
	case exchange.Broken, exchange.TimedOut:
		return true
	}
	return false
}

// requestAtFault reports whether the request fails at every target.
func (c *call) requestAtFault() bool { return c.h.Poison.AtFault(time.Now(), &c.content) }

// classifyFailure returns the observation for a failure after the given time.
func (c *call) classifyFailure(took time.Duration) suspicion.Observation {
	return suspicion.ClassifyFailure(took, c.h.Knowledge.LatencyBounds(c.service).median)
}

// observeOpen records that an attempt takes longer than usual, Slow or Stalled, unless the request itself
// is at fault.
func (c *call) observeOpen(p Placement, o suspicion.Observation, began time.Time) {
	if !c.requestAtFault() && !c.responses.isWaiting() {
		c.observe(p, o, began, 0)
	}
}

// observe records an observation and sends it to the other instances at once if it may keep them
// from an unhealthy target or show that a target is healthy again. took is the duration of a good
// attempt, or the idle time of a connection that broke at once.
func (c *call) observe(p Placement, o suspicion.Observation, began time.Time, took time.Duration) {
	now := time.Now()
	c.h.Knowledge.Observe(now, c.service, p.ID, o, began, took)
	switch {
	case o != suspicion.Success || p.Doubtful:
		c.h.SendUpdate(c.h.Knowledge.UrgentUpdate(now, p.ID))
	case p.fillsTarget():
		c.sendLoad(p)
	}
}
