package proxy

import (
	"context"
	"io"
)

// upload streams a body to one target. Success is told only with the target's
// whole answer.
func (h *Handler) upload(x *exchange) {
	if p := limitBody(x); p != nil {
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
	body := &callerBody{r: x.r.Body}
	res := x.service.Try(ctx, t, x.streamedRequest(body))
	if body.err != nil {
		h.refuse(x, bodyProblem(body.err))
		return
	}
	h.conclude(x, &res)
}

// callerBody remembers the error that a caller's body ended with, so that it
// is not blamed on the target.
type callerBody struct {
	r   io.Reader
	err error
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err != nil && err != io.EOF {
		b.err = err
	}
	return n, err
}
