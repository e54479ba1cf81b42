package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// bodyStallTimeout is the longest time without another byte of a request's body.
	bodyStallTimeout = 30 * time.Second
	// A request's body takes on the connection, with its chunk framing, at most framingFactor times its own
	// size and framingReserveBytes.
	framingFactor       = 1.5
	framingReserveBytes = 4 << 20
)

var errBodyFraming = errors.New("the chunks of the body carry too little")

// callerBody is the body of a request. Reading it fails if it stands still for bodyStallTimeout or if its framing
// is too large; then all later reads fail too.
type callerBody struct {
	io.ReadCloser
	controller *http.ResponseController
	// stallTimeout is bodyStallTimeout but in tests.
	stallTimeout time.Duration
	// conn is the connection; nil if its bytes are not counted. receivedBefore is what it had received when the
	// reading began.
	conn           *callerConn
	receivedBefore int64
	read           int64
	err            error
}

func newCallerBody(w http.ResponseWriter, r *http.Request) *callerBody {
	b := &callerBody{ReadCloser: r.Body, controller: http.NewResponseController(w), stallTimeout: bodyStallTimeout}
	if b.conn, _ = r.Context().Value(connKey{}).(*callerConn); b.conn != nil {
		b.receivedBefore = b.conn.received.Load()
	}
	return b
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	// If the connection supports no deadlines, the caller's own timeout bounds the read.
	_ = b.controller.SetReadDeadline(time.Now().Add(b.stallTimeout))
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if err == nil && b.framingTooLarge() {
		err = errors.WithStack(errBodyFraming)
	}
	b.setDeadlineAfter(err)
	b.err = err
	return n, err
}

// setDeadlineAfter sets the deadline for what net/http reads after a read with this error. Before it responds it
// reads the rest of the body.
func (b *callerBody) setDeadlineAfter(err error) {
	switch {
	case err == nil:
	case errors.Is(err, io.EOF), errors.Is(err, http.ErrBodyReadAfterClose):
		// The connection is read on to notice that the caller leaves, or for its next request.
		_ = b.controller.SetReadDeadline(time.Time{})
	default:
		_ = b.controller.SetReadDeadline(time.Unix(1, 0)) // in the past: the rest is not awaited
	}
}

func (b *callerBody) framingTooLarge() bool {
	if b.conn == nil {
		return false
	}
	received := b.conn.received.Load() - b.receivedBefore
	return received > int64(framingFactor*float64(b.read))+framingReserveBytes
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// withConn makes the connection known to its requests.
func withConn(ctx context.Context, c *callerConn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
