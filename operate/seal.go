package operate

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/claim"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/peer/peerv1"
	"github.com/clementinereel/clementinereel/ticket"
	"github.com/clementinereel/clementinereel/wait"
)

const (
	// handoverBatch bounds the tickets of one message.
	handoverBatch = 200
	// sealPoll is how often a stop looks whether operations have ended.
	sealPoll = 20 * time.Millisecond
	// flushFor bounds the wait for outcomes to reach the log during a stop.
	flushFor = 5 * time.Second
)

// Seal is the graceful stop. It begins no further operation, lets those that
// run finish, waits for their outcomes to reach the log, and hands the rest to
// heirs. Until Close the service goes on replaying outcomes and recording.
func (s *Service) Seal(ctx context.Context) error {
	s.mu.Lock()
	s.sealed = true
	s.table.Seal()
	s.tickets.Seal(s.now(), operation.NewProblem(operation.Name{}, http.StatusServiceUnavailable, fleet.NotRun,
		operation.UseNewKey, "the instance that issued the ticket has stopped", 0))
	s.mu.Unlock()
	if err := s.drain(ctx, s.running); err != nil {
		return errors.Wrap(err, "operations still run")
	}
	flush, cancel := context.WithTimeout(ctx, flushFor)
	defer cancel()
	if err := s.drain(flush, s.unrecorded); err != nil {
		klog.InfoS("outcomes left for the heirs", "count", s.unrecorded())
	}
	s.receipt.flushOnce(flush)
	return s.handOver(ctx)
}

// drain waits until a count is 0.
func (s *Service) drain(ctx context.Context, count func() int) error {
	for count() > 0 {
		if !wait.For(ctx, sealPoll) {
			return ctx.Err()
		}
	}
	return nil
}

// running counts the operations that have no answer yet.
func (s *Service) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.tickets.InFlight()
	for _, f := range s.flights {
		select {
		case <-f.done:
		default:
			n++
		}
	}
	return n
}

// unrecorded counts the outcomes that the log has not taken yet.
func (s *Service) unrecorded() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.flights)
}

// handOver gives tickets and unrecorded outcomes to the heirs.
func (s *Service) handOver(ctx context.Context) error {
	batches := s.estate()
	if len(batches) == 0 {
		return nil
	}
	given := 0
	var last error
	for _, id := range s.heirsOf(s.cfg.Self, len(s.cfg.Members())) {
		if given == heirs {
			break
		}
		if err := s.give(ctx, id, batches); err != nil {
			last = err
			continue
		}
		given++
	}
	if given > 0 {
		return nil
	}
	return errors.Wrap(last, "no heir took the tickets")
}

// estate returns what an heir must know, in messages.
func (s *Service) estate() []*peerv1.HandoverRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batches []*peerv1.HandoverRequest
	list := s.tickets.Export()
	for len(list) > 0 {
		n := min(handoverBatch, len(list))
		batches = append(batches, &peerv1.HandoverRequest{
			From: claim.HolderProto(s.cfg.Self), Tickets: ticketProtos(list[:n]),
		})
		list = list[n:]
	}
	var entries []*peerv1.ClaimEntry
	for _, f := range s.flights {
		e, ok := s.table.Outcome(f.a, s.cfg.MaxRecordedAnswer)
		if ok && (e.Kind != claim.Withdraw || f.isTold()) {
			entries = append(entries, claim.EntryProto(&e))
		}
	}
	if len(entries) > 0 {
		batches = append(batches, &peerv1.HandoverRequest{From: claim.HolderProto(s.cfg.Self), Entries: entries})
	}
	return batches
}

// isTold tells whether all who waited have been told.
func (f *flight) isTold() bool {
	select {
	case <-f.told:
		return true
	default:
		return false
	}
}

func ticketProtos(list []ticket.State) []*peerv1.TicketState {
	var out []*peerv1.TicketState
	for _, t := range list {
		out = append(out, &peerv1.TicketState{
			Ticket: t.ID.String(), State: uint32(t.Operation), Digest: string(t.Digest),
			Answer: claim.AnswerProto(t.Answer), ExpiresUnixNanos: t.Expires.UnixNano(),
		})
	}
	return out
}

func (s *Service) give(ctx context.Context, to fleet.InstanceID, batches []*peerv1.HandoverRequest) error {
	for _, b := range batches {
		if _, err := s.peer(to).Handover(ctx, connect.NewRequest(b)); err != nil {
			return errors.Wrapf(err, "handover to %s", to)
		}
	}
	return nil
}

// takeOver makes this instance an heir. A stopping one refuses.
func (s *Service) takeOver(list []ticket.State, entries []*peerv1.ClaimEntry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sealed {
		return false
	}
	s.tickets.Import(list)
	for _, e := range entries {
		entry := claim.EntryOf(e)
		s.spawn(func(ctx context.Context) { s.recordEntry(ctx, entry) })
	}
	return true
}
