package proxy

import (
	"context"
	"fmt"
	"net/http"

	"github.com/clementinereel/clementinereel/admission"
	"github.com/clementinereel/clementinereel/dispatch"
	"github.com/clementinereel/clementinereel/problem"
	"github.com/clementinereel/clementinereel/ratelimit"
	"github.com/clementinereel/clementinereel/retry"
	"github.com/clementinereel/clementinereel/telemetry"
	"github.com/clementinereel/clementinereel/upstream"
)

// limit applies the customer's and the route's limits. After nil, the
// decision's Done must be called.
func (h *Handler) limit(x *exchange) (ratelimit.Decision, *problem.Problem) {
	d := h.cfg.Limits.Take(x.arrived, x.customer, ratelimit.RouteID(x.route.Name))
	ratelimit.SetHeaders(x.w.Header(), d)
	if d.OK {
		return d, nil
	}
	h.decided(x, "limited", string(d.Refusal))
	scope := "the route"
	if d.RefusedBy == ratelimit.CustomerWide {
		scope = "all routes together"
	}
	why := fmt.Sprintf("the contract's limit is reached: %s of %s", d.Refusal, scope)
	p := problem.New(http.StatusTooManyRequests, problem.RateLimited, why)
	return d, p.After(d.RetryAfter)
}

// admit waits for a place at the service's gate. After nil, x.release must be
// called.
func (h *Handler) admit(ctx context.Context, x *exchange) *problem.Problem {
	d, err := x.service.Gate(x.route.Class).Acquire(ctx, x.route.Value, x.deadline)
	switch {
	case err != nil:
		return problem.New(http.StatusServiceUnavailable, problem.Overloaded, "the request ended while it waited for a place").After(retryLater)
	case d.Verdict == admission.Admitted:
		return nil
	}
	h.decided(x, "shed", d.Verdict.String())
	return problem.New(http.StatusServiceUnavailable, problem.Overloaded, "the service is full: "+d.Verdict.String()).After(d.RetryAfter)
}

// release gives the place at the gate back.
func (x *exchange) release() { x.service.Gate(x.route.Class).Release() }

// dispatch tries the request at the service's targets.
func (h *Handler) dispatch(ctx context.Context, x *exchange, newRequest func() *upstream.Request) upstream.Result {
	return dispatch.Run(ctx, x.service, &dispatch.Job{
		Policy:     retry.PolicyOf(x.route),
		Deadline:   x.deadline,
		NewRequest: newRequest,
		OnExtraTry: func(a retry.Action) { h.decided(x, addedNames[a], "") },
	})
}

var addedNames = map[retry.Action]string{
	retry.Retry: "retried",
	retry.Hedge: "hedged",
}

// decided counts a decision on a request.
func (h *Handler) decided(x *exchange, what, reason string) {
	labels := []telemetry.Label{
		{Key: "customer", Value: string(h.cfg.Metrics.Customer(x.customer))},
		{Key: "class", Value: x.route.Class.String()},
		{Key: "decision", Value: what},
	}
	if reason != "" {
		labels = append(labels, telemetry.Label{Key: "reason", Value: reason})
	}
	h.cfg.Metrics.Counter("decisions", labels...).Inc(1)
}
