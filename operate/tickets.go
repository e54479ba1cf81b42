package operate

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/claim"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/header"
	"github.com/clementinereel/clementinereel/membership"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/peer/peerv1"
	"github.com/clementinereel/clementinereel/rendezvous"
	"github.com/clementinereel/clementinereel/ticket"
)

// successors is the number of instances that take over the tickets of a stopping
// instance.
const successors = 2

var (
	errPartitions = errors.New("the key is of another partition: do all instances have the same settings?")
	errStopping   = errors.New("the instance is stopping")
)

// IssueTicket answers a caller's request for a ticket: 201 with the ticket in
// its header, or 503.
func (s *Service) IssueTicket(req *Request) operation.Answer {
	var random [ticket.RandomLen]byte
	if _, err := rand.Read(random[:]); err != nil {
		panic("operate: no random numbers: " + err.Error())
	}
	s.mu.Lock()
	id, ok := s.tickets.Issue(s.now(), req.Customer, random, req.Window)
	s.mu.Unlock()
	if !ok {
		return operation.NewProblem(req.name(), http.StatusServiceUnavailable, fleet.NotRun,
			operation.UseNewKey, "the instance issues no tickets now", retryBusy)
	}
	a := operation.Answer{Status: http.StatusCreated, Header: http.Header{}, Outcome: fleet.NotRun}
	a.Header.Set(header.OperationTicket, id.String())
	a.Header.Set(header.OperationOutcome, fleet.NotRun.String())
	return a
}

// doTicket runs an operation with a ticket at the ticket's home, the instance
// that issued it, or finds its answer there or at a successor.
func (s *Service) doTicket(ctx context.Context, req *Request, run Runner) operation.Answer {
	id, err := ticket.Parse(req.Ticket)
	if err != nil || id.Customer != req.Customer {
		return refuse(req, http.StatusBadRequest, "not a ticket of this customer")
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	if id.Home == s.cfg.Self {
		a, ok := s.execute(ctx, id, req, run)
		if !ok {
			return lostTicket(req)
		}
		return a
	}
	return s.forward(ctx, id, req)
}

// execute runs the operation here, if this is the ticket's home and it has not
// been run, or replays its answer. It returns false if the ticket is unknown.
func (s *Service) execute(ctx context.Context, id ticket.ID, req *Request, run Runner) (operation.Answer, bool) {
	s.mu.Lock()
	decision, held := s.tickets.Begin(s.now(), id, req.digest())
	if decision == ticket.Run {
		done := make(chan struct{})
		s.ticketRuns[id] = done
		s.spawn(func(ctx context.Context) { s.runTicket(ctx, id, req, run, done) })
	}
	done := s.ticketRuns[id]
	s.mu.Unlock()
	switch decision {
	case ticket.Run, ticket.Wait:
		return s.waitTicket(ctx, id, req, done), true
	case ticket.Replay:
		return held.AsReplay(), true
	case ticket.OtherBody:
		return otherBody(req), true
	}
	return operation.Answer{}, false
}

// waitTicket waits for an operation that runs here.
func (s *Service) waitTicket(ctx context.Context, id ticket.ID, req *Request, done <-chan struct{}) operation.Answer {
	select {
	case <-done:
	case <-ctx.Done():
		return undecided(req, "the operation has no outcome yet")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, a := s.tickets.Begin(s.now(), id, req.digest()); a != nil {
		return *a
	}
	return lostTicket(req)
}

// runTicket dispatches the operation of a ticket once and stores its answer.
func (s *Service) runTicket(ctx context.Context, id ticket.ID, req *Request, run Runner, done chan struct{}) {
	s.receipt.add(id, req, operation.Dispatched, "")
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	res := run(ctx, req)
	a := ticketAnswer(req, res)
	s.mu.Lock()
	s.tickets.Finish(s.now(), id, a)
	delete(s.ticketRuns, id)
	s.mu.Unlock()
	close(done)
	s.receipt.add(id, req, stateOf(a.Outcome), res.Target)
	if a.Outcome == fleet.Unknown {
		klog.InfoS("operation outcome unknown", "customer", req.Customer, "ticket", req.Ticket,
			"request", req.ID, "target", res.Target)
	}
}

func stateOf(o fleet.Outcome) operation.State {
	switch o {
	case fleet.Completed:
		return operation.Completed
	case fleet.NotRun:
		return operation.NotRun
	}
	return operation.Unknown
}

// ticketAnswer converts a result into the answer to the ticket's caller. NotRun
// is final for a ticket.
func ticketAnswer(req *Request, res Result) operation.Answer {
	switch res.Outcome {
	case fleet.Completed:
		return operation.NewCompleted(res.Answer.Status, res.Answer.Header, res.Answer.Body)
	case fleet.NotRun:
		return operation.NewProblem(req.name(), http.StatusServiceUnavailable, fleet.NotRun,
			operation.UseNewKey, "no target took the request", max(res.Answer.RetryAfter, retryBusy))
	}
	return unresolved(req)
}

// forward sends an operation to its home. While the home is listed but
// unreachable, it retries; once the home has ended, it queries the successors.
func (s *Service) forward(ctx context.Context, id ticket.ID, req *Request) operation.Answer {
	began := time.Now()
	for {
		a, known, err := s.askExecute(ctx, id.Home.Instance, req)
		if err == nil && known {
			return a
		}
		homeEnded := err == nil || s.ended(id.Home)
		if homeEnded {
			return s.querySuccessors(ctx, id, req)
		}
		if time.Since(began) > unreachableTimeout || !pause(ctx) {
			return undecided(req, "the ticket's home is out of reach")
		}
	}
}

// ended reports whether a process is no longer listed.
func (s *Service) ended(h fleet.Holder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.history.Superseded(s.now(), h) {
		return true
	}
	return !s.history.Present(h)
}

// querySuccessors queries the successors for the outcome that a home handed over.
func (s *Service) querySuccessors(ctx context.Context, id ticket.ID, req *Request) operation.Answer {
	for _, m := range s.successorsOf(id.Home, successors+1) {
		if m == s.cfg.Self.Instance {
			if a, ok := s.execute(ctx, id, req, nil); ok {
				return a
			}
			continue
		}
		if a, known, err := s.askExecute(ctx, m, req); err == nil && known {
			return a
		}
	}
	return lostTicket(req)
}

// successorsOf returns the successors of a process by rendezvous hashing.
func (s *Service) successorsOf(h fleet.Holder, n int) []fleet.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var others []membership.Member
	for _, m := range s.members {
		if m.ID != h.Instance {
			others = append(others, m)
		}
	}
	return rendezvous.Ranked("tickets of "+string(h.Instance), others, n)
}

func (s *Service) askExecute(ctx context.Context, to fleet.InstanceID, req *Request) (operation.Answer, bool, error) {
	resp, err := s.peer(to).Execute(ctx, connect.NewRequest(&peerv1.ExecuteRequest{
		Ticket: req.Ticket, Customer: string(req.Customer), Route: req.Route, Service: string(req.Service),
		Method: req.Method, Path: req.Path, Query: req.Query, Header: claim.HeaderProto(req.Header),
		Body: req.Body, TimeoutNanos: int64(time.Until(req.Deadline)), RequestId: req.ID,
	}))
	if err != nil {
		return operation.Answer{}, false, errors.Wrapf(err, "ticket's home %s", to)
	}
	if !resp.Msg.GetKnown() {
		return operation.Answer{}, false, nil
	}
	return *claim.AnswerOf(resp.Msg.GetAnswer()), true, nil
}

// lostTicket returns the answer for a ticket that no instance has any more.
func lostTicket(req *Request) operation.Answer {
	return operation.NewProblem(req.name(), http.StatusBadGateway, fleet.Unknown, operation.AskOperator,
		"the instance that issued the ticket has ended, or the ticket has expired; the operation may have run", 0)
}
