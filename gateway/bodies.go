package gateway

import (
	"io"
	"sync"

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
	pieces, err := transfer.ReadPieces(r, maxBytes, func(n int64) error {
		if !m.Reserve(n) {
			return errBodiesFull
		}
		reserved += n
		return nil
	})
	var body []byte
	if err == nil {
		body = joinPieces(m, pieces)
	}
	m.Release(reserved - int64(len(body)))
	if errors.Is(err, transfer.ErrTooLarge) {
		err = errBodyTooLarge
	}
	return body, err
}

// unreservedJoin is held while the pieces of a body are copied without memory for the copy.
var unreservedJoin sync.Mutex

// joinPieces returns a body as one slice. Meanwhile it takes twice its memory. If there is no room for that, one body
// at a time is copied all the same: the largest one has room for itself only.
func joinPieces(m reserver, pieces [][]byte) []byte {
	if len(pieces) == 1 {
		return pieces[0]
	}
	size := transfer.Size(pieces)
	if m.Reserve(size) {
		defer m.Release(size)
		return transfer.Join(pieces)
	}
	unreservedJoin.Lock()
	defer unreservedJoin.Unlock()
	return transfer.Join(pieces)
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
