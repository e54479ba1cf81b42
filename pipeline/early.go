package pipeline

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
)

// early is a request that was started before its turn.
type early struct {
	server  *Server
	account Account
	request *http.Request
	// size is the number of bytes of the request, cost the memory that is charged for its header.
	size   int
	cost   int64
	start  time.Time
	cancel context.CancelFunc
	// turn is closed when net/http has reached the request. From then on writer is the response
	// writer of net/http.
	turn   chan struct{}
	writer http.ResponseWriter
	// done is closed when the handler has returned. Others may read what follows from then on: whether
	// the handler wrote a response, whether there was no memory for the response to wait for its turn,
	// and with what the handler panicked.
	done       chan struct{}
	wrote      bool
	noRoom     bool
	panicValue any
}

// newEarly starts a request beside the current one of the connection.
func newEarly(c *Conn, r *http.Request, size int, cost int64) *early {
	current := c.current
	ctx, cancel := context.WithCancel(context.WithoutCancel(current.Context()))
	e := &early{server: c.server, account: c.account, size: size, cost: cost, start: time.Now(), cancel: cancel, turn: make(chan struct{}), done: make(chan struct{})}
	e.request = r.WithContext(ctx)
	e.request.RemoteAddr = current.RemoteAddr
	go e.run()
	return e
}

func (e *early) run() {
	defer close(e.done)
	defer e.account.EndAhead()
	defer e.account.Release(e.cost)
	defer e.recoverPanic()
	e.server.Handler.ServeHTTP(&turnWriter{early: e, header: make(http.Header)}, e.request)
}

// recoverPanic keeps a panic of the handler for the goroutine of the connection, which may
// have ended meanwhile.
func (e *early) recoverPanic() {
	e.panicValue = recover()
	if e.panicValue != nil && e.panicValue != http.ErrAbortHandler {
		eventlog.Info(eventlog.ServerError, "text", fmt.Sprint("panic in a request that was started early: ", e.panicValue), "stack", string(debug.Stack()))
	}
}

// handOver lets the request respond to w.
func (e *early) handOver(w http.ResponseWriter) {
	e.writer = w
	close(e.turn)
}

// turnWriter is the response writer of a request that was started early. Whoever begins to
// write a response waits until it is the request's turn.
type turnWriter struct {
	early  *early
	header http.Header
	// began is set once Header returns the header of early.writer.
	began bool
}

// Header implements http.ResponseWriter.
func (w *turnWriter) Header() http.Header {
	if w.began {
		return w.early.writer.Header()
	}
	return w.header
}

// await waits for the request's turn and copies the header that the handler has set to that of net/http.
func (w *turnWriter) await() error {
	if w.began {
		return nil
	}
	if !w.awaitTurn() {
		return errNoTurn
	}
	w.began = true
	out := w.early.writer.Header()
	for name, values := range w.header {
		out[name] = values
	}
	return nil
}

// awaitTurn reports whether the request has its turn. While it waits, the response is
// charged to the memory of the process.
func (w *turnWriter) awaitTurn() bool {
	e := w.early
	select {
	case <-e.turn:
		return !e.noRoom
	default:
	}
	n, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64)
	if err != nil || n < 0 {
		n = 0 // nothing is held: the body is written after the turn
	}
	if e.noRoom || !e.account.Reserve(n) {
		e.noRoom = true
		return false
	}
	defer e.account.Release(n)
	select {
	case <-e.turn:
		return true
	case <-e.request.Context().Done():
		return false
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *turnWriter) WriteHeader(status int) {
	if w.await() != nil {
		return
	}
	w.early.wrote = true
	w.early.writer.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *turnWriter) Write(b []byte) (int, error) {
	if err := w.await(); err != nil {
		return 0, err
	}
	w.early.wrote = true
	return w.early.writer.Write(b)
}

// SetWriteDeadline sets the deadline for writing the response; the wait for the turn does
// not count. It is used by http.ResponseController.
func (w *turnWriter) SetWriteDeadline(t time.Time) error {
	left := time.Until(t)
	if err := w.await(); err != nil {
		return err
	}
	if !t.IsZero() {
		t = time.Now().Add(left)
	}
	return http.NewResponseController(w.early.writer).SetWriteDeadline(t)
}

// FlushError sends what has been written. It is used by http.ResponseController.
func (w *turnWriter) FlushError() error {
	if err := w.await(); err != nil {
		return err
	}
	w.early.wrote = true
	return http.NewResponseController(w.early.writer).Flush()
}
