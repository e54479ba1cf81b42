package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/header"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/poison"
	"github.com/clementinereel/clementinereel/problem"
	"github.com/clementinereel/clementinereel/quarantine"
	"github.com/clementinereel/clementinereel/statesync"
	"github.com/clementinereel/clementinereel/wait"
)

const (
	// fallbackWait bounds a request that names no deadline on a route without a
	// timeout.
	fallbackWait = 30 * time.Second
	// answerMargin is left of a caller's deadline for the way back.
	answerMargin = 30 * time.Millisecond
	// timeoutGrace is how long past a route's timeout the target's own answer to
	// its deadline is still waited for.
	timeoutGrace = 120 * time.Millisecond
	// comeBack is when a refused caller may try again: by then a slot has
	// come free or a peer has told what was missing.
	comeBack = 300 * time.Millisecond
	// writeTimeout bounds the writing of an answer to a caller that reads
	// slowly.
	writeTimeout = 10 * time.Second
	// stateWait is how long a request waits for the first configuration and targets of
	// a process that has just started, startingFor for how long it counts as such, and
	// statePoll how often it looks. The store or a peer answers within some 10 ms; a
	// caller that is refused may have no time, or no right, to come again.
	stateWait   = 150 * time.Millisecond
	startingFor = 2 * time.Second
	statePoll   = 5 * time.Millisecond
	// maxAnswer bounds an answer's body in bytes.
	maxAnswer = 16 << 20
	// maxDiscard bounds the part of a refused request's body that is read, in
	// bytes.
	maxDiscard = 8 << 20
)

// Handler serves callers' requests.
type Handler struct {
	State     *statesync.State
	Knowledge *Knowledge
	Client    *exchange.Client
	Tell      func(mesh.Packet)
	TellLoad  func(l mesh.Load, concerns func(addr string) bool)
	// AskForLoans asks a number of neighbours for parts of their retry budgets.
	AskForLoans func(asks []mesh.Loan, neighbours int)
	Metrics     *Metrics
	// Contents knows requests that crash their targets, TellContent tells the others of one.
	Contents    *quarantine.Table
	TellContent func(now time.Time, e quarantine.Evidence)
	// TriesHere tells whether this instance is the one that tries a content in quarantine again.
	TriesHere func(quarantine.Fingerprint) bool
	// Rates knows the rates that targets in need name.
	Rates *Rates
	// Poison knows requests that fail at each target.
	Poison *poison.Table
	// Bodies bounds the bytes of all requests' bodies that are held.
	Bodies *Bodies
	// Booted is when the process started.
	Booted time.Time
	// leaving tells callers to go elsewhere after their answer.
	leaving atomic.Bool
	// end is when the process ends, once requests are refused that may take longer. It
	// carries the steady clock, since the time of day may jump meanwhile.
	end atomic.Pointer[time.Time]
}

// Leave makes every answer the last on its connection.
func (h *Handler) Leave() { h.leaving.Store(true) }

// RefuseBeyond refuses further requests that may take until after the end of the
// process. Those that cannot are still served: callers who are refused may have no
// time, or no right, to come again.
func (h *Handler) RefuseBeyond(end time.Time) { h.end.Store(&end) }

// endsBefore tells whether the process may end before the given time.
func (h *Handler) endsBefore(t time.Time) bool {
	end := h.end.Load()
	return end != nil && t.After(*end)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{h: h, w: w, r: r, start: time.Now(), id: r.Header.Get(h.Client.Headers.RequestID)}
	status := c.serve()
	h.Metrics.Request(c, status, time.Since(c.start))
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
	request *exchange.Request
	// content is what of the request decides what a target does with it.
	content quarantine.Content
	// deadline is when the answer must be on its way, and targetDeadline what
	// targets are told.
	deadline, targetDeadline time.Time
}

// serve answers the request and returns the answer's status; 0 if the caller
// left.
func (c *call) serve() int {
	table := c.h.table(c.r.Context(), c.start)
	if table == nil {
		return c.refuse(problem.Overloaded, "no configuration is known yet")
	}
	c.version = table.Document.Version
	uri := requestURI(c.r)
	if headerBytes(c.r) > table.Document.Limits.HeaderBytes {
		return c.fail(http.StatusRequestHeaderFieldsTooLarge, problem.HeaderTooLarge, "the header is above the limit")
	}
	path, _, _ := strings.Cut(uri, "?")
	c.route = table.Match(c.r.Host, path)
	if c.route == nil {
		return c.fail(http.StatusNotFound, problem.NoRoute, "no route for host and path")
	}
	if err := c.setDeadline(); err != nil {
		return c.fail(http.StatusBadRequest, problem.BadRequest, err.Error())
	}
	if c.h.endsBefore(c.deadline) {
		return c.refuse(problem.Overloaded, "the instance is stopping")
	}
	body, status := c.readBody(&table.Document.Limits)
	if status != 0 {
		return status
	}
	defer c.h.Bodies.Release(int64(len(body)))
	c.request = &exchange.Request{
		ID: c.id, Method: c.r.Method, URI: uri, Host: c.r.Host, Header: header.Forwarded(c.r.Header),
		Body: body, HasBody: c.r.ContentLength != 0,
	}
	c.content = quarantine.Content{Method: c.request.Method, Host: c.request.Host, URI: uri, Body: body}
	if c.standing() == quarantine.Quarantined && !c.onTrial() {
		return c.refuseContent()
	}
	c.service = c.route.NextService()
	c.h.Knowledge.Request(time.Now(), c.service, c.urgent())
	return c.answer(c.attempts())
}

// table returns the configuration in force, nil if there is none. A process that has just
// started waits a moment for it and for the targets.
func (h *Handler) table(ctx context.Context, asked time.Time) *document.Table {
	known := func() bool { return h.State.Table() != nil && h.State.Targets().Len() > 0 }
	for !known() && time.Since(h.Booted) < startingFor && time.Since(asked) < stateWait {
		if !wait.For(ctx, statePoll) {
			break
		}
	}
	return h.State.Table()
}

// requestURI is the path and query as they were sent.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// headerBytes is the size of a request's header fields, as they were sent but for spaces.
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
	left := fallbackWait
	if v := c.r.Header.Get(c.h.Client.Headers.Deadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 0 {
			return errors.Errorf("%s: %q is not a number of milliseconds", c.h.Client.Headers.Deadline, v)
		}
		left = time.Duration(ms) * time.Millisecond
	}
	c.targetDeadline = c.start.Add(left)
	c.deadline = c.targetDeadline.Add(-answerMargin)
	if t := c.route.Timeout; t > 0 && c.start.Add(t).Before(c.targetDeadline) {
		c.targetDeadline = c.start.Add(t)
		if end := c.targetDeadline.Add(timeoutGrace); end.Before(c.deadline) {
			c.deadline = end
		}
	}
	return nil
}

// readBody reads the whole body, so that it can go to a further target. It
// returns the status of the answer that was given instead, if one was.
func (c *call) readBody(limits *document.Limits) ([]byte, int) {
	if c.r.ContentLength == 0 {
		return nil, 0
	}
	if c.r.ContentLength > limits.BodyBytes {
		return nil, c.fail(http.StatusRequestEntityTooLarge, problem.BodyTooLarge, "the body is above the limit")
	}
	body, err := c.h.Bodies.Read(c.r.Body, c.r.ContentLength, limits.BodyBytes)
	switch {
	case err == nil:
		return body, 0
	case errors.Is(err, errBodyTooLarge):
		return nil, c.fail(http.StatusRequestEntityTooLarge, problem.BodyTooLarge, "the body is above the limit")
	case errors.Is(err, errBodiesFull):
		return nil, c.refuse(problem.Overloaded, "too many bodies are held")
	case errors.Is(err, io.ErrUnexpectedEOF), c.r.Context().Err() != nil:
		eventlog.Info(eventlog.CallerLeft, "request", c.id, "route", c.route.Name, "during", "body")
		return nil, c.fail(http.StatusBadRequest, problem.BadRequest, "the body broke off")
	}
	return nil, c.fail(http.StatusBadRequest, problem.BadRequest, "the body is malformed")
}

// answer passes on the outcome of the attempts.
func (c *call) answer(o outcome) int {
	if c.r.Context().Err() != nil {
		eventlog.Info(eventlog.CallerLeft, "request", c.id, "route", c.route.Name, "class", c.className(), "service", c.service, "outcome", o.kind,
			"after_ms", time.Since(c.start).Milliseconds())
		return 0
	}
	if o.answer != nil {
		return c.pass(o)
	}
	switch o.kind {
	case notRun:
		return c.refuseFor(problem.Overloaded, o.why, max(o.comeBack, comeBack))
	case late:
		return c.fail(http.StatusGatewayTimeout, problem.TargetTimeout, o.why)
	}
	return c.fail(http.StatusBadGateway, problem.TargetFailed, o.why)
}

// pass sends a target's answer to the caller.
func (c *call) pass(o outcome) int {
	if o.answer.Status/100 != 2 {
		eventlog.Info(eventlog.RequestFailed, "request", c.id, "route", c.route.Name, "class", c.className(), "service", c.service, "status", o.answer.Status,
			"by", "target", "target", o.target, "attempts", o.attempts, "document", c.version, "after_ms", time.Since(c.start).Milliseconds())
	}
	out := c.w.Header()
	for name, values := range header.Strip(o.answer.Header) {
		out[name] = values
	}
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil // none, rather than a guess
	}
	if bodyAllowed(c.r.Method, o.answer.Status) {
		out.Set("Content-Length", strconv.Itoa(len(o.answer.Body)))
	}
	c.write(o.answer.Status, o.answer.Body)
	return o.answer.Status
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func (c *call) write(status int, body []byte) {
	if c.h.leaving.Load() {
		c.w.Header().Set("Connection", "close")
	}
	rc := http.NewResponseController(c.w)
	// A connection without deadlines is bounded by the callers' own.
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.w.WriteHeader(status)
	// A caller that has gone by now has its answer lost on its own side.
	_, _ = c.w.Write(body)
}

// refuse tells the caller that the request was not run, and when to come back.
func (c *call) refuse(t problem.Type, why string) int { return c.refuseFor(t, why, comeBack) }

// refuseFor tells the caller to come back after a given time; pairs are added to the line.
func (c *call) refuseFor(t problem.Type, why string, wait time.Duration, pairs ...any) int {
	eventlog.Info(eventlog.RequestRefused, append([]any{"request", c.id, "route", c.routeName(), "class", c.className(), "service", c.service, "why", why,
		"document", c.version, "after_ms", time.Since(c.start).Milliseconds(), "come_back_ms", wait.Milliseconds()}, pairs...)...)
	seconds := strconv.FormatFloat(wait.Seconds(), 'f', -1, 64)
	c.w.Header().Set(header.RetryAfter, seconds)
	return c.own(problem.New(http.StatusServiceUnavailable, t, why))
}

// fail tells the caller that the request failed or may have run.
func (c *call) fail(status int, t problem.Type, why string) int {
	eventlog.Info(eventlog.RequestFailed, "request", c.id, "route", c.routeName(), "class", c.className(), "service", c.service, "status", status,
		"by", "self", "why", why, "document", c.version, "after_ms", time.Since(c.start).Milliseconds())
	return c.own(problem.New(status, t, why))
}

func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

func (c *call) own(p *problem.Problem) int {
	// What is left of the body is read, or closing the connection would reset it
	// before the caller has the answer.
	_, _ = io.CopyN(io.Discard, c.r.Body, maxDiscard)
	body := p.Body(c.id)
	out := c.w.Header()
	out.Set("Content-Type", problem.ContentType)
	out.Set("Content-Length", strconv.Itoa(len(body)))
	if c.id != "" {
		out.Set(c.h.Client.Headers.RequestID, c.id)
	}
	c.write(p.Status, body)
	return p.Status
}

// class returns the route's class, 0 if no route was found.
func (c *call) class() fleet.Class {
	if c.route == nil {
		return 0
	}
	return c.route.Class
}

// className is the class as logs write it, empty if no route was found.
func (c *call) className() string {
	if c.route == nil {
		return ""
	}
	return c.route.Class.String()
}

// repeatable tells whether the request may run more than once.
func (c *call) repeatable() bool { return c.route.Class == fleet.Lookup }

// caller is the IP address that the request came from.
func (c *call) caller() string {
	host, _, err := net.SplitHostPort(c.r.RemoteAddr)
	if err != nil {
		return c.r.RemoteAddr
	}
	return host
}

// context returns the context of the attempts, and what ends its tie to the caller:
// work that may be repeated ends when the caller leaves, other work goes on.
func (c *call) context() (ctx context.Context, cancel context.CancelFunc, untie func() bool) {
	ctx, cancel = context.WithCancel(context.WithoutCancel(c.r.Context()))
	if !c.repeatable() {
		return ctx, cancel, func() bool { return true }
	}
	return ctx, cancel, context.AfterFunc(c.r.Context(), cancel)
}
