package proxy

import "context"

// upload streams a body to one target. Success is told only with the target's
// whole answer.
func (h *Handler) upload(x *exchange) {
	if p := limitBody(x); p != nil {
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
	res := h.dispatch(ctx, x, x.streamedRequest)
	if res.BodyErr != nil && res.Response == nil {
		h.refuse(x, bodyProblem(res.BodyErr))
		return
	}
	h.conclude(x, &res)
}
