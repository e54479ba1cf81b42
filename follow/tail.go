package follow

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/publication"
	"github.com/clementinereel/clementinereel/wait"
)

func (f *Follower) newBackoff() *wait.Backoff {
	return &wait.Backoff{Min: f.settings.RetryMin, Max: f.settings.RetryMax}
}

// tail reads the log for as long as this instance is to.
func (f *Follower) tail(ctx context.Context) {
	b := f.newBackoff()
	for ctx.Err() == nil {
		if !f.opts.Tail() {
			wait.For(ctx, f.settings.PeerInterval)
			continue
		}
		from, began := f.Next(), time.Now()
		if err := f.read(ctx); err != nil {
			f.logFailed(ctx, err)
			b.Pause(ctx)
			continue
		}
		b.Reset()
		if f.Next() == from && time.Since(began) < f.settings.RetryMin {
			wait.For(ctx, f.settings.RetryMin) // the log does not wait by itself
		}
	}
}

// logFailed notes a failed call; only the first of several is logged.
func (f *Follower) logFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.counters.logErrors.Inc(1)
	if !f.logFailing.Swap(true) {
		klog.InfoS("configuration log failed", "next", f.Next(), "reason", err.Error())
	}
}

// read reads and applies the next records of the log.
func (f *Follower) read(ctx context.Context) error {
	from := f.Next()
	batch, err := f.opts.Log.Read(ctx, publication.Stream, from, f.settings.ReadLimit, f.settings.ReadWait)
	if errors.Is(err, logservice.ErrExpired) {
		f.counters.expired.Inc(1)
		return f.recover(ctx, batch.First)
	}
	if err != nil {
		return err
	}
	if batch.Next < from {
		f.counters.behind.Inc(1)
		return errors.Errorf("the log ends at %d, before the state in force", batch.Next)
	}
	f.logAnswered()
	f.apply(batch.Records)
	return nil
}

func (f *Follower) logAnswered() {
	f.logContact.Store(time.Now().UnixNano())
	if f.logFailing.Swap(false) {
		klog.InfoS("configuration log answers again", "next", f.Next())
	}
}

// recover takes over the newest checkpoint that the log keeps from first on.
func (f *Follower) recover(ctx context.Context, first logservice.Offset) error {
	var c publication.Collector
	for from := first; ; {
		batch, err := f.opts.Log.Read(ctx, publication.Stream, from, f.settings.ReadLimit, 0)
		if err != nil {
			return err
		}
		for _, r := range batch.Records {
			if err := c.Add(r); err != nil {
				klog.InfoS("configuration checkpoint refused", "offset", r.Offset, "reason", err.Error())
			}
			from = r.Offset + 1
		}
		if len(batch.Records) == 0 || from >= batch.Next {
			break
		}
	}
	s := c.Newest()
	if s == nil || s.Next() < first || s.Next() <= f.Next() {
		return errors.Errorf("records before %d expired and no checkpoint after them is kept", first)
	}
	f.adopt(s, "checkpoint")
	return nil
}
