package conncheck

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func connPair(t *testing.T) (near, far net.Conn) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	near, err = net.Dial("tcp4", ln.Addr().String())
	assert.NilError(t, err)
	far, err = ln.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

func waitNotReusable(t *testing.T, c net.Conn) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if Reusable(c) {
			return poll.Continue("still reusable")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

func TestReusable(t *testing.T) {
	near, far := connPair(t)
	assert.Assert(t, Reusable(near))
	assert.Assert(t, Reusable(near))
	_, err := io.WriteString(far, "x")
	assert.NilError(t, err)
	waitNotReusable(t, near)

	near, far = connPair(t)
	assert.NilError(t, far.Close())
	waitNotReusable(t, near)
}

func TestHasData(t *testing.T) {
	near, far := connPair(t)
	tcp := near.(*net.TCPConn)
	assert.Assert(t, !HasData(tcp))
	_, err := io.WriteString(far, "x")
	assert.NilError(t, err)
	for range 2 { // the check consumes nothing
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if !HasData(tcp) {
				return poll.Continue("no data yet")
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	}
	got := make([]byte, 1)
	_, err = near.Read(got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "x")
	assert.NilError(t, far.Close())
	waitNotReusable(t, near)
	assert.Assert(t, !HasData(tcp), "a closed connection has no data")
}
