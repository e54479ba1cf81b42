package upstream

import (
	"errors"
	"io"
	"sync"

	"github.com/clementinereel/clementinereel/fleet"
)

// onceBody is a request's body on its way to one target. It hides what kind
// of reader it is, so that the transport can neither rewind it nor send the
// request a second time on its own, and remembers how far it was read.
type onceBody struct {
	r io.Reader

	mu   sync.Mutex
	read bool
	err  error
}

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read = b.read || n > 0
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// Close implements io.Closer. The body belongs to the caller.
func (b *onceBody) Close() error { return nil }

// conclude adds to a try's result what became of the body. A body that broke
// off at the caller's side says nothing of the target.
func (b *onceBody) conclude(res *Result, oneBody bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	res.BodyUsed = oneBody && b.read
	res.BodyErr = b.err
	if b.err != nil && res.Answer == nil {
		res.Try = fleet.TryCanceled
	}
}
