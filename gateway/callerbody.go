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
	// maxDiscardBytes bounds how much of a refused request's body is read, discardTimeout for how long, and refusalDelay how
	// long the response waits for the end of the body.
	maxDiscardBytes = 8 << 20
	discardTimeout  = 5 * time.Second
	refusalDelay    = time.Second
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
	// end is when reading ends at the latest; the zero time if only a standstill ends it.
	end time.Time
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
	_ = b.controller.SetReadDeadline(b.deadline(time.Now()))
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if err == nil && b.framingTooLarge() {
		err = errors.WithStack(errBodyFraming)
	}
	b.setDeadlineAfter(err)
	b.err = err
	return n, err
}

// deadline returns when a read that begins now is given up.
func (b *callerBody) deadline(now time.Time) time.Time {
	d := now.Add(b.stallTimeout)
	if !b.end.IsZero() && b.end.Before(d) {
		return b.end
	}
	return d
}

// discard reads the rest of the body of a refused request, of which a part may still be on its way: closing the
// connection would reset it before the caller has read the response. It returns once the reading has ended, or after
// refusalDelay; it then goes on beside the response.
func (b *callerBody) discard() *discard {
	d := &discard{done: make(chan struct{})}
	b.end = time.Now().Add(discardTimeout)
	// A connection that can't be read beside the response takes the response after the body.
	_ = b.controller.EnableFullDuplex()
	go func() {
		defer close(d.done)
		_, err := io.CopyN(io.Discard, b, maxDiscardBytes)
		d.err = err
	}()
	select {
	case <-d.done:
	case <-time.After(refusalDelay):
	}
	return d
}

// discard is the reading of the rest of a body.
type discard struct {
	// done is closed when the reading has ended. Others may read err, with which it ended, from then on.
	done chan struct{}
	err  error
}

// noDiscard is that of a request without a body.
var noDiscard = func() *discard {
	d := &discard{done: make(chan struct{}), err: io.EOF}
	close(d.done)
	return d
}()

func (d *discard) ended() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// complete reports whether the whole body has been read, so that the connection can be used for the next request.
func (d *discard) complete() bool { return d.ended() && errors.Is(d.err, io.EOF) }

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
