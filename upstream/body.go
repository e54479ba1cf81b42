package upstream

import (
	"errors"
	"io"
	"sync"

	"github.com/clementinereel/clementinereel/fleet"
)

// onceBody wraps a request body for a single try. It hides the type of the
// underlying reader, so that the transport can neither rewind the body nor
// retry the request itself, and records whether reading has started. After the
// try has ended, Read fails: a transport that starts sending late must not
// consume bytes that are meant for another target.
type onceBody struct {
	r io.Reader

	mu       sync.Mutex
	started  bool
	finished bool
	err      error
}

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	if !b.start() {
		return 0, ErrAbandoned
	}
	n, err := b.r.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.mu.Lock()
		b.err = err
		b.mu.Unlock()
	}
	return n, err
}

func (b *onceBody) start() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.finished {
		return false
	}
	b.started = true
	return true
}

// Close implements io.Closer. It does nothing: the caller owns the body.
func (b *onceBody) Close() error { return nil }

// finish disables further reads and records the state of the body in the
// result of its try. If reading the caller's body failed and there is no
// response, the try counts as canceled: the failure is no evidence about the target.
func (b *onceBody) finish(res *Result, oneBody bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finished = true
	res.BodyUsed = oneBody && b.started
	res.BodyErr = b.err
	if b.err != nil && res.Response == nil {
		res.Try = fleet.TryCanceled
	}
}
