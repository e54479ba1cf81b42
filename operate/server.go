package operate

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/clementinereel/clementinereel/claim"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/peer/peerv1"
	"github.com/clementinereel/clementinereel/peer/peerv1/peerv1connect"
	"github.com/clementinereel/clementinereel/ticket"
)

// server serves calls from peers.
type server struct {
	s *Service
}

var _ peerv1connect.OperationServiceHandler = (*server)(nil)

// Record implements OperationServiceHandler.
func (v *server) Record(ctx context.Context, r *connect.Request[peerv1.RecordRequest]) (*connect.Response[peerv1.RecordResponse], error) {
	p := int(r.Msg.GetPartition())
	e := claim.EntryOf(r.Msg.GetEntry())
	if p < 0 || p >= v.s.cfg.Partitions || p != e.Key.Partition(v.s.cfg.Partitions) {
		return nil, connect.NewError(connect.CodeInvalidArgument, errPartitions)
	}
	verdict, op, err := v.s.recordLocal(ctx, p, e)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	v.s.mu.Lock()
	end := v.s.ends[p]
	v.s.mu.Unlock()
	return connect.NewResponse(&peerv1.RecordResponse{
		Verdict: uint32(verdict), State: claim.OpProto(&op), Next: int64(end),
	}), nil
}

// Lookup implements OperationServiceHandler.
func (v *server) Lookup(_ context.Context, r *connect.Request[peerv1.LookupRequest]) (*connect.Response[peerv1.LookupResponse], error) {
	key := operation.Key{Customer: fleet.CustomerID(r.Msg.GetCustomer()), Name: r.Msg.GetKey()}
	resp := &peerv1.LookupResponse{}
	if op, ok := v.s.lookupLocal(key.Partition(v.s.cfg.Partitions), key); ok {
		resp.Covered = true
		resp.State = claim.OpProto(&op)
	}
	return connect.NewResponse(resp), nil
}

// Ends implements OperationServiceHandler.
func (v *server) Ends(context.Context, *connect.Request[peerv1.EndsRequest]) (*connect.Response[peerv1.EndsResponse], error) {
	resp := &peerv1.EndsResponse{Next: map[int32]int64{}}
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	for id, p := range v.s.partitions {
		resp.Next[int32(id)] = int64(p.end())
	}
	return connect.NewResponse(resp), nil
}

// Await implements OperationServiceHandler.
func (v *server) Await(ctx context.Context, r *connect.Request[peerv1.AwaitRequest]) (*connect.Response[peerv1.AwaitResponse], error) {
	resp := &peerv1.AwaitResponse{}
	id := claim.ID{Holder: claim.HolderOf(r.Msg.GetHolder()), Seq: r.Msg.GetSeq()}
	key := operation.Key{Customer: fleet.CustomerID(r.Msg.GetCustomer()), Name: r.Msg.GetKey()}
	state, a, ok := v.s.waitFor(ctx, key, id)
	if ok {
		resp.Known = true
		resp.State = uint32(state)
		resp.Answer = claim.AnswerProto(a)
	}
	return connect.NewResponse(resp), nil
}

// Survey implements OperationServiceHandler.
func (v *server) Survey(_ context.Context, r *connect.Request[peerv1.SurveyRequest]) (*connect.Response[peerv1.SurveyResponse], error) {
	if r.Msg.GetGreeting() {
		v.s.recordGreeting(claim.HolderOf(r.Msg.GetFrom()))
		return connect.NewResponse(surveyProto(v.s.cfg.Self, nil)), nil
	}
	keys := make([]operation.Key, 0, len(r.Msg.GetKeys()))
	for _, k := range r.Msg.GetKeys() {
		keys = append(keys, operation.Key{Customer: fleet.CustomerID(k.GetCustomer()), Name: k.GetKey()})
	}
	return connect.NewResponse(surveyProto(v.s.cfg.Self, v.s.answerSurvey(keys))), nil
}

// Execute implements OperationServiceHandler.
func (v *server) Execute(ctx context.Context, r *connect.Request[peerv1.ExecuteRequest]) (*connect.Response[peerv1.ExecuteResponse], error) {
	id, err := ticket.Parse(r.Msg.GetTicket())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	m := r.Msg
	req := &Request{
		Customer: fleet.CustomerID(m.GetCustomer()), Route: m.GetRoute(), Service: fleet.ServiceID(m.GetService()),
		Ticket: m.GetTicket(), ID: m.GetRequestId(), Method: m.GetMethod(), Path: m.GetPath(), Query: m.GetQuery(),
		Header: claim.HeaderOf(m.GetHeader()), Body: m.GetBody(),
		Deadline: v.s.now().Add(time.Duration(m.GetTimeoutNanos())),
	}
	a, known := v.s.execute(ctx, id, req, v.s.cfg.Run)
	resp := &peerv1.ExecuteResponse{Known: known}
	if known {
		resp.Answer = claim.AnswerProto(&a)
	}
	return connect.NewResponse(resp), nil
}

// Handover implements OperationServiceHandler.
func (v *server) Handover(_ context.Context, r *connect.Request[peerv1.HandoverRequest]) (*connect.Response[peerv1.HandoverResponse], error) {
	var list []ticket.State
	for _, t := range r.Msg.GetTickets() {
		id, err := ticket.Parse(t.GetTicket())
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		list = append(list, ticket.State{
			ID: id, Digest: operation.Digest(t.GetDigest()), Operation: operation.State(t.GetState()),
			Answer: claim.AnswerOf(t.GetAnswer()), Expires: time.Unix(0, t.GetExpiresUnixNanos()),
		})
	}
	if !v.s.acceptHandover(list, r.Msg.GetEntries()) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errStopping)
	}
	return connect.NewResponse(&peerv1.HandoverResponse{}), nil
}
