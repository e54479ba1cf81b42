package pool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/fleet"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// rawTarget responds to the n-th request of each connection with responses[n];
// after the last, or at "", it closes the connection without a response.
type rawTarget struct {
	fleet.Target
	requests, conns, open atomic.Int32
	received              chan *http.Request
	// gate, if set, delays all responses until it is closed.
	gate chan struct{}
}

func newRawTarget(t testing.TB, responses ...string) *rawTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	rt := &rawTarget{Target: fleet.Target{ID: "t", Addr: l.Addr().String()}, received: make(chan *http.Request, 1000)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go rt.serve(c, responses)
		}
	}()
	return rt
}

func (rt *rawTarget) serve(c net.Conn, responses []string) {
	rt.conns.Add(1)
	rt.open.Add(1)
	defer rt.open.Add(-1)
	defer c.Close()
	r := bufio.NewReader(c)
	for _, a := range append(responses, "") {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		rt.requests.Add(1)
		rt.received <- req
		if rt.gate != nil {
			<-rt.gate
		}
		if a == "" {
			return
		}
		io.WriteString(c, a)
	}
}

func newSet(t testing.TB, cfg Config, target fleet.Target, share int) *Set {
	s := New(cfg)
	t.Cleanup(s.Close)
	s.Update([]Share{{target, share}})
	return s
}

func do(rt http.RoundTripper, req *http.Request) (*Trace, error) {
	tr := new(Trace)
	resp, err := rt.RoundTrip(req.WithContext(tr.With(req.Context())))
	if err != nil {
		return tr, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return tr, err
}

func newRequest(method, body string, header ...string) *http.Request {
	req, err := http.NewRequest(method, "http://service/path", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	for _, h := range header {
		req.Header.Set(h, "k1")
	}
	return req
}

var retryableRequests = map[string]func() *http.Request{
	"get":                           func() *http.Request { return newRequest("GET", "") },
	"post, key, body with GetBody":  func() *http.Request { return newRequest("POST", "body", "Idempotency-Key") },
	"post, key, no body":            func() *http.Request { return newRequest("POST", "", "Idempotency-Key") },
	"post, x-key, no body":          func() *http.Request { return newRequest("POST", "", "X-Idempotency-Key") },
	"post, both keys, GetBody":      func() *http.Request { return newRequest("POST", "b", "Idempotency-Key", "X-Idempotency-Key") },
	"options with the star for all": func() *http.Request { return newRequest("OPTIONS", "") },
}

// TestNoRequestIsSentTwice uses a target that responds once and closes the reused
// connection after reading the second request. A plain transport retries that
// request; the Set must not.
func TestNoRequestIsSentTwice(t *testing.T) {
	for name, request := range retryableRequests {
		t.Run(name, func(t *testing.T) {
			plain := newRawTarget(t, okResponse)
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			for range 2 {
				r := request()
				r.URL.Host = plain.Addr
				do(transport, r)
			}
			assert.Equal(t, plain.requests.Load(), int32(3), "the fault must be one that the plain transport repeats at")

			target := newRawTarget(t, okResponse)
			rt := newSet(t, Config{}, target.Target, 4).RoundTripper(target.Target)
			_, err := do(rt, request())
			assert.NilError(t, err)
			tr, err := do(rt, request())
			assert.Equal(t, Classify(err, tr), fleet.TryReset)
			assert.Assert(t, tr.Sent())
			assert.Equal(t, target.requests.Load(), int32(2))
			head := <-target.received
			assert.Equal(t, head.Host, "service")
			assert.Equal(t, head.Header.Get("Idempotency-Key"), request().Header.Get("Idempotency-Key"))
			assert.Equal(t, len(head.TransferEncoding), 0, "the length of the body must stay known")
		})
	}
}

func TestClassify(t *testing.T) {
	closed := newRawTarget(t)
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	l.Close()
	refused := fleet.Target{ID: "t", Addr: l.Addr().String()}
	silent := newRawTarget(t, " ") // never completes a response and never closes
	cut := newRawTarget(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
	huge := newRawTarget(t, "HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 100<<10)+"\r\n\r\n")
	short := func() (context.Context, func()) {
		return context.WithTimeout(context.Background(), 30*time.Millisecond)
	}
	long := func() (context.Context, func()) { return context.WithCancel(context.Background()) }
	canceled := func() (context.Context, func()) {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(30*time.Millisecond, cancel)
		return ctx, cancel
	}
	for _, tc := range []struct {
		name   string
		target fleet.Target
		ctx    func() (context.Context, func())
		want   fleet.TryResult
		sent   bool
	}{
		{"refused", refused, long, fleet.TryDialFailed, false},
		{"closed without response", closed.Target, long, fleet.TryReset, true},
		{"silent", silent.Target, short, fleet.TryTimeout, true},
		{"canceled by the caller", silent.Target, canceled, fleet.TryCanceled, true},
		{"cut", cut.Target, short, fleet.TryTimeout, true},
		{"header too large", huge.Target, long, fleet.TryTruncated, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := tc.ctx()
			defer cancel()
			tr, err := do(newSet(t, Config{}, tc.target, 4).RoundTripper(tc.target), newRequest("POST", "body").WithContext(ctx))
			assert.Equal(t, Classify(err, tr), tc.want, "%v", err)
			assert.Equal(t, tr.Sent(), tc.sent)
		})
	}
}

func TestTruncatedResponse(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "9")
		io.WriteString(w, "ok")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer srv.Close()
	target := fleet.Target{ID: "t", Addr: srv.Listener.Addr().String()}
	tr, err := do(newSet(t, Config{}, target, 1).RoundTripper(target), newRequest("POST", "body"))
	assert.Equal(t, Classify(err, tr), fleet.TryTruncated)
}

type countingBody struct{ read atomic.Int32 }

func (b *countingBody) Read(p []byte) (int, error) {
	b.read.Add(1)
	return 0, io.EOF
}

// TestExpectContinueLeavesBodyUnread checks that a target that sheds a request on
// its header alone leaves the body unread, so that another target can get it.
func TestExpectContinueLeavesBodyUnread(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }))
	defer srv.Close()
	target := fleet.Target{ID: "t", Addr: srv.Listener.Addr().String()}
	req := newRequest("POST", "body")
	body := new(countingBody)
	req.Body, req.ContentLength = io.NopCloser(body), 1000
	req.Header.Set("Expect", "100-continue")
	_, err := do(newSet(t, Config{ContinueTimeout: time.Minute}, target, 1).RoundTripper(target), req)
	assert.NilError(t, err)
	assert.Equal(t, body.read.Load(), int32(0))
}

// TestNoWriteAfterSentReturnsFalse checks that a write still pending in the
// transport when the try is canceled does not reach the target after Sent has
// returned false.
func TestNoWriteAfterSentReturnsFalse(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	c := &conn{Conn: a, closed: func() {}}
	tr := new(Trace)
	tr.gotConn(c)
	assert.Assert(t, !tr.Sent())
	_, err := c.Write([]byte("late"))
	assert.ErrorIs(t, err, errSealed)
	assert.Equal(t, Classify(context.DeadlineExceeded, tr), fleet.TryDialFailed)
}

func TestFullShareIsNotHeldAgainstTarget(t *testing.T) {
	target := newRawTarget(t, " ")
	rt := newSet(t, Config{}, target.Target, 1).RoundTripper(target.Target)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go do(rt, newRequest("POST", "body").WithContext(ctx))
	<-target.received
	short, done := context.WithTimeout(ctx, 20*time.Millisecond)
	defer done()
	tr, err := do(rt, newRequest("POST", "body").WithContext(short))
	assert.Equal(t, Classify(err, tr), fleet.TryCanceled)
	assert.Assert(t, !tr.Sent())
	assert.Equal(t, target.conns.Load(), int32(1))
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

func TestRemovedTargetKeepsNoConnection(t *testing.T) {
	release := make(chan struct{})
	var open atomic.Int32
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		io.WriteString(w, "whole")
	}))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed:
			open.Add(-1)
		}
	}
	srv.Start()
	defer srv.Close()
	target := fleet.Target{ID: "t", Addr: srv.Listener.Addr().String()}
	s := newSet(t, Config{Warm: 2}, target, 4)
	result := make(chan error, 1)
	go func() {
		_, err := do(s.RoundTripper(target), newRequest("GET", ""))
		result <- err
	}()
	until(t, "request in progress", func() bool { return open.Load() == 1 })
	s.Warm(t.Context())
	until(t, "a warm connection in addition", func() bool { return open.Load() == 2 })
	s.Update(nil)
	until(t, "only the busy connection open", func() bool { return open.Load() == 1 })
	close(release)
	assert.NilError(t, <-result)
	until(t, "no connection open", func() bool { return open.Load() == 0 })
	_, err := do(s.RoundTripper(target), newRequest("GET", ""))
	assert.NilError(t, err)
	until(t, "the connection of a target without a share closed", func() bool { return open.Load() == 0 })
}

func TestWarmConnectionsAreUsedAndReplaced(t *testing.T) {
	target := newRawTarget(t, okResponse)
	s := newSet(t, Config{}, target.Target, 4)
	assert.Equal(t, len(s.Warm(t.Context())), 0)
	s.Warm(t.Context())
	assert.Equal(t, s.Open(), 1)
	_, err := do(s.RoundTripper(target.Target), newRequest("POST", "body"))
	assert.NilError(t, err)
	assert.Equal(t, target.conns.Load(), int32(1))

	none := newSet(t, Config{Warm: -1}, target.Target, 4)
	none.Warm(t.Context())
	assert.Equal(t, none.Open(), 0)

	closing := newRawTarget(t)
	s = newSet(t, Config{}, closing.Target, 4)
	s.Warm(t.Context())
	h := s.snapshot()[keyOf(closing.Target)]
	h.ready[0].Conn.(*net.TCPConn).CloseRead() // looks as if the target had closed it
	assert.Assert(t, h.takeReady() == nil)
	assert.Equal(t, s.Open(), 0)
}

func TestDeadWarmConnectionIsReplaced(t *testing.T) {
	target := newRawTarget(t)
	s := newSet(t, Config{}, target.Target, 4)
	s.Warm(t.Context())
	h := s.snapshot()[keyOf(target.Target)]
	dead := h.ready[0]
	dead.Conn.(*net.TCPConn).CloseRead()
	h.checked = time.Now().Add(-staleCheckInterval)
	s.Warm(t.Context())
	assert.Equal(t, s.Open(), 1)
	assert.Assert(t, h.ready[0] != dead)
}

// BenchmarkRoundTrip measures the overhead of the Set over a plain transport.
func BenchmarkRoundTrip(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }))
	defer srv.Close()
	target := fleet.Target{ID: "t", Addr: srv.Listener.Addr().String()}
	for name, rt := range map[string]http.RoundTripper{
		"plain": &http.Transport{}, "set": newSet(b, Config{}, target, 4).RoundTripper(target),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				req := newRequest("GET", "")
				req.URL.Host = target.Addr
				if _, err := do(rt, req); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkWarmConnection measures the memory of the instance's end of an idle
// connection that has carried a request. The target's end runs in the same
// process, so the memory of plain connections to it is subtracted.
func BenchmarkWarmConnection(b *testing.B) {
	const conns = 400
	for _, size := range []int{512, 4 << 10} {
		b.Run(fmt.Sprint("buffers-", size), func(b *testing.B) {
			for b.Loop() {
				used := memoryOf(func() { useConnections(b, size, conns) })
				plain := memoryOf(func() { plainConnections(b, conns) })
				b.ReportMetric((used-plain)/conns, "B/conn")
			}
		})
	}
}

func useConnections(b *testing.B, bufferSize, conns int) {
	target := newRawTarget(b, okResponse, okResponse)
	target.gate = make(chan struct{})
	rt := newSet(b, Config{BufferSize: bufferSize}, target.Target, conns).RoundTripper(target.Target)
	done := make(chan error)
	for range conns {
		go func() {
			_, err := do(rt, newRequest("GET", ""))
			done <- err
		}()
	}
	for range conns {
		<-target.received
	}
	close(target.gate)
	for range conns {
		assert.NilError(b, <-done)
	}
}

func plainConnections(b *testing.B, conns int) {
	target := newRawTarget(b, okResponse, okResponse)
	for range conns {
		c, err := net.Dial("tcp", target.Addr)
		assert.NilError(b, err)
		b.Cleanup(func() { c.Close() })
		assert.NilError(b, newRequest("GET", "").Write(c))
		<-target.received
	}
}

func memoryOf(f func()) float64 {
	before := inUse()
	f()
	return float64(inUse() - before)
}

func inUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkWarmSteady measures the cost of Warm when every target has its warm
// connection, by number of targets.
func BenchmarkWarmSteady(b *testing.B) {
	target := newRawTarget(b)
	for _, n := range []int{31, 1000} {
		s := New(Config{})
		b.Cleanup(s.Close)
		shares := make([]Share, n)
		for i := range shares {
			shares[i] = Share{Target: target.Target, Connections: 1}
			shares[i].Target.ID = fleet.TargetID(fmt.Sprint(i))
		}
		s.Update(shares)
		s.Warm(b.Context())
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Warm(b.Context())
			}
		})
	}
}

// A request with a connection of its own closes an idle one where the share is used up, gets no connection that has
// carried another request, and leaves none.
func TestSingleUseStaysWithinShare(t *testing.T) {
	target := newRawTarget(t, okResponse, okResponse)
	s := newSet(t, Config{Warm: -1}, target.Target, 1)
	for range 2 {
		_, err := do(s.RoundTripper(target.Target), newRequest("GET", ""))
		assert.NilError(t, err)
		assert.Equal(t, s.Open(), 1)
		_, err = do(s.SingleUse(target.Target), newRequest("POST", "body"))
		assert.NilError(t, err)
		assert.Assert(t, s.Open() <= 1)
	}
	assert.Equal(t, target.conns.Load(), int32(4))
}

// A request that finds no connection within the share in time was not sent.
func TestSingleUseWaitsForShare(t *testing.T) {
	target := newRawTarget(t, okResponse)
	target.gate = make(chan struct{})
	s := newSet(t, Config{Warm: -1}, target.Target, 1)
	ended := make(chan error, 1)
	go func() {
		_, err := do(s.RoundTripper(target.Target), newRequest("GET", ""))
		ended <- err
	}()
	<-target.received
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	trace, err := do(s.SingleUse(target.Target), newRequest("POST", "body").WithContext(ctx))
	assert.ErrorContains(t, err, "deadline")
	assert.Assert(t, !trace.Sent())
	close(target.gate)
	assert.NilError(t, <-ended)
}

// BenchmarkConnections compares requests that share connections with those that have one each.
func BenchmarkConnections(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	b.Cleanup(server.Close)
	target := fleet.Target{ID: "t", Addr: strings.TrimPrefix(server.URL, "http://")}
	s := newSet(b, Config{Warm: -1}, target, 8)
	for name, rt := range map[string]http.RoundTripper{"shared": s.RoundTripper(target), "single use": s.SingleUse(target)} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if _, err := do(rt, newRequest("POST", "body")); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
