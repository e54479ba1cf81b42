package allowance

import (
	"context"
	"net/http"
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
	// TickInterval is how often Run looks for demands that are due.
	TickInterval = 100 * time.Millisecond
	// urgentPause is the least time between looks for urgent ones.
	urgentPause = 5 * time.Millisecond
	// callTimeout bounds a call. Accounts ask anew before it ends; a call that
	// finds a path cut goes on through a relay meanwhile.
	callTimeout = time.Second
)

// uncompressed keeps answers as they are: they are short, and compressing them
// costs more processor time than it saves bytes.
var uncompressed = connect.WithAcceptCompression("gzip", nil, nil)

// Config is what a Client needs.
type Config struct {
	Self fleet.Holder
	// Source gives customers' limits in force.
	Source ratelimit.Source
	// Limiter returns the instance that is a customer's limiter, by this
	// instance's view; false if there is none.
	Limiter func(fleet.CustomerID) (fleet.InstanceID, bool)
	// HTTP reaches peers by the URLs of package peer.
	HTTP *http.Client
	// Local answers demands for which this instance is the limiter itself.
	Local *Server
	Clock func() time.Time
	// Metrics may be nil.
	Metrics metrics.Registry
}

// Client keeps a table of accounts supplied.
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

// signal makes Run look for urgent demands. It does not block.
func (c *Client) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run keeps the table supplied until the context ends.
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
			time.Sleep(urgentPause)
		}
	}
}

// Tick sends the demands that are due. It does not wait for answers.
func (c *Client) Tick(ctx context.Context) {
	c.send(ctx, c.table.Demands(c.cfg.Clock()))
}

// Urgent sends the demands of accounts that ran low. It does not wait for
// answers.
func (c *Client) Urgent(ctx context.Context) {
	c.send(ctx, c.table.Urgent(c.cfg.Clock()))
}

// send makes one call for each limiter.
func (c *Client) send(ctx context.Context, ds []ratelimit.Demand) {
	if len(ds) == 0 {
		return
	}
	batches := make(map[fleet.InstanceID][]ratelimit.Demand)
	for _, d := range ds {
		if id, ok := c.cfg.Limiter(d.Customer); ok {
			batches[id] = append(batches[id], d)
		}
	}
	for id, batch := range batches {
		if id == c.cfg.Self.Instance {
			c.apply(c.cfg.Local.Fold(batch))
			continue
		}
		go c.ask(ctx, id, batch)
	}
}

// ask makes one call. A failure needs no handling: the accounts ask again.
func (c *Client) ask(ctx context.Context, id fleet.InstanceID, ds []ratelimit.Demand) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.calls.Inc(1)
	req := connect.NewRequest(encodeDemands(c.cfg.Self, ds))
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

// Forget drops the clients of instances that left the fleet.
func (c *Client) Forget(gone func(fleet.InstanceID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.peers {
		if gone(id) {
			delete(c.peers, id)
		}
	}
}
