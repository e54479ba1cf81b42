package proxy

import (
	"context"
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
	t, ok := x.service.Pick()
	if !ok {
		h.refuse(x, noTarget())
		return
	}
	res := x.service.Try(ctx, t, x.bufferedRequest(body))
	h.conclude(x, &res)
}
