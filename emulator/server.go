package emulator

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Server is an emulator behind a listener of its own.
type Server struct {
	*Emulator
	addr string

	mu       sync.Mutex
	http     *http.Server
	listener net.Listener

	open, peak, opened atomic.Int64
}

// Serve starts a target at an address of a loopback interface, such as
// "127.0.0.1:0".
func Serve(addr string, o Options) (*Server, error) {
	e, err := New(o)
	if err != nil {
		return nil, err
	}
	s := &Server{Emulator: e, addr: addr}
	e.onDeath = func() { go s.close(s.current()) }
	return s, s.listen()
}

// Addr is the address on which the target listens.
func (s *Server) Addr() string { return s.addr }

// URL is the base URL of the target.
func (s *Server) URL() string { return "http://" + s.addr }

// Close breaks all connections off and stops listening. Revive undoes it.
func (s *Server) Close() { s.close(s.current()) }

// current returns the HTTP server that listens, nil if none does.
func (s *Server) current() *http.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.http
}

// close closes the HTTP server unless another one has taken its place.
func (s *Server) close(h *http.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h == nil || s.http != h {
		return
	}
	_ = s.listener.Close() // h may not have begun to serve
	_ = h.Close()
	s.http = nil
}

// Revive makes a closed or dead target listen again at its address, well.
func (s *Server) Revive() error {
	s.Close()
	if err := s.Set(Behavior{}); err != nil {
		return err
	}
	return s.listen()
}

// Stats returns the emulator's counters with those of the connections.
func (s *Server) Stats() Stats {
	st := s.Emulator.Stats()
	st.Open = int(s.open.Load())
	st.Peak = int(s.peak.Load())
	st.Opened = int(s.opened.Load())
	return st
}

func (s *Server) listen() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return errors.WithStack(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addr = l.Addr().String()
	s.listener = l
	s.http = &http.Server{
		Handler:     s.routes(),
		ConnState:   s.connState,
		ConnContext: newConn,
	}
	go func(h *http.Server) { _ = h.Serve(l) }(s.http)
	return nil
}

// routes adds what only a Server knows to the emulator's handler.
func (s *Server) routes() http.Handler {
	inner := s.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.payForConn(r)
		if r.URL.Path == PathStats {
			reply(w, s.Stats())
			return
		}
		inner.ServeHTTP(w, r)
	})
}

// connState counts connections and closes those above the limit.
func (s *Server) connState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.opened.Add(1)
		open := s.open.Add(1)
		s.raisePeak(open)
		if limit := s.opts.Connections; limit > 0 && open > int64(limit) {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
}

func (s *Server) raisePeak(open int64) {
	for {
		peak := s.peak.Load()
		if open <= peak || s.peak.CompareAndSwap(peak, open) {
			return
		}
	}
}

type connKey struct{}

func newConn(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, new(sync.Once))
}

// payForConn spends the cost of a connection on its first request.
func (s *Server) payForConn(r *http.Request) {
	once, ok := r.Context().Value(connKey{}).(*sync.Once)
	if !ok || s.opts.ConnectTime <= 0 {
		return
	}
	once.Do(func() { time.Sleep(s.opts.ConnectTime.D()) })
}
