package tcpproxy

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// startEcho returns the address of a server that echoes what it receives.
func startEcho(t *testing.T) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c) // ends with the connection
			}()
		}
	}()
	return ln.Addr().String()
}

// echo sends a byte and waits for it.
func echo(c net.Conn, timeout time.Duration) error {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func TestSilencedConnectionStaysOpenAndNewOnesWork(t *testing.T) {
	p, err := Listen("127.0.0.1:0", startEcho(t))
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	old, err := net.Dial("tcp4", p.Addr())
	assert.NilError(t, err)
	defer old.Close()
	assert.NilError(t, echo(old, time.Second))
	assert.Equal(t, p.Silence(), 1)
	for range 2 {
		err := echo(old, 100*time.Millisecond)
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "want a timeout, got %v", err)
	}
	fresh, err := net.Dial("tcp4", p.Addr())
	assert.NilError(t, err)
	defer fresh.Close()
	assert.NilError(t, echo(fresh, time.Second))
	assert.Equal(t, p.Opened(), 2)
}

func TestCloseEndsConnections(t *testing.T) {
	p, err := Listen("127.0.0.1:0", startEcho(t))
	assert.NilError(t, err)
	c, err := net.Dial("tcp4", p.Addr())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, echo(c, time.Second))
	p.Close()
	assert.Assert(t, echo(c, time.Second) != nil)
}
