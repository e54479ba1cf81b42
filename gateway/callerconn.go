package gateway

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/conncheck"
	"github.com/clementinereel/clementinereel/pipeline"
)

// callerListener accepts connections as callerConn.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp := c.(*net.TCPConn)
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &callerConn{TCPConn: tcp, raw: raw}, nil
}

// callerConn is a connection of a caller. It knows whether a request is being received, which the HTTP
// server reports only once it has read the whole header.
type callerConn struct {
	*net.TCPConn
	raw syscall.RawConn
	// received counts the bytes that were received.
	received atomic.Int64

	// mu is held while bytes are taken from the socket, so that they are either there or recorded.
	mu sync.Mutex
	// receiving is set once a byte was received since the connection was last idle.
	receiving bool
	// closed is set once the connection is closed as idle. Nothing is received from then on.
	closed bool
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
	return n, nil
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
