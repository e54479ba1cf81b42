package peer

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
)

// readHeaderTimeout bounds the headers of a call.
const readHeaderTimeout = 2 * time.Second

// Server is the server's side of calls between instances: a mux with bounds,
// the check of the shared secret, and the relay. It counts into the stats of
// its Transport.
type Server struct {
	transport *Transport
	settings  Settings
	counters  *counters
	mux       *http.ServeMux
	relay     *relay
	http      *http.Server
}

var _ http.Handler = (*Server)(nil)

// NewServer returns a server that forwards relayed calls by the transport and
// has its settings.
func NewServer(t *Transport) *Server {
	s := &Server{
		transport: t,
		settings:  t.settings,
		counters:  t.counters,
		mux:       http.NewServeMux(),
		relay:     newRelay(t),
	}
	s.mux.HandleFunc("GET "+pathPing, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{
		Handler:           s,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: s.settings.MaxCalls},
		MaxHeaderBytes:    s.settings.MaxHeader,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       s.settings.CallTimeout,
		WriteTimeout:      s.settings.CallTimeout,
		IdleTimeout:       2 * s.settings.IdleTimeout,
	}
	return s
}

// Handle registers a handler, such as a connect handler with its path. All
// must be registered before Serve.
func (s *Server) Handle(path string, h http.Handler) { s.mux.Handle(path, h) }

// Serve accepts calls until Shutdown. It then returns nil.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(countedListener{Listener: l, counters: s.counters})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.WithStack(err)
}

// Shutdown stops accepting calls and waits for those under way.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.WithStack(s.http.Shutdown(ctx))
}

// Close cuts all connections.
func (s *Server) Close() error { return errors.WithStack(s.http.Close()) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.counters.callsIn.Inc(1)
	if !s.authorized(r) {
		s.counters.unauthorized.Inc(1)
		http.Error(w, "wrong or missing secret", http.StatusUnauthorized)
		return
	}
	if to := r.Header.Get(HeaderTo); to != "" && to != string(s.transport.self.Instance) {
		http.Error(w, "meant for instance "+to, http.StatusMisdirectedRequest)
		return
	}
	if r.ContentLength > s.settings.MaxBody {
		s.counters.malformed.Inc(1)
		http.Error(w, "body too large", http.StatusRequestEntityTooLarge)
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, s.settings.MaxBody)
	w = &countedWriter{ResponseWriter: w, counters: s.counters}
	if to := r.Header.Get(HeaderRelayTo); to != "" && to != string(s.transport.self.Instance) {
		s.relay.forward(w, r, fleet.InstanceID(to))
		return
	}
	s.serveLocal(w, r)
}

func (s *Server) serveLocal(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderFrom, s.transport.self.String())
	if h, ok := parseHolder(r.Header.Get(HeaderFrom)); ok {
		r = r.WithContext(context.WithValue(r.Context(), keySender, h))
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Server) authorized(r *http.Request) bool {
	if s.settings.Secret == "" {
		return true
	}
	got := r.Header.Get("Authorization")
	return subtle.ConstantTimeCompare([]byte(got), []byte(bearer(s.settings.Secret))) == 1
}

// countedWriter counts answers that refuse a call for its form.
type countedWriter struct {
	http.ResponseWriter
	counters *counters
}

// WriteHeader implements http.ResponseWriter.
func (w *countedWriter) WriteHeader(status int) {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnsupportedMediaType:
		w.counters.malformed.Inc(1)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection's writer.
func (w *countedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
