package proxy

import (
	"net/http"
	"time"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/header"
	"github.com/clementinereel/clementinereel/operate"
	"github.com/clementinereel/clementinereel/problem"
	"github.com/clementinereel/clementinereel/ratelimit"
	"github.com/clementinereel/clementinereel/requestid"
	"github.com/clementinereel/clementinereel/route"
	"github.com/clementinereel/clementinereel/telemetry"
	"github.com/clementinereel/clementinereel/upstream"
)

// Config is what a Handler needs.
type Config struct {
	// Routes returns the routing table in force.
	Routes func() *route.Table
	// Services finds the runtime state of a service.
	Services *upstream.Set
	// Limits holds this instance's allowances under the contracts' limits.
	Limits *ratelimit.Table
	// Operations sees to it that confirmations run at most once.
	Operations *operate.Service
	Metrics    *telemetry.Registry
}

// Handler serves callers' requests.
type Handler struct {
	cfg Config
	log requestLog
}

// New returns a handler.
func New(cfg Config) *Handler {
	return &Handler{cfg: cfg, log: newRequestLog()}
}

// exchange is one request on its way through the handler.
type exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	id       string
	arrived  time.Time
	deadline time.Time
	customer fleet.CustomerID
	route    *contract.Route
	service  *upstream.Service
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{w: w, r: r, arrived: time.Now()}
	x.id = requestid.Accept(r.Header.Get(header.RequestID))
	w.Header().Set(header.RequestID, x.id)
	closeAfterChunked(w, r)
	if p := h.match(x); p != nil {
		h.refuse(x, p)
		return
	}
	x.deadline = x.arrived.Add(x.route.Deadline.D())
	limits, p := h.limit(x)
	if p != nil {
		h.refuse(x, p)
		return
	}
	defer func() { limits.Done(time.Now()) }()
	switch x.route.Class {
	case fleet.Lookup:
		h.lookup(x)
	case fleet.Confirmation:
		h.confirm(x)
	case fleet.Upload:
		h.upload(x)
	}
}

// match finds the request's route; a problem is the final answer.
func (h *Handler) match(x *exchange) *problem.Problem {
	m, res := h.cfg.Routes().Match(x.r.Host, x.r.Method, x.r.URL.Path)
	switch res {
	case route.UnknownHost:
		return problem.New(http.StatusNotFound, problem.NoCustomer, "no customer has this host")
	case route.NoRoute:
		return problem.New(http.StatusNotFound, problem.NoRoute, "no route of the customer has this path")
	case route.WrongMethod:
		return problem.New(http.StatusMethodNotAllowed, problem.MethodRefused, "the route does not take this method")
	}
	x.customer = m.Customer()
	x.route = m.Route
	x.service = h.cfg.Services.Service(m.ServiceID)
	if x.service == nil {
		return problem.New(http.StatusServiceUnavailable, problem.NoTarget, "the service has no targets yet").After(time.Second)
	}
	return nil
}

// refuse ends an exchange with a problem.
func (h *Handler) refuse(x *exchange, p *problem.Problem) {
	p.Write(x.w, x.id)
	if !h.log.refused(x, p) {
		h.cfg.Metrics.Counter("log_lines_left_out").Inc(1)
	}
	h.finished(x, p.Status)
}

// finished records an answered request.
func (h *Handler) finished(x *exchange, status int) {
	if x.route == nil {
		h.cfg.Metrics.Counter("requests_unmatched").Inc(1)
		return
	}
	h.cfg.Metrics.Request(x.customer, x.route.Class, status, time.Since(x.arrived))
}

// closeAfterChunked ends the connection after a request with a chunked body.
// Such a request may have had a Content-Length as well, which net/http drops
// without a word; what follows on the connection is then in doubt (RFC 9112,
// 6.3).
func closeAfterChunked(w http.ResponseWriter, r *http.Request) {
	if len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
}
