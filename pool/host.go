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
	// single uses each connection for one request.
	single *http.Transport
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	// open has an element for each connection that is in use, idle in the transport, ready or being
	// dialed; its capacity is the share.
	open chan struct{}

	mu sync.Mutex
	// ready holds connections opened ahead of use and not yet passed to the transport.
	ready   []*conn
	retired bool
	// checked is the time of the last check for stale ready connections.
	checked time.Time
}

func newHost(cfg Config, t fleet.Target, share int) *host {
	h := &host{cfg: cfg, target: t, share: share, dial: dialer(cfg), open: make(chan struct{}, share)}
	h.transport = newTransport(cfg, func(ctx context.Context, network, addr string) (net.Conn, error) {
		return h.connect(ctx, network, addr, func() {})
	})
	h.transport.MaxConnsPerHost = share
	h.transport.MaxIdleConnsPerHost = share
	h.transport.IdleConnTimeout = cfg.IdleTimeout
	h.single = newTransport(cfg, func(ctx context.Context, network, addr string) (net.Conn, error) {
		return h.connect(ctx, network, addr, h.transport.CloseIdleConnections)
	})
	h.single.MaxConnsPerHost = share
	// DisableKeepAlives would ask targets to close, and one that has not read the whole body would reset its response.
	h.single.MaxIdleConnsPerHost = -1
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

// connect returns a ready connection, or dials a new one. It calls makeRoom while the share is used up.
func (h *host) connect(ctx context.Context, network, addr string, makeRoom func()) (net.Conn, error) {
	if c := h.takeReady(); c != nil {
		return c, nil
	}
	if err := h.acquire(ctx, makeRoom); err != nil {
		return nil, err
	}
	return h.dialCounted(ctx, network, addr)
}

// shareCheckInterval is the interval at which acquire calls makeRoom.
const shareCheckInterval = 5 * time.Millisecond

// acquire counts one more connection. While the share is used up, it calls makeRoom and waits until a connection
// is closed.
func (h *host) acquire(ctx context.Context, makeRoom func()) error {
	for {
		select {
		case h.open <- struct{}{}:
			return nil
		default:
			makeRoom()
		}
		select {
		case h.open <- struct{}{}:
			return nil
		case <-time.After(shareCheckInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// release is called for each connection that was closed or could not be opened.
func (h *host) release() { <-h.open }

// dialCounted opens one connection, which the caller must have counted in open.
func (h *host) dialCounted(ctx context.Context, network, addr string) (*conn, error) {
	nc, err := h.dial(ctx, network, addr)
	if err != nil {
		h.release()
		return nil, err
	}
	return &conn{Conn: nc, opened: time.Now(), closed: h.release}, nil
}

func (h *host) openCount() int { return len(h.open) }

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
	return !h.retired && len(h.open) < min(h.cfg.Warm, h.share)
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
	select {
	case h.open <- struct{}{}:
		return true
	default: // a request took the last one meanwhile
		return false
	}
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
