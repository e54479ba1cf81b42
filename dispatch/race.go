package dispatch

import (
	"context"
	"time"

	"github.com/clementinereel/clementinereel/upstream"
)

// racers is how many tries a race has.
const racers = 2

// race runs the first try and, once it is slow, a hedge beside it. It returns
// how the one that ended first did; receive waits for the other. The context
// of both ends with the job.
func (r *run) race() upstream.Result {
	ctx, cancel := context.WithCancelCause(r.ctx)
	r.giveUp = cancel
	r.ended = make(chan upstream.Result, racers)
	first := &upstream.Place{}
	r.spawn(ctx, first)
	t := time.NewTimer(r.pending.After)
	defer t.Stop()
	select {
	case res := <-r.ended:
		r.running--
		return res
	case <-t.C:
	}
	if ctx.Err() == nil && r.allowed() {
		r.avoid(first)
		r.spawn(ctx, nil)
	}
	return r.receive()
}

// spawn begins a try in a goroutine of its own.
func (r *run) spawn(ctx context.Context, place *upstream.Place) {
	r.running++
	ctx, cancel := r.tryContext(ctx)
	search := r.tried
	go func() {
		defer cancel()
		r.ended <- r.svc.Send(ctx, r.job.Policy.Class, &search, place, r.job.NewRequest)
	}()
}

// receive waits for a running try.
func (r *run) receive() upstream.Result {
	res := <-r.ended
	r.running--
	return res
}

// avoid keeps further tries away from where a running one is.
func (r *run) avoid(p *upstream.Place) {
	if id := p.Target(); id != "" {
		r.tried.Tried.Add(id)
	}
}
