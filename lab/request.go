package lab

import (
	"time"

	"github.com/clementinereel/clementinereel/admission"
	"github.com/clementinereel/clementinereel/balancer"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/retry"
)

const (
	// requestValue is the value of every route.
	requestValue = 50
	// errorAfter is when a target answers that it fails without trying.
	errorAfter = time.Millisecond
	// waitFactor times the expected latency is the least time that a try is
	// given when another may follow it, as in package dispatch.
	waitFactor = 4
)

// request is one request of a caller. It takes the steps of packages dispatch
// and upstream, without their input and output.
type request struct {
	instance        int
	start, deadline time.Duration
	tries           int
	// tried are the targets of ended tries; search is the present search for
	// a slot, which began at searching.
	tried, search balancer.Search
	searching     time.Duration
	pending       retry.Decision
}

// try is one try of a request at one target.
type try struct {
	*request
	target  int
	pick    balancer.Pick
	ticket  Ticket
	start   time.Duration
	running bool
	ended   bool
	// result is what the target answers when the try is done.
	result fleet.TryResult
}

func (r *run) arrive() {
	r.queue.push(event{at: r.nextArrival(), kind: evArrival})
	i := r.arrivals.IntN(r.Service.Instances)
	in := r.instances[i]
	r.watch.offered(r)
	q := &request{instance: i, start: r.now, deadline: r.now + r.Service.Deadline}
	d, events := in.gate.Enter(epoch.Add(r.now), requestValue, epoch.Add(q.deadline))
	switch d.Verdict {
	case admission.Admitted:
		r.begin(q)
	case admission.Queued:
		in.waiting[d.Ticket] = q
	}
	r.settle(in, events)
}

// settle ends the waiting of requests at the gate.
func (r *run) settle(in *instance, events []admission.Event) {
	for _, e := range events {
		q := in.waiting[e.Ticket]
		delete(in.waiting, e.Ticket)
		if e.Verdict == admission.Admitted {
			r.begin(q)
		}
	}
}

// begin makes the first try of an admitted request.
func (r *run) begin(q *request) {
	in := r.instances[q.instance]
	in.budget.RecordFirstTry(epoch.Add(r.now), in.retries)
	r.startTry(q)
}

// leave ends an admitted request.
func (r *run) leave(q *request) {
	in := r.instances[q.instance]
	r.settle(in, in.gate.Leave(epoch.Add(r.now)))
}

func (r *run) startTry(q *request) {
	q.tries++
	q.search = q.tried
	q.searching = r.now
	r.search(q)
}

// search looks for a target that takes the request.
func (r *run) search(q *request) {
	if r.now >= q.deadline {
		r.leave(q)
		return
	}
	in := r.instances[q.instance]
	pick, ok := in.balancer.Picker().Pick(balancer.PickInfo{
		Tried: q.search.Tried, Class: r.Service.Class, Now: epoch.Add(r.now),
	})
	if !ok {
		pause, again := in.balancer.Exhausted(&q.search, r.now-q.searching)
		r.searchOn(q, fleet.TryDialFailed, pause, again)
		return
	}
	t := numberOf(pick.Target.ID)
	y := &try{request: q, target: t, pick: pick, start: r.now, result: fleet.TryOK}
	y.ticket = in.policy.Start(r.now, t)
	h := r.plan.health(r.now, t, q.instance)
	r.watch.try(r, y, h)
	r.accept(y, h)
}

// searchOn searches again after a pause, or gives up with the last result.
func (r *run) searchOn(q *request, last fleet.TryResult, pause time.Duration, again bool) {
	if again {
		r.queue.push(event{at: r.now + pause, kind: evSearch, req: q})
		return
	}
	r.decide(q, last)
}

// accept lets the target refuse the try, run it or put it into its backlog.
func (r *run) accept(y *try, h Health) {
	tg := r.targets[y.target]
	if refused, after := tg.receive(h); refused != 0 {
		y.result = refused
		r.queue.push(event{at: r.now + after, kind: evTryDone, try: y})
		return
	}
	r.queue.push(event{at: r.now + r.timeout(y.request), kind: evTryTimeout, try: y})
	if !tg.free(h) {
		tg.backlog = append(tg.backlog, y)
		return
	}
	r.runTry(y, h)
}

// timeout bounds a try so that time is left for those that may follow.
func (r *run) timeout(q *request) time.Duration {
	in := r.instances[q.instance]
	left := q.deadline - r.now
	rest := in.retries.Attempts - q.tries + 1
	if r.Service.Class != fleet.Lookup || rest <= 1 {
		return left
	}
	share := max(left/time.Duration(rest), waitFactor*in.gate.Stats().Latency)
	return min(share, left)
}

func (r *run) runTry(y *try, h Health) {
	tg := r.targets[y.target]
	tg.running++
	y.running = true
	took := tg.serviceTime(h)
	if h.AnswerLost || tg.rng.Float64() < h.Hang {
		return
	}
	switch {
	case h.Error > 0 && tg.rng.Float64() < h.Error:
		y.result, took = fleet.TryError, errorAfter
	case tg.rng.Float64() < errorShare:
		y.result = fleet.TryError
	}
	r.queue.push(event{at: r.now + took, kind: evTryDone, try: y})
}

// end takes the try's result, gives the slot to the next and goes on with the
// request.
func (r *run) end(y *try, result fleet.TryResult) {
	if y.ended {
		return
	}
	y.ended = true
	in := r.instances[y.instance]
	took := r.now - y.start
	in.policy.Record(r.now, y.ticket, result, took)
	in.gate.Observe(epoch.Add(r.now), result, took)
	in.budget.RecordResult(epoch.Add(r.now), result)
	y.pick.Done(balancer.DoneInfo{Result: result, Latency: took})
	r.watch.result(r, y, result)
	r.watch.lookAt(r, y.instance, y.target)
	r.targets[y.target].leave(y)
	r.startWaiting(y.target)
	r.goOn(y, result)
}

func (r *run) goOn(y *try, result fleet.TryResult) {
	switch result {
	case fleet.TryOK:
		r.watch.answered(r, y.request)
		r.leave(y.request)
	case fleet.TryShed:
		r.watch.m.Moves++
		in := r.instances[y.instance]
		pause, again := in.balancer.Refused(&y.search, y.pick, r.now-y.searching)
		r.searchOn(y.request, result, pause, again)
	default:
		y.tried.Tried.Add(y.pick.Target.ID)
		r.decide(y.request, result)
	}
}

// decide decides on what follows the end of a try.
func (r *run) decide(q *request, last fleet.TryResult) {
	in := r.instances[q.instance]
	now := epoch.Add(r.now)
	q.pending = retry.Decide(retry.Input{
		Now: now, Deadline: epoch.Add(q.deadline), FirstTry: epoch.Add(q.start),
		Policy: in.retries, Tries: q.tries, Last: last,
		Expected:    in.gate.Stats().Latency,
		OtherTarget: in.balancer.Picker().Len() > q.tried.Tried.Len(),
		Random:      r.jitter.Float64(),
		Budget:      in.budget.State(now),
	})
	if q.pending.Action != retry.Retry {
		r.leave(q)
		return
	}
	r.queue.push(event{at: r.now + q.pending.After, kind: evRetry, req: q})
}

// addTry begins the try that was decided on, if the budget still has it.
func (r *run) addTry(q *request) {
	if !r.instances[q.instance].budget.Spend(epoch.Add(r.now), q.pending) {
		r.leave(q)
		return
	}
	if q.pending.NotRun {
		r.watch.m.Moves++
	} else {
		r.watch.m.Retries++
	}
	r.startTry(q)
}

// startWaiting runs what waits at the target while slots are free.
func (r *run) startWaiting(t int) {
	tg := r.targets[t]
	for len(tg.backlog) > 0 {
		next := tg.backlog[0]
		h := r.plan.health(r.now, t, next.instance)
		if !tg.free(h) {
			return
		}
		tg.backlog = tg.backlog[1:]
		r.runTry(next, h)
	}
}
