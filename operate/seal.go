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
	// sealPoll is the interval at which a stop checks whether operations have
	// ended.
	sealPoll = 20 * time.Millisecond
	// flushTimeout bounds the wait for outcomes to reach the log during a stop.
	flushTimeout = 5 * time.Second
)

// Seal stops the service gracefully. It starts no further operations, lets the
// running ones finish, waits until their outcomes are in the log, and hands the
// rest over to successors. Until Close the service continues to replay outcomes
// and to record.
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
	flush, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := s.drain(flush, s.unrecorded); err != nil {
		klog.InfoS("outcomes left for the heirs", "count", s.unrecorded())
	}
	s.receipt.flushOnce(flush)
	return s.handOver(ctx)
}

// drain waits until count returns 0.
func (s *Service) drain(ctx context.Context, count func() int) error {
	for count() > 0 {
		if !wait.For(ctx, sealPoll) {
			return ctx.Err()
		}
	}
	return nil
}

// running returns the number of operations without an answer.
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

// unrecorded returns the number of outcomes that are not yet in the log.
func (s *Service) unrecorded() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.flights)
}

// handOver sends tickets and unrecorded outcomes to the successors.
func (s *Service) handOver(ctx context.Context) error {
	batches := s.handoverBatches()
	if len(batches) == 0 {
		return nil
	}
	accepted := 0
	var last error
	for _, id := range s.successorsOf(s.cfg.Self, len(s.cfg.Members())) {
		if accepted == successors {
			break
		}
		if err := s.sendHandover(ctx, id, batches); err != nil {
			last = err
			continue
		}
		accepted++
	}
	if accepted > 0 {
		return nil
	}
	return errors.Wrap(last, "no successor accepted the tickets")
}

// handoverBatches returns the state for a successor, split into messages.
func (s *Service) handoverBatches() []*peerv1.HandoverRequest {
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
		if ok && (e.Kind != claim.Withdraw || f.isDelivered()) {
			entries = append(entries, claim.EntryProto(&e))
		}
	}
	if len(entries) > 0 {
		batches = append(batches, &peerv1.HandoverRequest{From: claim.HolderProto(s.cfg.Self), Entries: entries})
	}
	return batches
}

// isDelivered reports whether the answer was delivered to all waiters.
func (f *flight) isDelivered() bool {
	select {
	case <-f.delivered:
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

func (s *Service) sendHandover(ctx context.Context, to fleet.InstanceID, batches []*peerv1.HandoverRequest) error {
	for _, b := range batches {
		if _, err := s.peer(to).Handover(ctx, connect.NewRequest(b)); err != nil {
			return errors.Wrapf(err, "handover to %s", to)
		}
	}
	return nil
}

// acceptHandover makes this instance a successor. It returns false if this
// instance is stopping.
func (s *Service) acceptHandover(list []ticket.State, entries []*peerv1.ClaimEntry) bool {
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
