package dispatch

import (
	"context"
	"time"

	"github.com/clementinereel/clementinereel/retry"
	"github.com/clementinereel/clementinereel/upstream"
)

// race runs the first try in this goroutine and, once it is slow, a hedge in
// another. It returns how the first try ended; receive waits for the hedge,
// which cancels the first try if it brings the answer. The context of both
// ends with the job.
func (r *run) race() upstream.Result {
	ctx, cancel := context.WithCancelCause(r.ctx)
	r.giveUp = cancel
	h := &hedge{
		ctx: ctx, giveUp: cancel, svc: r.svc, job: r.job, planned: r.pending,
		ended: make(chan *upstream.Result, 1),
	}
	t := time.AfterFunc(r.pending.After, h.join)
	res := r.send(ctx, &h.first)
	if !t.Stop() {
		r.running, r.ended = 1, h.ended
	}
	return res
}

// receive waits for the hedge; false means that it was not allowed.
func (r *run) receive() (upstream.Result, bool) {
	r.running = 0
	res := <-r.ended
	if res == nil {
		return upstream.Result{}, false
	}
	r.tries++
	return *res, true
}

// hedge is the second try of a race. It shares no state with the first.
type hedge struct {
	ctx     context.Context
	giveUp  context.CancelCauseFunc
	svc     *upstream.Service
	job     *Job
	planned retry.Decision
	first   upstream.Place // where the first try is
	ended   chan *upstream.Result
}

// join begins the hedge if it is still allowed, and tells how it ended.
func (h *hedge) join() {
	r := &run{ctx: h.ctx, svc: h.svc, job: h.job, tries: 1, pending: h.planned}
	if h.ctx.Err() != nil || !r.allowed() {
		h.ended <- nil
		return
	}
	if id := h.first.Target(); id != "" {
		r.tried.Tried.Add(id)
	}
	res := r.send(h.ctx, nil)
	h.ended <- &res
	if good(&res) {
		h.giveUp(upstream.ErrGivenUp)
	}
}
