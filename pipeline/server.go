package pipeline

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxStartedPerConn is the number of requests of a connection that run or wait for their
	// turn behind the one that is being served.
	maxStartedPerConn = 8
	// minBufferBytes and maxBufferBytes bound the buffer of a connection on which requests
	// are sent ahead.
	minBufferBytes = 2 << 10
	maxBufferBytes = 32 << 10
)

// Outcome is what became of a request that was started early.
type Outcome string

// Outcomes of requests that were started early.
const (
	// Used means that the response was handed to the caller in its turn.
	Used Outcome = "used"
	// Canceled means that the connection ended before the request's turn.
	Canceled Outcome = "canceled"
	// NoRoom means that the response could not be kept; the request runs again in its turn.
	NoRoom Outcome = "no-room"
	// Mismatched means that net/http read another request in its place, which runs on its own.
	Mismatched Outcome = "mismatched"
)

// Account is what is held for a connection.
type Account interface {
	// Reserve reserves n bytes of memory and reports whether there is room for them.
	Reserve(n int64) bool
	// Release releases n reserved bytes.
	Release(n int64)
	// StartAhead reports whether one more request may be started before its turn.
	StartAhead() bool
	// EndAhead is called when a request that was started early has handed over its response.
	EndAhead()
}

// Server joins the connections and the handler of an http.Server.
type Server struct {
	// Handler serves requests, also those that are started early.
	Handler http.Handler
	// MayStart reports whether a request may run beside others of its connection: it must be
	// repeatable. It is called for GET and HEAD without body only, and must not block.
	MayStart func(*http.Request) bool
	// AccountOf returns the account of a connection. It is charged for headers, for buffers and for requests that are
	// started early, with their responses while they wait for their turn.
	AccountOf func(net.Conn) Account
	// HeaderCost returns the memory in bytes that a part of a request's header takes until the request has its response.
	// If nil, headers are not charged.
	HeaderCost func(part []byte) int64
	// Refusal is sent, before the connection is closed, if there is no memory for a header.
	Refusal []byte
	// Report is told what became of a request that was started early, and its age.
	Report func(r *http.Request, o Outcome, age time.Duration)
}

// Listener returns a listener whose connections are read ahead.
func (s *Server) Listener(ln net.Listener) net.Listener { return &listener{Listener: ln, server: s} }

type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err // net/http reads its type
	}
	return &Conn{Conn: c, server: l.server, account: l.server.AccountOf(c)}, nil
}

// costOf returns the memory that a part of a header takes.
func (s *Server) costOf(part []byte) int64 {
	if s.HeaderCost == nil {
		return 0
	}
	return s.HeaderCost(part)
}

type connKey struct{}

// ConnContext makes the connection known to its requests; it is http.Server.ConnContext.
func (s *Server) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	if c == nil {
		s.Handler.ServeHTTP(w, r)
		return
	}
	e := c.begin(r)
	defer c.finish()
	if e == nil {
		s.Handler.ServeHTTP(w, r)
		return
	}
	s.takeOver(e, w, r)
}

// takeOver lets a request that was started early respond to w.
func (s *Server) takeOver(e *early, w http.ResponseWriter, r *http.Request) {
	stop := context.AfterFunc(r.Context(), e.cancel)
	defer stop()
	e.handOver(w)
	<-e.done
	e.cancel()
	switch {
	case e.panicValue != nil && !(e.noRoom && e.panicValue == http.ErrAbortHandler):
		s.report(e, Canceled)
		panic(e.panicValue) // as if the handler had run here
	case e.noRoom: // the handler may have panicked with ErrAbortHandler since it could not write
		s.report(e, NoRoom)
		s.Handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), rerunKey{}, true)))
	case !e.wrote:
		s.report(e, Canceled)
		panic(http.ErrAbortHandler) // closes the connection: net/http would send an empty response
	default:
		s.report(e, Used)
	}
}

func (s *Server) report(e *early, o Outcome) { s.Report(e.request, o, time.Since(e.start)) }

type rerunKey struct{}

// IsRerun reports whether the request has run before and its response could not be kept.
func IsRerun(r *http.Request) bool { return r.Context().Value(rerunKey{}) != nil }

// AwaitTurn waits until all requests before this one on its connection have their
// responses. It reports false if the connection ended before.
func AwaitTurn(w http.ResponseWriter) bool {
	early, ok := w.(*turnWriter)
	return !ok || early.await() == nil
}

// IsLast reports whether no request that was started early stands behind this one on its
// connection. For a request that was itself started early it waits for its turn.
func IsLast(w http.ResponseWriter, r *http.Request) bool {
	if !AwaitTurn(w) {
		return true
	}
	c := connOf(r)
	return c == nil || !c.hasStarted()
}

var errNoTurn = errors.New("the connection ended or there is no room for the response")
