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
	// open counts connections: those in use, idle in the transport or ready.
	open int
	// ready are connections opened ahead, which the transport hasn't seen.
	ready   []*conn
	retired bool
	// checked is when the ready connections were last looked over.
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

// connect hands the transport a ready connection, or dials.
func (h *host) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	if c := h.takeReady(); c != nil {
		return c, nil
	}
	h.count(1)
	return h.open1(ctx, network, addr)
}

// open1 opens one connection, which the caller has counted.
func (h *host) open1(ctx context.Context, network, addr string) (*conn, error) {
	nc, err := h.dial(ctx, network, addr)
	if err != nil {
		h.count(-1)
		return nil, err
	}
	return &conn{Conn: nc, opened: time.Now(), closed: func() { h.count(-1) }}, nil
}

func (h *host) count(d int) {
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

// staleEvery is how often the ready connections are looked over.
const staleEvery = 5 * time.Second

// wanting drops ready connections that are dead or old, now and then, and
// tells whether warm would open one.
func (h *host) wanting() bool {
	h.mu.Lock()
	due := len(h.ready) > 0 && time.Since(h.checked) >= staleEvery
	if due {
		h.checked = time.Now()
	}
	h.mu.Unlock()
	if due {
		h.dropStale()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.short()
}

// short tells whether the target has fewer than Warm connections. The lock is
// held.
func (h *host) short() bool {
	return !h.retired && h.open < min(h.cfg.Warm, h.share)
}

// warm opens a connection if the target has fewer than Warm.
func (h *host) warm(ctx context.Context) error {
	if !h.reserve() {
		return nil
	}
	c, err := h.open1(ctx, "tcp", h.target.Addr)
	if err != nil {
		return err
	}
	h.putReady(c)
	return nil
}

func (h *host) reserve() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.short() {
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

// retire closes what is idle now, and what is busy as its answer ends.
func (h *host) retire() {
	h.mu.Lock()
	h.retired = true
	h.mu.Unlock()
	h.closeReady(func(*conn) bool { return true })
	h.transport.CloseIdleConnections()
}
