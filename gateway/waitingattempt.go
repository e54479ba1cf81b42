package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/retry/spending"
	"github.com/clementinereel/clementinereel/waitqueue"
)

// This file lets a request that targets rejected wait for a later attempt.

// attempts returns the number of targets tried so far.
func (r *attemptGroup) attempts() int { return r.earlier + len(r.tried) }

// mayWait reports whether a request whose last attempt had the given result may wait: targets rejected it and it has
// certainly not run. Requests of other instances do not wait here.
func (r *attemptGroup) mayWait(e attemptResult) bool {
	return r.c.queueing && e.result.Kind == exchange.Refused && r.sent == 0 && r.running == 0 && r.fallback.kind == outcomeNotRun && r.c.r.Context().Err() == nil
}

// waitsForTarget reports whether a request that has not been sent waits, since all targets ask for rest and one of them
// takes requests again in time.
func (r *attemptGroup) waitsForTarget() bool {
	c, now := r.c, time.Now()
	if !c.queueing || c.r.Context().Err() != nil || r.fallback.kind != outcomeNotRun {
		return false
	}
	rest := c.h.Knowledge.minBackoffLeft(now, c.h.State.Targets().Services[c.service])
	return rest > 0 && now.Add(rest).Before(r.waitingRequest(now).LastStart)
}

// holdsBack reports whether a request waits instead of being tried again at once, as its service rejects requests
// widely.
func (r *attemptGroup) holdsBack(e attemptResult) bool { return r.mayWait(e) && r.c.rejectedWidely() }

// othersWait reports whether requests wait for the service.
func (c *call) othersWait() bool { return c.queueing && c.h.Waiting.Len(c.service) > 0 }

// spendReserved takes another attempt from the retry budget of a service that rejects requests widely.
func (r *attemptGroup) spendReserved(reason string) bool {
	ok := r.c.h.Knowledge.SpendBudgetAbove(time.Now(), r.c.service, spending.ReservedShare)
	event := eventlog.AttemptAdded
	if !ok {
		event = eventlog.AttemptNotAdded
		r.c.h.Metrics.BudgetRefused.Inc(1)
	}
	left := r.c.h.Knowledge.BudgetBalance(time.Now(), r.c.service).Tokens
	eventlog.Info(event, "request", r.c.id, "service", r.c.service, "why", reason, "budget_left", eventlog.Fraction(left), "reserved", true, "attempts", r.attempts())
	return ok
}

// waitForAttempt waits for a later attempt and starts it. It returns the outcome of the request and true if it is
// given up, as not run.
func (r *attemptGroup) waitForAttempt() (outcome, bool) {
	c := r.c
	began := time.Now()
	verdict := verdictStopping
	if !c.stopsBefore() {
		verdict = c.h.Waiting.wait(c.r.Context(), c.service, r.waitingRequest(began), c.stopsBefore, func(ahead int) {
			eventlog.Info(eventlog.RequestWaits, "request", c.id, "service", c.service, "rank", c.priority, "tenant", c.tenantName(), "ahead", ahead,
				"left_ms", time.Until(c.deadline).Milliseconds(), "attempts", r.attempts())
		})
	}
	c.h.Metrics.CountWaited(c.service, string(verdict))
	waited := time.Since(began).Milliseconds()
	if verdict == spending.Granted && c.r.Context().Err() == nil {
		eventlog.Info(eventlog.RequestResumed, "request", c.id, "service", c.service, "waited_ms", waited, "rejecting", c.rejectedWidely(), "attempts", r.attempts())
		r.resume()
		if r.startAttempt() {
			return outcome{}, false
		}
		return r.fallback, true
	}
	eventlog.Info(eventlog.RequestGivenUp, "request", c.id, "service", c.service, "waited_ms", waited, "why", string(verdict), "attempts", r.attempts())
	r.fallback.reason = string(verdict)
	r.fallback.retryAfter = c.waitingRetryAfter()
	return r.fallback, true
}

// stopsBefore reports whether the process may end before the request's deadline.
func (c *call) stopsBefore() bool { return c.h.shutsDownBefore(c.deadline) }

// waitingRequest describes the request in the queue.
func (r *attemptGroup) waitingRequest(now time.Time) waitqueue.Request {
	c := r.c
	durations := c.h.Knowledge.LatencyBounds(c.service)
	end := c.deadline
	if c.targetDeadline.Before(end) {
		end = c.targetDeadline
	}
	w := waitqueue.Request{
		Rank: c.priority, Weight: 1, Bytes: int64(len(c.request.Body)), Since: now,
		LastStart: end.Add(-max(durations.usual, minAttemptTime) - waitingInterval),
	}
	if c.tenant != nil {
		w.Tenant, w.Weight = c.tenant.Name, c.tenant.Rate
	}
	if c.route.Objective > 0 {
		w.ObjectiveStart = c.start.Add(c.route.Objective - durations.median)
	}
	return w
}

// resume prepares for attempts after a wait: all targets may be tried again.
func (r *attemptGroup) resume() {
	r.earlier = r.attempts()
	r.tried, r.refused = nil, 0
	if r.hedgeTimer != nil {
		r.hedgeTimer.Reset(r.c.h.Knowledge.LatencyBounds(r.c.service).hedgeDelay(0))
	}
}

// waitingRetryAfter returns the Retry-After of a request for which the budget had no attempt: the time in which it
// covers what waits.
func (c *call) waitingRetryAfter() time.Duration {
	b := c.h.Knowledge.BudgetBalance(time.Now(), c.service)
	return min(spending.RetryAfter(b, c.h.Waiting.Len(c.service)), maxRetryAfter) + rand.N(minRetryAfter)
}
