package proxy

import (
	"context"
	"net/http"
	"strings"

	"github.com/clementinereel/clementinereel/header"
	"github.com/clementinereel/clementinereel/operate"
	"github.com/clementinereel/clementinereel/operation"
)

// preferTicket is the value of Prefer by which a caller asks for a ticket.
const preferTicket = "ticket"

// confirm serves a request that must run at most once.
func (h *Handler) confirm(x *exchange) {
	if wantsTicket(x.r) {
		h.conclusion(x, h.cfg.Operations.IssueTicket(x.operation(nil)))
		return
	}
	body, p := readBody(x)
	if p != nil {
		h.refuse(x, p)
		return
	}
	// The caller leaving does not end a confirmation: its outcome is wanted.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.r.Context()), x.deadline)
	defer cancel()
	a := h.cfg.Operations.Do(ctx, x.operation(body), nil)
	defer a.Delivered()
	h.conclusion(x, a.Answer)
}

func wantsTicket(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get(header.Prefer), preferTicket)
}

// operation is the request as package operate takes it.
func (x *exchange) operation(body []byte) *operate.Request {
	return &operate.Request{
		Customer: x.customer,
		Route:    x.route.Name,
		Service:  x.service.ID,
		Key:      x.r.Header.Get(header.IdempotencyKey),
		Ticket:   x.r.Header.Get(header.OperationTicket),
		ID:       x.id,
		Method:   x.r.Method,
		Path:     x.r.URL.Path,
		Query:    x.r.URL.RawQuery,
		Header:   header.WithoutHopByHop(x.r.Header),
		Body:     body,
		Window:   x.route.RepeatWindow.D(),
		Deadline: x.deadline,
	}
}

// conclusion passes an operation's answer on.
func (h *Handler) conclusion(x *exchange, a operation.Answer) {
	h.decided(x, "outcome", a.Outcome.String())
	h.log.concluded(x, a)
	h.write(x, a.Status, a.Header, a.Body)
}
