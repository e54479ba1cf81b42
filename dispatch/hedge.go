package dispatch

import (
	"context"
	"time"

	"github.com/clementinereel/clementinereel/retry"
	"github.com/clementinereel/clementinereel/upstream"
)

// race runs the first try in the calling goroutine and, after the hedge delay,
// a hedge in another. It returns the result of the first try; awaitHedge waits
// for the hedge, which cancels the first try if it succeeds. The context of
// both is cancelled when the job ends.
func (r *run) race() upstream.Result {
	ctx, cancel := context.WithCancelCause(r.ctx)
	r.cancelTries = cancel
	h := &hedge{
		ctx: ctx, cancelTries: cancel, svc: r.svc, job: r.job, planned: r.pending,
		result: make(chan *upstream.Result, 1),
	}
	t := time.AfterFunc(r.pending.After, h.start)
	res := r.send(ctx, &h.first)
	if !t.Stop() {
		r.running, r.hedgeResult = 1, h.result
	}
	return res
}

// awaitHedge returns the result of the hedge, or false if the hedge was not
// allowed.
func (r *run) awaitHedge() (upstream.Result, bool) {
	r.running = 0
	res := <-r.hedgeResult
	if res == nil {
		return upstream.Result{}, false
	}
	r.tries++
	return *res, true
}

// hedge is a second try, run in parallel with a slow first one. Apart from the
// target of the first try, the two share no mutable state.
type hedge struct {
	ctx         context.Context
	cancelTries context.CancelCauseFunc
	svc         *upstream.Service
	job         *Job
	planned     retry.Decision
	first       upstream.TargetTracker // target of the first try
	result      chan *upstream.Result
}

// start runs the hedge if it is still allowed and sends its result, or nil, to
// the channel.
func (h *hedge) start() {
	r := &run{ctx: h.ctx, svc: h.svc, job: h.job, tries: 1, pending: h.planned}
	if h.ctx.Err() != nil || !r.reserveTry() {
		h.result <- nil
		return
	}
	if id := h.first.Target(); id != "" {
		r.tried.Tried.Add(id)
	}
	res := r.send(h.ctx, nil)
	h.result <- &res
	if succeeded(&res) {
		h.cancelTries(upstream.ErrAbandoned)
	}
}
