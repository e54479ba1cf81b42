package proxy

import (
	"context"

	"github.com/clementinereel/clementinereel/dispatch"
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
	if p := h.admit(ctx, x); p != nil {
		h.refuse(x, p)
		return
	}
	defer x.release()
	res := h.dispatch(ctx, x, func() *upstream.Request { return x.bufferedRequest(body) })
	h.conclude(x, &res)
}

// conclude passes a try's answer on, or says why there is none.
func (h *Handler) conclude(x *exchange, res *upstream.Result) {
	if !dispatch.HasResponse(res) {
		h.refuse(x, tryProblem(res))
		return
	}
	h.answer(x, res.Response)
}
