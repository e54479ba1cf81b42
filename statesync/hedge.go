package statesync

import (
	"context"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/transfer"
)

// hedgedRead reads changes of the stream, and repeats the call on a new connection if it is late: open connections
// may go silent for good without being reset, while new ones work. It returns the result that is there first. ctx
// ends both. A call is not repeated once a response has begun, which may take any time over a small link, nor while
// the store is unavailable: it has a connection that was opened since, and each call has a cost.
func (f *Follower) hedgedRead(ctx context.Context, s Stream, from registry.Offset, pollWait time.Duration) (Batch, error) {
	watch, ctx := transfer.NewWatch(ctx, pollWait+callTimeoutMargin, stallTimeout)
	defer watch.Stop()
	type result struct {
		batch Batch
		err   error
	}
	results := make(chan result, 2)
	read := func(wait time.Duration) {
		b, err := f.opts.Store.Read(ctx, s, from, wait)
		results <- result{b, err}
	}
	go read(pollWait)
	delay := pollWait + lateReadDelay
	late := time.NewTimer(delay)
	defer late.Stop()
	for {
		select {
		case r := <-results:
			return r.batch, r.err
		case <-late.C:
			if watch.HasBegun() || f.logState(s) == mesh.LogUnavailable {
				continue
			}
			eventlog.Info(eventlog.StoreReadLate, "stream", s.String(), "offset", f.opts.State.next(s).Offset, "pending_ms", delay.Milliseconds(),
				"document", f.opts.State.version())
			f.setLate(s, true)
			f.countCall()
			f.opts.Store.CloseIdleConnections()
			go read(firstWait)
		}
	}
}

// logState returns whether the store answers the stream's reads.
func (f *Follower) logState(s Stream) mesh.LogState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readings[s].State()
}
