package gateway

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/transfer"
)

var (
	errBodyTooLarge = errors.New("body too large")
	errBodiesFull   = errors.New("request bodies in memory exceed the limit")
)

// Bodies bounds the memory that the process uses for request bodies.
type Bodies struct {
	MaxBytes  int64
	heldBytes atomic.Int64
}

// Read reads a whole body and reserves memory for it, which the caller must release. The
// content length is not positive if it is unknown; only then is maxBytes enforced.
func (b *Bodies) Read(r io.Reader, contentLength, maxBytes int64) ([]byte, error) {
	if contentLength > 0 {
		return b.readExactly(r, contentLength)
	}
	reserved := int64(0)
	body, err := transfer.ReadAll(r, maxBytes, func(n int64) error {
		if !b.Reserve(n) {
			return errBodiesFull
		}
		reserved += n
		return nil
	})
	b.Release(reserved - int64(len(body)))
	if errors.Is(err, transfer.ErrTooLarge) {
		err = errBodyTooLarge
	}
	return body, err
}

func (b *Bodies) readExactly(r io.Reader, n int64) ([]byte, error) {
	if !b.Reserve(n) {
		return nil, errBodiesFull
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		b.Release(n)
		return nil, err
	}
	return body, nil
}

// Reserve reserves n bytes and reports whether there is room for them. The caller must
// release them. For nothing there is always room.
func (b *Bodies) Reserve(n int64) bool {
	if n <= 0 {
		return true
	}
	if b.heldBytes.Add(n) > b.MaxBytes {
		b.heldBytes.Add(-n)
		return false
	}
	return true
}

// Release releases n reserved bytes.
func (b *Bodies) Release(n int64) { b.heldBytes.Add(-n) }
