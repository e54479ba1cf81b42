package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/publication"
)

// backoff doubles the pause after each error in a row.
type backoff struct {
	min, max, next time.Duration
}

func (f *Follower) newBackoff() *backoff {
	return &backoff{min: f.settings.RetryMin, max: f.settings.RetryMax}
}

func (b *backoff) reset() { b.next = 0 }

// pause sleeps for half to the whole of the pause that is due.
func (b *backoff) pause(ctx context.Context) bool {
	b.next = min(max(2*b.next, b.min), b.max)
	return sleep(ctx, b.next/2+rand.N(b.next/2+1))
}

// tail reads the log for as long as this instance is to.
func (f *Follower) tail(ctx context.Context) {
	b := f.newBackoff()
	for ctx.Err() == nil {
		if !f.opts.Tail() {
			sleep(ctx, f.settings.PeerInterval)
			continue
		}
		from, began := f.Next(), time.Now()
		if err := f.read(ctx); err != nil {
			f.logFailed(ctx, err)
			b.pause(ctx)
			continue
		}
		b.reset()
		if f.Next() == from && time.Since(began) < f.settings.RetryMin {
			sleep(ctx, f.settings.RetryMin) // the log does not wait by itself
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
