package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/membership"
)

// patience bounds every wait for a condition.
const patience = 20 * time.Second

// cuts is a network on which directed pairs of instances can be cut: what the
// first sends is lost, new connections hang.
type cuts struct {
	mu  sync.Mutex
	cut map[[2]string]bool // from instance, to address
}

func (c *cuts) set(from, addr string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[[2]string{from, addr}] = cut
}

func (c *cuts) has(from, addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[[2]string{from, addr}]
}

func (c *cuts) dialer(from string) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if c.has(from, addr) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		return lossyConn{Conn: conn, lost: func() bool { return c.has(from, addr) }}, err
	}
}

type lossyConn struct {
	net.Conn
	lost func() bool
}

func (c lossyConn) Write(b []byte) (int, error) {
	if c.lost() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// node is one instance on loopback.
type node struct {
	member    membership.Member
	transport *Transport
	server    *Server
	listener  net.Listener
}

// fakeList serves as the platform's list.
type fakeList struct {
	mu     sync.Mutex
	listed []logservice.Listed
}

func (l *fakeList) add(m membership.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = append(l.listed, logservice.Listed{ID: m.ID, Addr: m.Addr, Zone: m.Zone, State: logservice.Live})
}

func (l *fakeList) Instances(context.Context) ([]logservice.Listed, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed, nil
}

func newNode(t testing.TB, network *cuts, id string, s Settings) *node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	m := membership.Member{
		ID: fleet.InstanceID(id), Incarnation: 1, Version: 1,
		State: membership.Alive, Addr: l.Addr().String(), Zone: "z1",
	}
	tr := NewTransport(m.Holder(), s, nil)
	tr.dial = network.dialer(id)
	return &node{member: m, transport: tr, server: NewServer(tr), listener: l}
}

// start serves until the test ends.
func (n *node) start(t testing.TB) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- n.server.Serve(n.listener) }()
	t.Cleanup(func() {
		assert.NilError(t, n.server.Close())
		assert.NilError(t, <-done)
		n.transport.Close()
	})
}

// newNodes starts instances i0, i1, ... that know each other, without gossip.
func newNodes(t testing.TB, count int, s Settings) (*cuts, []*node) {
	t.Helper()
	network := &cuts{cut: map[[2]string]bool{}}
	var nodes []*node
	var members []membership.Member
	for i := range count {
		n := newNode(t, network, fmt.Sprintf("i%d", i), s)
		nodes = append(nodes, n)
		members = append(members, n.member)
	}
	for _, n := range nodes {
		n.transport.SetView(membership.NewView(n.member.ID, members))
	}
	return network, nodes
}

func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	end := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(end) {
			t.Errorf("no %s within %v", what, patience)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
