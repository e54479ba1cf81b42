package proxy

import (
	"context"

	"github.com/clementinereel/clementinereel/upstream"
)

// confirm serves a request that must run at most once.
func (h *Handler) confirm(x *exchange) {
	body, p := readBody(x)
	if p != nil {
		h.refuse(x, p)
		return
	}
	// The caller leaving does not end a confirmation: its outcome is wanted.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.r.Context()), x.deadline)
	defer cancel()
	if p := h.admit(ctx, x); p != nil {
		h.refuse(x, p)
		return
	}
	defer x.release()
	res := h.dispatch(ctx, x, func() *upstream.Request { return x.bufferedRequest(body) })
	h.conclude(x, &res)
}
