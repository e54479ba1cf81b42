package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d and reports whether it elapsed before ctx was done.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Backoff is an exponential backoff that doubles from Min to Max.
type Backoff struct {
	Min, Max time.Duration
	next     time.Duration
}

// Reset makes the next Pause start from Min again. Call it after a success.
func (b *Backoff) Reset() { b.next = 0 }

// Pause waits for the next delay and reports whether it elapsed before ctx was done. The
// wait is random between half and all of the delay, so that instances that failed at the
// same time do not retry at the same time.
func (b *Backoff) Pause(ctx context.Context) bool {
	b.next = min(max(2*b.next, b.Min), b.Max)
	return For(ctx, b.next/2+rand.N(b.next/2+1))
}
