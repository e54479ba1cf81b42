package gateway

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
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

// chunkBytes is the size by which the reservation for a body of unknown length grows.
const chunkBytes = 64 << 10

// Read reads a whole body and reserves memory for it, which the caller must release. The
// content length is not positive if it is unknown; only then is maxBytes enforced.
func (b *Bodies) Read(r io.Reader, contentLength, maxBytes int64) ([]byte, error) {
	if contentLength > 0 {
		return b.readExactly(r, contentLength)
	}
	var buf bytes.Buffer
	reserved := int64(0)
	for {
		if !b.Reserve(chunkBytes) {
			b.Release(reserved)
			return nil, errBodiesFull
		}
		reserved += chunkBytes
		n, err := io.CopyN(&buf, r, chunkBytes)
		switch {
		case int64(buf.Len()) > maxBytes:
			err = errBodyTooLarge
		case errors.Is(err, io.EOF):
			b.Release(reserved - int64(buf.Len()))
			return buf.Bytes(), nil
		case err == nil && n == chunkBytes:
			continue
		}
		b.Release(reserved)
		return nil, err
	}
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
// release them.
func (b *Bodies) Reserve(n int64) bool {
	if b.heldBytes.Add(n) > b.MaxBytes {
		b.heldBytes.Add(-n)
		return false
	}
	return true
}

// Release releases n reserved bytes.
func (b *Bodies) Release(n int64) { b.heldBytes.Add(-n) }
