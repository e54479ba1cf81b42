package pool

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/conncheck"
)

// errSealed is returned by writes on a sealed connection.
var errSealed = errors.New("pool: try ended before the request was sent")

// conn counts the writes on a connection and can reject further writes.
type conn struct {
	net.Conn
	opened time.Time
	closed func()
	once   sync.Once

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write counts the write before it starts, because from then on the target may
// receive some of its bytes.
func (c *conn) Write(b []byte) (int, error) {
	if !c.startWrite() {
		return 0, errSealed
	}
	return c.Conn.Write(b)
}

func (c *conn) startWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

// Close closes the connection and removes it from the count of open connections.
func (c *conn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

// writeCount returns the number of writes that have started.
func (c *conn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal rejects all further writes if none has started since the given count, and
// reports whether that is so.
func (c *conn) seal(since uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes == since {
		c.sealed = true
	}
	return c.sealed && c.writes == since
}

// alive reports whether the peer of an unused connection has neither closed it
// nor sent any data.
func (c *conn) alive() bool { return conncheck.Reusable(c.Conn) }
