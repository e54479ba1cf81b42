package allowance

import (
	"context"
	"fmt"
	"math"
	"net"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/membership"
	"github.com/clementinereel/clementinereel/peer"
	"github.com/clementinereel/clementinereel/peer/peerv1"
	"github.com/clementinereel/clementinereel/ratelimit"
)

// testInstance is an instance on the loopback interface.
type testInstance struct {
	transport *peer.Transport
	peers     *peer.Server
	server    *Server
	client    *Client
}

// startFleet starts n instances. The first is the limiter of all customers.
func startFleet(tb testing.TB, n int, source ratelimit.Source) []*testInstance {
	tb.Helper()
	view := func() ratelimit.View {
		return ratelimit.View{Listed: n, Reached: n, Since: time.Unix(0, 0)}
	}
	limiter := func(fleet.CustomerID) (fleet.InstanceID, bool) { return "i0", true }
	var members []membership.Member
	instances := make([]*testInstance, n)
	for i := range n {
		id := fleet.Holder{Instance: fleet.InstanceID(fmt.Sprintf("i%d", i)), Incarnation: 1}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(tb, err)
		members = append(members, membership.Member{
			ID: id.Instance, Incarnation: 1, State: membership.Alive, Ready: true,
			Addr: listener.Addr().String(),
		})
		in := &testInstance{transport: peer.NewTransport(id, peer.Settings{}, nil)}
		in.peers = peer.NewServer(in.transport)
		in.server = NewServer(source, view, time.Now)
		in.peers.Handle(in.server.Handler())
		in.client = NewClient(Config{
			Self: id, Source: source, Limiter: limiter, Local: in.server,
			HTTP: in.transport.Client(), Clock: time.Now,
		})
		in.client.Table().SetView(view())
		go func() { _ = in.peers.Serve(listener) }()
		tb.Cleanup(func() { _ = in.peers.Close() })
		instances[i] = in
	}
	for i, in := range instances {
		in.transport.SetView(membership.NewView(members[i].ID, members))
	}
	return instances
}

func limitSource(rate, burst float64) ratelimit.Source {
	return func(c fleet.CustomerID) (ratelimit.Limits, bool) {
		return ratelimit.Limits{{ID: ratelimit.CustomerWide, Rate: rate, Burst: burst}}, c != "unknown"
	}
}

// takeAll takes until the account refuses and returns the number of requests
// admitted.
func (in *testInstance) takeAll(c fleet.CustomerID) int {
	for n := 0; ; n++ {
		d := in.client.Table().Take(time.Now(), c, ratelimit.CustomerWide)
		if !d.OK {
			return n
		}
		d.Done(time.Now())
	}
}

// TestInstancesShareTheBurst takes until no more tokens are granted: the burst
// is admitted, and beyond it at most the overdrafts described in the package
// documentation of ratelimit, half of a burst.
func TestInstancesShareTheBurst(t *testing.T) {
	const (
		burst      = 200
		overdrafts = burst / 2
		settled    = 2 * time.Second
	)
	in := startFleet(t, 3, limitSource(0.001, burst))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, i := range in {
		go i.client.Run(ctx)
	}
	passed, last := 0, time.Now()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, i := range in {
			if n := i.takeAll("c"); n > 0 {
				passed, last = passed+n, time.Now()
			}
		}
		if passed >= burst && time.Since(last) > settled {
			return poll.Success()
		}
		return poll.Continue("%d passed", passed)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(time.Millisecond))
	assert.Assert(t, passed <= burst+overdrafts, "%d passed", passed)
}

func TestCallsFail(t *testing.T) {
	in := startFleet(t, 2, limitSource(10, 100))
	assert.NilError(t, in[0].peers.Close())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	assert.Assert(t, in[1].takeAll("c") > 0, "the instance's own share must need no limiter")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		in[1].client.Tick(ctx)
		in[1].takeAll("c")
		if in[1].client.failed.Count() > 0 {
			return poll.Success()
		}
		return poll.Continue("no call failed yet")
	}, poll.WithTimeout(20*time.Second))
}

func TestChargesArePaid(t *testing.T) {
	in := startFleet(t, 2, limitSource(0.001, 10))
	table := in[1].client.Table()
	table.Take(time.Now(), "c", ratelimit.CustomerWide).Done(time.Now())
	due := table.Due(time.Now().Add(time.Minute))
	assert.Equal(t, len(due.Charges), 1)
	in[1].client.call(t.Context(), "i0", due)
	assert.Equal(t, in[0].server.Len(), 1)
	assert.Equal(t, len(table.Due(time.Now().Add(2*time.Minute)).Charges), 0, "the charge must not be due again once paid")
	unpaid := ratelimit.Charge{Customer: "c", Limits: []ratelimit.LimitCharge{{Tokens: 9.5}}}
	unknown := ratelimit.Charge{Customer: "unknown"}
	assert.DeepEqual(t, in[0].server.Charge([]ratelimit.Charge{unpaid, unknown}), []bool{false, false})
	assert.DeepEqual(t, paidCharges(3, []uint32{1}), []bool{true, false, true})
}

func TestUnknownCustomersAreSkipped(t *testing.T) {
	s := NewServer(limitSource(1, 1), func() ratelimit.View { return ratelimit.View{Listed: 1, Reached: 1} }, time.Now)
	grants := s.HandleDemands([]ratelimit.Demand{{Customer: "unknown"}, {Customer: "c", Seq: 1}})
	assert.Equal(t, len(grants), 1)
	assert.Equal(t, grants[0].Customer, fleet.CustomerID("c"))
	assert.Equal(t, s.Len(), 1)
}

func TestServerExpiresState(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	clock := func() time.Time { return now }
	s := NewServer(limitSource(1, 100), func() ratelimit.View { return ratelimit.View{Listed: 1, Reached: 1} }, clock)
	s.HandleDemands([]ratelimit.Demand{{Customer: "c", Seq: 1}})
	now = now.Add(50 * time.Second)
	s.Tick()
	assert.Equal(t, s.Len(), 1, "the bucket is not full yet")
	now = now.Add(time.Minute)
	s.Tick()
	assert.Equal(t, s.Len(), 0)
}

func TestMalformedMessages(t *testing.T) {
	s := NewServer(limitSource(1, 1), func() ratelimit.View { return ratelimit.View{} }, time.Now)
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for name, l := range map[string]*peerv1.LimitDemand{
		"balance":  {Balance: nan},
		"negative": {Want: -1},
		"infinite": {Offered: inf},
		"busy":     {Busy: nan},
		"slots":    {WantSlots: math.MaxUint32},
	} {
		req := &peerv1.AskRequest{Instance: "a", Demands: []*peerv1.LimitsDemand{{Limits: []*peerv1.LimitDemand{l}}}}
		_, err := s.Ask(t.Context(), connect.NewRequest(req))
		assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument, name)
	}
	charge := &peerv1.LimitsCharge{Limits: []*peerv1.LimitCharge{{Tokens: nan}}}
	_, err := s.Ask(t.Context(), connect.NewRequest(&peerv1.AskRequest{Instance: "a", Charges: []*peerv1.LimitsCharge{charge}}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	_, err = s.Ask(t.Context(), connect.NewRequest(&peerv1.AskRequest{}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	_, err = decodeGrant(&peerv1.LimitsGrant{Limits: []*peerv1.LimitGrant{{Tokens: inf}}})
	assert.ErrorIs(t, err, errMalformed)
	assert.Equal(t, s.Len(), 0)
}

func TestCodecRoundTrip(t *testing.T) {
	d := ratelimit.Demand{
		Customer: "c", Holder: fleet.Holder{Instance: "a", Incarnation: 7}, Seq: 3, Applied: 2,
		Limits: []ratelimit.LimitDemand{{ID: 9, Balance: -1.5, Want: 4, Offered: 2.5, InFlight: 3, Busy: 0.5, WantSlots: 6, Slots: 5}},
	}
	due := ratelimit.Due{
		Demands: []ratelimit.Demand{d},
		Charges: []ratelimit.Charge{{Customer: "d", Limits: []ratelimit.LimitCharge{{ID: 9, Tokens: 2}}}},
	}
	gotDue, err := decodeDue(encodeDue(d.Holder, due))
	assert.NilError(t, err)
	assert.DeepEqual(t, gotDue, due)
	g := ratelimit.Grant{
		Customer: "c", Seq: 3, Lifetime: time.Second, Stale: true,
		Limits: []ratelimit.LimitGrant{{ID: 9, Tokens: 1.5, Slots: 2, Level: 8, Share: 0.25}},
	}
	got, err := decodeGrant(encodeGrant(&g))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, g)
}

// BenchmarkCharge measures one call over loopback with charges for several numbers of
// customers, each with a limit for the whole customer and one for a route.
func BenchmarkCharge(b *testing.B) {
	for _, customers := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			cs := make([]ratelimit.Charge, customers)
			for i := range cs {
				cs[i] = ratelimit.Charge{
					Customer: fleet.CustomerID(fmt.Sprintf("customer-%05d", i)),
					Limits:   []ratelimit.LimitCharge{{Tokens: 1}, {ID: ratelimit.RouteID("r"), Tokens: 1}},
				}
			}
			benchmarkCalls(b, func(int) ratelimit.Due { return ratelimit.Due{Charges: cs} })
		})
	}
}

// benchmarkCalls measures calls from one instance to another.
func benchmarkCalls(b *testing.B, due func(n int) ratelimit.Due) {
	in := startFleet(b, 2, limitSource(1e6, 1e6))
	in[1].client.call(b.Context(), "i0", due(1))
	before := in[1].transport.Stats()
	n := 1
	for b.Loop() {
		n++
		in[1].client.call(b.Context(), "i0", due(n))
	}
	after := in[1].transport.Stats()
	assert.Equal(b, in[1].client.failed.Count(), int64(0))
	b.ReportMetric(float64(after.BytesOut-before.BytesOut)/float64(n-1), "B_out/op")
	b.ReportMetric(float64(after.BytesIn-before.BytesIn)/float64(n-1), "B_in/op")
}

// BenchmarkAsk measures one call over loopback with demands for several numbers of
// customers, each with a limit for the whole customer and one for a route.
func BenchmarkAsk(b *testing.B) {
	for _, customers := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			ds := make([]ratelimit.Demand, customers)
			for i := range ds {
				ds[i] = ratelimit.Demand{
					Customer: fleet.CustomerID(fmt.Sprintf("customer-%05d", i)),
					Limits: []ratelimit.LimitDemand{
						{Balance: 1.5, Want: 2, Offered: 3},
						{ID: ratelimit.RouteID("r"), Balance: 1.5, Want: 2, Offered: 3},
					},
				}
			}
			benchmarkCalls(b, func(n int) ratelimit.Due {
				for i := range ds {
					ds[i].Seq = uint64(n)
				}
				return ratelimit.Due{Demands: ds}
			})
		})
	}
}
