package pool

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// host holds the connections to one target.
type host struct {
	cfg       Config
	target    fleet.Target
	share     int
	transport *http.Transport
	dial      func(ctx context.Context, network, addr string) (net.Conn, error)

	mu sync.Mutex
	// open is the number of connections in use, idle in the transport, ready or being dialed.
	open int
	// ready holds connections opened ahead of use and not yet passed to the transport.
	ready   []*conn
	retired bool
	// checked is the time of the last check for stale ready connections.
	checked time.Time
}

func newHost(cfg Config, t fleet.Target, share int) *host {
	h := &host{cfg: cfg, target: t, share: share, dial: dialer(cfg)}
	h.transport = newTransport(cfg, h.connect)
	h.transport.MaxConnsPerHost = share
	h.transport.MaxIdleConnsPerHost = share
	h.transport.IdleConnTimeout = cfg.IdleTimeout
	return h
}

func dialer(cfg Config) func(context.Context, string, string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: cfg.KeepAlive, Interval: cfg.KeepAlive},
	}
	return d.DialContext
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

func newTransport(cfg Config, dial dialFunc) *http.Transport {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return &http.Transport{
		DialContext:            dial,
		Protocols:              p,
		DisableCompression:     true,
		ExpectContinueTimeout:  cfg.ContinueTimeout,
		MaxResponseHeaderBytes: cfg.MaxHeader,
		ReadBufferSize:         cfg.BufferSize,
		WriteBufferSize:        cfg.BufferSize,
	}
}

// connect returns a ready connection to the transport, or dials a new one.
func (h *host) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	if c := h.takeReady(); c != nil {
		return c, nil
	}
	h.addOpen(1)
	return h.dialCounted(ctx, network, addr)
}

// dialCounted opens one connection, which the caller must have counted in open.
func (h *host) dialCounted(ctx context.Context, network, addr string) (*conn, error) {
	nc, err := h.dial(ctx, network, addr)
	if err != nil {
		h.addOpen(-1)
		return nil, err
	}
	return &conn{Conn: nc, opened: time.Now(), closed: func() { h.addOpen(-1) }}, nil
}

func (h *host) addOpen(d int) {
	h.mu.Lock()
	h.open += d
	h.mu.Unlock()
}

func (h *host) openCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open
}

// takeReady returns a ready connection that is still alive, or nil.
func (h *host) takeReady() *conn {
	for {
		c := h.popReady()
		if c == nil || c.alive() {
			return c
		}
		c.Close()
	}
}

func (h *host) popReady() *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.ready) == 0 {
		return nil
	}
	last := len(h.ready) - 1
	c := h.ready[last]
	h.ready = h.ready[:last]
	return c
}

// staleCheckInterval is the interval between checks for stale ready connections.
const staleCheckInterval = 5 * time.Second

// needsWarm closes dead and expired ready connections, at most once per
// staleCheckInterval, and reports whether warm would open a connection.
func (h *host) needsWarm() bool {
	h.mu.Lock()
	due := len(h.ready) > 0 && time.Since(h.checked) >= staleCheckInterval
	if due {
		h.checked = time.Now()
	}
	h.mu.Unlock()
	if due {
		h.dropStale()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.belowWarm()
}

// belowWarm reports whether the target has fewer than Warm connections. The
// caller must hold mu.
func (h *host) belowWarm() bool {
	return !h.retired && h.open < min(h.cfg.Warm, h.share)
}

// warm opens a connection if the target has fewer than Warm.
func (h *host) warm(ctx context.Context) error {
	if !h.reserve() {
		return nil
	}
	c, err := h.dialCounted(ctx, "tcp", h.target.Addr)
	if err != nil {
		return err
	}
	h.putReady(c)
	return nil
}

func (h *host) reserve() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.belowWarm() {
		return false
	}
	h.open++
	return true
}

func (h *host) putReady(c *conn) {
	h.mu.Lock()
	retired := h.retired
	if !retired {
		h.ready = append(h.ready, c)
	}
	h.mu.Unlock()
	if retired {
		c.Close()
	}
}

func (h *host) dropStale() {
	h.closeReady(func(c *conn) bool { return time.Since(c.opened) > h.cfg.IdleTimeout || !c.alive() })
}

// closeReady closes the ready connections for which drop is true.
func (h *host) closeReady(drop func(*conn) bool) {
	h.mu.Lock()
	var keep, closing []*conn
	for _, c := range h.ready {
		if drop(c) {
			closing = append(closing, c)
		} else {
			keep = append(keep, c)
		}
	}
	h.ready = keep
	h.mu.Unlock()
	for _, c := range closing {
		c.Close()
	}
}

// retire closes idle connections at once and busy ones when their responses end.
func (h *host) retire() {
	h.mu.Lock()
	h.retired = true
	h.mu.Unlock()
	h.closeReady(func(*conn) bool { return true })
	h.transport.CloseIdleConnections()
}
