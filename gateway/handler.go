package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/callers"
	"github.com/clementinereel/clementinereel/credential"
	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/header"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/pipeline"
	"github.com/clementinereel/clementinereel/poison"
	"github.com/clementinereel/clementinereel/problem"
	"github.com/clementinereel/clementinereel/quarantine"
	"github.com/clementinereel/clementinereel/quota"
	"github.com/clementinereel/clementinereel/reachability"
	"github.com/clementinereel/clementinereel/statesync"
	"github.com/clementinereel/clementinereel/wait"
)

const (
	// defaultRequestTimeout bounds a request without a deadline on a route without a timeout.
	defaultRequestTimeout = 30 * time.Second
	// responseMargin is subtracted from a caller's deadline for sending the response back.
	responseMargin = 30 * time.Millisecond
	// timeoutGrace is how long after a route's timeout the instance still waits for
	// the target's own timeout response.
	timeoutGrace = 120 * time.Millisecond
	// minRetryAfter is the shortest Retry-After of a refused request: by then a slot is
	// usually free or a peer has sent the missing state.
	minRetryAfter = 300 * time.Millisecond
	// minWriteTimeout bounds writing a response to a caller that reads slowly. One that waits for longer has
	// maxWriteTimeout at most.
	minWriteTimeout, maxWriteTimeout = 10 * time.Second, 30 * time.Second
	// initialStateTimeout bounds how long a request waits during startup for the first
	// configuration and targets. Where all start together, the first of a zone reads them for all within
	// some 200 ms. A refused caller may have no time left to retry, or may not be allowed to.
	initialStateTimeout = 500 * time.Millisecond
	// startupPeriod is the time after the process start in which requests wait for the
	// initial state.
	startupPeriod = 2 * time.Second
	// statePollInterval is the interval at which waiting requests check for the initial state.
	statePollInterval = 5 * time.Millisecond
	// maxResponseBytes bounds the body of a target's response.
	maxResponseBytes = 16 << 20
)

// Handler serves callers' requests.
type Handler struct {
	State     *statesync.State
	Knowledge *Knowledge
	Client    *exchange.Client
	// SendUpdate sends a packet to the other instances.
	SendUpdate func(mesh.Packet)
	// SendLoad sends this instance's load at a target to the instances selected by concerns.
	SendLoad func(l mesh.Load, concerns func(addr string) bool)
	// RequestLoans requests loans of retry budget from a number of neighbours.
	RequestLoans func(loans []mesh.Loan, neighbours int)
	Metrics      *Metrics
	// Contents tracks requests that crash their targets.
	Contents *quarantine.Table
	// SendContent sends evidence about a content to the other instances.
	SendContent func(now time.Time, e quarantine.Evidence)
	// RunsTrial reports whether this instance runs the trials of a quarantined content.
	RunsTrial func(quarantine.Fingerprint) bool
	// Paths estimates whether this instance has lost its paths to targets, PathsChanged sends a
	// change of that, if there is one, to the other instances.
	Paths        *reachability.Table
	PathsChanged func(*reachability.Change)
	// Relayer passes requests on to instances that reach targets.
	Relayer *relayer
	// Rates holds the request rates that overloaded targets allow.
	Rates *Rates
	// Poison tracks requests that fail at every target.
	Poison *poison.Table
	// Keys describes callers' API keys.
	Keys KeySettings
	// Quotas enforces the quotas of tenants.
	Quotas *Quotas
	// Waiting holds the requests that wait for a later attempt.
	Waiting *Waiting
	// Callers is what is held for callers. Descriptors bounds open connections, Responses the memory for large responses.
	Callers     *callers.Account
	Descriptors *descriptors
	Responses   *Responses
	// Booted is when the process started.
	Booted time.Time
	// relayedBusy is the number of requests of other instances that are being served.
	relayedBusy atomic.Int64
	// keepAliveDisabled makes every response close its connection.
	keepAliveDisabled atomic.Bool
	// shutdownAt is when the process ends; nil until requests with later deadlines are
	// refused. It has a monotonic clock reading, as the wall clock may jump.
	shutdownAt atomic.Pointer[time.Time]
}

// DisableKeepAlive makes every response close its connection.
func (h *Handler) DisableKeepAlive() { h.keepAliveDisabled.Store(true) }

// RefuseDeadlinesAfter refuses requests whose deadline is after the end of the process, as
// they arrive and before each attempt while they have not run. Others are still served: a
// refused caller may have no time left to retry, or may not be allowed to.
func (h *Handler) RefuseDeadlinesAfter(end time.Time) { h.shutdownAt.Store(&end) }

// shutsDownBefore reports whether the process may end before t.
func (h *Handler) shutsDownBefore(t time.Time) bool {
	end := h.shutdownAt.Load()
	return end != nil && t.After(*end)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = newCallerBody(w, r)
	c := &call{h: h, w: w, r: r, start: time.Now(), id: r.Header.Get(h.Client.Headers.RequestID)}
	status := c.serve()
	if !pipeline.IsRerun(r) {
		h.Metrics.CountRequest(c, status, time.Since(c.start))
	}
	if status == 0 {
		panic(http.ErrAbortHandler) // closes the connection: net/http would send an empty response
	}
}

// call is one caller's request.
type call struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	start   time.Time
	id      string
	version document.Version
	route   *document.Entry
	service document.ServiceName
	// key is the caller's key, keyErr the reason why there is none.
	key    credential.Key
	keyErr error
	// tenant is the caller's tenant; nil if the document requires no key or the caller is anonymous.
	tenant *document.Tenant
	// quota is the decision by which the request may run, mayHaveRun is set once a target may have run it.
	quota      quota.Decision
	mayHaveRun bool
	// queueing is set if the request may wait for a later attempt.
	queueing bool
	// priority is that of the tenant or, if it has none, of the route.
	priority int
	request  *exchange.Request
	// responses is the memory held for responses.
	responses *responseHold
	// content identifies equal requests: the parts that determine how a target handles one.
	content quarantine.Content
	// relayed is set if another instance has taken the request from the caller.
	relayed bool
	// deadline is when the response must be sent, targetDeadline is the deadline
	// passed on to targets.
	deadline, targetDeadline time.Time
	// callerDeadline is how long the caller waits; zero if it has not said so.
	callerDeadline time.Time
}

// serve handles the request and returns the status of the response; 0 if the caller
// has disconnected.
func (c *call) serve() int {
	table := c.h.table(c.r.Context(), c.start)
	if table == nil {
		return c.refuse(problem.Overloaded, "no configuration is known yet")
	}
	table = c.readKey(table)
	c.version, c.queueing = table.Document.Version, table.Document.Queueing
	uri := requestURI(c.r)
	if headerBytes(c.r) > table.Document.Limits.HeaderBytes {
		return c.fail(http.StatusRequestHeaderFieldsTooLarge, problem.HeaderTooLarge, "the header is above the limit")
	}
	path, _, _ := strings.Cut(uri, "?")
	c.route = table.Match(c.r.Host, path)
	if c.route == nil {
		return c.fail(http.StatusNotFound, problem.NoRoute, "no route for host and path")
	}
	if !c.repeatable() && !pipeline.AwaitTurn(c.w) {
		return 0 // the document changed after the request was started early
	}
	if status := c.authenticate(table); status != 0 {
		return status
	}
	if err := c.setDeadline(); err != nil {
		return c.fail(http.StatusBadRequest, problem.BadRequest, err.Error())
	}
	if c.stopsBefore() {
		return c.refuse(problem.Overloaded, reasonStopping)
	}
	if !pipeline.IsRerun(c.r) {
		if status := c.acquireQuota(); status != 0 {
			return status
		}
		defer c.returnQuota()
	}
	holder, done := c.h.holderOf(c.r)
	defer done()
	body, status := c.readBody(holder, &table.Document.Limits)
	if status != 0 {
		return status
	}
	defer holder.Release(int64(len(body)))
	if !c.h.Descriptors.await(c.r.Context()) {
		return c.refuse(problem.Overloaded, "too many connections are open")
	}
	c.request = &exchange.Request{
		ID: c.id, Method: c.r.Method, URI: uri, Host: c.r.Host, Header: header.WithoutHopByHop(c.r.Header),
		Body: body, HasBody: c.r.ContentLength != 0,
	}
	c.setTenantHeader(table, c.request.Header)
	if !c.holdResponses() {
		return c.refuseFor(problem.Overloaded, reasonResponsesFull, c.h.Responses.retryAfter())
	}
	defer c.responses.Release()
	c.content = quarantine.Content{Method: c.request.Method, Host: c.request.Host, URI: uri, Body: body}
	if c.standing() == quarantine.Quarantined && !c.startTrial() {
		return c.refuseContent()
	}
	c.service = c.route.NextService()
	if !pipeline.IsRerun(c.r) {
		c.h.Knowledge.RecordRequest(time.Now(), c.service, c.urgent())
	}
	c.mayHaveRun = true
	o := c.runAttempts()
	c.mayHaveRun = o.kind != outcomeNotRun
	return c.respond(o)
}

// table returns the current configuration, nil if there is none. During startup it waits
// up to initialStateTimeout for the configuration and the targets.
func (h *Handler) table(ctx context.Context, requestedAt time.Time) *document.Table {
	available := func() bool { return h.State.Table() != nil && h.State.Targets().Len() > 0 }
	for !available() && time.Since(h.Booted) < startupPeriod && time.Since(requestedAt) < initialStateTimeout {
		if !wait.For(ctx, statePollInterval) {
			break
		}
	}
	return h.State.Table()
}

// requestURI returns the path and query as received.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// headerBytes returns the size of a request's header fields on the wire, without
// optional whitespace.
func headerBytes(r *http.Request) int {
	const fieldExtra = len(": \r\n")
	n := len("Host") + len(r.Host) + fieldExtra
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + fieldExtra
		}
	}
	return n
}

func (c *call) setDeadline() error {
	left := defaultRequestTimeout
	if v := c.r.Header.Get(c.h.Client.Headers.Deadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 0 {
			return errors.Errorf("%s: %q is not a number of milliseconds", c.h.Client.Headers.Deadline, v)
		}
		left = time.Duration(ms) * time.Millisecond
		c.callerDeadline = c.start.Add(left)
	}
	c.targetDeadline = c.start.Add(left)
	c.deadline = c.targetDeadline.Add(-responseMargin)
	if t := c.route.Timeout; t > 0 && c.start.Add(t).Before(c.targetDeadline) {
		c.targetDeadline = c.start.Add(t)
		if end := c.targetDeadline.Add(timeoutGrace); end.Before(c.deadline) {
			c.deadline = end
		}
	}
	return nil
}

// readBody reads the whole body, so that the request can be retried at another target.
// If it fails, it sends an error response and returns its status, otherwise 0.
func (c *call) readBody(m reserver, limits *document.Limits) ([]byte, int) {
	if c.r.ContentLength == 0 {
		return nil, 0
	}
	if c.r.ContentLength > limits.BodyBytes {
		return nil, c.fail(http.StatusRequestEntityTooLarge, problem.BodyTooLarge, "the body is above the limit")
	}
	body, err := readBody(m, c.r.Body, c.r.ContentLength, limits.BodyBytes)
	switch {
	case err == nil:
		setPhase(c.r, callers.Serving)
		return body, 0
	case errors.Is(err, errBodyTooLarge):
		return nil, c.fail(http.StatusRequestEntityTooLarge, problem.BodyTooLarge, "the body is above the limit")
	case errors.Is(err, errBodiesFull):
		return nil, c.refuse(problem.Overloaded, "too many bodies are held")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, c.fail(http.StatusBadRequest, problem.BadRequest, "the body stands still")
	case errors.Is(err, io.ErrUnexpectedEOF), c.r.Context().Err() != nil:
		eventlog.Info(eventlog.CallerDisconnected, "request", c.id, "route", c.route.Name, "during", "body")
		return nil, c.fail(http.StatusBadRequest, problem.BadRequest, "the body broke off")
	}
	return nil, c.fail(http.StatusBadRequest, problem.BadRequest, "the body is malformed")
}

// holdResponses reserves memory for the response. It returns false if there is no room for one of the usual size.
func (c *call) holdResponses() (ok bool) {
	c.responses, ok = c.h.Responses.Hold(c.route.Name, c.id)
	if ok {
		c.request.Memory = c.responses
	}
	return ok
}

// respond sends the outcome of the attempts to the caller.
func (c *call) respond(o outcome) int {
	if c.r.Context().Err() != nil {
		eventlog.Info(eventlog.CallerDisconnected, "request", c.id, "route", c.route.Name, "class", c.className(), "service", c.service, "outcome", o.kind,
			"after_ms", time.Since(c.start).Milliseconds())
		return 0
	}
	if o.response != nil {
		return c.forward(o)
	}
	switch o.kind {
	case outcomeNotRun:
		return c.refuseFor(problem.Overloaded, o.reason, max(o.retryAfter, minRetryAfter))
	case outcomeTimedOut:
		return c.fail(http.StatusGatewayTimeout, problem.TargetTimeout, o.reason)
	}
	return c.fail(http.StatusBadGateway, problem.TargetFailed, o.reason)
}

// forward sends a target's response to the caller.
func (c *call) forward(o outcome) int {
	if o.response.Status/100 != 2 {
		eventlog.Info(eventlog.RequestFailed, "request", c.id, "route", c.route.Name, "class", c.className(), "service", c.service, "status", o.response.Status,
			"by", "target", "target", o.target, "attempts", o.attempts, "document", c.version, "after_ms", time.Since(c.start).Milliseconds())
	}
	out := c.w.Header()
	for name, values := range header.StripHopByHop(o.response.Header) {
		out[name] = values
	}
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil // prevents net/http from sniffing a type
	}
	if bodyAllowed(c.r.Method, o.response.Status) {
		out.Set("Content-Length", strconv.Itoa(len(o.response.Body)))
	}
	c.write(o.response.Status, o.response.Body)
	return o.response.Status
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func (c *call) write(status int, body []byte) {
	pipeline.AwaitTurn(c.w) // keep-alive may be disabled meanwhile
	// The order matters: no request is started early once keep-alive is disabled, so that IsLast stays true.
	if c.h.keepAliveDisabled.Load() && pipeline.IsLast(c.w, c.r) {
		c.w.Header().Set("Connection", "close")
	}
	setPhase(c.r, callers.Responding)
	rc := http.NewResponseController(c.w)
	// If the connection supports no deadlines, the caller's own timeout bounds the write.
	began := time.Now()
	_ = rc.SetWriteDeadline(c.writeDeadline(began))
	c.w.WriteHeader(status)
	n, err := c.w.Write(body)
	if err != nil && len(body) > 0 {
		eventlog.Info(eventlog.ResponseCut, "request", c.id, "route", c.routeName(), "status", status, "bytes", len(body), "written", n,
			"took_ms", time.Since(began).Milliseconds(), "timeout", errors.Is(err, os.ErrDeadlineExceeded), "err", err.Error())
	}
}

// writeDeadline returns when a response that is written from now on is given up. A caller may read slowly as long as
// it waits.
func (c *call) writeDeadline(now time.Time) time.Time {
	waits := c.callerDeadline.Sub(now)
	return now.Add(min(max(waits, minWriteTimeout), maxWriteTimeout))
}

// refuse responds that the request was not run, with the shortest Retry-After.
func (c *call) refuse(t problem.Type, why string) int { return c.refuseFor(t, why, minRetryAfter) }

// refuseFor responds that the request was not run, with the given Retry-After.
// The key-value pairs are added to the log line.
func (c *call) refuseFor(t problem.Type, reason string, retryAfter time.Duration, pairs ...any) int {
	return c.refuseWith(http.StatusServiceUnavailable, t, reason, retryAfter, pairs...)
}

// refuseWith responds with the given status, which says that the request was not run.
func (c *call) refuseWith(status int, t problem.Type, reason string, retryAfter time.Duration, pairs ...any) int {
	eventlog.Info(eventlog.RequestRefused, append([]any{"request", c.id, "route", c.routeName(), "class", c.className(), "service", c.service, "tenant", c.tenantName(), "why", reason,
		"document", c.version, "after_ms", time.Since(c.start).Milliseconds(), "come_back_ms", retryAfter.Milliseconds()}, pairs...)...)
	seconds := strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64)
	c.w.Header().Set(header.RetryAfter, seconds)
	return c.writeProblem(problem.New(status, t, reason))
}

// fail responds that the request failed or may have run.
func (c *call) fail(status int, t problem.Type, reason string) int {
	eventlog.Info(eventlog.RequestFailed, "request", c.id, "route", c.routeName(), "class", c.className(), "service", c.service, "status", status,
		"by", "self", "why", reason, "document", c.version, "after_ms", time.Since(c.start).Milliseconds())
	return c.writeProblem(problem.New(status, t, reason))
}

func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

func (c *call) writeProblem(p *problem.Problem) int {
	rest := c.discardBody()
	body := p.Body(c.id)
	out := c.w.Header()
	out.Set("Content-Type", problem.ContentType)
	out.Set("Content-Length", strconv.Itoa(len(body)))
	if c.id != "" {
		out.Set(c.h.Client.Headers.RequestID, c.id)
	}
	if !rest.complete() {
		out.Set("Connection", "close")
	}
	c.write(p.Status, body)
	if !rest.ended() {
		// If it fails the caller is gone, and the reading ends too.
		_ = http.NewResponseController(c.w).Flush()
	}
	<-rest.done
	return p.Status
}

// discardBody reads the rest of the body of a refused request, for a while at first and then beside the response.
func (c *call) discardBody() *discard {
	if b, ok := c.r.Body.(*callerBody); ok && c.r.ContentLength != 0 {
		return b.discard()
	}
	return noDiscard
}

// class returns the route's class, 0 if no route matched.
func (c *call) class() fleet.Class {
	if c.route == nil {
		return 0
	}
	return c.route.Class
}

// className returns the class for log lines, empty if no route matched.
func (c *call) className() string {
	if c.route == nil {
		return ""
	}
	return c.route.Class.String()
}

// repeatable reports whether the request may run more than once.
func (c *call) repeatable() bool { return c.route.Class.Repeatable() }

// cheapToRepeat reports whether a failed attempt costs little more than its time. A download may be repeated, but its
// response is large, so that targets in doubt are tried with other requests.
func (c *call) cheapToRepeat() bool { return c.repeatable() && c.route.Class != fleet.Download }

// caller returns the caller's IP address.
func (c *call) caller() string {
	host, _, err := net.SplitHostPort(c.r.RemoteAddr)
	if err != nil {
		return c.r.RemoteAddr
	}
	return host
}

// attemptContext returns the context of the attempts. If the request is repeatable, the
// context is canceled when the caller disconnects, until detach is called; other
// requests go on.
func (c *call) attemptContext() (ctx context.Context, cancel context.CancelFunc, detach func() bool) {
	ctx, cancel = context.WithCancel(context.WithoutCancel(c.r.Context()))
	if !c.repeatable() {
		return ctx, cancel, func() bool { return true }
	}
	return ctx, cancel, context.AfterFunc(c.r.Context(), cancel)
}
