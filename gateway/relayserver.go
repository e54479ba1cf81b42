package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/quarantine"
	"github.com/clementinereel/clementinereel/relay"
)

const (
	// maxRelayedRequests is the number of requests of other instances that are served at the same
	// time; further ones are declined.
	maxRelayedRequests = 200
	// maxRelayedBytes bounds a request of another instance, whose body may be as large as the
	// configuration allows.
	maxRelayedBytes = 64 << 20
)

// serveRelayed makes the attempts of a request that another instance has taken from a caller.
func (h *Handler) serveRelayed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(relayHeaders.RequestID, r.Header.Get(relayHeaders.RequestID))
	busy := h.relayedBusy.Add(1)
	defer h.relayedBusy.Add(-1)
	if busy > maxRelayedRequests {
		h.declineRelayed(w, r, "too many requests of other instances")
		return
	}
	if r.ContentLength <= 0 || r.ContentLength > maxRelayedBytes {
		h.declineRelayed(w, r, "the size of the request is unknown or above the limit")
		return
	}
	holder, done := h.holderOf(r)
	defer done()
	body, err := readBody(holder, newCallerBody(w, r), r.ContentLength, maxRelayedBytes)
	if err != nil {
		h.declineRelayed(w, r, err.Error())
		return
	}
	defer holder.Release(int64(len(body)))
	m, err := relay.DecodeRequest(body)
	if err != nil {
		h.declineRelayed(w, r, err.Error())
		return
	}
	c := h.relayedCall(w, r, m)
	if reason := c.whyNotRelayed(m); reason != "" {
		h.declineRelayed(w, r, reason)
		return
	}
	if !h.Descriptors.available() {
		h.declineRelayed(w, r, "too many connections are open")
		return
	}
	if !c.holdResponses() {
		h.declineRelayed(w, r, reasonResponsesFull)
		return
	}
	defer c.responses.Release()
	h.respondRelayed(c, c.runAttempts())
}

// relayedCall returns the call of a request of another instance.
func (h *Handler) relayedCall(w http.ResponseWriter, r *http.Request, m *relay.Request) *call {
	start := time.Now()
	route := &document.Route{Name: m.Route, Class: m.Class, MaxAttempts: m.MaxAttempts, Objective: m.Objective}
	return &call{
		h: h, w: w, r: r, start: start, id: m.ID, relayed: true, version: m.Version, route: &document.Entry{Route: route}, service: m.Service, priority: m.Priority,
		request:  &exchange.Request{ID: m.ID, Method: m.Method, URI: m.URI, Host: m.Host, Header: m.Header, Body: m.Body, HasBody: m.HasBody},
		content:  quarantine.Content{Method: m.Method, Host: m.Host, URI: m.URI, Body: m.Body},
		deadline: start.Add(m.Left), targetDeadline: start.Add(m.TargetLeft),
	}
}

// whyNotRelayed returns why this instance does not take a request of another one, or "".
func (c *call) whyNotRelayed(m *relay.Request) string {
	switch {
	case c.h.Paths.IsLost(c.service):
		return "this instance has lost its paths too"
	case len(c.h.State.Targets().Services[c.service]) == 0:
		return "no target is known"
	case c.stopsBefore():
		return reasonStopping
	case c.standing() == quarantine.Quarantined && !m.Trial:
		return "the content is in quarantine"
	}
	return ""
}

// declineRelayed responds that the request was not run, so that another instance may be asked.
func (h *Handler) declineRelayed(w http.ResponseWriter, r *http.Request, reason string) {
	eventlog.Info(eventlog.RelayDeclined, "request", r.Header.Get(relayHeaders.RequestID), "from", r.RemoteAddr, "why", reason)
	w.Header().Set(relayHeaders.NotRun, "1")
	w.Header().Set("Connection", "close") // the request may not have been read
	w.WriteHeader(http.StatusServiceUnavailable)
}

// respondRelayed sends the outcome to the other instance.
func (h *Handler) respondRelayed(c *call, o outcome) {
	eventlog.Info(eventlog.RelayServed, "request", c.id, "from", c.r.RemoteAddr, "route", c.route.Name, "class", c.route.Class, "service", c.service, "outcome", string(o.kind),
		"target", o.target, "why", o.reason, "document", c.version, "after_ms", time.Since(c.start).Milliseconds())
	body, err := encodeOutcome(o)
	if err != nil {
		eventlog.Error(eventlog.RelayServed, err, "request", c.id)
		c.write(http.StatusInternalServerError, nil)
		return
	}
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.write(http.StatusOK, body)
}
