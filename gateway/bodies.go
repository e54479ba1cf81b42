package gateway

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

var (
	errBodyTooLarge = errors.New("body too large")
	errBodiesFull   = errors.New("bodies held exceed the bound")
)

// Bodies bounds the bytes of request bodies that the process holds.
type Bodies struct {
	Bound int64
	held  atomic.Int64
}

// chunk is by how much the room for a body of unknown length grows, in bytes.
const chunk = 64 << 10

// Read reads a whole body. The caller releases its length afterwards.
func (b *Bodies) Read(r io.Reader, announced, most int64) ([]byte, error) {
	if announced > 0 {
		return b.readExactly(r, announced)
	}
	var buf bytes.Buffer
	reserved := int64(0)
	for {
		if !b.reserve(chunk) {
			b.Release(reserved)
			return nil, errBodiesFull
		}
		reserved += chunk
		n, err := io.CopyN(&buf, r, chunk)
		switch {
		case int64(buf.Len()) > most:
			err = errBodyTooLarge
		case errors.Is(err, io.EOF):
			b.Release(reserved - int64(buf.Len()))
			return buf.Bytes(), nil
		case err == nil && n == chunk:
			continue
		}
		b.Release(reserved)
		return nil, err
	}
}

func (b *Bodies) readExactly(r io.Reader, n int64) ([]byte, error) {
	if !b.reserve(n) {
		return nil, errBodiesFull
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		b.Release(n)
		return nil, err
	}
	return body, nil
}

func (b *Bodies) reserve(n int64) bool {
	if b.held.Add(n) > b.Bound {
		b.held.Add(-n)
		return false
	}
	return true
}

// Release gives back the room of a body.
func (b *Bodies) Release(n int64) { b.held.Add(-n) }
