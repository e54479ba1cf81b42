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
	"github.com/clementinereel/clementinereel/wait"
)

// outcomeKind tells how a request ended.
type outcomeKind string

const (
	// answered: a target's whole answer is there.
	answered outcomeKind = "answered"
	// notRun: no target has run the request, and none will.
	notRun outcomeKind = "not-run"
	// unknown: a target may have run the request.
	unknown outcomeKind = "unknown"
	// late: the time ran out and a target may have run the request.
	late outcomeKind = "late"
)

// noRequestsNow is why a request is refused of which all targets asked to be left alone.
const noRequestsNow = "targets take no more requests now"

// noAnswerInTime is why a request is late.
const noAnswerInTime = "no answer in time"

// outcome is how all attempts together ended.
type outcome struct {
	kind     outcomeKind
	answer   *exchange.Answer
	target   fleet.TargetID
	attempts int
	why      string
	// comeBack is when a caller whose request was not run may come back; 0 if nothing is known.
	comeBack time.Duration
}

// Bounds of one request's attempts.
const (
	// maxTries bounds the targets of one request, those included that refused it
	// or were not reached: an instance may have lost the paths to most.
	maxTries = 14
	// maxRefusals bounds the targets that refuse one request.
	maxRefusals = 4
	// leastTime is the time below which no further attempt is begun.
	leastTime = 60 * time.Millisecond
	// placeWithin bounds the search for a target whose rate allows a request: holders that are asked
	// answer within some milliseconds each.
	placeWithin = 60 * time.Millisecond
	// hedgeUtilization is the use of a service's slots above which a second
	// attempt would take them from first ones.
	hedgeUtilization = 0.55
)

// race is the attempts of one request.
type race struct {
	c       *call
	ctx     context.Context
	results chan ended
	tried   []fleet.TargetID
	open    []opened
	running int
	// sent counts the attempts that may have run, refused those that did not.
	sent, refused int
	// fallback is the best outcome so far, for when no attempt succeeds.
	fallback outcome
	hedged   bool
}

// opened is an attempt that was begun.
type opened struct {
	placed Placed
	at     time.Time
}

// ended is the end of one attempt.
type ended struct {
	placed Placed
	result exchange.Result
}

// attempts runs the request's attempts and returns how they ended.
func (c *call) attempts() outcome {
	ctx, cancel, untie := c.context()
	r := &race{c: c, ctx: ctx, results: make(chan ended, maxTries), fallback: outcome{kind: notRun, why: "no target is known"}}
	defer r.end(cancel)
	defer untie()
	if !r.begin() {
		return r.fallback
	}
	return r.run()
}

// end lets attempts that still run end by themselves: breaking them off would
// waste the target's work. If the caller has left, their context has ended already.
func (r *race) end(cancel context.CancelFunc) {
	if r.running == 0 {
		cancel()
		return
	}
	running := r.running
	go func() {
		defer cancel()
		for range running {
			e := <-r.results
			r.c.learn(e)
		}
	}()
}

func (r *race) run() outcome {
	known := r.c.h.Knowledge.Durations(r.c.service)
	hedge := time.NewTimer(known.hedgeAfter(r.c.route.Objective))
	defer hedge.Stop()
	end := time.NewTimer(time.Until(r.c.deadline))
	defer end.Stop()
	for {
		select {
		case e := <-r.results:
			r.running--
			r.open = slices.DeleteFunc(r.open, func(o opened) bool { return o.placed.ID == e.placed.ID })
			r.c.learn(e)
			if o, done := r.settle(e); done {
				return o
			}
		case <-hedge.C:
			r.hedge(known.median)
		case <-end.C:
			return r.overdue()
		case <-r.ctx.Done():
			return outcome{kind: unknown, why: "the caller left"}
		}
	}
}

// hedgeAfter is the age at which an attempt is joined by a second one: early enough
// that the second still ends within the objective, but not while many attempts are
// still at work.
func (b bounds) hedgeAfter(objective time.Duration) time.Duration {
	const spare = 1.3 // the second attempt's duration, in medians
	if objective <= 0 {
		return b.slow
	}
	return max(min(b.slow, objective-time.Duration(spare*float64(b.median))), b.usual)
}

func (r *race) overdue() outcome {
	for _, o := range r.open {
		eventlog.Info(eventlog.AttemptOpen, "request", r.c.id, "route", r.c.route.Name, "service", r.c.service, "target", o.placed.ID,
			"addr", o.placed.Addr, "age_ms", time.Since(o.at).Milliseconds(), "fails", eventlog.Share(o.placed.Fails), "in_flight", o.placed.InFlight, "slots", o.placed.Slots, "class", r.c.route.Class)
	}
	if r.fallback.answer != nil {
		return r.fallback
	}
	return outcome{kind: late, why: noAnswerInTime, attempts: len(r.tried)}
}

// settle takes in an attempt's end. It returns the outcome if that is final.
func (r *race) settle(e ended) (outcome, bool) {
	o := r.classify(e)
	if o.answer != nil && o.answer.Status < http.StatusInternalServerError {
		return o, true
	}
	r.keep(o)
	r.log(e, o)
	if r.running > 0 || r.again(e) {
		return outcome{}, false
	}
	return r.fallback, true
}

// classify says what an attempt's end alone would make of the request, and counts it.
func (r *race) classify(e ended) outcome {
	o := outcome{target: e.placed.ID, attempts: len(r.tried)}
	switch e.result.Kind {
	case exchange.Answered:
		r.sent++
		o.kind, o.why = unknown, "the target's answer bears no proof"
		if passable(e.result.Answer) {
			o.kind, o.answer, o.why = answered, e.result.Answer, ""
		}
	case exchange.Refused:
		r.refused++
		o.kind, o.why = notRun, "targets refused it"
	case exchange.Unsent:
		o.kind, o.why = notRun, "targets were out of reach"
	case exchange.Withheld:
		o.kind, o.why = notRun, "targets take no more requests"
	case exchange.Overdue:
		r.sent++
		o.kind, o.why = late, noAnswerInTime
	default:
		r.sent++
		o.kind, o.why = unknown, "the answer was lost"
	}
	return o
}

// passable tells whether the answer may reach the caller as it is: a success
// needs its seal, and a status that promises that nothing ran needs its proof.
func passable(a *exchange.Answer) bool {
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	return a.Sealed || a.Status/100 != 2
}

// keep remembers the outcome that tells the caller most truthfully what is known:
// an answer before a doubt, and a doubt before a refusal.
func (r *race) keep(o outcome) {
	rank := map[outcomeKind]int{notRun: 1, unknown: 2, late: 2, answered: 3}
	if rank[o.kind] >= rank[r.fallback.kind] {
		r.fallback = o
	}
}

// again begins a further attempt after one that failed, if that is allowed.
func (r *race) again(e ended) bool {
	unrun := e.result.Kind.Unrun()
	why := ""
	switch {
	case r.c.r.Context().Err() != nil:
		why = "the caller left"
	case !unrun && !r.c.repeatable():
		why = "must not run twice"
	case r.sent >= r.c.route.MaxAttempts:
		why = "route's attempts are used up"
	case r.refused >= maxRefusals || len(r.tried) >= maxTries:
		why = "too many targets tried"
	case time.Until(r.c.deadline) < leastTime || time.Until(r.c.targetDeadline) < leastTime:
		why = "no time left"
	case r.sent > 0 && r.c.standing() >= quarantine.Restricted:
		why = "its content may crash targets"
	case !unrun && r.c.atFault():
		why = "it fails at each target"
	case e.result.Kind.MayHaveArrived() && !r.spend("again"):
		return false
	}
	if why == "" && r.begin() {
		return true
	}
	if why == "" {
		why = "no other target"
	}
	eventlog.Info(eventlog.AttemptRefused, "request", r.c.id, "service", r.c.service, "why", why, "attempts", len(r.tried))
	return false
}

// hedge begins a further attempt beside one that is slow.
func (r *race) hedge(median time.Duration) {
	if r.c.r.Context().Err() != nil || r.hedged || r.running != 1 || !r.c.repeatable() || r.sent+r.running >= r.c.route.MaxAttempts {
		return
	}
	targets := r.c.h.State.Targets().Services[r.c.service]
	slots := func(t *registry.Target) float64 { return r.c.h.Rates.slots(t, median) }
	if time.Until(r.c.targetDeadline) < median/2 || r.c.h.Knowledge.Utilization(time.Now(), targets, slots) > hedgeUtilization {
		return
	}
	r.hedged = true
	if r.c.standing() >= quarantine.Suspected || r.c.atFault() {
		return
	}
	if r.spend("hedge") {
		r.begin()
	}
}

// spend takes a further attempt out of the budget.
func (r *race) spend(why string) bool {
	left, ok := r.c.h.Knowledge.Spend(time.Now(), r.c.service, r.c.urgent())
	if !ok && r.borrow() {
		left, ok = r.c.h.Knowledge.Spend(time.Now(), r.c.service, r.c.urgent())
	}
	event := eventlog.AttemptAdded
	if !ok {
		event = eventlog.AttemptRefused
		r.c.h.Metrics.BudgetRefused.Inc(1)
	}
	eventlog.Info(event, "request", r.c.id, "service", r.c.service, "why", why, "budget_left", eventlog.Share(left), "attempts", len(r.tried))
	return ok
}

// borrow asks neighbours for a loan and waits for it, unless they were asked a moment ago.
func (r *race) borrow() bool {
	asks := r.c.h.Knowledge.Short(time.Now(), r.c.service)
	if asks == nil {
		return false
	}
	r.c.h.AskForLoans(asks, lenders)
	return wait.For(r.ctx, loanWait)
}

// urgentPriority is the rank up to which a route may use the whole budget.
const urgentPriority = 1

// urgent tells whether less urgent requests of the service leave it a part of the budget.
func (c *call) urgent() bool { return c.route.Priority <= urgentPriority }

// begin starts an attempt at the target that is expected to cost least.
func (r *race) begin() bool {
	c := r.c
	now := time.Now()
	targets := c.h.State.Targets().Services[c.service]
	last := r.sent+r.running+1 >= c.route.MaxAttempts
	w := placement.Work{Retryable: c.repeatable() && !last, KB: float64(len(c.request.Body)) / 1024, Objective: c.route.Objective}
	p, ok := r.place(now, targets, w)
	if !ok {
		return false
	}
	r.tried = append(r.tried, p.ID)
	r.open = append(r.open, opened{p, now})
	r.running++
	c.tellLoad(p)
	go r.attempt(p)
	return true
}

// place chooses a target whose rate, if it names one, allows the request.
func (r *race) place(now time.Time, targets []*registry.Target, w placement.Work) (Placed, bool) {
	c := r.c
	withheld := c.h.Rates.withheld(now, targets)
	for time.Since(now) <= placeWithin {
		p, ok := c.h.Knowledge.Place(now, c.service, targets, r.tried, withheld, w, c.h.Client.Cache.Idle)
		if !ok {
			break
		}
		if c.h.Rates.Admit(r.ctx, p.ID, c.urgent()) {
			return p, true
		}
		c.h.Knowledge.Withdraw(p)
		withheld = append(withheld, p.ID)
	}
	r.noteWithheld(now, targets, len(withheld))
	return Placed{}, false
}

// noteWithheld says why there is no target, if all that there are take no requests now: by their rates, of
// which n withheld one, or since this instance backs off from them.
func (r *race) noteWithheld(now time.Time, targets []*registry.Target, n int) {
	if r.fallback.kind != notRun {
		return
	}
	if first := r.c.h.Knowledge.firstBack(now, targets); first > 0 {
		r.fallback.why = noRequestsNow
		r.fallback.comeBack = min(first, comeBackMost) + rand.N(comeBack)
		return
	}
	if n > 0 && len(r.tried) == 0 {
		r.fallback.why = noRequestsNow
		r.fallback.comeBack = r.c.h.Rates.comeBackAfter(now, r.c.service, targets)
	}
}

// tellLoad tells those that may choose the target too what this instance has in flight
// there.
func (c *call) tellLoad(p Placed) {
	k := c.h.Knowledge
	c.h.TellLoad(k.InFlight(p.ID), func(addr string) bool { return k.Concerns(addr, &p) })
}

// attempt sends the request to one target.
func (r *race) attempt(p Placed) {
	c := r.c
	slow := time.Duration(float64(c.h.Knowledge.Durations(c.service).slow) * p.turns())
	began := time.Now()
	watch := time.AfterFunc(slow, func() { c.observeSlow(p, began) })
	res := c.h.Client.Do(r.ctx, at(p.Target), c.request, c.targetDeadline, c.deadline, p.MaxIdle)
	watch.Stop()
	if res.Kind == exchange.Withheld {
		c.h.Knowledge.Withdraw(p)
	} else {
		c.h.Knowledge.Ended(p)
	}
	r.results <- ended{p, res}
}

// log writes the line of an attempt that brought no answer to pass on.
func (r *race) log(e ended, o outcome) {
	status := 0
	if e.result.Answer != nil {
		status = e.result.Answer.Status
	}
	pairs := []any{"request", r.c.id, "route", r.c.route.Name, "class", r.c.route.Class, "service", r.c.service,
		"target", e.placed.ID, "addr", e.placed.Addr, "zone", e.placed.Zone, "kind", e.result.Kind, "status", status, "err", e.result.Err,
		"took_ms", e.result.Took.Milliseconds(), "reused", e.result.Reused, "idle_ms", e.result.IdleFor.Milliseconds(),
		"fails", eventlog.Share(e.placed.Fails), "cost", eventlog.Share(e.placed.Cost), "in_flight", e.placed.InFlight, "slots", e.placed.Slots, "for_floor", e.placed.ForFloor, "attempt", len(r.tried), "outcome", string(o.kind), "document", r.c.version}
	if e.result.Kind == exchange.Broken {
		pairs = append(pairs, "content", r.c.content.Fingerprint(), "caller", r.c.caller())
	}
	eventlog.Info(eventlog.AttemptFailed, pairs...)
}
