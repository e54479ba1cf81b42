package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/clementinereel/clementinereel/balancer"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/retry"
	"github.com/clementinereel/clementinereel/upstream"
)

// Job is one request with its retry policy and deadline.
type Job struct {
	Policy   retry.Policy
	Deadline time.Time
	// NewRequest creates the request for one try.
	NewRequest func() *upstream.Request
	// OnExtraTry, if not nil, is called before each retry or hedge, possibly
	// from another goroutine.
	OnExtraTry func(retry.Action)
}

// Run tries the job until a try succeeds or no further try is allowed, and
// returns the result of the last try. ctx should carry the job's deadline.
func Run(ctx context.Context, svc *upstream.Service, job *Job) upstream.Result {
	r := &run{ctx: ctx, svc: svc, job: job, cancelTries: func(error) {}}
	defer func() { r.cancelTries(upstream.ErrAbandoned) }()
	res := r.firstTry()
	for !succeeded(&res) {
		r.recordFailure(&res)
		var ok bool
		if res, ok = r.next(); !ok {
			return r.last
		}
	}
	return res
}

// maxTries limits the tries of one request. Contracts allow fewer.
const maxTries = 16

// run is the state of one job. Only the goroutine that created it uses it.
type run struct {
	ctx context.Context
	svc *upstream.Service
	job *Job

	tried        balancer.Search
	tries        int
	first        time.Time
	last         upstream.Result
	pending      retry.Decision // the next retry or hedge
	bodyConsumed bool

	// Set while a hedge runs in parallel with the first try.
	running     int
	hedgeResult chan *upstream.Result
	cancelTries context.CancelCauseFunc
}

// firstTry runs the first try, with a hedge if one is planned, and returns the
// result of the first try.
func (r *run) firstTry() upstream.Result {
	r.first = time.Now()
	r.svc.Budget().RecordFirstTry(r.first, r.job.Policy)
	r.tries = 1
	r.plan(0)
	if r.pending.Action == retry.Hedge {
		return r.race()
	}
	return r.send(r.ctx, nil)
}

// next returns the result of the next try, or false if there is none.
func (r *run) next() (upstream.Result, bool) {
	if r.running > 0 {
		if res, ok := r.awaitHedge(); ok {
			return res, true
		}
		r.plan(r.last.Try) // no try is running now
	}
	if r.pending.Action != retry.Retry || !r.waitRetry(r.pending.After) || !r.reserveTry() {
		return upstream.Result{}, false
	}
	return r.send(r.ctx, nil), true
}

// waitRetry waits for d before a retry. It returns false if the context ends
// first.
func (r *run) waitRetry(d time.Duration) bool {
	if d <= 0 {
		return r.ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-r.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// succeeded reports whether res ends the job with a successful response.
func succeeded(res *upstream.Result) bool {
	return res.Try == fleet.TryOK
}

// send runs one try in the calling goroutine. If place is not nil, it receives
// the target of the try.
func (r *run) send(ctx context.Context, place *upstream.TargetTracker) upstream.Result {
	ctx, cancel := r.tryContext(ctx)
	defer cancel()
	search := r.tried
	return r.svc.Send(ctx, r.job.Policy.Class, &search, place, r.job.NewRequest)
}

// minTryFactor times the expected latency is the minimum timeout of a try that
// another may follow.
const minTryFactor = 4

// tryContext limits the duration of a lookup's try so that time remains for
// further tries.
func (r *run) tryContext(ctx context.Context) (context.Context, context.CancelFunc) {
	left := time.Until(r.job.Deadline)
	rest := r.job.Policy.Attempts - r.tries + 1
	if r.job.Policy.Class != fleet.Lookup || rest <= 1 {
		return ctx, func() {}
	}
	share := left / time.Duration(rest)
	share = max(share, minTryFactor*r.svc.ExpectedLatency(r.job.Policy.Class))
	return context.WithTimeout(ctx, min(share, left))
}

// recordFailure excludes the failed target from further tries and plans the
// next try.
func (r *run) recordFailure(res *upstream.Result) {
	r.last = *res
	r.bodyConsumed = r.bodyConsumed || res.BodyUsed
	if res.Target.ID != "" {
		r.tried.Tried.Add(res.Target.ID)
	}
	r.plan(res.Try)
}

// plan decides on the next try. last is the result of the try that ended, or 0
// while the first try runs.
func (r *run) plan(last fleet.TryResult) {
	now := time.Now()
	r.pending = retry.Decide(retry.Input{
		Now:          now,
		Deadline:     r.job.Deadline,
		Policy:       r.job.Policy,
		Tries:        r.tries,
		Last:         last,
		Unsent:       last != 0 && !r.last.Sent,
		Running:      r.running,
		FirstTry:     r.first,
		Expected:     r.svc.ExpectedLatency(r.job.Policy.Class),
		OtherTarget:  r.svc.HasMore(r.excludedTargets(last)),
		RetryAfter:   r.last.RetryAfter,
		BodyConsumed: r.bodyConsumed,
		Random:       rand.Float64(),
		Budget:       r.svc.Budget().State(now),
	})
	if r.tries >= maxTries || r.ctx.Err() != nil {
		r.pending = retry.Decision{Action: retry.Stop, Reason: retry.Exhausted}
	}
}

// excludedTargets returns the number of targets that a further try must not
// use: those that failed or, while the first try runs, its target.
func (r *run) excludedTargets(last fleet.TryResult) int {
	if last == 0 {
		return 1
	}
	return r.tried.Tried.Len()
}

// reserveTry charges the planned try to the budget and counts it. It returns
// false if the budget does not allow the try.
func (r *run) reserveTry() bool {
	if !r.svc.Budget().Spend(time.Now(), r.pending) {
		return false
	}
	if r.job.OnExtraTry != nil {
		r.job.OnExtraTry(r.pending.Action)
	}
	r.tries++
	return true
}

// HasResponse reports whether res has a response that may be passed on to the
// caller: a complete one that does not state that the request was not run.
func HasResponse(res *upstream.Result) bool {
	return res.Response != nil && !res.Try.NotRun()
}
