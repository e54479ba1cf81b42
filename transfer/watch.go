package transfer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrNoProgress is the cause for which a Watch ends a transfer.
var ErrNoProgress = errors.New("the transfer made no progress in time")

// Watch ends a transfer whose first byte does not arrive in time, or that makes no progress after
// that. It is safe for concurrent use; several transfers may share one.
type Watch struct {
	stall  time.Duration
	cancel context.CancelCauseFunc
	timer  *time.Timer
	begun  chan struct{}
	once   sync.Once
}

type watchKey struct{}

// NewWatch returns a Watch and the context that it cancels: first is the time until the first byte,
// stall the longest time without another one. Stop must be called at the end.
func NewWatch(ctx context.Context, first, stall time.Duration) (*Watch, context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &Watch{stall: stall, cancel: cancel, begun: make(chan struct{})}
	w.timer = time.AfterFunc(first, func() { cancel(errors.WithStack(ErrNoProgress)) })
	return w, context.WithValue(ctx, watchKey{}, w)
}

// Progress records that something has arrived.
func (w *Watch) Progress() {
	w.once.Do(func() { close(w.begun) })
	w.timer.Reset(w.stall)
}

// Begun returns a channel that is closed once something has arrived.
func (w *Watch) Begun() <-chan struct{} { return w.begun }

// HasBegun reports whether something has arrived.
func (w *Watch) HasBegun() bool {
	select {
	case <-w.begun:
		return true
	default:
		return false
	}
}

// Stop ends the watch and its context.
func (w *Watch) Stop() {
	w.timer.Stop()
	w.cancel(context.Canceled)
}

// Progress records on the context's Watch, if it has one, that something has arrived.
func Progress(ctx context.Context) {
	if w, ok := ctx.Value(watchKey{}).(*Watch); ok {
		w.Progress()
	}
}

// NewReader returns a reader that records what it reads on the context's Watch, if it has one.
func NewReader(ctx context.Context, r io.Reader) io.Reader { return &reader{ctx, r} }

type reader struct {
	ctx context.Context
	r   io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	if n > 0 {
		Progress(r.ctx)
	}
	return n, err
}
