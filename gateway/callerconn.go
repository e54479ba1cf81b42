package gateway

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/callers"
	"github.com/clementinereel/clementinereel/conncheck"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/pipeline"
)

// callerListener accepts connections as callerConn, as far as the door has room.
type callerListener struct {
	net.Listener
	door *callers.Door
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn, err := l.admit(c.(*net.TCPConn))
		if conn != nil || err != nil {
			return conn, err
		}
	}
}

// admit returns the connection of a caller, nil if there is no room for it.
func (l callerListener) admit(tcp *net.TCPConn) (net.Conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	addr := tcp.RemoteAddr().(*net.TCPAddr).AddrPort()
	closeSocket := func() { _ = tcp.Close() } // fails if the caller's server has closed it
	onEvict := func(e callers.Eviction) {
		eventlog.Info(eventlog.CallerEvicted, "from", addr, "why", e.Reason, "phase", e.Phase, "stalled_ms", e.Stalled.Milliseconds(), "held", e.HeldBytes)
	}
	entry := l.door.Open(addr.Addr(), closeSocket, onEvict)
	if entry == nil {
		l.door.AwaitRoom()
		entry = l.door.Open(addr.Addr(), closeSocket, onEvict)
	}
	if entry == nil {
		eventlog.Info(eventlog.CallerTurnedAway, "from", addr, "open", l.door.Len())
		closeSocket()
		return nil, nil
	}
	return &callerConn{TCPConn: tcp, raw: raw, entry: entry}, nil
}

// callerConn is a connection of a caller. It knows whether a request is being received, which the HTTP
// server reports only once it has read the whole header.
type callerConn struct {
	*net.TCPConn
	raw syscall.RawConn
	// entry is the connection in the account of what is held for callers.
	entry *callers.Conn
	// received counts the bytes that were received.
	received atomic.Int64

	// mu is held while bytes are taken from the socket, so that they are either there or recorded.
	mu sync.Mutex
	// receiving is set once a byte was received since the connection was last idle.
	receiving bool
	// closed is set once the connection is closed as idle. Nothing is received from then on.
	closed bool

	// chargesReads is set if the account is charged for each read as for a part of a header. charged is what it was charged.
	chargesReads bool
	charged      atomic.Int64
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	var n int
	var readErr error
	err := c.raw.Read(func(fd uintptr) bool {
		n, readErr = c.receive(int(fd), b)
		return !errors.Is(readErr, syscall.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp4", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", readErr)}
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	c.entry.Received(n)
	if c.chargesReads && !c.chargeRead(b[:n]) {
		return 0, io.EOF
	}
	return n, nil
}

// chargeRead charges the account for what was read and reports whether there is room for it.
func (c *callerConn) chargeRead(b []byte) bool {
	cost := headerCost(b)
	if !c.entry.Reserve(cost) {
		return false
	}
	c.charged.Add(cost)
	return true
}

// releaseReads releases what was charged for reads.
func (c *callerConn) releaseReads() { c.entry.Release(c.charged.Swap(0)) }

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.releaseReads()
	c.entry.Close()
	return c.TCPConn.Close()
}

// receive takes bytes from the socket without waiting for them.
func (c *callerConn) receive(fd int, b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	for {
		n, err := syscall.Read(fd, b)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		c.receiving = c.receiving || n > 0
		c.received.Add(int64(max(n, 0)))
		return n, err
	}
}

// holderOf returns what holds memory for a request, and a function to call once it is released.
func (h *Handler) holderOf(r *http.Request) (m reserver, done func()) {
	if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		return c.entry, func() {}
	}
	addr, _ := netip.ParseAddrPort(r.RemoteAddr) // the zero address if it is unknown
	holder := h.Callers.Hold(addr.Addr())
	return holder, holder.Close
}

// startIdle records that the previous request has ended.
func (c *callerConn) startIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
}

// closeUnlessReceiving closes a connection of the HTTP server unless a part of a request has arrived.
func closeUnlessReceiving(c net.Conn) {
	if socketOf(c).markClosed() {
		_ = c.Close() // waits for a running receive, which takes the lock
	}
}

// markClosed reports whether no part of a request has arrived, and none will be received from now on.
func (c *callerConn) markClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receiving || conncheck.HasData(c.TCPConn) {
		return false
	}
	c.closed = true
	return true
}

// socketOf returns the socket of a connection of the HTTP server for callers.
func socketOf(c net.Conn) *callerConn { return c.(*pipeline.Conn).Conn.(*callerConn) }

// setPhase records what the connection of a request is doing, if it is one of a caller.
func setPhase(r *http.Request, p callers.Phase) {
	if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		c.entry.SetPhase(p)
	}
}
