package gateway

import (
	"bytes"
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
		Handler: h, MayStart: h.mayStartEarly, AccountOf: accountOf, HeaderCost: headerCost, Refusal: noRoomForHeader, Report: h.reportEarlyStart,
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

// headerFieldBytes is the memory of a header field apart from its text: entries in the maps of the request and of the
// copy that is sent to a target.
const headerFieldBytes = 256

// headerCost returns the memory in bytes that a part of a request's header takes.
func headerCost(part []byte) int64 {
	return int64(len(part) + headerFieldBytes*bytes.Count(part, []byte{'\n'}))
}

// noRoomForHeader is the response if there is no memory for a header. The request has not been read, so it is not run.
var noRoomForHeader = []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.3\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
