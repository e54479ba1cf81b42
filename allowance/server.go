package allowance

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/peer/peerv1"
	"github.com/clementinereel/clementinereel/peer/peerv1/peerv1connect"
	"github.com/clementinereel/clementinereel/ratelimit"
)

// serverShards limits lock contention between calls for different customers.
const serverShards = 16

// Server is the limiter of the customers for which it receives demands. It also
// handles demands sent to the wrong instance: two concurrent limiters overshoot
// by at most one more rate, while a refusal would stop the caller's traffic.
type Server struct {
	source ratelimit.Source
	view   func() ratelimit.View
	clock  func() time.Time
	shards [serverShards]shard
}

var _ peerv1connect.LimitsServiceHandler = (*Server)(nil)

type shard struct {
	mu         sync.Mutex
	byCustomer map[fleet.CustomerID]*ratelimit.Granter
}

// NewServer returns a server without state. source returns the limits in force
// for a customer, view this instance's view of the fleet.
func NewServer(source ratelimit.Source, view func() ratelimit.View, clock func() time.Time) *Server {
	s := &Server{source: source, view: view, clock: clock}
	for i := range s.shards {
		s.shards[i].byCustomer = make(map[fleet.CustomerID]*ratelimit.Granter)
	}
	return s
}

// Handler returns the path and handler for the peer server's mux.
func (s *Server) Handler(opts ...connect.HandlerOption) (string, http.Handler) {
	return peerv1connect.NewLimitsServiceHandler(s, opts...)
}

// Ask implements peerv1connect.LimitsServiceHandler.
func (s *Server) Ask(_ context.Context, req *connect.Request[peerv1.AskRequest]) (*connect.Response[peerv1.AskResponse], error) {
	due, err := decodeDue(req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	grants := s.HandleDemands(due.Demands)
	resp := &peerv1.AskResponse{Grants: make([]*peerv1.LimitsGrant, len(grants))}
	for i := range grants {
		resp.Grants[i] = encodeGrant(&grants[i])
	}
	for i, paid := range s.Charge(due.Charges) {
		if !paid {
			resp.Unpaid = append(resp.Unpaid, uint32(i))
		}
	}
	return connect.NewResponse(resp), nil
}

// HandleDemands returns the grants for demands. It skips customers without a
// contract.
func (s *Server) HandleDemands(ds []ratelimit.Demand) []ratelimit.Grant {
	now, view := s.clock(), s.view()
	grants := make([]ratelimit.Grant, 0, len(ds))
	for i := range ds {
		limits, ok := s.source(ds[i].Customer)
		if !ok {
			continue
		}
		s.withGranter(ds[i].Customer, func(g *ratelimit.Granter) {
			grants = append(grants, g.Grant(now, limits, view, ds[i]))
		})
	}
	return grants
}

// Charge reports for each charge whether it was paid. Charges of customers
// without a contract are not.
func (s *Server) Charge(cs []ratelimit.Charge) []bool {
	now, view := s.clock(), s.view()
	paid := make([]bool, len(cs))
	for i := range cs {
		limits, ok := s.source(cs[i].Customer)
		if !ok {
			continue
		}
		s.withGranter(cs[i].Customer, func(g *ratelimit.Granter) {
			paid[i] = g.Charge(now, limits, view, cs[i])
		})
	}
	return paid
}

// withGranter calls f withGranter the customer's granter, under the lock of its shard.
func (s *Server) withGranter(c fleet.CustomerID, f func(*ratelimit.Granter)) {
	sh := &s.shards[ratelimit.PartitionOf(c)%serverShards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	g := sh.byCustomer[c]
	if g == nil {
		g = ratelimit.NewGranter()
		sh.byCustomer[c] = g
	}
	f(g)
}

// Tick removes the state of customers that have no contract or whose state has
// expired, so that a new one is equivalent. Call it every few seconds.
func (s *Server) Tick() {
	now := s.clock()
	for i := range s.shards {
		s.shards[i].expire(now, s.source)
	}
}

func (sh *shard) expire(now time.Time, source ratelimit.Source) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for c, g := range sh.byCustomer {
		limits, ok := source(c)
		if !ok || g.Expired(now, limits) {
			delete(sh.byCustomer, c)
		}
	}
}

// Len returns the number of customers for which the server has state.
func (s *Server) Len() int {
	n := 0
	for i := range s.shards {
		s.shards[i].mu.Lock()
		n += len(s.shards[i].byCustomer)
		s.shards[i].mu.Unlock()
	}
	return n
}
