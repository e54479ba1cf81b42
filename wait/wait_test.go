package wait

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestForReturnsOnCancel(t *testing.T) {
	assert.Assert(t, For(t.Context(), time.Millisecond))
	assert.Assert(t, For(t.Context(), 0))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, !For(ctx, 0))
	assert.Assert(t, !For(ctx, time.Hour))
}

func TestBackoffDoublesUpToMax(t *testing.T) {
	b := Backoff{Min: 4 * time.Millisecond, Max: 10 * time.Millisecond}
	for _, want := range []time.Duration{4, 8, 10, 10} {
		begin := time.Now()
		assert.Assert(t, b.Pause(t.Context()))
		assert.Equal(t, b.next, want*time.Millisecond)
		assert.Assert(t, time.Since(begin) >= b.next/2)
	}
	b.Reset()
	assert.Assert(t, b.Pause(t.Context()))
	assert.Equal(t, b.next, b.Min)
}
