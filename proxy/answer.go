package proxy

import (
	"errors"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/header"
	"github.com/clementinereel/clementinereel/problem"
	"github.com/clementinereel/clementinereel/upstream"
)

// retryLater is when callers are told to come back after a failed try.
const retryLater = time.Second

// answer passes a target's whole answer on to the caller.
func (h *Handler) answer(x *exchange, a *upstream.Response) {
	h.log.answered(x, a.Status)
	h.write(x, a.Status, a.Header, a.Body)
}

// write sends a whole answer to the caller.
func (h *Handler) write(x *exchange, status int, fields http.Header, body []byte) {
	dst := x.w.Header()
	maps.Copy(dst, fields)
	dst.Set(header.RequestID, x.id)
	if x.r.Method != http.MethodHead {
		dst.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body)
	h.finished(x, status)
}

// tryProblem says why a try brought no answer that may be passed on.
func tryProblem(res *upstream.Result) *problem.Problem {
	if res.TooLarge {
		return problem.New(http.StatusBadGateway, problem.AnswerTooLarge, "the target's answer is larger than the contract allows")
	}
	if errors.Is(res.Err, upstream.ErrNoTarget) {
		return noTarget()
	}
	switch res.Try {
	case fleet.TryTimeout:
		return problem.New(http.StatusGatewayTimeout, problem.TargetTimeout, "the target did not answer within the deadline").After(retryLater)
	case fleet.TryShed, fleet.TryDraining, fleet.TryCold:
		return problem.New(http.StatusServiceUnavailable, problem.Overloaded, "the target did not take the request").After(max(res.RetryAfter, retryLater))
	}
	return problem.New(http.StatusBadGateway, problem.TargetFailed, "the target failed: "+res.Try.String()).After(retryLater)
}

func noTarget() *problem.Problem {
	return problem.New(http.StatusServiceUnavailable, problem.NoTarget, "no target of the service can be chosen").After(retryLater)
}
