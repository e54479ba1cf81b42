package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/clementinereel/clementinereel/callers"
)

const (
	// adminReadTimeout bounds reading a request of the balancer or an operator.
	adminReadTimeout = 5 * time.Second
	// adminHeaderBytes bounds its header.
	adminHeaderBytes = 8 << 10
)

// newAdminServer returns a server for the balancer and operators. Its address may be reached by callers too.
func newAdminServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: trackPhases(withoutBodies(h)), ReadTimeout: adminReadTimeout, MaxHeaderBytes: adminHeaderBytes,
		IdleTimeout: internalIdleTimeout, WriteTimeout: internalWriteTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return withConn(ctx, c.(*callerConn)) },
		ConnState:   trackAdminConn,
	}
}

// withoutBodies responds to requests with a body without reading it, and closes their connection.
func withoutBodies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			r.Body = http.NoBody
		}
		h.ServeHTTP(w, r)
	})
}

// trackAdminConn makes connections charge the account for all that they receive until they are idle, and wait from then on.
func trackAdminConn(c net.Conn, s http.ConnState) {
	conn := c.(*callerConn)
	switch s {
	case http.StateNew:
		conn.chargesReads = true
	case http.StateIdle:
		conn.releaseReads()
		conn.entry.SetPhase(callers.Waiting)
	}
}
