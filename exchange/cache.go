package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/conncheck"
)

// conn is a connection to a target.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// served counts the exchanges that ended well on the connection.
	served int
	// idleSince is when the last exchange ended.
	idleSince time.Time
	// keep is how long the target keeps the connection open while it is idle.
	keep time.Duration
}

// Bounds of the cache.
const (
	// defaultKeep is how long a connection is kept if the target names no time.
	defaultKeep = 4 * time.Second
	// keepMargin is left of the time that the target names, for requests on
	// their way.
	keepMargin = 700 * time.Millisecond
	// maxIdle bounds the idle connections to one target.
	maxIdle = 4
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 4 << 10
)

// probes find connections that went silent while they were idle: nothing else shows
// it before a request is lost on them.
var probes = net.KeepAliveConfig{Enable: true, Idle: 1500 * time.Millisecond, Interval: 500 * time.Millisecond, Count: 2}

// Cache keeps idle connections to targets. It is safe for concurrent use.
type Cache struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[Target][]*conn
	// lent is how many connections to a target are in use.
	lent map[Target]int
	// opened counts the connections that were opened.
	opened int64
	uses   Uses
}

// Uses counts what became of connections to targets since it was last taken.
type Uses struct {
	// Reused carried one more request.
	Reused int
	// OpenedFirst were opened where there was none, OpenedBusy where all were in use.
	OpenedFirst, OpenedBusy int
	// Aged had rested for as long as the target keeps them, Bounded for longer than
	// the request allowed, and Broken had been closed by the target or held bytes
	// that belong to no request.
	Aged, Bounded, Broken int
	// Ended were not kept after a request: the target closed them, or the request
	// failed or was left. Surplus were not kept since there were enough.
	Ended, Surplus int
}

// TakeUses returns the counts since the last call.
func (c *Cache) TakeUses() Uses {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.uses
	c.uses = Uses{}
	return u
}

// count changes the counts.
func (c *Cache) count(change func(*Uses)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.uses)
}

// lend counts a connection that comes into use, by 1, or goes out of it, by -1.
func (c *Cache) lend(t Target, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lent[t] += n
	if c.lent[t] == 0 {
		delete(c.lent, t)
	}
}

// NewCache returns an empty cache whose connections take at most dialTimeout to
// open.
func NewCache(dialTimeout time.Duration) *Cache {
	return &Cache{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: probes},
		idle:   make(map[Target][]*conn),
		lent:   make(map[Target]int),
	}
}

// Idle tells whether a connection to the target can be used again that was not idle
// for longer than maxIdle.
func (c *Cache) Idle(t Target, maxIdle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[t]
	if len(conns) == 0 {
		return false
	}
	last := conns[len(conns)-1]
	return time.Since(last.idleSince) < min(last.keep, maxIdle)
}

// Opened is how many connections were opened so far.
func (c *Cache) Opened() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// take returns an idle connection that has rested for at most most and on which
// nothing has arrived, or nil.
func (c *Cache) take(t Target, now time.Time, most time.Duration) *conn {
	for {
		cn := c.pop(t)
		if cn == nil {
			return nil
		}
		rested := now.Sub(cn.idleSince)
		switch {
		case rested >= cn.keep:
			c.count(func(u *Uses) { u.Aged++ })
		case rested > most:
			c.count(func(u *Uses) { u.Bounded++ })
		case !cn.quiet():
			c.count(func(u *Uses) { u.Broken++ })
		default:
			c.count(func(u *Uses) { u.Reused++ })
			return cn
		}
		_ = cn.Close()
	}
}

func (c *Cache) pop(t Target) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[t]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	cn := conns[last]
	conns[last] = nil
	c.idle[t] = conns[:last]
	return cn
}

// put keeps a connection for the next request. The deadline of the last one is taken
// off: once it had passed, the check before the next use would find the connection
// broken, and a connection would live for one request's timeout in place of the time
// that the target keeps it.
func (c *Cache) put(t Target, cn *conn, now time.Time) {
	if err := cn.SetDeadline(time.Time{}); err != nil {
		_ = cn.Close() // it is closed already
		return
	}
	cn.idleSince = now
	cn.served++
	c.mu.Lock()
	conns := c.idle[t]
	if len(conns) < maxIdle {
		c.idle[t] = append(conns, cn)
		cn = nil
	} else {
		c.uses.Surplus++
	}
	c.mu.Unlock()
	if cn != nil {
		_ = cn.Close()
	}
}

// Sweep closes the connections that were idle for too long and those of targets
// that are not in use.
func (c *Cache) Sweep(now time.Time, inUse func(Target) bool) {
	var closing []*conn
	c.mu.Lock()
	for t, conns := range c.idle {
		used := inUse(t)
		kept := conns[:0]
		for _, cn := range conns {
			if used && now.Sub(cn.idleSince) < cn.keep {
				kept = append(kept, cn)
				continue
			}
			closing = append(closing, cn)
			c.uses.Aged++
		}
		clear(conns[len(kept):])
		if len(kept) == 0 {
			delete(c.idle, t)
			continue
		}
		c.idle[t] = kept
	}
	c.mu.Unlock()
	for _, cn := range closing {
		_ = cn.Close()
	}
}

// dial opens a connection.
func (c *Cache) dial(ctx context.Context, t Target) (*conn, error) {
	nc, err := c.dialer.DialContext(ctx, "tcp4", t.Addr)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.opened++
	if c.lent[t] > 0 {
		c.uses.OpenedBusy++
	} else {
		c.uses.OpenedFirst++
	}
	c.mu.Unlock()
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, readBuffer), keep: defaultKeep}, nil
}

// quiet tells whether the idle connection is open and nothing has arrived on it.
func (cn *conn) quiet() bool {
	return cn.reader.Buffered() == 0 && conncheck.Quiet(cn.Conn)
}
