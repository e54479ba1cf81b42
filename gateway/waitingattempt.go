package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/quarantine"
	"github.com/clementinereel/clementinereel/retry/spending"
	"github.com/clementinereel/clementinereel/waitqueue"
)

// This file lets requests wait for a later attempt: those that targets rejected, those that failed and may be repeated
// if the retry budget allows no attempt now, and those that were not sent since all targets are in backoff (Retry-After).

// attempts returns the number of attempts so far.
func (r *attemptGroup) attempts() int { return r.earlier + len(r.tried) }

// mayWait reports whether a request whose last attempt had the given result may wait. Requests that another instance
// relayed have queueing unset.
func (r *attemptGroup) mayWait(e attemptResult) bool {
	if !r.c.queueing || r.running > 0 || r.c.r.Context().Err() != nil {
		return false
	}
	return r.rejected(e) || r.budgetDenied
}

// rejected reports whether the request was rejected by targets and has certainly not run, and whether the backoff of one
// target ends early enough for another attempt.
func (r *attemptGroup) rejected(e attemptResult) bool {
	if r.refused == 0 || !e.result.Kind.NotRun() || r.sent > 0 || r.fallback.kind != outcomeNotRun {
		return false
	}
	now := time.Now()
	return now.Add(r.c.backoffLeft(now)).Before(r.waitingRequest(now).LastStart)
}

// backoffLeft returns the time until the first backoff of the service's targets ends; 0 if one has none.
func (c *call) backoffLeft(now time.Time) time.Duration {
	return c.h.Knowledge.minBackoffLeft(now, c.h.State.Targets().Services[c.service])
}

// waitsForTarget reports whether a request that has not been sent waits, since all targets are in backoff and one of
// the backoffs ends in time.
func (r *attemptGroup) waitsForTarget() bool {
	c, now := r.c, time.Now()
	if !c.queueing || c.r.Context().Err() != nil || r.fallback.kind != outcomeNotRun {
		return false
	}
	rest := c.backoffLeft(now)
	return rest > 0 && now.Add(rest).Before(r.waitingRequest(now).LastStart)
}

// holdsBack reports whether a request waits instead of being tried again at once, as its service rejects requests
// widely.
func (r *attemptGroup) holdsBack(e attemptResult) bool {
	return e.result.Kind == exchange.Refused && r.mayWait(e) && r.rejected(e) && r.c.rejectedWidely()
}

// othersWait reports whether requests wait for the service.
func (c *call) othersWait() bool { return c.queueing && c.h.Waiting.Len(c.service) > 0 }

// spendAboveReserve takes another attempt from the retry budget, of which it leaves spending.ReservedShare. It is for
// services that reject requests widely.
func (r *attemptGroup) spendAboveReserve(reason string) bool {
	ok := r.c.h.Knowledge.SpendBudgetAbove(time.Now(), r.c.service, spending.ReservedShare, r.c.urgent())
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
// given up.
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
		if r.hasTime() && !r.failsEverywhere() && r.startAttempt() {
			return outcome{}, false
		}
		return r.fallback, true
	}
	eventlog.Info(eventlog.RequestGivenUp, "request", c.id, "service", c.service, "waited_ms", waited, "why", string(verdict), "attempts", r.attempts())
	if r.fallback.kind == outcomeNotRun {
		r.fallback.reason = string(verdict)
		r.fallback.retryAfter = c.waitingRetryAfter()
	}
	return r.fallback, true
}

// hasTime reports whether another attempt may end in time.
func (r *attemptGroup) hasTime() bool {
	return time.Until(r.c.deadline) >= minAttemptTime && time.Until(r.c.targetDeadline) >= minAttemptTime
}

// failsEverywhere reports whether a request that may have run is likely to fail or crash any target.
func (r *attemptGroup) failsEverywhere() bool {
	return r.sent > 0 && (r.c.standing() >= quarantine.Restricted || r.c.requestAtFault())
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

// resume prepares for attempts after a wait: all targets may be tried again, unless one may have run the request.
func (r *attemptGroup) resume() {
	if r.sent == 0 {
		r.earlier = r.attempts()
		r.tried, r.refused = nil, 0
	}
	r.budgetDenied = false
	if r.hedgeTimer != nil {
		r.hedgeTimer.Reset(r.c.h.Knowledge.LatencyBounds(r.c.service).hedgeDelay(0))
	}
}

// waitingRetryAfter returns the Retry-After of a request for which the budget had no attempt: the time in which it
// covers what waits and a target takes requests.
func (c *call) waitingRetryAfter() time.Duration {
	now := time.Now()
	covered := spending.RetryAfter(c.h.Knowledge.BudgetBalance(now, c.service), c.h.Waiting.Len(c.service))
	return min(max(covered, c.backoffLeft(now)), maxRetryAfter) + rand.N(minRetryAfter)
}
