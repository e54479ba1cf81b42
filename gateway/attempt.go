package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/placement"
	"github.com/clementinereel/clementinereel/quarantine"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/suspicion"
	"github.com/clementinereel/clementinereel/wait"
)

// outcomeKind is how a request ended.
type outcomeKind string

const (
	// outcomeAnswered means that a target sent a complete response.
	outcomeAnswered outcomeKind = "answered"
	// outcomeNotRun means that no target has run the request, and none will.
	outcomeNotRun outcomeKind = "not-run"
	// outcomeUnknown means that a target may have run the request.
	outcomeUnknown outcomeKind = "unknown"
	// outcomeTimedOut means that the deadline passed and a target may have run the request.
	outcomeTimedOut outcomeKind = "late"
)

// reasonNoRequestsNow is the reason of a refusal if no target accepts the request now
// because of rates or backoffs.
const reasonNoRequestsNow = "targets take no more requests now"

// reasonStopping is the reason of a refusal by an instance that ends before the request may.
const reasonStopping = "the instance is stopping"

// reasonTimedOut is the reason of outcomeTimedOut.
const reasonTimedOut = "no answer in time"

// outcome is the combined result of all attempts of a request.
type outcome struct {
	kind     outcomeKind
	response *exchange.Response
	target   fleet.TargetID
	attempts int
	reason   string
	// retryAfter is the Retry-After of a request that was not run; 0 if there is no estimate.
	retryAfter time.Duration
}

// Limits of the attempts of one request.
const (
	// maxTargets bounds the targets tried for one request. It includes those that refused
	// it or were unreachable, as an instance may have lost its paths to most targets.
	maxTargets = 14
	// maxRefusals bounds the targets that refuse one request.
	maxRefusals = 4
	// minAttemptTime is the remaining time below which no retry is started.
	minAttemptTime = 60 * time.Millisecond
	// placementTimeout bounds the search for a target whose rate allows a request. Each
	// rate holder that is queried responds within a few milliseconds.
	placementTimeout = 60 * time.Millisecond
	// maxHedgeUtilization is the utilization of a service's slots above which hedges
	// would take slots from first attempts.
	maxHedgeUtilization = 0.55
)

// stalledFactor is the age at which an open attempt counts as stalled, in slow bounds.
const stalledFactor = 2

// attemptGroup runs the attempts of one request.
type attemptGroup struct {
	c       *call
	ctx     context.Context
	results chan attemptResult
	tried   []fleet.TargetID
	pending []pendingAttempt
	running int
	// sent counts the finished attempts that may have run, refused those that targets refused.
	sent, refused int
	// unreachable counts the targets to which no connection could be opened.
	unreachable int
	// fallback is the best outcome so far. It is returned if no attempt succeeds.
	fallback outcome
	hedged   bool
	// hedgeTimer fires when a hedge is due; nil before the first attempt.
	hedgeTimer *time.Timer
	// budgetDenied is set if the retry budget alone did not allow another attempt.
	budgetDenied bool
	// earlier is the number of attempts that are no longer in tried, as the request has waited since.
	earlier int
	// relayAsked is set once other instances were asked to take the request.
	relayAsked bool
}

// pendingAttempt is an attempt that has not ended yet.
type pendingAttempt struct {
	placed    Placement
	startedAt time.Time
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	placed Placement
	result exchange.Result
}

// runAttempts runs the attempts of the request and returns their outcome.
func (c *call) runAttempts() outcome {
	ctx, cancel, detach := c.attemptContext()
	r := &attemptGroup{c: c, ctx: ctx, results: make(chan attemptResult, maxTargets), fallback: outcome{kind: outcomeNotRun, reason: "no target is known"}}
	defer r.drain(cancel)
	defer detach()
	if c.h.Paths.IsLost(c.service) {
		if o, ok := r.relay(); ok {
			return o
		}
	}
	if !r.startAttempt() {
		if !r.waitsForTarget() {
			return r.fallback
		}
		if o, done := r.waitForAttempt(); done {
			return o
		}
	}
	return r.run()
}

// drain waits in the background for the attempts that still run, as canceling them would
// waste the work of their targets, and records their results. If the caller has
// disconnected from a repeatable request, their context is already canceled.
func (r *attemptGroup) drain(cancel context.CancelFunc) {
	if r.running == 0 {
		cancel()
		return
	}
	running := r.running
	r.c.responses.share()
	go func() {
		defer cancel()
		defer r.c.responses.Release()
		for range running {
			e := <-r.results
			r.c.recordResult(e)
		}
	}()
}

func (r *attemptGroup) run() outcome {
	durations := r.c.h.Knowledge.LatencyBounds(r.c.service)
	hedge := time.NewTimer(durations.hedgeDelay(r.c.route.Objective))
	r.hedgeTimer = hedge
	defer hedge.Stop()
	end := time.NewTimer(time.Until(r.c.deadline))
	defer end.Stop()
	for {
		select {
		case e := <-r.results:
			r.running--
			r.pending = slices.DeleteFunc(r.pending, func(o pendingAttempt) bool { return o.placed.ID == e.placed.ID })
			r.c.recordResult(e)
			if o, done := r.handleResult(e); done {
				return o
			}
		case <-hedge.C:
			r.hedge(durations.median)
		case <-end.C:
			return r.timeOut()
		case <-r.ctx.Done():
			return outcome{kind: outcomeUnknown, reason: "the caller left"}
		}
	}
}

// hedgeDelay returns the age of an attempt at which a hedge is started: early enough for
// the hedge to end within the objective, but not before most attempts have ended.
func (b latencyBounds) hedgeDelay(objective time.Duration) time.Duration {
	const spare = 1.3 // time reserved for the hedge, in medians
	if objective <= 0 {
		return b.slow
	}
	return max(min(b.slow, objective-time.Duration(spare*float64(b.median))), b.usual)
}

func (r *attemptGroup) timeOut() outcome {
	for _, o := range r.pending {
		eventlog.Info(eventlog.AttemptOpen, "request", r.c.id, "route", r.c.route.Name, "service", r.c.service, "target", o.placed.ID,
			"addr", o.placed.Addr, "age_ms", time.Since(o.startedAt).Milliseconds(), "fails", eventlog.Fraction(o.placed.FailProbability), "in_flight", o.placed.InFlight, "slots", o.placed.Slots, "class", r.c.route.Class)
	}
	if r.fallback.response != nil {
		return r.fallback
	}
	return outcome{kind: outcomeTimedOut, reason: reasonTimedOut, attempts: r.attempts()}
}

// handleResult handles the result of an attempt. It returns the outcome of the request and
// true if that is final.
func (r *attemptGroup) handleResult(e attemptResult) (outcome, bool) {
	o := r.classify(e)
	if o.response != nil && o.response.Status < http.StatusInternalServerError {
		r.logLaterAnswer(e)
		return o, true
	}
	r.updateFallback(o)
	r.logFailure(e, o)
	if r.running > 0 {
		return outcome{}, false
	}
	if failedToConnect(&e.result) {
		r.unreachable++
	}
	if r.unreachable >= relayAfterUnreachable && r.sent == 0 {
		if o, ok := r.relay(); ok {
			return o, true
		}
	}
	if !r.holdsBack(e) && r.retry(e) {
		return outcome{}, false
	}
	if r.mayWait(e) {
		return r.waitForAttempt()
	}
	return r.fallback, true
}

// relay passes the request on to another instance, once. It returns the outcome of the request and true
// if one has taken it, or if none can serve it and this instance has lost its paths: attempts would only
// hold it then. Otherwise this instance goes on, as it may yet reach a target.
func (r *attemptGroup) relay() (outcome, bool) {
	if r.relayAsked {
		return outcome{}, false
	}
	if r.refuseUnended() {
		return r.fallback, true
	}
	r.relayAsked = true
	o, result := r.c.relay(r.ctx)
	return o, result == relayTaken || result == relayDeclined && r.c.h.Paths.IsLost(r.c.service)
}

// classify returns the outcome that the attempt alone would give the request, and counts
// the attempt.
func (r *attemptGroup) classify(e attemptResult) outcome {
	o := outcome{target: e.placed.ID, attempts: r.attempts()}
	switch e.result.Kind {
	case exchange.Answered:
		r.sent++
		o.kind, o.reason = outcomeUnknown, "the target's answer bears no proof"
		if forwardable(e.result.Response) {
			o.kind, o.response, o.reason = outcomeAnswered, e.result.Response, ""
		}
	case exchange.Refused:
		r.refused++
		o.kind, o.reason = outcomeNotRun, "targets refused it"
	case exchange.Unsent:
		o.kind, o.reason = outcomeNotRun, "targets were out of reach"
	case exchange.NotAdmitted:
		o.kind, o.reason = outcomeNotRun, "targets take no more requests"
	case exchange.TimedOut:
		r.sent++
		o.kind, o.reason = outcomeTimedOut, reasonTimedOut
	default:
		r.sent++
		o.kind, o.reason = outcomeUnknown, "the answer was lost"
	}
	return o
}

// forwardable reports whether a response may be forwarded unchanged. A success must be
// sealed. A status that implies that the request was not run is not forwarded: a target
// that proves this yields exchange.Refused instead.
func forwardable(a *exchange.Response) bool {
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	return a.Sealed || a.Status/100 != 2
}

// updateFallback keeps the outcome that describes the request best: a response before an
// unknown outcome, and that before a refusal.
func (r *attemptGroup) updateFallback(o outcome) {
	rank := map[outcomeKind]int{outcomeNotRun: 1, outcomeUnknown: 2, outcomeTimedOut: 2, outcomeAnswered: 3}
	if rank[o.kind] >= rank[r.fallback.kind] {
		r.fallback = o
	}
}

// retry starts another attempt after a failed one, if that is allowed.
func (r *attemptGroup) retry(e attemptResult) bool {
	notRun := e.result.Kind.NotRun()
	reason := ""
	switch {
	case r.c.r.Context().Err() != nil:
		reason = "the caller left"
	case !notRun && !r.c.repeatable():
		reason = "must not run twice"
	case r.sent >= r.c.route.MaxAttempts:
		reason = "route's attempts are used up"
	case r.refused >= maxRefusals || len(r.tried) >= maxTargets:
		reason = "too many targets tried"
	case !r.hasTime():
		reason = "no time left"
	case r.sent > 0 && r.c.standing() >= quarantine.Restricted:
		reason = "its content may crash targets"
	case !notRun && r.c.requestAtFault():
		reason = "it fails at each target"
	case e.result.Kind.MayHaveArrived() && !r.spendBudget("again"):
		r.budgetDenied = true
		return false
	}
	if reason == "" && r.startAttempt() {
		return true
	}
	if reason == "" {
		reason = "no other target"
	}
	eventlog.Info(eventlog.AttemptNotAdded, "request", r.c.id, "service", r.c.service, "why", reason, "attempts", r.attempts())
	return false
}

// hedge starts another attempt beside a slow one, if that is allowed.
func (r *attemptGroup) hedge(median time.Duration) {
	if r.c.r.Context().Err() != nil || r.hedged || r.running != 1 || !r.c.repeatable() || r.sent+r.running >= r.c.route.MaxAttempts {
		return
	}
	targets := r.c.h.State.Targets().Services[r.c.service]
	slots := func(t *registry.Target) float64 { return r.c.h.Rates.slots(t, median) }
	if time.Until(r.c.targetDeadline) < median/2 || r.c.h.Knowledge.Utilization(time.Now(), targets, slots) > maxHedgeUtilization {
		return
	}
	r.hedged = true
	if r.c.standing() >= quarantine.Suspected || r.c.requestAtFault() {
		return
	}
	if !r.c.othersWait() && r.spendBudget("hedge") {
		r.startAttempt()
	}
}

// spendBudget takes another attempt from the retry budget, with a loan if necessary. It
// returns false if the budget does not allow the attempt.
func (r *attemptGroup) spendBudget(reason string) bool {
	if r.c.rejectedWidely() {
		return r.spendAboveReserve(reason)
	}
	left, ok := r.c.h.Knowledge.SpendBudget(time.Now(), r.c.service, r.c.urgent())
	if !ok && r.borrowBudget() {
		left, ok = r.c.h.Knowledge.SpendBudget(time.Now(), r.c.service, r.c.urgent())
	}
	event := eventlog.AttemptAdded
	if !ok {
		event = eventlog.AttemptNotAdded
		r.c.h.Metrics.BudgetRefused.Inc(1)
	}
	eventlog.Info(event, "request", r.c.id, "service", r.c.service, "why", reason, "budget_left", eventlog.Fraction(left), "attempts", r.attempts())
	return ok
}

// borrowBudget requests loans from neighbours and waits for them, unless the last request
// was less than loanRequestInterval ago.
func (r *attemptGroup) borrowBudget() bool {
	requests := r.c.h.Knowledge.LoanRequests(time.Now(), r.c.service)
	if requests == nil {
		return false
	}
	r.c.h.RequestLoans(requests, loanPeers)
	return wait.For(r.ctx, loanTimeout)
}

// maxUrgentPriority is the largest priority of urgent requests; 0 is the most urgent.
const maxUrgentPriority = 1

// urgent reports whether the request may use the part of the service's retry budget that
// is reserved for urgent requests.
func (c *call) urgent() bool { return isUrgent(c.priority) }

func isUrgent(priority int) bool { return priority <= maxUrgentPriority }

// startAttempt starts an attempt at the target with the lowest expected cost. It returns
// false if there is no target.
func (r *attemptGroup) startAttempt() bool {
	if r.refuseUnended() {
		return false
	}
	c := r.c
	now := time.Now()
	targets := c.h.State.Targets().Services[c.service]
	last := r.sent+r.running+1 >= c.route.MaxAttempts
	w := placement.Work{Retryable: c.cheapToRepeat() && !last, KB: float64(len(c.request.Body)) / 1024, Objective: c.route.Objective}
	p, ok := r.place(now, targets, w)
	if !ok {
		return false
	}
	r.tried = append(r.tried, p.ID)
	r.pending = append(r.pending, pendingAttempt{p, now})
	r.running++
	c.sendLoad(p)
	go r.send(p)
	return true
}

// refuseUnended reports whether the request has not run and could be cut by the end of the process. It is
// asked before each attempt: a body may have arrived, or a target rejected the request, late in a stop. The
// request is then refused while that is still true; one that may have run goes on.
func (r *attemptGroup) refuseUnended() bool {
	if r.sent > 0 || r.running > 0 || r.fallback.kind != outcomeNotRun || !r.c.stopsBefore() {
		return false
	}
	r.fallback = outcome{kind: outcomeNotRun, reason: reasonStopping}
	return true
}

// place chooses a target whose rate limit, if it has announced one, allows the request.
func (r *attemptGroup) place(now time.Time, targets []*registry.Target, w placement.Work) (Placement, bool) {
	denied := r.c.h.Rates.denied(now, targets)
	if len(r.tried) > 0 {
		if rejecting := r.c.targetsOfRejectingZones(targets); len(rejecting) > 0 {
			if p, ok := r.placeExcept(now, targets, slices.Concat(denied, rejecting), w); ok {
				return p, true
			}
		}
	}
	return r.placeExcept(now, targets, denied, w)
}

// placeExcept chooses one of the targets that are not withheld.
func (r *attemptGroup) placeExcept(now time.Time, targets []*registry.Target, withheld []fleet.TargetID, w placement.Work) (Placement, bool) {
	c := r.c
	for time.Since(now) <= placementTimeout {
		p, ok := c.h.Knowledge.Place(now, c.service, targets, r.tried, withheld, w, r.hasIdle)
		if !ok {
			break
		}
		if c.h.Rates.Admit(r.ctx, p.ID, c.urgent()) {
			return p, true
		}
		c.h.Knowledge.Withdraw(p)
		withheld = append(withheld, p.ID)
	}
	r.explainNoTarget(now, targets, len(withheld))
	return Placement{}, false
}

// hasIdle reports whether there is a connection to the target that may carry the next attempt.
func (r *attemptGroup) hasIdle(t exchange.Target, maxIdle time.Duration) bool {
	cache := r.c.h.Client.Cache
	if r.attempts() == 0 {
		return cache.HasIdle(t, maxIdle)
	}
	return cache.HasIdleFor(t, r.c.id, maxIdle)
}

// explainNoTarget sets the reason and the Retry-After of the fallback if no target takes
// requests now, either because this instance backs off from all of them or because the
// rates of n targets did not allow the request.
func (r *attemptGroup) explainNoTarget(now time.Time, targets []*registry.Target, n int) {
	if r.fallback.kind != outcomeNotRun {
		return
	}
	if backoff := r.c.h.Knowledge.minBackoffLeft(now, targets); backoff > 0 {
		r.fallback.reason = reasonNoRequestsNow
		r.fallback.retryAfter = min(backoff, maxRetryAfter) + rand.N(minRetryAfter)
		return
	}
	if n > 0 && len(r.tried) == 0 {
		r.fallback.reason = reasonNoRequestsNow
		r.fallback.retryAfter = r.c.h.Rates.retryAfter(now, r.c.service, targets)
	}
}

// sendLoad sends this instance's number of requests in flight at the target to the instances
// that may also choose the target.
func (c *call) sendLoad(p Placement) {
	k := c.h.Knowledge
	c.h.SendLoad(k.InFlight(p.ID), func(addr string) bool { return k.ShouldNotify(addr, &p) })
}

// send sends the request to one target and delivers the result to r.results.
func (r *attemptGroup) send(p Placement) {
	c := r.c
	slow := time.Duration(float64(c.h.Knowledge.LatencyBounds(c.service).slow) * p.queueRounds())
	start := time.Now()
	slowTimer := time.AfterFunc(slow, func() { c.observeOpen(p, suspicion.Slow, start) })
	stalledTimer := time.AfterFunc(stalledFactor*slow, func() { c.observeOpen(p, suspicion.Stalled, start) })
	res := c.h.Client.Do(r.ctx, exchangeTarget(p.Target), c.request, c.targetDeadline, c.deadline, p.MaxIdle)
	slowTimer.Stop()
	stalledTimer.Stop()
	if res.Kind == exchange.NotAdmitted {
		c.h.Knowledge.Withdraw(p)
	} else {
		c.h.Knowledge.Done(p)
	}
	r.results <- attemptResult{p, res}
}

// logFailure logs an attempt that did not yield a response to forward.
func (r *attemptGroup) logFailure(e attemptResult, o outcome) {
	status := 0
	if e.result.Response != nil {
		status = e.result.Response.Status
	}
	pairs := []any{"request", r.c.id, "route", r.c.route.Name, "class", r.c.route.Class, "service", r.c.service,
		"target", e.placed.ID, "addr", e.placed.Addr, "zone", e.placed.Zone, "kind", e.result.Kind, "status", status, "err", e.result.Err,
		"took_ms", e.result.Took.Milliseconds(), "reused", e.result.Reused, "idle_ms", e.result.IdleFor.Milliseconds(),
		"conn", e.result.Conn, "conn_requests", e.result.Requests, "skipped", e.result.Skipped, "written", e.result.Written,
		"fails", eventlog.Fraction(e.placed.FailProbability), "cost", eventlog.Fraction(e.placed.Cost), "in_flight", e.placed.InFlight, "slots", e.placed.Slots, "for_floor", e.placed.ForFloor, "attempt", r.attempts(), "outcome", string(o.kind), "document", r.c.version}
	if e.result.Kind == exchange.Broken {
		pairs = append(pairs, "exceeded", string(exchange.ExceededPart(e.result.Err)), "content", r.c.content.Fingerprint(), "caller", r.c.caller())
	}
	eventlog.Info(eventlog.AttemptFailed, pairs...)
}

// logLaterAnswer logs the answer to a request that must not run twice if it is not that to its first attempt.
func (r *attemptGroup) logLaterAnswer(e attemptResult) {
	if r.c.repeatable() || r.attempts() < 2 {
		return
	}
	eventlog.Info(eventlog.AttemptAnswered, "request", r.c.id, "route", r.c.route.Name, "service", r.c.service, "target", e.placed.ID, "addr", e.placed.Addr,
		"status", e.result.Response.Status, "took_ms", e.result.Took.Milliseconds(), "conn", e.result.Conn, "conn_requests", e.result.Requests,
		"skipped", e.result.Skipped, "attempt", r.attempts(), "document", r.c.version)
}
