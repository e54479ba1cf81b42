package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/callers"
	"github.com/clementinereel/clementinereel/pipeline"
)

// startCallerServer starts a server for callers that counts the requests and responds 200 to each.
func startCallerServer(t *testing.T, requests *atomic.Int64) *callerServer {
	return serveCallers(t, func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		w.WriteHeader(http.StatusOK)
	})
}

func serveCallers(t *testing.T, serve http.HandlerFunc) *callerServer {
	account := callers.New(callers.Limits{Bytes: 1 << 20}, time.Now)
	p := &pipeline.Server{Handler: serve, MayStart: func(*http.Request) bool { return false }, AccountOf: accountOf}
	f, err := listenForCallers("127.0.0.1:0", p, account.NewDoor(16))
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

// A connection is not closed as idle if the begin of a request, or the whole of it, has arrived while the one before
// was served.
func TestReceivingBehindServedRequestIsNotIdle(t *testing.T) {
	const whole = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	const withBody = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	for _, first := range []string{whole, withBody} {
		for _, ahead := range []int{1, 2, 20, len(whole)} {
			serving, goOn := make(chan struct{}, 2), make(chan struct{})
			f := serveCallers(t, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				serving <- struct{}{}
				<-goOn
			})
			conn, err := net.Dial("tcp4", f.listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			responses := bufio.NewReader(conn)
			_, err = io.WriteString(conn, first)
			assert.NilError(t, err)
			<-serving
			_, err = io.WriteString(conn, whole[:ahead])
			assert.NilError(t, err)
			time.Sleep(20 * time.Millisecond) // it is read meanwhile
			close(goOn)
			resp, err := http.ReadResponse(responses, nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			for range 50 {
				f.closeIdle(0)
				time.Sleep(100 * time.Microsecond)
			}
			_, err = io.WriteString(conn, whole[ahead:])
			assert.NilError(t, err)
			resp, err = http.ReadResponse(responses, nil)
			assert.NilError(t, err, "%q with %d bytes behind it", first, ahead)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
		}
	}
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
	assert.Assert(t, served > 0, "no request was served")
	assert.Equal(t, served, requests.Load(), "a request was run and its response cut")
}

// TestUnsentResponseIsNotCut checks that a connection is not closed to make room when its handler has returned, but net/http
// has not sent the end of the response yet.
func TestUnsentResponseIsNotCut(t *testing.T) {
	account := callers.New(callers.Limits{Bytes: 1 << 20}, time.Now)
	door := account.NewDoor(1)
	open := func() *callers.Conn {
		return door.Open(netip.AddrFrom4([4]byte{127, 0, 0, 1}), func() {}, func(callers.Eviction) {})
	}
	conn := &callerConn{entry: open()}
	r := httptest.NewRequestWithContext(withConn(t.Context(), conn), http.MethodGet, "/", nil)
	trackPhases(http.NotFoundHandler()).ServeHTTP(httptest.NewRecorder(), r)
	assert.Assert(t, open() == nil, "a connection was closed")
	trackAdminConn(conn, http.StateIdle)
	assert.Assert(t, open() != nil, "an idle connection makes no room")
}
