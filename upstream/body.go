package upstream

import (
	"errors"
	"io"
	"sync"

	"github.com/clementinereel/clementinereel/fleet"
)

// onceBody is a request's body on its way to one target. It hides what kind
// of reader it is, so that the transport can neither rewind it nor send the
// request a second time on its own, and remembers whether it was begun. Once
// its try is over it gives nothing more: a transport that begins to send late
// must not take bytes that are meant for another target.
type onceBody struct {
	r io.Reader

	mu    sync.Mutex
	begun bool
	over  bool
	err   error
}

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	if !b.begin() {
		return 0, ErrGivenUp
	}
	n, err := b.r.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.mu.Lock()
		b.err = err
		b.mu.Unlock()
	}
	return n, err
}

func (b *onceBody) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.over {
		return false
	}
	b.begun = true
	return true
}

// Close implements io.Closer. The body belongs to the caller.
func (b *onceBody) Close() error { return nil }

// conclude ends the body and adds to its try's result what became of it. A body that broke
// off at the caller's side says nothing of the target.
func (b *onceBody) conclude(res *Result, oneBody bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.over = true
	res.BodyUsed = oneBody && b.begun
	res.BodyErr = b.err
	if b.err != nil && res.Answer == nil {
		res.Try = fleet.TryCanceled
	}
}
