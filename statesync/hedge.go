package statesync

import (
	"context"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/transfer"
)

// hedgedCall is a call of the store that is repeated on a new connection if it has no response after
// some time. Open connections may go silent for good without being reset, while new ones work.
type hedgedCall struct {
	call, repeat func(context.Context) (Batch, error)
	// after is the time from the start of call to that of repeat.
	after time.Duration
	// first is the time until the first byte of a response, stall the longest one without another:
	// a big response may take any time over a small link.
	first, stall time.Duration
}

// hedge makes a call for the stream and returns the result that is there first, of the call or its
// repetition. ctx ends both. A call is not repeated once a response has begun, nor while the store is
// unavailable: it has a connection that was opened since, and each call has a cost.
func (f *Follower) hedge(ctx context.Context, s Stream, c hedgedCall) (Batch, error) {
	watch, ctx := transfer.NewWatch(ctx, c.first, c.stall)
	defer watch.Stop()
	type result struct {
		batch Batch
		err   error
	}
	results := make(chan result, 2)
	run := func(call func(context.Context) (Batch, error)) {
		b, err := call(ctx)
		results <- result{b, err}
	}
	go run(c.call)
	late := time.NewTimer(c.after)
	defer late.Stop()
	for {
		select {
		case r := <-results:
			return r.batch, r.err
		case <-late.C:
			if watch.HasBegun() || f.logState(s) == mesh.LogUnavailable {
				continue
			}
			eventlog.Info(eventlog.StoreReadLate, "stream", s.String(), "offset", f.opts.State.next(s).Offset, "pending_ms", c.after.Milliseconds(),
				"document", f.opts.State.version())
			f.setLate(s, true)
			f.countCall()
			f.opts.Store.CloseIdleConnections()
			go run(c.repeat)
		}
	}
}

// logState returns whether the store answers the stream's reads.
func (f *Follower) logState(s Stream) mesh.LogState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readings[s].State()
}
