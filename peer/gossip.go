package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/membership"
	"github.com/clementinereel/clementinereel/peer/peerv1"
	"github.com/clementinereel/clementinereel/peer/peerv1/peerv1connect"
)

const (
	tickInterval = 100 * time.Millisecond
	// maxSends bounds the membership messages under way.
	maxSends = 64
	// sendTimeout bounds the sending of one membership message.
	sendTimeout = time.Second
	// goodbyeTimeout bounds the last messages of an instance that stops.
	goodbyeTimeout = 500 * time.Millisecond
	// maxGossipBytes bounds a membership message, in bytes.
	maxGossipBytes = 256 << 10
	// DefaultListInterval is the time between two reads of the list.
	DefaultListInterval = 5 * time.Second
)

// GossipOptions are the parts of a Gossip.
type GossipOptions struct {
	// Self is this instance's record: ID, Incarnation, Addr and Zone.
	Self      membership.Member
	Settings  membership.Settings
	Transport *Transport
	// List proposes peers. It may fail.
	List logservice.List
	// ListInterval is the time between two reads of the list. Zero means
	// DefaultListInterval.
	ListInterval time.Duration
}

// Gossip runs a membership.Node: it moves its time on, carries its messages,
// and publishes its view to the Transport.
type Gossip struct {
	opts  GossipOptions
	sends chan struct{}
	wg    sync.WaitGroup
	// listed is the last list that the platform gave.
	listed atomic.Pointer[[]logservice.Listed]

	mu      sync.Mutex
	node    *membership.Node
	stopped bool // no more messages are sent
}

var _ peerv1connect.MembershipServiceHandler = (*Gossip)(nil)

// NewGossip returns the gossip of an instance that starts now, and registers
// its handler at the server.
func NewGossip(opts GossipOptions, s *Server) (*Gossip, error) {
	if err := opts.Settings.Check(); err != nil {
		return nil, err
	}
	if opts.ListInterval <= 0 {
		opts.ListInterval = DefaultListInterval
	}
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	g := &Gossip{
		opts:  opts,
		sends: make(chan struct{}, maxSends),
		node:  membership.New(opts.Self, opts.Settings, r),
	}
	g.publish()
	s.Handle(peerv1connect.NewMembershipServiceHandler(g, HandlerOptions(maxGossipBytes)))
	return g, nil
}

// View returns the current snapshot of the members.
func (g *Gossip) View() *membership.View { return g.opts.Transport.View() }

// SetOffset tells peers which configuration offset this instance has applied.
func (g *Gossip) SetOffset(offset int64) {
	g.update(func(n *membership.Node) { n.SetOffset(offset) })
}

// SetReady tells peers whether this instance takes work.
func (g *Gossip) SetReady(ready bool) {
	g.update(func(n *membership.Node) { n.SetReady(ready) })
}

// Leave announces that this instance will stop soon. Run goes on.
func (g *Gossip) Leave() {
	g.update((*membership.Node).Leave)
}

func (g *Gossip) update(change func(*membership.Node)) {
	g.mu.Lock()
	change(g.node)
	g.mu.Unlock()
	g.publish()
}

// Run gossips until the context ends, then tells a few peers that this
// instance has stopped.
func (g *Gossip) Run(ctx context.Context) {
	var lists sync.WaitGroup
	lists.Go(func() { g.followList(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		g.tick(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	lists.Wait()
	g.goodbye()
}

func (g *Gossip) tick(ctx context.Context) {
	g.mu.Lock()
	out := g.node.Tick(time.Now())
	g.mu.Unlock()
	g.publish()
	g.send(ctx, out)
}

func (g *Gossip) goodbye() {
	ctx, cancel := context.WithTimeout(context.Background(), goodbyeTimeout)
	defer cancel()
	g.mu.Lock()
	out := g.node.Goodbye()
	g.mu.Unlock()
	g.send(ctx, out)
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.wg.Wait()
}

// Listed is the platform's list of instances when it last answered, nil if it
// never did. It must not be changed.
func (g *Gossip) Listed() []logservice.Listed {
	if l := g.listed.Load(); l != nil {
		return *l
	}
	return nil
}

// followList hands the platform's list to the node. While the list is gone
// the last one stays.
func (g *Gossip) followList(ctx context.Context) {
	for ctx.Err() == nil {
		listed, err := g.opts.List.Instances(ctx)
		if err == nil {
			g.listed.Store(&listed)
			g.update(func(n *membership.Node) { n.SetListed(seeds(listed)) })
		} else if ctx.Err() == nil {
			klog.InfoS("instance list unavailable", "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(g.listPause()):
		}
	}
}

// listPerMember times the members is the least time between two reads of the
// list: each of them reads a list as long as the fleet.
const listPerMember = 20 * time.Millisecond

func (g *Gossip) listPause() time.Duration {
	return max(g.opts.ListInterval, time.Duration(len(g.View().Members))*listPerMember)
}

func seeds(listed []logservice.Listed) []membership.Seed {
	var out []membership.Seed
	for _, l := range listed {
		if l.State == logservice.Live {
			out = append(out, membership.Seed{ID: l.ID, Addr: l.Addr})
		}
	}
	return out
}

// publish hands the view to the transport if it changed, and logs changes.
func (g *Gossip) publish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.opts.Transport.View()
	v := g.node.View()
	if v == old {
		return
	}
	g.opts.Transport.SetView(v)
	if v.Epoch != old.Epoch {
		logChanges(old, v)
	}
}

func logChanges(old, v *membership.View) {
	for _, m := range v.Members {
		before, ok := old.Get(m.ID)
		if !ok || before.State != m.State || before.Incarnation != m.Incarnation {
			klog.InfoS("member", "id", m.ID, "incarnation", m.Incarnation, "state", m.State, "addr", m.Addr)
		}
	}
	for _, m := range old.Members {
		if _, ok := v.Get(m.ID); !ok {
			klog.InfoS("member", "id", m.ID, "incarnation", m.Incarnation, "state", membership.Dead)
		}
	}
}

// send carries messages, each by itself. Above maxSends they are dropped: the
// protocol expects losses.
func (g *Gossip) send(ctx context.Context, out []membership.Envelope) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	for _, e := range out {
		select {
		case g.sends <- struct{}{}:
			g.wg.Go(func() {
				defer func() { <-g.sends }()
				g.exchange(ctx, e)
			})
		default:
			g.opts.Transport.counters.gossipDropped.Inc(1)
		}
	}
}

// exchange sends one message by the direct path, which it so tests, and folds
// the answers.
func (g *Gossip) exchange(ctx context.Context, e membership.Envelope) {
	callCtx, cancel := context.WithTimeout(WithoutRelay(withAddr(ctx, e.Addr)), sendTimeout)
	defer cancel()
	client := peerv1connect.NewMembershipServiceClient(g.opts.Transport.Client(), URL(e.To), ClientOptions(maxGossipBytes))
	resp, err := client.Exchange(callCtx, connect.NewRequest(&peerv1.ExchangeRequest{Message: encodeMessage(e.Message)}))
	if err != nil {
		klog.V(2).InfoS("membership message lost", "to", e.To, "err", err)
		return
	}
	for _, m := range resp.Msg.GetMessages() {
		more, err := g.receive(decodeMessage(m))
		if err != nil {
			g.opts.Transport.counters.malformed.Inc(1)
			klog.InfoS("malformed membership message", "from", e.To, "err", err)
			return
		}
		g.send(ctx, more)
	}
}

func (g *Gossip) receive(m membership.Message) ([]membership.Envelope, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Receive(time.Now(), m)
}

// Exchange implements the service: it folds a message and returns the answers
// that are for its sender.
func (g *Gossip) Exchange(
	_ context.Context, req *connect.Request[peerv1.ExchangeRequest],
) (*connect.Response[peerv1.ExchangeResponse], error) {
	m := decodeMessage(req.Msg.GetMessage())
	out, err := g.receive(m)
	if err != nil {
		klog.InfoS("malformed membership message", "from", req.Header().Get(HeaderFrom), "err", err)
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Cause(err))
	}
	resp := &peerv1.ExchangeResponse{}
	var others []membership.Envelope
	for _, e := range out {
		if e.To == m.From.ID {
			resp.Messages = append(resp.Messages, encodeMessage(e.Message))
			continue
		}
		others = append(others, e)
	}
	g.send(context.Background(), others)
	return connect.NewResponse(resp), nil
}
