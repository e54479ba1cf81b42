package gateway

import (
	"io"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/transfer"
)

var (
	errBodyTooLarge = errors.New("body too large")
	errBodiesFull   = errors.New("request bodies in memory exceed the limit")
)

// reserver reserves memory. Whoever reserves must release.
type reserver interface {
	// Reserve reserves n bytes and reports whether there is room for them. For nothing there is always room.
	Reserve(n int64) bool
	// Release releases n reserved bytes.
	Release(n int64)
}

// readBody reads a whole body and reserves memory for it, which the caller must release. The
// content length is not positive if it is unknown; only then is maxBytes enforced.
func readBody(m reserver, r io.Reader, contentLength, maxBytes int64) ([]byte, error) {
	if contentLength > 0 {
		return readExactly(m, r, contentLength)
	}
	reserved := int64(0)
	body, err := transfer.ReadAll(r, maxBytes, func(n int64) error {
		if !m.Reserve(n) {
			return errBodiesFull
		}
		reserved += n
		return nil
	})
	m.Release(reserved - int64(len(body)))
	if errors.Is(err, transfer.ErrTooLarge) {
		err = errBodyTooLarge
	}
	return body, err
}

func readExactly(m reserver, r io.Reader, n int64) ([]byte, error) {
	if !m.Reserve(n) {
		return nil, errBodiesFull
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		m.Release(n)
		return nil, err
	}
	return body, nil
}
