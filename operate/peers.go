package operate

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/claim"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/membership"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/peer"
	"github.com/clementinereel/clementinereel/peer/peerv1"
	"github.com/clementinereel/clementinereel/peer/peerv1/peerv1connect"
	"github.com/clementinereel/clementinereel/wait"
)

const (
	// pollInterval is the interval at which an outcome is queried again.
	pollInterval = 150 * time.Millisecond
	// unreachableTimeout is how long an unreachable holder is tried before
	// the caller is asked to retry.
	unreachableTimeout = time.Second
	// minRecorders is the minimum number of recorders tried for one entry.
	minRecorders = 2
)

// peer returns the client for an instance.
func (s *Service) peer(id fleet.InstanceID) peerv1connect.OperationServiceClient {
	if c, ok := s.clients.Load(id); ok {
		return c.(peerv1connect.OperationServiceClient)
	}
	c := peerv1connect.NewOperationServiceClient(s.cfg.Peers, peer.URL(id), peer.ClientOptions(maxMessage))
	s.clients.Store(id, c)
	return c
}

// recorders returns the instances that record a partition, in rank order.
func (s *Service) recorders(p int) []fleet.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roles.Ranked(claim.StreamName(p), max(s.cfg.Recorders, minRecorders))
}

// claim submits an attempt's claim and returns the verdict. Refused is also
// returned if there is no verdict in time.
func (s *Service) claim(ctx context.Context, a *claim.Attempt) (claim.Verdict, claim.Op) {
	ctx, cancel := context.WithTimeout(ctx, s.claimTimeout(ctx))
	defer cancel()
	s.mu.Lock()
	s.table.Submitted(a)
	entry := a.Entry(claim.Claim)
	s.mu.Unlock()
	r := s.askRecorders(ctx, entry)
	for n := 1; r.refused && n < handOverTries && wait.For(ctx, handOverPause); n++ {
		r = s.askRecorders(ctx, entry).after(r)
	}
	if r.withheld && ctx.Err() == nil {
		s.mu.Lock()
		s.table.NotAppended(a)
		s.mu.Unlock()
	}
	return r.verdict, r.op
}

// While a partition moves to other recorders, for example during a rolling
// restart, the new recorders may not have read its stream yet. They refuse
// claims without appending them, and the claims are submitted again.
const (
	handOverTries = 6
	handOverPause = 100 * time.Millisecond
)

// recorderHedgeDelay is the time without a reply after which the entry is also
// submitted to the next recorder: calls of a recorder that is cut off from the
// log hang. Two recorders that append the same claim are harmless.
const recorderHedgeDelay = 300 * time.Millisecond

// recorded is the combined reply of the recorders to an entry.
type recorded struct {
	verdict claim.Verdict
	op      claim.Op
	// refused is set if some recorder replied that it appended nothing,
	// withheld if all of them did.
	refused  bool
	withheld bool
}

// after merges the result of an earlier try. If any try may have led to an
// append, the entry does not count as withheld.
func (r recorded) after(earlier recorded) recorded {
	r.withheld = r.withheld && earlier.withheld
	return r
}

// askRecorders submits an entry to the recorders of its partition in their
// order until one gives a verdict other than Refused.
func (s *Service) askRecorders(ctx context.Context, e claim.Entry) recorded {
	type reply struct {
		verdict claim.Verdict
		op      claim.Op
		err     error
	}
	left := s.recorders(e.Key.Partition(s.cfg.Partitions))
	replies := make(chan reply, len(left))
	running := 0
	askNext := func() {
		if len(left) == 0 || ctx.Err() != nil {
			return
		}
		id := left[0]
		left = left[1:]
		running++
		go func() {
			v, op, err := s.submit(ctx, id, e)
			replies <- reply{v, op, err}
		}()
	}
	out := recorded{verdict: claim.Refused, withheld: true}
	hedge := time.NewTicker(recorderHedgeDelay)
	defer hedge.Stop()
	for askNext(); running > 0; {
		select {
		case r := <-replies:
			running--
			if r.err == nil && r.verdict != claim.Refused {
				return recorded{verdict: r.verdict, op: r.op}
			}
			out.refused = out.refused || r.err == nil
			out.withheld = out.withheld && r.err == nil
			askNext()
		case <-hedge.C:
			askNext()
		}
	}
	return out
}

func (s *Service) claimTimeout(ctx context.Context) time.Duration {
	limit := s.cfg.ClaimTimeout.D()
	if d, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(d)*2/3)
	}
	return limit
}

// submit sends an entry to one recorder and returns the result that was read
// back. The reply to a claim is a verdict; Refused means that the entry was not appended.
func (s *Service) submit(ctx context.Context, id fleet.InstanceID, e claim.Entry) (claim.Verdict, claim.Op, error) {
	p := e.Key.Partition(s.cfg.Partitions)
	if id == s.cfg.Self.Instance {
		return s.recordLocal(ctx, p, e)
	}
	resp, err := s.peer(id).Record(ctx, connect.NewRequest(&peerv1.RecordRequest{
		From: claim.HolderProto(s.cfg.Self), Partition: int32(p), Entry: claim.EntryProto(&e),
	}))
	if err != nil {
		return 0, claim.Op{}, errors.Wrapf(err, "recorder %s", id)
	}
	s.updateEnd(p, offset(resp.Msg.GetNext()))
	return claim.Verdict(resp.Msg.GetVerdict()), claim.OpOf(resp.Msg.GetState()), nil
}

// recordLocal is submit for this instance.
func (s *Service) recordLocal(ctx context.Context, p int, e claim.Entry) (claim.Verdict, claim.Op, error) {
	s.mu.Lock()
	part := s.partitions[p]
	s.mu.Unlock()
	if part == nil {
		return claim.Refused, claim.Op{}, nil
	}
	rep, end, err := part.record(ctx, e)
	if err != nil {
		return 0, claim.Op{}, err
	}
	s.updateEnd(p, end)
	return rep.Verdict, rep.Op, nil
}

// follow waits for the outcome of another claim, at its holder or in the log.
// If neither has it, follow returns before the request's deadline.
func (s *Service) follow(ctx context.Context, req *Request, id claim.ID) operation.Answer {
	began := time.Now()
	for {
		if a, ok := s.await(ctx, req, id); ok {
			return a
		}
		if op, ok := s.lookup(ctx, req.opKey()); ok && (op.Claim != id || op.State.Final()) {
			return s.replay(ctx, req, op)
		}
		if time.Since(began) > unreachableTimeout || !pause(ctx) {
			return undecided(req, "the operation has no outcome yet")
		}
	}
}

// await queries the holder of a claim and waits for the outcome there.
func (s *Service) await(ctx context.Context, req *Request, id claim.ID) (operation.Answer, bool) {
	if d, ok := ctx.Deadline(); ok {
		bounded, cancel := context.WithDeadline(ctx, d.Add(-answerReserve))
		defer cancel()
		ctx = bounded
	}
	if id.Holder == s.cfg.Self {
		return s.awaitLocal(ctx, req, id)
	}
	if !s.lists(id.Holder) {
		return operation.Answer{}, false
	}
	resp, err := s.peer(id.Holder.Instance).Await(ctx, connect.NewRequest(&peerv1.AwaitRequest{
		Customer: string(req.Customer), Key: req.Key,
		Holder: claim.HolderProto(id.Holder), Seq: id.Seq,
	}))
	if err != nil || !resp.Msg.GetKnown() {
		return operation.Answer{}, false
	}
	return followed(req, operation.State(resp.Msg.GetState()), claim.AnswerOf(resp.Msg.GetAnswer()))
}

func (s *Service) awaitLocal(ctx context.Context, req *Request, id claim.ID) (operation.Answer, bool) {
	state, a, ok := s.waitFor(ctx, req.opKey(), id)
	if !ok {
		return operation.Answer{}, false
	}
	return followed(req, state, a)
}

// followed converts the outcome that a holder reported into an answer for a
// following request. NotRun is not passed on: the key may have been released.
func followed(req *Request, state operation.State, a *operation.Answer) (operation.Answer, bool) {
	switch {
	case state == operation.Completed && a != nil:
		return a.AsReplay(), true
	case state == operation.Unknown:
		return unresolved(req).AsReplay(), true
	case state == operation.NotRun:
		return undecided(req, "another attempt has just ended"), true
	}
	return operation.Answer{}, false
}

// lists reports whether a process is in the view.
func (s *Service) lists(h fleet.Holder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.members, func(m membership.Member) bool { return m.Holder() == h })
}

// lookup queries the recorders for the state of a key.
func (s *Service) lookup(ctx context.Context, key operation.Key) (claim.Op, bool) {
	p := key.Partition(s.cfg.Partitions)
	for _, id := range s.recorders(p) {
		if id == s.cfg.Self.Instance {
			if op, ok := s.lookupLocal(p, key); ok {
				return op, true
			}
			continue
		}
		resp, err := s.peer(id).Lookup(ctx, connect.NewRequest(&peerv1.LookupRequest{
			Customer: string(key.Customer), Key: key.Name,
		}))
		if err == nil && resp.Msg.GetState() != nil {
			return claim.OpOf(resp.Msg.GetState()), true
		}
	}
	return claim.Op{}, false
}

func (s *Service) lookupLocal(p int, key operation.Key) (claim.Op, bool) {
	s.mu.Lock()
	part := s.partitions[p]
	s.mu.Unlock()
	if part == nil {
		return claim.Op{}, false
	}
	return part.get(key)
}

// refreshEnds queries the recorders for the ends of the streams, so that new
// requests have a recent base.
func (s *Service) refreshEnds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshInterval)
	defer cancel()
	asked := map[fleet.InstanceID]bool{}
	for p := range s.cfg.Partitions {
		for _, id := range s.recorders(p) {
			asked[id] = true
			break
		}
	}
	for id := range asked {
		if id == s.cfg.Self.Instance {
			s.updateLocalEnds()
			continue
		}
		resp, err := s.peer(id).Ends(ctx, connect.NewRequest(&peerv1.EndsRequest{}))
		if err != nil {
			continue
		}
		for p, end := range resp.Msg.GetNext() {
			if p >= 0 && int(p) < s.cfg.Partitions {
				s.updateEnd(int(p), offset(end))
			}
		}
	}
}

// pause waits before the next try. It returns false if the context leaves no
// time for it.
func pause(ctx context.Context) bool {
	if d, ok := ctx.Deadline(); ok && time.Until(d) < answerReserve+pollInterval {
		return false
	}
	return wait.For(ctx, pollInterval)
}
