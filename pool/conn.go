package pool

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/conncheck"
)

// errSealed is what a write on a sealed connection gets.
var errSealed = errors.New("pool: the request was given up before it was sent")

// conn counts the writes on a connection and can refuse further ones.
type conn struct {
	net.Conn
	opened time.Time
	closed func()
	once   sync.Once

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write counts the write before it begins: from then on the target may see
// some of it.
func (c *conn) Write(b []byte) (int, error) {
	if !c.begin() {
		return 0, errSealed
	}
	return c.Conn.Write(b)
}

func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

// Close closes the connection and counts it out.
func (c *conn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

// count is how many writes began so far.
func (c *conn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal refuses all further writes if none began since the given count, and
// tells whether it did.
func (c *conn) seal(since uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes == since {
		c.sealed = true
	}
	return c.sealed && c.writes == since
}

// alive tells whether the peer of an unused connection has neither closed it
// nor sent anything.
func (c *conn) alive() bool { return conncheck.Reusable(c.Conn) }
