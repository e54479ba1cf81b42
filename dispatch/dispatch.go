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
	// Added, if not nil, is told of each further try.
	Added func(retry.Action)
}

// Run tries the job until there is an answer or nothing more may be done.
// The context bounds it; it should have the job's deadline.
func Run(ctx context.Context, svc *upstream.Service, job *Job) upstream.Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(upstream.ErrGivenUp)
	r := &run{ctx: ctx, svc: svc, job: job, ended: make(chan upstream.Result, maxTries)}
	return r.loop()
}

// maxTries bounds the tries of one request: contracts allow fewer.
const maxTries = 16

// run is the state of one job. Its loop owns it; tries only send results.
type run struct {
	ctx context.Context
	svc *upstream.Service
	job *Job

	ended    chan upstream.Result
	tried    balancer.Search
	tries    int
	running  int
	first    time.Time
	last     upstream.Result
	pending  retry.Decision // the retry or hedge that the timer waits for
	timer    *time.Timer
	consumed bool
}

func (r *run) loop() upstream.Result {
	r.first = time.Now()
	r.svc.Budget().First(r.first, r.job.Policy)
	r.timer = time.NewTimer(time.Hour)
	defer r.timer.Stop()
	r.start()
	r.plan(0)
	for {
		select {
		case res := <-r.ended:
			r.running--
			r.noteTried(res)
			if good(&res) {
				return res
			}
			r.last = res
			r.plan(res.Try)
		case <-r.timer.C:
			r.add()
		}
		if r.running == 0 && r.pending.Action == retry.Stop {
			return r.last
		}
	}
}

// good tells whether a result ends the job with an answer.
func good(res *upstream.Result) bool {
	return res.Try == fleet.TryOK
}

// start begins one more try.
func (r *run) start() {
	r.tries++
	r.running++
	search := r.tried
	ctx, cancel := r.tryContext()
	go func() {
		defer cancel()
		r.ended <- r.svc.Send(ctx, r.job.Policy.Class, &search, r.job.NewRequest)
	}()
}

// waitFactor times the expected latency is the least time that a try is given
// when another may follow it.
const waitFactor = 4

// tryContext bounds a try so that time is left for those that may follow.
func (r *run) tryContext() (context.Context, context.CancelFunc) {
	left := time.Until(r.job.Deadline)
	rest := r.job.Policy.Attempts - r.tries + 1
	if r.job.Policy.Class != fleet.Lookup || rest <= 1 {
		return context.WithCancel(r.ctx)
	}
	share := left / time.Duration(rest)
	share = max(share, waitFactor*r.svc.Expected(r.job.Policy.Class))
	return context.WithTimeout(r.ctx, min(share, left))
}

// noteTried keeps further tries away from a target that was tried.
func (r *run) noteTried(res upstream.Result) {
	r.consumed = r.consumed || res.BodyUsed
	if res.Target.ID != "" {
		r.tried.Tried.Add(res.Target.ID)
	}
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
		Running:      r.others(last),
		FirstTry:     r.first,
		Expected:     r.svc.Expected(r.job.Policy.Class),
		OtherTarget:  r.svc.HasOther(&r.tried),
		RetryAfter:   r.last.RetryAfter,
		BodyConsumed: r.consumed,
		Random:       rand.Float64(),
		Budget:       r.svc.Budget().State(now),
	})
	if r.tries >= maxTries || r.ctx.Err() != nil {
		r.pending = retry.Decision{Action: retry.Stop, Reason: retry.Exhausted}
	}
	if r.pending.Action != retry.Stop {
		r.timer.Reset(r.pending.After)
	}
}

// others counts the tries that run beside the one that is decided on.
func (r *run) others(last fleet.TryResult) int {
	if last == 0 {
		return r.running - 1
	}
	return r.running
}

// add carries out the planned try if the budget still has it.
func (r *run) add() {
	d := r.pending
	r.pending = retry.Decision{Action: retry.Stop}
	if d.Action == retry.Stop || d.Action == 0 || r.ctx.Err() != nil {
		return
	}
	if !r.svc.Budget().Spend(time.Now(), d) {
		return
	}
	if r.job.Added != nil {
		r.job.Added(d.Action)
	}
	r.start()
}

// Answered tells whether a result has an answer that may be passed on to the
// caller: a whole one that the target does not take back as unrun.
func Answered(res *upstream.Result) bool {
	return res.Answer != nil && !res.Try.RefusedUnrun()
}
