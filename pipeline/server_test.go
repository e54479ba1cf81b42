package pipeline

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// account is a memory account with a limit; none if it is zero.
type account struct {
	limit int64
	held  atomic.Int64
	ahead atomic.Int64
}

func (a *account) Reserve(n int64) bool {
	if held := a.held.Add(n); a.limit > 0 && held > a.limit {
		a.held.Add(-n)
		return false
	}
	return true
}

func (a *account) Release(n int64) { a.held.Add(-n) }

// maxStarted is the number of requests that an account lets start early.
const maxStarted = 1024

func (a *account) StartAhead() bool {
	if a.ahead.Add(1) > maxStarted {
		a.ahead.Add(-1)
		return false
	}
	return true
}

func (a *account) EndAhead() { a.ahead.Add(-1) }

// site is a server under test. Requests of paths under /buy/ may run once only.
type site struct {
	*Server
	addr     string
	memory   *account
	mu       sync.Mutex
	outcomes map[Outcome]int
	// runs lists the begin and the end of each request.
	runs []string
	open atomic.Int64
}

func newSite(t *testing.T, serve http.HandlerFunc) *site {
	return newSiteWithMemory(t, 0, serve)
}

func newSiteWithMemory(t *testing.T, limit int64, serve http.HandlerFunc) *site {
	s := &site{memory: &account{limit: limit}, outcomes: make(map[Outcome]int)}
	s.Server = &Server{
		Handler: s.recording(serve), AccountOf: func(net.Conn) Account { return s.memory },
		MayStart: func(r *http.Request) bool { return !strings.HasPrefix(r.URL.Path, "/buy/") },
		Report: func(_ *http.Request, o Outcome, _ time.Duration) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.outcomes[o]++
		},
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	s.addr = ln.Addr().String()
	server := &http.Server{
		Handler: s.Server, ConnContext: s.ConnContext, ReadHeaderTimeout: 2 * time.Second, ErrorLog: log.New(io.Discard, "", 0),
		ConnState: func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				s.open.Add(1)
			case http.StateClosed:
				s.open.Add(-1)
			}
		},
	}
	go func() { _ = server.Serve(s.Listener(ln)) }()
	t.Cleanup(func() {
		_ = server.Close()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if s.open.Load() == 0 && s.memory.held.Load() == 0 && s.memory.ahead.Load() == 0 {
				return poll.Success()
			}
			return poll.Continue("%d connections open, %d bytes held, %d requests started", s.open.Load(), s.memory.held.Load(), s.memory.ahead.Load())
		}, poll.WithTimeout(3*time.Second), poll.WithDelay(5*time.Millisecond))
	})
	return s
}

// recording notes the begin and end of each run.
func (s *site) recording(serve http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.note("begin " + r.URL.Path)
		serve(w, r)
		s.note("end " + r.URL.Path)
	})
}

func (s *site) note(event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, event)
}

// position returns where in the runs an event stands, -1 if it did not happen.
func (s *site) position(event string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, e := range s.runs {
		if e == event {
			return i
		}
	}
	return -1
}

func (s *site) count(o Outcome) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outcomes[o]
}

// dial opens a connection that ends with the test.
func (s *site) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	c := s.dialRaw(t)
	return c, bufio.NewReader(c)
}

func (s *site) dialRaw(t *testing.T) net.Conn {
	c, err := net.Dial("tcp4", s.addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c
}

func send(t *testing.T, c net.Conn, row string) {
	_, err := io.WriteString(c, row)
	assert.NilError(t, err)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// row returns GETs for the paths /1 to /n.
func row(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(get(fmt.Sprint("/", i+1)))
	}
	return b.String()
}

// readResponse returns the next response and its body.
func readResponse(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(body)
}

func wantBody(t *testing.T, r *bufio.Reader, want string) {
	t.Helper()
	resp, body := readResponse(t, r)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, want)
}

// wantEnd checks that the server closes the connection.
func wantEnd(t *testing.T, r *bufio.Reader) {
	t.Helper()
	_, err := r.ReadByte()
	assert.Assert(t, err != nil)
}

// echo responds with the path, after the delay.
func echo(delay time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		select {
		case <-r.Context().Done():
			return
		case <-time.After(delay):
		}
		respond(w, r.URL.Path+string(body))
	}
}

func respond(w http.ResponseWriter, body string) {
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}

// A caller that sends eight lookups of 200 ms at once has them after little more than one.
func TestRowRunsSideBySide(t *testing.T) {
	const delay, bound = 200 * time.Millisecond, 450 * time.Millisecond
	s := newSite(t, echo(delay))
	c, r := s.dial(t)
	begin := time.Now()
	send(t, c, row(8))
	for i := range 8 {
		wantBody(t, r, fmt.Sprint("/", i+1))
	}
	took := time.Since(begin)
	assert.Assert(t, took < bound, "%v", took)
	assert.Equal(t, s.count(Used), 7)
	t.Logf("eight requests of %v took %v", delay, took)
}

// A row longer than the bound of a connection keeps running that many side by side.
func TestRowLongerThanBound(t *testing.T) {
	var running, most atomic.Int64
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		n := running.Add(1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		time.Sleep(5 * time.Millisecond)
		running.Add(-1)
		respond(w, r.URL.Path)
	})
	c, r := s.dial(t)
	send(t, c, row(100))
	for i := range 100 {
		wantBody(t, r, fmt.Sprint("/", i+1))
	}
	assert.Assert(t, most.Load() <= maxStartedPerConn+1, "%d", most.Load())
	assert.Equal(t, s.count(Used), 99)
}

// The responses behind a slow one are ready when it is written, and stand in order.
func TestSlowFirstRequest(t *testing.T) {
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			time.Sleep(300 * time.Millisecond)
		}
		respond(w, r.URL.Path)
	})
	c, r := s.dial(t)
	send(t, c, row(3))
	wantBody(t, r, "/1")
	first := time.Now()
	wantBody(t, r, "/2")
	wantBody(t, r, "/3")
	assert.Assert(t, time.Since(first) < 100*time.Millisecond)
	assert.Assert(t, s.position("begin /3") < s.position("end /1"))
}

// A request that may run once only starts after those before it, and those behind it after it.
func TestMixedRow(t *testing.T) {
	const order = "POST /buy/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nan\r\n\r\nord."
	s := newSite(t, echo(50*time.Millisecond))
	c, r := s.dial(t)
	send(t, c, get("/1")+order+get("/3")+get("/4")+get("/buy/5")+get("/6")+get("/7"))
	for _, want := range []string{"/1", "/buy/2an\r\n\r\nord.", "/3", "/4", "/buy/5", "/6", "/7"} {
		wantBody(t, r, want)
	}
	assert.Assert(t, s.position("begin /buy/2") > s.position("end /1"))
	assert.Assert(t, s.position("begin /3") > s.position("end /buy/2"))
	assert.Assert(t, s.position("begin /buy/5") > s.position("end /4"))
	assert.Assert(t, s.position("begin /6") > s.position("end /buy/5"))
	assert.Assert(t, s.position("begin /7") < s.position("end /6"), "run side by side")
	assert.Assert(t, s.position("begin /4") < s.position("end /3"), "run side by side")
}

// A request whose header arrives in two parts starts when it is complete.
func TestRowCutInHeader(t *testing.T) {
	s := newSite(t, echo(300*time.Millisecond))
	c, r := s.dial(t)
	both := get("/1") + get("/2")
	send(t, c, both[:len(get("/1"))+10])
	time.Sleep(50 * time.Millisecond)
	send(t, c, both[len(get("/1"))+10:])
	begin := time.Now()
	wantBody(t, r, "/1")
	wantBody(t, r, "/2")
	assert.Assert(t, time.Since(begin) < 450*time.Millisecond)
	assert.Equal(t, s.count(Used), 1)
	send(t, c, get("/3"))
	wantBody(t, r, "/3")
}

func TestMalformedSecondRequest(t *testing.T) {
	s := newSite(t, echo(20*time.Millisecond))
	c, r := s.dial(t)
	send(t, c, get("/1")+"GET /2 HTTP/1.1\r\nHost h\r\n\r\n"+get("/3"))
	wantBody(t, r, "/1")
	resp, _ := readResponse(t, r)
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	wantEnd(t, r)
	assert.Equal(t, s.position("begin /3"), -1)
}

// What stands behind a response that closes the connection counts as not read: the caller
// sends it again whatever its kind. So it has not run, or was repeatable and is canceled.
func TestFirstResponseCloses(t *testing.T) {
	canceled := make(chan struct{})
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/2" {
			<-r.Context().Done()
			close(canceled)
			return
		}
		time.Sleep(50 * time.Millisecond)
		w.Header().Set("Connection", "close")
		respond(w, r.URL.Path)
	})
	c, r := s.dial(t)
	send(t, c, get("/1")+get("/2")+"POST /buy/3 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"+get("/4"))
	wantBody(t, r, "/1")
	wantEnd(t, r)
	select {
	case <-canceled:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the request behind is still running")
	}
	waitFor(t, func() bool { return s.count(Canceled) > 0 }) // reported after the cancellation
	assert.Equal(t, s.count(Canceled), 1)
	assert.Equal(t, s.position("begin /buy/3"), -1)
	assert.Equal(t, s.position("begin /4"), -1)
}

// Behind a request that asks to close the connection nothing is started.
func TestNothingStartsBehindRequestThatCloses(t *testing.T) {
	s := newSite(t, echo(20*time.Millisecond))
	c, r := s.dial(t)
	send(t, c, get("/1")+"GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"+get("/3"))
	wantBody(t, r, "/1")
	wantBody(t, r, "/2")
	wantEnd(t, r)
	assert.Equal(t, s.position("begin /3"), -1)
}

// A caller that leaves while its bytes stand unread is noticed at once, so that targets stop.
func TestCallerLeaves(t *testing.T) {
	for name, unread := range map[string]string{"nothing": "", "requests": get("/2") + get("/3"), "part of a header": "GET /2 HT", "a request with a body": "POST /buy/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\norder"} {
		t.Run(name, func(t *testing.T) {
			var running atomic.Int64
			s := newSite(t, func(_ http.ResponseWriter, r *http.Request) {
				running.Add(1)
				<-r.Context().Done()
				running.Add(-1)
			})
			c, _ := s.dial(t)
			send(t, c, get("/1"))
			waitFor(t, func() bool { return running.Load() == 1 })
			send(t, c, unread)
			want := int64(1 + strings.Count(unread, "GET /2 HTTP")*2)
			waitFor(t, func() bool { return running.Load() == want })
			assert.NilError(t, c.Close())
			begin := time.Now()
			waitFor(t, func() bool { return running.Load() == 0 })
			took := time.Since(begin)
			assert.Assert(t, took < 500*time.Millisecond, "%v", took)
			assert.Equal(t, s.position("begin /buy/2"), -1)
			t.Logf("canceled after %v", took)
		})
	}
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(time.Millisecond))
}

// A caller that sends more than the buffer takes is served like one that does not send ahead.
func TestMoreSentAheadThanBufferTakes(t *testing.T) {
	const requests = 40
	filler := "X-Filler: " + strings.Repeat("x", 3000) + "\r\n"
	s := newSite(t, echo(5*time.Millisecond))
	c, r := s.dial(t)
	go func() {
		for i := range requests {
			_, _ = fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\n%s\r\n", i+1, filler)
		}
	}()
	for i := range requests {
		wantBody(t, r, fmt.Sprint("/", i+1))
	}
}

// Without memory for buffers requests are served one after the other.
func TestNoMemoryForBuffers(t *testing.T) {
	s := newSiteWithMemory(t, 1, echo(5*time.Millisecond))
	c, r := s.dial(t)
	send(t, c, row(5))
	for i := range 5 {
		wantBody(t, r, fmt.Sprint("/", i+1))
	}
	assert.Equal(t, s.count(Used), 0)
}

// A response that there is no memory for while it waits is dropped, and its request runs again.
func TestNoMemoryForResponse(t *testing.T) {
	const size = minBufferBytes
	var reruns atomic.Int64
	s := newSiteWithMemory(t, minBufferBytes+size-1, func(w http.ResponseWriter, r *http.Request) {
		if IsRerun(r) {
			reruns.Add(1)
		}
		if r.URL.Path == "/1" {
			time.Sleep(100 * time.Millisecond)
		}
		respond(w, r.URL.Path+strings.Repeat("x", size-len(r.URL.Path)))
	})
	c, r := s.dial(t)
	send(t, c, row(3))
	for i := range 3 {
		_, body := readResponse(t, r)
		assert.Equal(t, len(body), size)
		assert.Assert(t, strings.HasPrefix(body, fmt.Sprint("/", i+1, "x")))
	}
	assert.Equal(t, reruns.Load(), int64(2))
	assert.Equal(t, s.count(NoRoom), 2)
}

// A handler that gives up because its response could not be kept runs again too.
func TestNoMemoryForResponseOfHandlerThatAborts(t *testing.T) {
	const size = minBufferBytes
	s := newSiteWithMemory(t, minBufferBytes+size-1, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			time.Sleep(100 * time.Millisecond)
		}
		w.Header().Set("Content-Length", fmt.Sprint(size))
		if _, err := io.WriteString(w, strings.Repeat("x", size)); err != nil {
			panic(http.ErrAbortHandler)
		}
	})
	c, r := s.dial(t)
	send(t, c, row(2))
	for range 2 {
		_, body := readResponse(t, r)
		assert.Equal(t, len(body), size)
	}
	assert.Equal(t, s.count(NoRoom), 1)
}

// A panic of a handler ends its connection, as net/http does, and not the process.
func TestPanicInRequestStartedEarly(t *testing.T) {
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/2" {
			panic("a fault of the handler")
		}
		time.Sleep(30 * time.Millisecond)
		respond(w, r.URL.Path)
	})
	c, r := s.dial(t)
	send(t, c, row(2))
	wantBody(t, r, "/1")
	wantEnd(t, r)
}

// A handler that writes nothing, as after a caller's departure, does not become an empty response.
func TestRequestStartedEarlyWithoutResponse(t *testing.T) {
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			time.Sleep(30 * time.Millisecond)
			respond(w, r.URL.Path)
		}
	})
	c, r := s.dial(t)
	send(t, c, row(2))
	wantBody(t, r, "/1")
	wantEnd(t, r)
}

// A request that AwaitTurn is called for goes on after those before it.
func TestAwaitTurn(t *testing.T) {
	s := newSite(t, nil)
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, AwaitTurn(w))
		s.note("turn " + r.URL.Path)
		time.Sleep(20 * time.Millisecond)
		s.note("end " + r.URL.Path)
		respond(w, r.URL.Path)
	})
	c, r := s.dial(t)
	send(t, c, row(2))
	wantBody(t, r, "/1")
	wantBody(t, r, "/2")
	assert.Assert(t, s.position("turn /2") > s.position("end /1"))
}

// IsLast tells the last request that has been started, behind which a connection may be closed.
func TestIsLast(t *testing.T) {
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(30 * time.Millisecond)
		respond(w, fmt.Sprint(r.URL.Path, " ", IsLast(w, r)))
	})
	c, r := s.dial(t)
	send(t, c, row(3))
	wantBody(t, r, "/1 false")
	wantBody(t, r, "/2 false")
	wantBody(t, r, "/3 true")
}

// A connection on which nothing is sent ahead has no buffer.
func TestNoBufferWithoutRequestsAhead(t *testing.T) {
	s := newSite(t, echo(50*time.Millisecond))
	c, r := s.dial(t)
	for range 3 {
		send(t, c, get("/1"))
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, s.memory.held.Load(), int64(0))
		wantBody(t, r, "/1")
	}
}

// The time to read a header is bounded also for one that stands in the buffer in part.
func TestHeaderTimeoutBehindRow(t *testing.T) {
	s := newSite(t, echo(20*time.Millisecond))
	c, r := s.dial(t)
	send(t, c, get("/1")+"GET /2 HTTP/1.1\r\nHo")
	wantBody(t, r, "/1")
	begin := time.Now()
	resp, _ := readResponse(t, r) // what net/http responds to a header that is cut off in a name
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	wantEnd(t, r)
	assert.Assert(t, time.Since(begin) < 3*time.Second)
}

// A caller whose header finds no memory is told so, and its connection is closed; headers of requests that have had
// their response take none.
func TestNoMemoryForHeader(t *testing.T) {
	const limit = 100
	s := newSiteWithMemory(t, limit, echo(0))
	s.HeaderCost = func(part []byte) int64 { return int64(len(part)) }
	s.Refusal = []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	c := s.dialRaw(t)
	r := bufio.NewReader(c)
	for range 10 {
		send(t, c, get("/1"))
		wantBody(t, r, "/1")
	}
	send(t, c, "GET /2 HTTP/1.1\r\nHost: h\r\nX-A: "+strings.Repeat("a", limit))
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	_, err = r.ReadByte()
	assert.Assert(t, err != nil, "the connection stays open")
}
