package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/pipeline"
)

// startCallerServer starts a server for callers that counts the requests and responds 200 to each.
func startCallerServer(t *testing.T, requests *atomic.Int64) *callerServer {
	f, err := listenForCallers("127.0.0.1:0", &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		w.WriteHeader(http.StatusOK)
	}), MayStart: func(*http.Request) bool { return false }, Memory: &Bodies{}})
	assert.NilError(t, err)
	go func() { _ = f.server.Serve(f.listener) }()
	t.Cleanup(func() { _ = f.server.Close() })
	return f
}

// waitIdle waits until all connections of the server are idle.
func waitIdle(t *testing.T, f *callerServer) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if open, busy := f.connCounts(); open != 1 || busy != 0 {
			return poll.Continue("%d open, %d busy", open, busy)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// A connection is not closed as idle once a part of a request has arrived, read or not.
func TestReceivingConnectionIsNotIdle(t *testing.T) {
	const begin, rest = "GET / HTTP/1.1\r\n", "Host: h\r\n\r\n"
	f := startCallerServer(t, new(atomic.Int64))
	conn, err := net.Dial("tcp4", f.listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	responses := bufio.NewReader(conn)
	for range 3 { // the first on a new connection, the others on one that was idle
		_, err = io.WriteString(conn, begin)
		assert.NilError(t, err)
		for range 50 {
			f.closeIdle(0)
			time.Sleep(100 * time.Microsecond)
		}
		_, err = io.WriteString(conn, rest)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(responses, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		waitIdle(t, f)
	}
	f.closeIdle(0)
	_, err = responses.ReadByte()
	assert.ErrorIs(t, err, io.EOF, "an idle connection is closed")
}

// While connections are closed as idle, each request is either served or not read.
func TestRequestIsNotCutByIdleClose(t *testing.T) {
	var requests atomic.Int64
	f := startCallerServer(t, &requests)
	stop := make(chan struct{})
	closing := make(chan struct{})
	go func() {
		defer close(closing)
		for {
			select {
			case <-stop:
				return
			default:
				f.closeIdle(0)
				time.Sleep(20 * time.Microsecond) // the others need a processor too
			}
		}
	}()
	var served int64
	for range 200 {
		conn, err := net.Dial("tcp4", f.listener.Addr().String())
		assert.NilError(t, err)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") // may be closed already
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			served++
		}
		_ = conn.Close()
	}
	close(stop)
	<-closing
	assert.Equal(t, served, requests.Load(), "a request was run and its response cut")
}
