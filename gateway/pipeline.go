package gateway

import (
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/pipeline"
)

// newPipeline returns what serves callers' requests with h, those that are sent ahead on a
// connection side by side if they are repeatable.
func newPipeline(h *Handler) *pipeline.Server {
	return &pipeline.Server{
		Handler: h, MayStart: h.mayStartEarly, AccountOf: accountOf, Report: h.reportEarlyStart,
	}
}

// accountOf returns the account of a caller's connection.
func accountOf(c net.Conn) pipeline.Account { return c.(*callerConn).entry }

// mayStartEarly reports whether a request may run beside others of its connection.
func (h *Handler) mayStartEarly(r *http.Request) bool {
	if h.keepAliveDisabled.Load() {
		return false
	}
	table := h.State.Table()
	if table == nil {
		return false
	}
	path, _, _ := strings.Cut(requestURI(r), "?")
	route := table.Match(r.Host, path)
	return route != nil && route.Class.Repeatable()
}

func (h *Handler) reportEarlyStart(r *http.Request, o pipeline.Outcome, age time.Duration) {
	h.Metrics.CountStartedEarly(o)
	if o == pipeline.Used {
		return
	}
	eventlog.Info(eventlog.EarlyStartDropped, "request", r.Header.Get(h.Client.Headers.RequestID), "from", r.RemoteAddr, "outcome", string(o), "after_ms", age.Milliseconds())
}
