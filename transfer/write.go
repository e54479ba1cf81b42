package transfer

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// segmentBytes is the unit in which a body is written.
	segmentBytes = 16 << 10
	// writeStallTimeout is the longest time for which a receiver may take no segment.
	writeStallTimeout = time.Second
)

// Write writes the body as the whole response. It fails if the receiver takes nothing for
// writeStallTimeout.
func Write(w http.ResponseWriter, body []byte) error {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c := http.NewResponseController(w)
	for len(body) > 0 {
		n := min(len(body), segmentBytes)
		// If the connection supports no deadlines, the receiver's end bounds the transfer.
		_ = c.SetWriteDeadline(time.Now().Add(writeStallTimeout))
		if _, err := w.Write(body[:n]); err != nil {
			return errors.WithStack(err)
		}
		body = body[n:]
	}
	return nil
}
