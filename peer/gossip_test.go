package peer

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/membership"
	"github.com/clementinereel/clementinereel/peer/peerv1"
	"github.com/clementinereel/clementinereel/peer/peerv1/peerv1connect"
)

// quick makes gossip fast enough for tests without making it fragile.
var quick = membership.Settings{
	Interval:        100 * time.Millisecond,
	AckTimeout:      500 * time.Millisecond,
	IndirectTimeout: 500 * time.Millisecond,
	SeedInterval:    200 * time.Millisecond,
	SyncInterval:    500 * time.Millisecond,
}

// gossiper is a node that gossips.
type gossiper struct {
	*node
	gossip *Gossip
	stop   context.CancelFunc
	done   chan struct{}
}

func startGossip(t testing.TB, n *node, list *fakeList, s membership.Settings) *gossiper {
	t.Helper()
	g, err := NewGossip(GossipOptions{
		Self: n.member, Settings: s, Transport: n.transport,
		List: list, ListInterval: 100 * time.Millisecond,
	}, n.server)
	assert.NilError(t, err)
	n.start(t)
	ctx, cancel := context.WithCancel(context.Background())
	r := &gossiper{node: n, gossip: g, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		g.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-r.done
	})
	return r
}

func startGossipers(t *testing.T, count int) (*cuts, *fakeList, []*gossiper) {
	t.Helper()
	t.Parallel()
	network := &cuts{cut: map[[2]string]bool{}}
	list := &fakeList{}
	var out []*gossiper
	for i := range count {
		n := newNode(t, network, "i"+string(rune('0'+i)), Settings{})
		list.add(n.member)
		out = append(out, startGossip(t, n, list, quick))
	}
	for _, g := range out {
		waitFor(t, "full view", func() bool { return len(g.gossip.View().Live()) == count })
	}
	return network, list, out
}

func (g *gossiper) sees(id fleet.InstanceID) membership.State {
	m, ok := g.gossip.View().Get(id)
	if !ok {
		return membership.Dead
	}
	return m.State
}

func TestGossipSpreadsFactsAndLeaving(t *testing.T) {
	_, _, nodes := startGossipers(t, 4)
	nodes[0].gossip.SetOffset(42)
	nodes[0].gossip.SetReady(true)
	for _, g := range nodes[1:] {
		waitFor(t, "offset and readiness", func() bool {
			m, ok := g.gossip.View().Get("i0")
			return ok && m.Ready && g.gossip.View().Offsets()["i0"] == 42
		})
	}
	nodes[0].gossip.Leave()
	for _, g := range nodes[1:] {
		waitFor(t, "leaving", func() bool { return g.sees("i0") == membership.Leaving })
	}
	nodes[0].stop()
	<-nodes[0].done
	for _, g := range nodes[1:] {
		waitFor(t, "goodbye", func() bool { return g.sees("i0") == membership.Dead })
	}
}

func TestGossipFindsACrashAndARestart(t *testing.T) {
	network, list, nodes := startGossipers(t, 4)
	n := newNode(t, network, "i3", Settings{})
	assert.NilError(t, nodes[3].server.Close()) // deaf, and still listed
	n.member.Incarnation = 2
	list.add(n.member)
	for _, g := range nodes[:3] {
		waitFor(t, "death", func() bool { return g.sees("i3") == membership.Dead })
	}
	startGossip(t, n, list, quick)
	for _, g := range nodes[:3] {
		waitFor(t, "restarted instance", func() bool {
			m, ok := g.gossip.View().Get("i3")
			return ok && m.Incarnation == 2 && m.State == membership.Alive
		})
	}
}

func TestMalformedGossipIsRefusedAndCounted(t *testing.T) {
	_, _, nodes := startGossipers(t, 2)
	before := nodes[1].gossip.View().Epoch
	client := peerv1connect.NewMembershipServiceClient(nodes[0].transport.Client(), URL("i1"))
	for _, m := range []*peerv1.MemberMessage{
		nil,
		{Kind: peerv1.MessageKind_MESSAGE_KIND_PING},
		{Kind: -1, From: encodeMember(nodes[0].member)},
		{Kind: 1, From: &peerv1.Member{Id: "i0", Incarnation: 1 << 63, State: 1, Addr: "x"}},
		{Kind: 6, From: encodeMember(nodes[0].member), Digest: make([]uint64, 3)},
		{Kind: 1, From: encodeMember(nodes[0].member), Updates: []*peerv1.Member{{Id: strings.Repeat("x", 500)}}},
	} {
		_, err := client.Exchange(t.Context(), connect.NewRequest(&peerv1.ExchangeRequest{Message: m}))
		assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	}
	resp, err := nodes[0].transport.Client().Post(
		URL("i1")+peerv1connect.MembershipServiceExchangeProcedure, "application/proto", strings.NewReader("\xff\xff"))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	assert.Equal(t, nodes[1].transport.Stats().Malformed, int64(7))
	assert.Equal(t, nodes[1].gossip.View().Epoch, before)
}
