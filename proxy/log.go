package proxy

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/problem"
)

// Lines a second that failed requests may write; further ones are counted.
const (
	logRate  = 50
	logBurst = 200
)

// verbosity at which every answered request is logged.
const logAnswered klog.Level = 2

// requestLog writes one line for each failed request, within a rate.
type requestLog struct {
	limit *rate.Limiter
}

func newRequestLog() requestLog {
	return requestLog{limit: rate.NewLimiter(logRate, logBurst)}
}

// refused logs a request that ended with a problem. Those that callers bring
// about themselves are logged only at a higher verbosity. It tells false if
// the line was left out.
func (l requestLog) refused(x *exchange, p *problem.Problem) bool {
	if p.Status < http.StatusInternalServerError && !klog.V(logAnswered).Enabled() {
		return true
	}
	if !l.limit.Allow() {
		return false
	}
	klog.InfoS("request refused", append(x.logValues(), "status", p.Status,
		"type", p.Type, "outcome", p.Outcome, "detail", p.Detail)...)
	return true
}

// answered logs a request that a target answered, at a higher verbosity.
func (l requestLog) answered(x *exchange, status int) {
	if klog.V(logAnswered).Enabled() {
		klog.InfoS("request answered", append(x.logValues(), "status", status)...)
	}
}

// concluded logs an operation that did not complete; one whose outcome is
// unknown always gets its line.
func (l requestLog) concluded(x *exchange, a operation.Answer) {
	switch {
	case a.Outcome == fleet.Completed, a.Status == http.StatusCreated:
		l.answered(x, a.Status)
		return
	case a.Outcome == fleet.NotRun && !l.limit.Allow():
		return
	}
	klog.InfoS("operation not completed", append(x.logValues(), "status", a.Status,
		"outcome", a.Outcome.String(), "next", a.Next, "answer", string(a.Body))...)
}

func (x *exchange) logValues() []any {
	kv := []any{"request", x.id, "took", time.Since(x.arrived).Round(time.Microsecond)}
	if x.route == nil {
		return append(kv, "host", x.r.Host)
	}
	return append(kv, "customer", x.customer, "route", x.route.Name, "class", x.route.Class.String())
}
