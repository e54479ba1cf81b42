package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for a time, and returns false if the context ended first.
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

// Backoff doubles the pause after each error in a row, from Min to Max.
type Backoff struct {
	Min, Max time.Duration
	next     time.Duration
}

// Reset notes a success.
func (b *Backoff) Reset() { b.next = 0 }

// Pause waits for half to the whole of the pause that is due, so that instances that
// failed together do not come back together.
func (b *Backoff) Pause(ctx context.Context) bool {
	b.next = min(max(2*b.next, b.Min), b.Max)
	return For(ctx, b.next/2+rand.N(b.next/2+1))
}
