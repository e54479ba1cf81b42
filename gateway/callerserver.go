package gateway

import (
	"context"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/callers"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/pipeline"
)

const (
	// headerTimeout bounds reading a request's header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds how much of a request's header is read, whatever limit the
	// document sets. Short lines take some ten times their size in memory.
	maxHeaderBytes = 256 << 10
	// keepAliveInterval is the interval of TCP keep-alive probes, which detect callers that
	// vanished without closing their connection.
	keepAliveInterval = 15 * time.Second
)

// callerServer is the HTTP server for callers. It closes idle connections by the idle
// timeout of the current document, which may change while they are open.
type callerServer struct {
	server   *http.Server
	listener net.Listener

	mu sync.Mutex
	// idleSince holds the time since which each idle connection has been idle, open counts
	// all connections and busy those with a request.
	idleSince map[net.Conn]time.Time
	open      int
	busy      int
}

// listenForCallers listens on addr for as many connections as the door takes. Requests are served through p, which may
// start those early that a caller sends ahead.
func listenForCallers(addr string, p *pipeline.Server, door *callers.Door) (*callerServer, error) {
	ln, err := listenBounded(addr)
	if err != nil {
		return nil, err
	}
	f := &callerServer{listener: p.Listener(callerListener{ln, door}), idleSince: make(map[net.Conn]time.Time)}
	f.server = &http.Server{
		Handler:           trackPhases(p),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         f.trackConn,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return withConn(p.ConnContext(ctx, c), socketOf(c))
		},
		ErrorLog: log.New(serverErrorWriter{}, "", 0),
	}
	return f, nil
}

const (
	// receiveBufferBytes and sendBufferBytes bound what the kernel holds for a caller's connection. By itself it lets a
	// connection hold several MiB.
	receiveBufferBytes = 32 << 10
	sendBufferBytes    = 64 << 10
)

// listenBounded listens on addr. The kernel holds little for its connections, which inherit the bounds.
func listenBounded(addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: keepAliveInterval, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if controlErr := c.Control(func(fd uintptr) { err = boundBuffers(int(fd)) }); controlErr != nil {
			return controlErr
		}
		return err
	}}
	ln, err := lc.Listen(context.Background(), "tcp4", addr)
	return ln, errors.WithStack(err)
}

// boundBuffers bounds the buffers of a socket.
func boundBuffers(fd int) error {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes))
}

// trackPhases records when requests are served, for the account of what is held for callers. A connection waits again once
// it is idle: when the handler returns, net/http still holds the end of the response.
func trackPhases(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			setPhase(r, callers.Serving)
		}
		h.ServeHTTP(w, r)
	})
}

// serverErrorWriter writes errors of the HTTP server to the event log.
type serverErrorWriter struct{}

// Write implements io.Writer.
func (serverErrorWriter) Write(b []byte) (int, error) {
	eventlog.Info(eventlog.ServerError, "text", strings.TrimSpace(string(b)))
	return len(b), nil
}

func (f *callerServer) trackConn(c net.Conn, s http.ConnState) {
	if s == http.StateIdle {
		socketOf(c).entry.SetPhase(callers.Waiting)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_, wasIdle := f.idleSince[c]
	delete(f.idleSince, c)
	if s == http.StateIdle && !c.(*pipeline.Conn).HoldsRequest() {
		socketOf(c).startIdle()
	}
	switch s {
	case http.StateNew:
		f.open++
		f.idleSince[c] = time.Now()
	case http.StateIdle:
		f.busy--
		f.idleSince[c] = time.Now()
	case http.StateActive:
		f.busy++
	case http.StateClosed, http.StateHijacked:
		f.open--
		if !wasIdle {
			f.busy--
		}
	}
}

// closeIdle closes the connections that have been idle for longer than the limit, unless a part of a request has
// arrived.
func (f *callerServer) closeIdle(limit time.Duration) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, since := range f.idleSince {
		if now.Sub(since) > limit {
			closeUnlessReceiving(c)
		}
	}
}

// connCounts returns the number of open connections and of those with a request.
func (f *callerServer) connCounts() (open, busy int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open, f.busy
}
