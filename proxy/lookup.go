package proxy

import (
	"context"

	"github.com/clementinereel/clementinereel/upstream"
)

// lookup serves an idempotent request.
func (h *Handler) lookup(x *exchange) {
	body, p := readBody(x)
	if p != nil {
		h.refuse(x, p)
		return
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	t, ok := x.service.Pick()
	if !ok {
		h.refuse(x, noTarget())
		return
	}
	res := x.service.Try(ctx, t, x.bufferedRequest(body))
	h.conclude(x, &res)
}

// conclude passes a try's answer on, or says why there is none.
func (h *Handler) conclude(x *exchange, res *upstream.Result) {
	if res.Answer == nil || res.Try.RefusedUnrun() {
		h.refuse(x, tryProblem(res))
		return
	}
	h.answer(x, res.Answer)
}
