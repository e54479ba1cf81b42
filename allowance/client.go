package allowance

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/peer"
	"github.com/clementinereel/clementinereel/peer/peerv1"
	"github.com/clementinereel/clementinereel/peer/peerv1/peerv1connect"
	"github.com/clementinereel/clementinereel/ratelimit"
)

const (
	// TickInterval is the interval at which Run sends the demands that are due.
	TickInterval = 100 * time.Millisecond
	// minUrgentInterval is the minimum time between checks for urgent demands.
	minUrgentInterval = 5 * time.Millisecond
	// callTimeout is the timeout of a call. Accounts repeat their demands before
	// it expires; meanwhile a call whose direct path is cut is retried through a
	// relay.
	callTimeout = time.Second
)

// uncompressed disables response compression: responses are short, and the CPU
// cost outweighs the bytes saved.
var uncompressed = connect.WithAcceptCompression("gzip", nil, nil)

// Config holds the dependencies of a Client.
type Config struct {
	Self fleet.Holder
	// Source returns the limits in force for a customer.
	Source ratelimit.Source
	// Limiter returns the instance that is a customer's limiter in this
	// instance's view, or false if there is none.
	Limiter func(fleet.CustomerID) (fleet.InstanceID, bool)
	// HTTP is the client for the peer URLs of package peer.
	HTTP *http.Client
	// Local handles demands for which this instance is the limiter.
	Local *Server
	Clock func() time.Time
	// Metrics may be nil.
	Metrics metrics.Registry
}

// Client obtains grants for a table of accounts from the customers' limiters.
type Client struct {
	cfg    Config
	table  *ratelimit.Table
	wake   chan struct{}
	calls  metrics.Counter
	failed metrics.Counter

	mu    sync.Mutex
	peers map[fleet.InstanceID]peerv1connect.LimitsServiceClient
}

// NewClient returns a client with an empty table.
func NewClient(cfg Config) *Client {
	c := &Client{
		cfg:    cfg,
		wake:   make(chan struct{}, 1),
		calls:  metrics.NewCounter(),
		failed: metrics.NewCounter(),
		peers:  make(map[fleet.InstanceID]peerv1connect.LimitsServiceClient),
	}
	c.table = ratelimit.NewTable(cfg.Self, cfg.Source, c.signal)
	if cfg.Metrics != nil {
		c.calls = metrics.GetOrRegisterCounter("allowance_calls", cfg.Metrics)
		c.failed = metrics.GetOrRegisterCounter("allowance_calls_failed", cfg.Metrics)
	}
	return c
}

// Table returns the accounts, for the request path.
func (c *Client) Table() *ratelimit.Table { return c.table }

// signal makes Run check for urgent demands. It does not block.
func (c *Client) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run sends due and urgent demands until the context ends.
func (c *Client) Run(ctx context.Context) {
	tick := time.NewTicker(TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.Tick(ctx)
		case <-c.wake:
			c.Urgent(ctx)
			time.Sleep(minUrgentInterval)
		}
	}
}

// Tick sends the demands and charges that are due. It does not wait for
// responses.
func (c *Client) Tick(ctx context.Context) {
	c.send(ctx, c.table.Due(c.cfg.Clock()))
}

// Urgent sends the demands of accounts that are running low. It does not wait
// for responses.
func (c *Client) Urgent(ctx context.Context) {
	c.send(ctx, ratelimit.Due{Demands: c.table.Urgent(c.cfg.Clock())})
}

// send makes one call to each limiter. Demands and charges of customers without
// a limiter are dropped.
func (c *Client) send(ctx context.Context, due ratelimit.Due) {
	for id, batch := range c.byLimiter(due) {
		if id == c.cfg.Self.Instance {
			c.apply(c.cfg.Local.HandleDemands(batch.Demands))
			c.settle(batch.Charges, c.cfg.Local.Charge(batch.Charges))
			continue
		}
		go c.call(ctx, id, *batch)
	}
}

func (c *Client) byLimiter(due ratelimit.Due) map[fleet.InstanceID]*ratelimit.Due {
	batches := make(map[fleet.InstanceID]*ratelimit.Due)
	batch := func(customer fleet.CustomerID) *ratelimit.Due {
		id, ok := c.cfg.Limiter(customer)
		if !ok {
			return &ratelimit.Due{}
		}
		if batches[id] == nil {
			batches[id] = &ratelimit.Due{}
		}
		return batches[id]
	}
	for _, d := range due.Demands {
		b := batch(d.Customer)
		b.Demands = append(b.Demands, d)
	}
	for _, ch := range due.Charges {
		b := batch(ch.Customer)
		b.Charges = append(b.Charges, ch)
	}
	return batches
}

// call makes one call. Failures are only counted: the accounts send their
// demands again.
func (c *Client) call(ctx context.Context, id fleet.InstanceID, due ratelimit.Due) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.calls.Inc(1)
	req := connect.NewRequest(encodeDue(c.cfg.Self, due))
	resp, err := c.peer(id).Ask(ctx, req)
	if err != nil {
		c.failed.Inc(1)
		return
	}
	grants, err := decodeGrants(resp.Msg)
	if err != nil {
		c.failed.Inc(1)
		return
	}
	c.apply(grants)
	c.settle(due.Charges, paidCharges(len(due.Charges), resp.Msg.GetUnpaid()))
}

// paidCharges reports for each of n charges whether it was paid; unpaid holds
// the indexes of the others.
func paidCharges(n int, unpaid []uint32) []bool {
	paid := make([]bool, n)
	for i := range paid {
		paid[i] = !slices.Contains(unpaid, uint32(i))
	}
	return paid
}

func (c *Client) settle(cs []ratelimit.Charge, paid []bool) {
	for i := range cs {
		c.table.Settle(cs[i], paid[i])
	}
}

func decodeGrants(m *peerv1.AskResponse) ([]ratelimit.Grant, error) {
	grants := make([]ratelimit.Grant, len(m.GetGrants()))
	for i, gm := range m.GetGrants() {
		g, err := decodeGrant(gm)
		if err != nil {
			return nil, err
		}
		grants[i] = g
	}
	return grants, nil
}

func (c *Client) apply(grants []ratelimit.Grant) {
	now := c.cfg.Clock()
	for _, g := range grants {
		c.table.Apply(now, g)
	}
}

func (c *Client) peer(id fleet.InstanceID) peerv1connect.LimitsServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[id]
	if p == nil {
		p = peerv1connect.NewLimitsServiceClient(c.cfg.HTTP, peer.URL(id), uncompressed)
		c.peers[id] = p
	}
	return p
}

// Forget drops the clients of the instances for which removed returns true.
func (c *Client) Forget(removed func(fleet.InstanceID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.peers {
		if removed(id) {
			delete(c.peers, id)
		}
	}
}
