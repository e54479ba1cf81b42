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

// learn takes in what an attempt's end says of its target.
func (c *call) learn(e attemptResult) {
	began := time.Now().Add(-e.result.Took)
	c.h.Metrics.CountAttempt(c.service, e.result.Kind)
	c.recordContent(e, began)
	c.recordRate(e, began)
	if e.result.Reused && e.result.Answer != nil {
		c.h.Knowledge.Rested(time.Now(), c.service, e.result.IdleFor)
	}
	if failed(&e.result) && c.h.Poison.RecordFailure(time.Now(), &c.content, e.placed.ID) {
		eventlog.Info(eventlog.RequestAtFault, "request", c.id, "service", c.service, "target", e.placed.ID)
		return // it says nothing of the target
	}
	switch res := e.result; res.Kind {
	case exchange.Answered:
		if res.Answer.Status == http.StatusGatewayTimeout {
			return // see Overdue
		}
		if failed(&res) {
			c.observe(e.placed, c.failure(res.Took), began, 0)
			return
		}
		c.h.Poison.RecordSuccess(time.Now(), &c.content, e.placed.ID)
		c.h.Knowledge.Answered(c.service, len(res.Answer.Body))
		c.observe(e.placed, suspicion.Success, began, res.Took)
	case exchange.Refused:
		if res.Answer.Status == http.StatusMisdirectedRequest {
			c.observe(e.placed, suspicion.WrongTarget, began, 0)
		}
	case exchange.Unsent:
		o := suspicion.Unreachable
		if errors.Is(res.Err, syscall.ECONNREFUSED) {
			o = suspicion.ConnRefused
		}
		c.observe(e.placed, o, began, 0)
	case exchange.Broken:
		o := c.failure(res.Took)
		if res.Reused && o == suspicion.QuickFailure && res.IdleFor >= restedLeast {
			c.observe(e.placed, suspicion.IdleReset, began, res.IdleFor)
			return
		}
		c.observe(e.placed, o, began, 0)
	case exchange.Overdue:
		// Nothing more than the watch told: a route's own timeout may be shorter
		// than its work.
	}
}

// failed tells whether a target may have run the request and did not serve it.
func failed(r *exchange.Result) bool {
	switch r.Kind {
	case exchange.Answered:
		return r.Answer.Status >= http.StatusInternalServerError || !forwardable(r.Answer)
	case exchange.Broken, exchange.Overdue:
		return true
	}
	return false
}

// atFault tells whether the request fails at each target.
func (c *call) atFault() bool { return c.h.Poison.AtFault(time.Now(), &c.content) }

// failure is the observation of a failure that came after the given time.
func (c *call) failure(took time.Duration) suspicion.Observation {
	return suspicion.ClassifyFailure(took, c.h.Knowledge.Durations(c.service).median)
}

// observeSlow records that an attempt takes longer than others do, unless the request does so everywhere.
func (c *call) observeSlow(p Placed, began time.Time) {
	if !c.atFault() {
		c.observe(p, suspicion.Slow, began, 0)
	}
}

// observe records an observation, and tells the others at once what may keep
// them from a sick target or bring one back. Took is how long a good attempt took, or
// a connection was idle that broke at once.
func (c *call) observe(p Placed, o suspicion.Observation, began time.Time, took time.Duration) {
	now := time.Now()
	c.h.Knowledge.Observe(now, c.service, p.ID, o, began, took)
	switch {
	case o != suspicion.Success || p.Doubtful:
		c.h.SendUpdate(c.h.Knowledge.News(now, p.ID))
	case p.crowded():
		c.sendLoad(p)
	}
}
