package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var names = Headers{RequestID: "X-Id", Deadline: "X-Deadline", Seal: "X-Seal", Target: "X-Target", NotRun: "X-Not-Run"}

// script is what a raw target sends for the n-th request on a connection, %s being
// the request's ID. A step that ends with reset resets the connection after it.
type script []string

const reset = "\x00reset"

type rawTarget struct {
	Target
	conns, requests atomic.Int32
}

func newRawTarget(t testing.TB, s script) *rawTarget {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	rt := &rawTarget{Target: Target{ID: "t1", Addr: ln.Addr().String()}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			rt.conns.Add(1)
			go rt.serve(c, s)
		}
	}()
	return rt
}

func (rt *rawTarget) serve(c net.Conn, s script) {
	defer c.Close()
	r := bufio.NewReader(c)
	for _, step := range s {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		rt.requests.Add(1)
		out, isReset := strings.CutSuffix(step, reset)
		_, _ = io.WriteString(c, strings.ReplaceAll(out, "%s", req.Header.Get(names.RequestID)))
		if isReset {
			time.Sleep(5 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
	}
	_, _ = io.Copy(io.Discard, r) // until the gateway closes it
}

const (
	sealed = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbody"
	other  = "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nEVIL"
)

func client() *Client {
	return &Client{Cache: NewCache(time.Second), Headers: names, MaxAnswer: 1 << 20}
}

func request(id string) *Request {
	return &Request{ID: id, Method: http.MethodPost, URI: "/p?q=%2F", Host: "h.example", Header: http.Header{}, Body: []byte("order"), HasBody: true}
}

func do(c *Client, t Target, r *Request) Result {
	end := time.Now().Add(400 * time.Millisecond)
	return c.Do(context.Background(), t, r, end, end, time.Minute)
}

func TestWhatIsKnownAfterAnExchange(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n"
	for _, tc := range []struct {
		name string
		step string
		want Kind
		// reused tells whether the connection may carry the next request.
		reused bool
	}{
		{"whole", sealed, Answered, true},
		{"closing", strings.Replace(sealed, "X-Seal", "Connection: close\r\nX-Seal", 1), Answered, false},
		{"bytes after the answer", sealed + "more", Answered, false},
		{"a second answer", sealed + other, Answered, false},
		{"another request's answer first", other + sealed, Answered, false},
		{"only another request's answer", other, Overdue, false},
		{"cut in the head", "HTTP/1.1 200 OK\r\nX-I" + reset, Broken, false},
		{"cut in the body", head + "Content-Length: 9\r\n\r\nbody" + reset, Broken, false},
		{"no length, reset", head + "\r\nbody" + reset, Broken, false},
		{"cut in a chunk", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbo" + reset, Broken, false},
		{"no last chunk", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n" + reset, Broken, false},
		{"not HTTP", "garbage\r\n\r\n", Broken, false},
		{"encoded", strings.Replace(sealed, "X-Seal", "Content-Encoding: gzip\r\nX-Seal", 1), Broken, false},
		{"reset unanswered", reset, Broken, false},
		{"silent", "", Overdue, false},
		{"interim answer first", "HTTP/1.1 102 Processing\r\n\r\n" + sealed, Answered, true},
		{"not run", "HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", Refused, true},
		{"not run, without an ID", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", Refused, false},
		{"not run, another's ID", "HTTP/1.1 503 Full\r\nX-Id: other\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", Overdue, false},
		{"another target", "HTTP/1.1 421 No\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", Refused, true},
		{"busy, but perhaps run", "HTTP/1.1 503 Busy\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", Answered, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			rt := newRawTarget(t, script{tc.step, sealed})
			c := client()
			res := do(c, rt.Target, request("r1"))
			assert.Equal(t, res.Kind, tc.want, "%v", res.Err)
			if tc.want == Answered && strings.Contains(tc.step, "body") {
				assert.Equal(t, string(res.Answer.Body), "body")
			}
			assert.Equal(t, rt.requests.Load(), int32(1), "sent once")
			time.Sleep(20 * time.Millisecond)
			do(c, rt.Target, request("r2"))
			want := int32(2)
			if tc.reused {
				want = 1
			}
			assert.Equal(t, rt.conns.Load(), want)
		})
	}
}

// A cut at any byte of the answer must never look like a whole one, and the bytes
// of an extra answer must never reach the next request.
func TestEveryCutAndEveryExtraLength(t *testing.T) {
	for n := 1; n < len(sealed); n += 3 {
		rt := newRawTarget(t, script{sealed[:n] + reset})
		res := do(client(), rt.Target, request("r1"))
		assert.Assert(t, res.Kind != Answered, "cut after %d bytes", n)
		assert.Assert(t, res.Kind != Unsent && res.Kind != Refused, "cut after %d bytes: %v", n, res.Kind)
	}
	for n := 1; n <= len(other); n += 7 {
		rt := newRawTarget(t, script{sealed + other[:n], sealed})
		c := client()
		for i := range 3 {
			res := do(c, rt.Target, request(fmt.Sprint("r", i)))
			if res.Kind == Answered {
				assert.Equal(t, string(res.Answer.Body), "body", "%d extra bytes", n)
			}
		}
	}
}

func TestNoLengthEndsWithTheConnection(t *testing.T) {
	rt := newRawTarget(t, nil)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		req, _ := http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n\r\nunframed")
		conn.Close()
	}()
	rt.Addr = ln.Addr().String()
	res := do(client(), rt.Target, request("r1"))
	assert.Equal(t, res.Kind, Answered, "%v", res.Err)
	assert.Equal(t, string(res.Answer.Body), "unframed")
}

func TestNothingListensMeansUnsent(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	ln.Close()
	res := do(client(), Target{ID: "t", Addr: addr}, request("r1"))
	assert.Equal(t, res.Kind, Unsent)
}

// A target that answers before it has the whole body keeps reading: the connection
// must not carry another request.
func TestAnEarlyAnswerEndsTheConnection(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	var conns atomic.Int32
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer conn.Close()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 400 No\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get(names.RequestID))
				time.Sleep(300 * time.Millisecond)
			}()
		}
	}()
	c := client()
	r := request("r1")
	r.Body = make([]byte, 32<<20)
	res := do(c, Target{ID: "t", Addr: ln.Addr().String()}, r)
	assert.Equal(t, res.Kind, Answered, "%v", res.Err)
	do(c, Target{ID: "t", Addr: ln.Addr().String()}, request("r2"))
	assert.Equal(t, conns.Load(), int32(2))
}

func TestGivingUpClosesTheConnection(t *testing.T) {
	rt := newRawTarget(t, script{""})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	end := time.Now().Add(5 * time.Second)
	res := client().Do(ctx, rt.Target, request("r1"), end, end, time.Minute)
	assert.Equal(t, res.Kind, Abandoned)
	assert.Assert(t, res.Took < time.Second)
}

func TestTheRequestArrivesAsItWas(t *testing.T) {
	got := make(chan *http.Request, 1)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		got <- r
	})}
	go srv.Serve(ln)
	defer srv.Close()
	r := request("r1")
	r.Header.Set("X-Other", "kept")
	end := time.Now().Add(time.Second)
	res := client().Do(context.Background(), Target{ID: "me", Addr: ln.Addr().String()}, r, end.Add(-500*time.Millisecond), end, time.Minute)
	assert.Equal(t, res.Kind, Answered, "%v", res.Err)
	in := <-got
	assert.Equal(t, in.RequestURI, "/p?q=%2F")
	assert.Equal(t, in.Host, "h.example")
	assert.Equal(t, in.Header.Get("X-Other"), "kept")
	assert.Equal(t, in.Header.Get(names.Target), "me")
	assert.Equal(t, in.ContentLength, int64(5))
	var ms int
	_, err = fmt.Sscan(in.Header.Get(names.Deadline), &ms)
	assert.NilError(t, err)
	assert.Assert(t, ms > 300 && ms <= 500, ms)
}

func TestSweepClosesWhatIsNotInUse(t *testing.T) {
	rt := newRawTarget(t, script{sealed, sealed})
	c := client()
	do(c, rt.Target, request("r1"))
	assert.Assert(t, c.Cache.Idle(rt.Target, time.Minute))
	c.Cache.Sweep(time.Now(), func(Target) bool { return false })
	assert.Assert(t, !c.Cache.Idle(rt.Target, time.Minute))
	assert.Equal(t, c.Cache.Opened(), int64(1))
}

// TestALaterProcessGetsNoConnectionOfTheEarlierOne: a target may start again under its ID,
// at the same address or at another.
func TestALaterProcessGetsNoConnectionOfTheEarlierOne(t *testing.T) {
	rt := newRawTarget(t, script{sealed, sealed})
	c := client()
	earlier, later := rt.Target, rt.Target
	earlier.Born, later.Born = 1_800_000_000_000, 1_800_000_007_000
	do(c, earlier, request("r1"))
	assert.Assert(t, c.Cache.Idle(earlier, time.Minute))
	assert.Assert(t, !c.Cache.Idle(later, time.Minute))
	res := do(c, later, request("r2"))
	assert.Equal(t, res.Kind, Answered)
	assert.Assert(t, !res.Reused)
	c.Cache.Sweep(time.Now(), func(t Target) bool { return t == later })
	assert.Assert(t, !c.Cache.Idle(earlier, time.Minute))
	assert.Assert(t, c.Cache.Idle(later, time.Minute))
}

func BenchmarkExchange(b *testing.B) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(b, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
	})}
	go srv.Serve(ln)
	defer srv.Close()
	c := client()
	r := &Request{ID: "r", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}}
	b.ReportAllocs()
	for b.Loop() {
		do(c, Target{ID: "t", Addr: ln.Addr().String()}, r)
	}
}

// TestARestedConnectionOutlivesItsLastDeadline lets a connection rest past the deadline
// of the request that it carried last.
func TestARestedConnectionOutlivesItsLastDeadline(t *testing.T) {
	c, rt := client(), newRawTarget(t, script{sealed, sealed})
	const wait = 50 * time.Millisecond
	end := time.Now().Add(wait)
	first := c.Do(context.Background(), rt.Target, request("r1"), end, end, time.Minute)
	assert.Equal(t, first.Kind, Answered)
	time.Sleep(2 * wait)
	second := do(c, rt.Target, request("r2"))
	assert.Equal(t, second.Kind, Answered)
	assert.Assert(t, second.Reused)
	assert.Equal(t, rt.conns.Load(), int32(1))
}

// TestHeadsAreHandedOn: what the head of an answer says of its target is known whatever becomes of its body, and only from
// the target that was meant and of the request that was sent.
func TestHeadsAreHandedOn(t *testing.T) {
	const word = "X-Word: 1\r\n"
	says := func(answer string) string { return strings.Replace(answer, "X-Id", word+"X-Id", 1) }
	for _, tc := range []struct {
		name string
		step string
		want bool
	}{
		{"whole", says(sealed), true},
		{"a failure", says("HTTP/1.1 500 No\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n"), true},
		{"a refusal", says("HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), true},
		{"cut in the body", says("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 9\r\n\r\nbody") + reset, true},
		{"a body that does not come", says("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 9\r\n\r\nbody"), true},
		{"bytes after the answer", says(sealed) + "more", true},
		{"another request's answer first", other + says(sealed), true},
		{"cut in the head", says(sealed)[:40] + reset, false},
		{"another request's answer", says(other) + sealed, false},
		{"an extra answer", sealed + says(other), false},
		{"another target's", says("HTTP/1.1 421 No\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n"), false},
		{"without an ID", strings.Replace(says("HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), "X-Id: %s\r\n", "", 1), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			rt := newRawTarget(t, script{tc.step})
			c, said := client(), false
			c.OnHead = func(target Target, request string, h Head) {
				assert.Check(t, target == rt.Target)
				assert.Check(t, request == "r1")
				said = said || h.Header.Get("X-Word") != "" && h.Named
			}
			do(c, rt.Target, request("r1"))
			assert.Equal(t, said, tc.want, "named")
		})
	}
}

// TestAWithheldRequestIsNotSent: a target that takes no requests since it was chosen gets none.
func TestAWithheldRequestIsNotSent(t *testing.T) {
	rt := newRawTarget(t, script{sealed, sealed})
	c := client()
	takes := true
	c.Admit = func(Target) bool { return takes }
	assert.Equal(t, do(c, rt.Target, request("r1")).Kind, Answered)
	takes = false
	res := do(c, rt.Target, request("r2"))
	assert.Equal(t, res.Kind, Withheld)
	assert.Assert(t, res.Kind.Unrun() && !res.Kind.MayHaveArrived())
	assert.Equal(t, rt.requests.Load(), int32(1))
}
