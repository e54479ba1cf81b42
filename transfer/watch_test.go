package transfer

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testFirst = time.Second
	testStall = 500 * time.Millisecond
)

// TestSlowTransferIsNotEnded guards against a limit on the total time, which discards what has arrived
// over a slow link.
func TestSlowTransferIsNotEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, ctx := NewWatch(t.Context(), testFirst, testStall)
		defer w.Stop()
		for range 100 {
			time.Sleep(testStall - time.Millisecond)
			_, err := NewReader(ctx, strings.NewReader("x")).Read(make([]byte, 1))
			assert.NilError(t, err)
			assert.NilError(t, ctx.Err())
		}
		assert.Assert(t, w.HasBegun())
	})
}

func TestTransferWithoutProgressIsEnded(t *testing.T) {
	for name, begun := range map[string]bool{"before the first byte": false, "after it": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, ctx := NewWatch(t.Context(), testFirst, testStall)
				defer w.Stop()
				limit := testFirst
				if begun {
					Progress(ctx)
					limit = testStall
				}
				time.Sleep(limit - time.Millisecond)
				assert.NilError(t, ctx.Err())
				time.Sleep(2 * time.Millisecond)
				assert.Assert(t, errors.Is(context.Cause(ctx), ErrNoProgress))
			})
		})
	}
}

func TestProgressWithoutWatch(t *testing.T) {
	b, err := io.ReadAll(NewReader(t.Context(), strings.NewReader("all")))
	assert.NilError(t, err)
	assert.Equal(t, string(b), "all")
}
