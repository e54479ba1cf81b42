package pipeline

import (
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Conn is a connection of a caller that is read ahead while a request is served.
type Conn struct {
	net.Conn
	server  *Server
	account Account

	mu sync.Mutex
	// headerCharge is the memory that is charged for the headers of requests without a response. refused is set once
	// there was none.
	headerCharge int64
	refused      bool
	// ahead holds what the caller has sent and net/http has not read yet. Its first bytes are
	// those of the started requests.
	ahead        []byte
	startedBytes int
	// pendingScan is at pendingScanned bytes behind the started requests, in an incomplete header.
	pendingScan    headerScanner
	pendingScanned int
	// scan is at the place in the stream up to which net/http has read, delivered counts the
	// bytes that it has read since the handler was last called.
	scan      headerScanner
	delivered int
	// atHeaderEnd is set if the last bytes that net/http read ended a header.
	atHeaderEnd bool
	// bodyLeft is how much of the current request's body net/http has not read. inBody is set
	// while a request is served whose body ends at a place that is not known here: what net/http
	// reads is not scanned then, be it of the body or of requests behind it.
	bodyLeft int64
	inBody   bool
	// readSingleByte is set if net/http last read a single byte. While it is idle, this is the
	// byte of its next request that ended its background read.
	readSingleByte bool
	// current is the request that is being served, nil if others may not run beside it.
	current *http.Request
	started []*early
	// failure is why nothing more can be read.
	failure error
	closed  bool
}

// Read implements net.Conn. It delivers at most one header at a time. While a request
// without a body is served, net/http reads a single byte to notice that the caller has
// left; this read goes on until net/http stops it.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused {
		return 0, c.refuse()
	}
	if n > 0 {
		c.readSingleByte = len(p) == 1
	}
	return n, err
}

// refuseTimeout bounds writing a refusal.
const refuseTimeout = 100 * time.Millisecond

// refuse tells the caller that there is no memory for its header, and returns the error with which net/http closes the
// connection. No response is being written while a header is read.
func (c *Conn) refuse() error {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refuseTimeout)) // a closed connection needs none
	_, _ = c.Conn.Write(c.server.Refusal)                      // the caller may be gone
	return io.EOF
}

// HoldsRequest reports whether a part of the next request has been read from the connection.
// It is valid while net/http is idle, before it reads on.
func (c *Conn) HoldsRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ahead) > 0 || c.readSingleByte
}

func (c *Conn) read(p []byte) (int, error) {
	if c.isBackgroundRead(p) {
		return c.readAhead(p)
	}
	if n, err := c.deliverAhead(p); n > 0 || err != nil {
		return n, err
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	return c.deliver(p[:n]), nil
}

// isBackgroundRead recognizes connReader.backgroundRead of net/http, which notices a caller's departure. Reads
// of a header or body never ask for one byte right after the end of a header.
func (c *Conn) isBackgroundRead(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(p) == 1 && c.atHeaderEnd
}

// readAhead reads until net/http sets a deadline to stop it, the connection ends, or the
// buffer is full: only then does it return a byte, and a departure is noticed later.
func (c *Conn) readAhead(p []byte) (int, error) {
	for {
		room := c.room(p)
		if room == nil {
			return c.deliverAhead(p)
		}
		n, err := c.Conn.Read(room)
		if !c.received(room[:n], &room[0] == &p[0]) {
			return c.deliver(p), nil
		}
		if err != nil {
			c.noteFailure(err)
			return 0, err
		}
	}
}

// room returns where to read to: p as long as nothing is held, so that a connection on
// which nothing is sent ahead has no buffer; nil if the buffer is full.
func (c *Conn) room(p []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) == 0 {
		return p
	}
	if len(c.ahead) == cap(c.ahead) && !c.grow(len(c.ahead)+1) {
		return nil
	}
	return c.ahead[len(c.ahead):cap(c.ahead)]
}

// grow makes room for n bytes.
func (c *Conn) grow(n int) bool {
	size := max(minBufferBytes, cap(c.ahead))
	for size < n {
		size *= 2
	}
	if c.closed || size > maxBufferBytes || !c.account.Reserve(int64(size)) {
		return false
	}
	larger := make([]byte, len(c.ahead), size)
	copy(larger, c.ahead)
	c.account.Release(int64(cap(c.ahead)))
	c.ahead = larger
	return true
}

// received adds bytes that were read to the buffer and starts requests that are complete by
// them. outside is set if b is not in the buffer yet. It reports false if there is no room in it.
func (c *Conn) received(b []byte, outside bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(b) == 0 || c.closed {
		return true
	}
	if outside {
		if !c.hold(b) {
			return false
		}
	} else {
		c.ahead = c.ahead[:len(c.ahead)+len(b)]
	}
	c.startRequests()
	return true
}

// hold appends a copy of b to the buffer.
func (c *Conn) hold(b []byte) bool {
	if n := len(c.ahead) + len(b); n > cap(c.ahead) && !c.grow(n) {
		return false
	}
	c.ahead = append(c.ahead, b...)
	return true
}

// deliverAhead copies held bytes to p, up to the end of a header.
func (c *Conn) deliverAhead(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return 0, c.failure
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	n := copy(p, c.ahead)
	if n == 0 {
		return 0, nil
	}
	n = c.countDelivered(p[:n])
	if n > c.startedBytes {
		c.restartScan()
	}
	c.startedBytes = max(0, c.startedBytes-n)
	rest := c.ahead[n:]
	if len(rest) == 0 {
		c.release()
		return n, nil
	}
	c.ahead = c.ahead[:copy(c.ahead, rest)]
	return n, nil
}

// deliver returns how many of the bytes that were read for net/http it gets now: those up
// to the end of a header. The others are held.
func (c *Conn) deliver(b []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.countDelivered(b)
	if n == len(b) || c.hold(b[n:]) {
		return n
	}
	// There is no room: net/http gets all, and where its next request begins is not known.
	c.scan.skip(b[n:])
	c.atHeaderEnd = false
	c.delivered += len(b) - n
	return len(b)
}

// countDelivered returns how many bytes of b to deliver, and counts these as delivered.
func (c *Conn) countDelivered(b []byte) int {
	n := len(b)
	c.atHeaderEnd = false
	if c.inBody {
		c.scan.skip(b)
	} else if c.bodyLeft > 0 {
		n = int(min(int64(n), c.bodyLeft))
		c.bodyLeft -= int64(n)
		c.scan.skip(b[:n])
	} else {
		if end := c.scan.end(b); end > 0 {
			n = end
			c.atHeaderEnd = true
		}
		c.chargeHeader(b[:n])
	}
	c.delivered += n
	return n
}

// chargeHeader charges the account for a part of a header.
func (c *Conn) chargeHeader(part []byte) {
	cost := c.server.costOf(part)
	if !c.account.Reserve(cost) {
		c.refused = true
		return
	}
	c.headerCharge += cost
}

// releaseHeader releases what is charged for headers.
func (c *Conn) releaseHeader() {
	c.account.Release(c.headerCharge)
	c.headerCharge = 0
}

// begin is called when net/http has read the header of r. It returns the request if it was
// started early.
func (c *Conn) begin(r *http.Request) *early {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.next(r)
	c.delivered = 0
	c.readSingleByte = false
	c.bodyLeft = 0
	switch {
	case hasBody(r):
		c.expectBody(r)
	case c.atHeaderEnd && startable(r) && !r.Close:
		c.current = r
	}
	c.startRequests()
	return e
}

// expectBody notes that the body of r follows.
func (c *Conn) expectBody(r *http.Request) {
	if c.atHeaderEnd && r.ContentLength > 0 {
		c.bodyLeft = r.ContentLength
	} else {
		c.inBody = true
	}
	c.atHeaderEnd = false
}

// next removes and returns the first started request if it is r, nil otherwise. If another stands in
// its place, all are canceled.
func (c *Conn) next(r *http.Request) *early {
	if len(c.started) == 0 {
		return nil
	}
	e := c.started[0]
	if e.size != c.delivered || !equal(e.request, r) {
		c.cancelStarted(Mismatched)
		return nil
	}
	c.started = c.started[1:]
	return e
}

// finish is called when the request that begin was called with has its response.
func (c *Conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = nil
	c.inBody = false
	c.releaseHeader()
}

// startRequests starts the complete requests in the buffer that may run beside the
// current one.
func (c *Conn) startRequests() {
	for c.current != nil && len(c.ahead) > c.startedBytes && len(c.started) < maxStartedPerConn {
		pending := c.ahead[c.startedBytes:]
		n := c.pendingScan.end(pending[c.pendingScanned:])
		if n < 0 {
			c.pendingScanned = len(pending)
			return
		}
		size := c.pendingScanned + n
		c.restartScan()
		r := parse(pending[:size])
		if r == nil || !c.server.MayStart(c.current) || !c.server.MayStart(r) {
			c.current = nil
			return
		}
		cost := c.server.costOf(pending[:size])
		if !c.account.Reserve(cost) {
			return
		}
		if !c.account.StartAhead() {
			c.account.Release(cost)
			return
		}
		c.started = append(c.started, newEarly(c, r, size, cost))
		c.startedBytes += size
		if r.Close {
			c.current = nil
		}
	}
}

// restartScan makes the next scan begin behind the started requests.
func (c *Conn) restartScan() {
	c.pendingScan = headerScanner{}
	c.pendingScanned = 0
}

func (c *Conn) hasStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.started) > 0
}

// noteFailure cancels the started requests if the connection has ended.
func (c *Conn) noteFailure(err error) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return // net/http stops its read by a deadline
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failure = err
	c.cancelStarted(Canceled)
}

func (c *Conn) cancelStarted(o Outcome) {
	for _, e := range c.started {
		e.cancel()
		c.server.report(e, o)
	}
	c.started = nil
	c.startedBytes = 0
	c.restartScan()
	c.current = nil
}

// release drops the buffer, which is empty or not needed any more.
func (c *Conn) release() {
	c.account.Release(int64(cap(c.ahead)))
	c.ahead = nil
}

// Close implements net.Conn. Started requests whose turn has not come are canceled.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelStarted(Canceled)
	c.release()
	c.releaseHeader()
	c.closed = true
	return err
}

// CloseWrite shuts down the writing side, as net/http does before it closes a connection
// with unread data.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.New("the connection has no sides")
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.New("the connection has no descriptor")
}
