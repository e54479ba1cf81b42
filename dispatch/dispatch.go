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

// Job is one request to be tried.
type Job struct {
	Policy   retry.Policy
	Deadline time.Time
	// NewRequest makes the request anew for each try.
	NewRequest func() *upstream.Request
	// Added, if not nil, is told of each further try, in any goroutine.
	Added func(retry.Action)
}

// Run tries the job until there is an answer or nothing more may be done.
// The context bounds it; it should have the job's deadline.
func Run(ctx context.Context, svc *upstream.Service, job *Job) upstream.Result {
	r := &run{ctx: ctx, svc: svc, job: job, giveUp: func(error) {}}
	defer func() { r.giveUp(upstream.ErrGivenUp) }()
	res := r.firstTry()
	for !good(&res) {
		r.note(&res)
		var ok bool
		if res, ok = r.next(); !ok {
			return r.last
		}
	}
	return res
}

// maxTries bounds the tries of one request: contracts allow fewer.
const maxTries = 16

// run is the state of one job. It belongs to the goroutine that called Run.
type run struct {
	ctx context.Context
	svc *upstream.Service
	job *Job

	tried    balancer.Search
	tries    int
	first    time.Time
	last     upstream.Result
	pending  retry.Decision // the retry or hedge that comes next
	consumed bool

	// A race has a hedge beside the first try.
	running int
	ended   chan *upstream.Result
	giveUp  context.CancelCauseFunc
}

// firstTry returns how the first try ended.
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

// next returns how the next try ended, false if there is none.
func (r *run) next() (upstream.Result, bool) {
	if r.running > 0 {
		if res, ok := r.receive(); ok {
			return res, true
		}
		r.plan(r.last.Try) // now that nothing runs
	}
	if r.pending.Action != retry.Retry || !r.pause(r.pending.After) || !r.allowed() {
		return upstream.Result{}, false
	}
	return r.send(r.ctx, nil), true
}

// pause waits before a retry, unless the context ends first.
func (r *run) pause(d time.Duration) bool {
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

// good tells whether a result ends the job with an answer.
func good(res *upstream.Result) bool {
	return res.Try == fleet.TryOK
}

// send makes one try in this goroutine. Place, if not nil, is told where.
func (r *run) send(ctx context.Context, place *upstream.Place) upstream.Result {
	ctx, cancel := r.tryContext(ctx)
	defer cancel()
	search := r.tried
	return r.svc.Send(ctx, r.job.Policy.Class, &search, place, r.job.NewRequest)
}

// waitFactor times the expected latency is the least time that a try is given
// when another may follow it.
const waitFactor = 4

// tryContext bounds a try so that time is left for those that may follow.
func (r *run) tryContext(ctx context.Context) (context.Context, context.CancelFunc) {
	left := time.Until(r.job.Deadline)
	rest := r.job.Policy.Attempts - r.tries + 1
	if r.job.Policy.Class != fleet.Lookup || rest <= 1 {
		return ctx, func() {}
	}
	share := left / time.Duration(rest)
	share = max(share, waitFactor*r.svc.Expected(r.job.Policy.Class))
	return context.WithTimeout(ctx, min(share, left))
}

// note keeps further tries away from a target that failed, and decides on the
// next.
func (r *run) note(res *upstream.Result) {
	r.last = *res
	r.consumed = r.consumed || res.BodyUsed
	if res.Target.ID != "" {
		r.tried.Tried.Add(res.Target.ID)
	}
	r.plan(res.Try)
}

// plan decides on the next try, after one ended or while one runs.
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
		Expected:     r.svc.Expected(r.job.Policy.Class),
		OtherTarget:  r.svc.HasMore(r.busy(last)),
		RetryAfter:   r.last.RetryAfter,
		BodyConsumed: r.consumed,
		Random:       rand.Float64(),
		Budget:       r.svc.Budget().State(now),
	})
	if r.tries >= maxTries || r.ctx.Err() != nil {
		r.pending = retry.Decision{Action: retry.Stop, Reason: retry.Exhausted}
	}
}

// busy counts the targets that are of no use to a further try: those that
// failed and, while the first try runs, that one's.
func (r *run) busy(last fleet.TryResult) int {
	if last == 0 {
		return 1
	}
	return r.tried.Tried.Len()
}

// allowed takes the planned try from the budget and counts it.
func (r *run) allowed() bool {
	if !r.svc.Budget().Spend(time.Now(), r.pending) {
		return false
	}
	if r.job.Added != nil {
		r.job.Added(r.pending.Action)
	}
	r.tries++
	return true
}

// Answered tells whether a result has an answer that may be passed on to the
// caller: a whole one that the target does not take back as unrun.
func Answered(res *upstream.Result) bool {
	return res.Answer != nil && !res.Try.NotRun()
}
