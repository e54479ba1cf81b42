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
	// pollEvery is how often an outcome is asked for again.
	pollEvery = 150 * time.Millisecond
	// patience is how long one who is out of reach is tried before the caller
	// is told to come back.
	patience = time.Second
	// recordTries is how many recorders are tried for one entry.
	recordTries = 2
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

// recorders returns the instances that record a partition, first one first.
func (s *Service) recorders(p int) []fleet.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roles.Ranked(claim.StreamName(p), max(s.cfg.Recorders, recordTries))
}

// claim submits an attempt's claim and returns the verdict. Refused stands
// also for no verdict in time.
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

// While a partition passes to other recorders, as when instances restart one
// after the other, those that have it may not have read it yet. They refuse
// claims without appending them, and are asked again.
const (
	handOverTries = 6
	handOverPause = 100 * time.Millisecond
)

// recorderHedge is how long a recorder may take before the next one is asked
// as well: the first may be cut off from the log, where calls hang. Two
// recorders that append one claim do no harm.
const recorderHedge = 300 * time.Millisecond

// recorded is what recorders said of an entry.
type recorded struct {
	verdict claim.Verdict
	op      claim.Op
	// refused tells that some recorder said that it appended nothing, and
	// withheld that every one of them did.
	refused  bool
	withheld bool
}

// after joins what recorders said at an earlier try: one try that may have led
// to an append leaves doubt, whatever they said since.
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
	hedge := time.NewTicker(recorderHedge)
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

// submit hands an entry to one recorder and returns what it read back. Claims
// are answered with a verdict; Refused means that the entry was not appended.
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
	s.learnEnd(p, offset(resp.Msg.GetNext()))
	return claim.Verdict(resp.Msg.GetVerdict()), claim.OpOf(resp.Msg.GetState()), nil
}

// recordLocal is submit at this instance.
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
	s.learnEnd(p, end)
	return rep.Verdict, rep.Op, nil
}

// follow waits for the outcome of another claim, at its holder or in the log.
// If neither can tell, it is not held until its deadline.
func (s *Service) follow(ctx context.Context, req *Request, id claim.ID) operation.Answer {
	began := time.Now()
	for {
		if a, ok := s.await(ctx, req, id); ok {
			return a
		}
		if op, ok := s.lookup(ctx, req.opKey()); ok && (op.Claim != id || op.State.Final()) {
			return s.replay(ctx, req, op)
		}
		if time.Since(began) > patience || !pause(ctx) {
			return undecided(req, "the operation has no outcome yet")
		}
	}
}

// await asks the holder of a claim, waiting for the outcome there.
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

// followed turns what a holder said of its attempt into an answer for one who
// follows it. Not run is not passed on: the key may be open again.
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

// lists tells whether a process is in the view.
func (s *Service) lists(h fleet.Holder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.members, func(m membership.Member) bool { return m.Holder() == h })
}

// lookup asks the recorders what they have read of a key.
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

// refreshEnds asks the recorders how far the streams reach, so that requests
// that arrive from now on have a recent base.
func (s *Service) refreshEnds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshEvery)
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
			s.ownEnds()
			continue
		}
		resp, err := s.peer(id).Ends(ctx, connect.NewRequest(&peerv1.EndsRequest{}))
		if err != nil {
			continue
		}
		for p, end := range resp.Msg.GetNext() {
			if p >= 0 && int(p) < s.cfg.Partitions {
				s.learnEnd(int(p), offset(end))
			}
		}
	}
}

// pause waits before the next try; false if the context leaves no time for it.
func pause(ctx context.Context) bool {
	if d, ok := ctx.Deadline(); ok && time.Until(d) < answerReserve+pollEvery {
		return false
	}
	return wait.For(ctx, pollEvery)
}
