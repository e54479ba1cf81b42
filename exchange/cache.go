package exchange

import (
	"bufio"
	"context"
	"hash/maphash"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/conncheck"
)

// conn is a connection to a target.
type conn struct {
	net.Conn
	cache     *Cache
	closeOnce sync.Once
	reader    *bufio.Reader
	// bounded is what reader reads from.
	bounded *boundedReader
	// number identifies the connection among those opened by its cache, starting at 1.
	number int64
	// carried has a hash of the ID of each request sent on the connection.
	carried []uint64
	// completed counts the exchanges after which the connection stayed reusable.
	completed int
	// idleSince is the end of the last exchange.
	idleSince time.Time
	// idleTimeout limits how long the connection may stay idle (see parseIdleTimeout).
	idleTimeout time.Duration
}

// Limits of the cache.
const (
	// defaultIdleTimeout applies if the target sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the target's Keep-Alive timeout to allow
	// for requests in transit.
	idleTimeoutMargin = 700 * time.Millisecond
	// maxIdlePerTarget limits the idle connections to one target.
	maxIdlePerTarget = 4
	// maxRequestsPerConn limits the requests on one connection, and so the size of conn.carried.
	maxRequestsPerConn = 256
	// readBufferSize is in bytes per connection. net/http limits a line of chunk framing and a
	// trailer to it.
	readBufferSize = 4 << 10
)

// keepAliveConfig enables TCP keep-alive probes, the only way to detect a dead idle
// connection before a request is lost on it.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: 1500 * time.Millisecond, Interval: 500 * time.Millisecond, Count: 2}

// Cache keeps idle connections to targets. It is safe for concurrent use.
type Cache struct {
	// Dial opens a connection. It may be replaced before the cache is in use.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// MaxOpen, if set, returns the number of connections that may be open. Beyond it, each new connection takes the place of
	// an idle one if there is one. It may be set before the cache is in use.
	MaxOpen func() int

	mu   sync.Mutex
	idle map[Target][]*conn
	// active is the number of connections in use per target.
	active map[Target]int
	// open counts the connections that are open or being opened, idleCount the idle ones.
	open, idleCount int
	opened          int64
	stats           Stats
	// seed is of the hashes of request IDs.
	seed maphash.Seed
}

// Stats counts how connections to targets were used since the last TakeStats.
type Stats struct {
	// Reused connections carried another request.
	Reused int
	// OpenedFirst connections were opened while no other to the target was in use,
	// OpenedBusy while at least one was.
	OpenedFirst, OpenedBusy int
	// Expired connections were idle for the target's idle timeout or belonged to a
	// target that was removed, IdleTooLong ones exceeded the request's own limit, and
	// Broken ones were closed by the target or had received unexpected bytes.
	Expired, IdleTooLong, Broken int
	// NotReusable connections were closed after a request, because the target closed
	// them, the request failed or was canceled, or they had carried maxRequestsPerConn
	// requests. Surplus ones were closed because enough were idle.
	NotReusable, Surplus int
	// SameRequest counts the requests that did not get an idle connection because they had
	// been sent on it before.
	SameRequest int
}

// TakeStats returns the counts since the last call and resets them.
func (c *Cache) TakeStats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	c.stats = Stats{}
	return s
}

func (c *Cache) updateStats(update func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(&c.stats)
}

// addActive adds n to the number of connections in use.
func (c *Cache) addActive(t Target, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active[t] += n
	if c.active[t] == 0 {
		delete(c.active, t)
	}
}

// NewCache returns an empty cache that waits at most dialTimeout for a new
// connection.
func NewCache(dialTimeout time.Duration) *Cache {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAliveConfig}
	return &Cache{
		Dial:   dialer.DialContext,
		idle:   make(map[Target][]*conn),
		active: make(map[Target]int),
		seed:   maphash.MakeSeed(),
	}
}

// HasIdle reports whether the cache has a connection to the target that has been
// idle for less than its idle timeout and maxIdle.
func (c *Cache) HasIdle(t Target, maxIdle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isFresh(t, len(c.idle[t])-1, maxIdle)
}

// HasIdleFor is like HasIdle for a request that has been sent before: connections that have
// carried it do not count.
func (c *Cache) HasIdleFor(t Target, requestID string, maxIdle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isFresh(t, c.newestIdle(t, requestID), maxIdle)
}

// isFresh reports whether there is an idle connection with the index and it may still be
// used. The caller holds the lock.
func (c *Cache) isFresh(t Target, i int, maxIdle time.Duration) bool {
	if i < 0 {
		return false
	}
	cn := c.idle[t][i]
	return time.Since(cn.idleSince) < min(cn.idleTimeout, maxIdle)
}

// newestIdle returns the index of the idle connection that was last used, among those on
// which the request has not been sent; -1 if there is none. The caller holds the lock.
func (c *Cache) newestIdle(t Target, requestID string) int {
	conns := c.idle[t]
	if len(conns) == 0 {
		return -1
	}
	hash := c.hash(requestID)
	for i, cn := range slices.Backward(conns) {
		if !slices.Contains(cn.carried, hash) {
			return i
		}
	}
	return -1
}

func (c *Cache) hash(requestID string) uint64 { return maphash.String(c.seed, requestID) }

// Opened returns the number of connections opened so far.
func (c *Cache) Opened() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// take returns a reusable connection that has been idle for at most maxIdle and on which
// the request has not been sent, or nil. It closes the idle connections that it rejects.
func (c *Cache) take(t Target, requestID string, now time.Time, maxIdle time.Duration) *conn {
	for {
		cn := c.pop(t, requestID)
		if cn == nil {
			return nil
		}
		idleFor := now.Sub(cn.idleSince)
		switch {
		case idleFor >= cn.idleTimeout:
			c.updateStats(func(s *Stats) { s.Expired++ })
		case idleFor > maxIdle:
			c.updateStats(func(s *Stats) { s.IdleTooLong++ })
		case !cn.reusable():
			c.updateStats(func(s *Stats) { s.Broken++ })
		default:
			c.updateStats(func(s *Stats) { s.Reused++ })
			return cn
		}
		_ = cn.Close()
	}
}

func (c *Cache) pop(t Target, requestID string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[t]
	i := c.newestIdle(t, requestID)
	if i < 0 {
		if len(conns) > 0 {
			c.stats.SameRequest++
		}
		return nil
	}
	cn := conns[i]
	c.idle[t] = slices.Delete(conns, i, i+1)
	c.idleCount--
	return cn
}

// put stores a connection for reuse and clears the deadline of its last request.
// With a deadline that has passed, the check before the next use would report the
// connection as broken long before the target's idle timeout.
func (c *Cache) put(t Target, cn *conn, now time.Time) {
	if err := cn.SetDeadline(time.Time{}); err != nil {
		_ = cn.Close() // already closed
		return
	}
	cn.idleSince = now
	cn.completed++
	c.mu.Lock()
	conns := c.idle[t]
	if len(conns) < maxIdlePerTarget {
		c.idle[t] = append(conns, cn)
		c.idleCount++
		cn = nil
	} else {
		c.stats.Surplus++
	}
	c.mu.Unlock()
	if cn != nil {
		_ = cn.Close()
	}
}

// Sweep closes the connections that reached their idle timeout and those to targets
// for which inUse returns false.
func (c *Cache) Sweep(now time.Time, inUse func(Target) bool) {
	var closing []*conn
	c.mu.Lock()
	for t, conns := range c.idle {
		used := inUse(t)
		kept := conns[:0]
		for _, cn := range conns {
			if used && now.Sub(cn.idleSince) < cn.idleTimeout {
				kept = append(kept, cn)
				continue
			}
			closing = append(closing, cn)
			c.idleCount--
			c.stats.Expired++
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

func (c *Cache) dial(ctx context.Context, t Target) (*conn, error) {
	c.makeRoom()
	nc, err := c.Dial(ctx, "tcp4", t.Addr)
	if err != nil {
		c.countClosed()
		return nil, err
	}
	c.mu.Lock()
	c.opened++
	number := c.opened
	if c.active[t] > 0 {
		c.stats.OpenedBusy++
	} else {
		c.stats.OpenedFirst++
	}
	c.mu.Unlock()
	bounded := &boundedReader{r: nc}
	return &conn{Conn: nc, cache: c, reader: bufio.NewReaderSize(bounded, readBufferSize), bounded: bounded, number: number, idleTimeout: defaultIdleTimeout}, nil
}

// makeRoom counts a connection that is being opened, and closes an idle one if there are too many.
func (c *Cache) makeRoom() {
	limit := math.MaxInt
	if c.MaxOpen != nil {
		limit = c.MaxOpen()
	}
	c.mu.Lock()
	c.open++
	var closing *conn
	if c.open > limit {
		closing = c.popAny()
	}
	c.mu.Unlock()
	if closing != nil {
		_ = closing.Close()
	}
}

// popAny removes an idle connection, the one of its target that was used least recently; it returns nil if there is
// none. The caller holds the lock.
func (c *Cache) popAny() *conn {
	for t, conns := range c.idle {
		if len(conns) == 0 {
			continue
		}
		c.idle[t] = conns[1:]
		c.idleCount--
		c.stats.Surplus++
		return conns[0]
	}
	return nil
}

// Active returns the number of connections that are in use or being opened.
func (c *Cache) Active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open - c.idleCount
}

func (c *Cache) countClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

// Close implements net.Conn.
func (cn *conn) Close() error {
	cn.closeOnce.Do(cn.cache.countClosed)
	return cn.Conn.Close()
}

// Probe opens a connection to the target and keeps it for reuse.
func (c *Cache) Probe(ctx context.Context, t Target) error {
	cn, err := c.dial(ctx, t)
	if err != nil {
		return err
	}
	c.put(t, cn, time.Now())
	return nil
}

// carry records that a request is sent on the connection.
func (cn *conn) carry(hash uint64) { cn.carried = append(cn.carried, hash) }

// reusable reports whether the idle connection is open and has received no data.
func (cn *conn) reusable() bool {
	return cn.reader.Buffered() == 0 && conncheck.Reusable(cn.Conn)
}
