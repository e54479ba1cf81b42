package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
)

var testHeaders = Headers{RequestID: "X-Id", Deadline: "X-Deadline", Seal: "X-Seal", Target: "X-Target", NotRun: "X-Not-Run"}

// script holds the raw bytes that a target sends for the n-th request on a connection;
// %s stands for the request ID. After a step that ends with resetMarker, the target
// resets the connection.
type script []string

const resetMarker = "\x00reset"

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
		out, isReset := strings.CutSuffix(step, resetMarker)
		_, _ = io.WriteString(c, strings.ReplaceAll(out, "%s", req.Header.Get(testHeaders.RequestID)))
		if isReset {
			time.Sleep(5 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
	}
	_, _ = io.Copy(io.Discard, r) // until the client closes it
}

const (
	sealedResponse = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbody"
	otherResponse  = "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nEVIL"
)

func newClient() *Client {
	return &Client{Cache: NewCache(time.Second), Headers: testHeaders, MaxResponseBytes: 1 << 20}
}

func newRequest(id string) *Request {
	return &Request{ID: id, Method: http.MethodPost, URI: "/p?q=%2F", Host: "h.example", Header: http.Header{}, Body: []byte("order"), HasBody: true}
}

func do(c *Client, t Target, r *Request) Result {
	end := time.Now().Add(400 * time.Millisecond)
	return c.Do(context.Background(), t, r, end, end, time.Minute)
}

func TestResultKinds(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n"
	for _, tc := range []struct {
		name string
		step string
		want Kind
		// reused reports whether the connection may carry the next request.
		reused bool
	}{
		{"complete", sealedResponse, Answered, true},
		{"closing", strings.Replace(sealedResponse, "X-Seal", "Connection: close\r\nX-Seal", 1), Answered, false},
		{"bytes after the response", sealedResponse + "more", Answered, false},
		{"a second response", sealedResponse + otherResponse, Answered, false},
		{"another request's response first", otherResponse + sealedResponse, Answered, false},
		{"only another request's response", otherResponse, TimedOut, false},
		{"truncated in the header", "HTTP/1.1 200 OK\r\nX-I" + resetMarker, Broken, false},
		{"truncated in the body", head + "Content-Length: 9\r\n\r\nbody" + resetMarker, Broken, false},
		{"no length, reset", head + "\r\nbody" + resetMarker, Broken, false},
		{"truncated in a chunk", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbo" + resetMarker, Broken, false},
		{"no last chunk", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n" + resetMarker, Broken, false},
		{"not HTTP", "garbage\r\n\r\n", Broken, false},
		{"a status that HTTP does not have", strings.Replace(sealedResponse, "200", "000", 1), Broken, false},
		{"a field name with a blank", strings.Replace(sealedResponse, "X-Seal", "X-A : a\r\nX-Seal", 1), Broken, false},
		{"a field name with a blank inside", strings.Replace(sealedResponse, "X-Seal", "X A: a\r\nX-Seal", 1), Broken, false},
		{"a field name with a blank first", strings.Replace(sealedResponse, "X-Seal", " X-A: a\r\nX-Seal", 1), Broken, false},
		{"a line that goes on", strings.Replace(sealedResponse, "X-Seal: s", "X-Seal: s\r\n\tX-A: a", 1), Broken, false},
		{"a field name with a control byte", strings.Replace(sealedResponse, "X-Seal", "X\x01A: a\r\nX-Seal", 1), Broken, false},
		{"a field value with a zero byte", strings.Replace(sealedResponse, "X-Seal", "X-A: a\x00\r\nX-Seal", 1), Broken, false},
		{"a length that is none", strings.Replace(sealedResponse, "Content-Length", "Content-Length ", 1) + resetMarker, Broken, false},
		{"another request's response with a blank in a field name", strings.Replace(otherResponse, "X-Seal", "X A: a\r\nX-Seal", 1) + sealedResponse, Broken, false},
		{"encoded", strings.Replace(sealedResponse, "X-Seal", "Content-Encoding: gzip\r\nX-Seal", 1), Broken, false},
		{"reset without a response", resetMarker, Broken, false},
		{"silent", "", TimedOut, false},
		{"interim response first", "HTTP/1.1 102 Processing\r\n\r\n" + sealedResponse, Answered, true},
		{"not run", "HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", Refused, true},
		{"not run, without an ID", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", Refused, false},
		{"not run, another's ID", "HTTP/1.1 503 Full\r\nX-Id: other\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", TimedOut, false},
		{"a different target", "HTTP/1.1 421 No\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", Refused, true},
		{"busy, may have run", "HTTP/1.1 503 Busy\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", Answered, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			rt := newRawTarget(t, script{tc.step, sealedResponse})
			c := newClient()
			res := do(c, rt.Target, newRequest("r1"))
			assert.Equal(t, res.Kind, tc.want, "%v", res.Err)
			if tc.want == Answered && strings.Contains(tc.step, "body") {
				assert.Equal(t, string(res.Response.Body), "body")
			}
			assert.Equal(t, rt.requests.Load(), int32(1), "sent once")
			time.Sleep(20 * time.Millisecond)
			do(c, rt.Target, newRequest("r2"))
			want := int32(2)
			if tc.reused {
				want = 1
			}
			assert.Equal(t, rt.conns.Load(), want)
		})
	}
}

// A response truncated at any byte must not be taken for a complete one, and surplus
// bytes must not be read as the response to the next request.
func TestTruncatedResponsesAndExtraBytes(t *testing.T) {
	for n := 1; n < len(sealedResponse); n += 3 {
		rt := newRawTarget(t, script{sealedResponse[:n] + resetMarker})
		res := do(newClient(), rt.Target, newRequest("r1"))
		assert.Assert(t, res.Kind != Answered, "truncated after %d bytes", n)
		assert.Assert(t, res.Kind != Unsent && res.Kind != Refused, "truncated after %d bytes: %v", n, res.Kind)
	}
	for n := 1; n <= len(otherResponse); n += 7 {
		rt := newRawTarget(t, script{sealedResponse + otherResponse[:n], sealedResponse})
		c := newClient()
		for i := range 3 {
			res := do(c, rt.Target, newRequest(fmt.Sprint("r", i)))
			if res.Kind == Answered {
				assert.Equal(t, string(res.Response.Body), "body", "%d extra bytes", n)
			}
		}
	}
}

func TestBodyWithoutLengthEndsWithConnection(t *testing.T) {
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
	res := do(newClient(), rt.Target, newRequest("r1"))
	assert.Equal(t, res.Kind, Answered, "%v", res.Err)
	assert.Equal(t, string(res.Response.Body), "unframed")
}

func TestRefusedConnectionIsUnsent(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	ln.Close()
	res := do(newClient(), Target{ID: "t", Addr: addr}, newRequest("r1"))
	assert.Equal(t, res.Kind, Unsent)
	assert.Equal(t, res.Written, int64(0))
}

// A result tells how much of its request was written, from which follows whether the target may have run it.
func TestResultTellsWrittenBytes(t *testing.T) {
	for _, step := range []string{sealedResponse, resetMarker} {
		rt := newRawTarget(t, script{step})
		res := do(newClient(), rt.Target, newRequest("r1"))
		assert.Assert(t, res.Written > int64(len("order")), "%v: %d bytes", res.Kind, res.Written)
	}
}

// A target that responds before it has received the whole body keeps reading it, so
// the connection must not carry another request.
func TestEarlyResponseClosesConnection(t *testing.T) {
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
				fmt.Fprintf(conn, "HTTP/1.1 400 No\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get(testHeaders.RequestID))
				time.Sleep(300 * time.Millisecond)
			}()
		}
	}()
	c := newClient()
	r := newRequest("r1")
	r.Body = make([]byte, 32<<20)
	res := do(c, Target{ID: "t", Addr: ln.Addr().String()}, r)
	assert.Equal(t, res.Kind, Answered, "%v", res.Err)
	do(c, Target{ID: "t", Addr: ln.Addr().String()}, newRequest("r2"))
	assert.Equal(t, conns.Load(), int32(2))
}

func TestCancelClosesConnection(t *testing.T) {
	rt := newRawTarget(t, script{""})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	end := time.Now().Add(5 * time.Second)
	res := newClient().Do(ctx, rt.Target, newRequest("r1"), end, end, time.Minute)
	assert.Equal(t, res.Kind, Canceled)
	assert.Assert(t, res.Took < time.Second)
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(testHeaders.RequestID, r.Header.Get(testHeaders.RequestID))
		got <- r
	})}
	go srv.Serve(ln)
	defer srv.Close()
	r := newRequest("r1")
	r.Header.Set("X-Other", "kept")
	end := time.Now().Add(time.Second)
	res := newClient().Do(context.Background(), Target{ID: "me", Addr: ln.Addr().String()}, r, end.Add(-500*time.Millisecond), end, time.Minute)
	assert.Equal(t, res.Kind, Answered, "%v", res.Err)
	in := <-got
	assert.Equal(t, in.RequestURI, "/p?q=%2F")
	assert.Equal(t, in.Host, "h.example")
	assert.Equal(t, in.Header.Get("X-Other"), "kept")
	assert.Equal(t, in.Header.Get(testHeaders.Target), "me")
	assert.Equal(t, in.ContentLength, int64(5))
	var ms int
	_, err = fmt.Sscan(in.Header.Get(testHeaders.Deadline), &ms)
	assert.NilError(t, err)
	assert.Assert(t, ms > 300 && ms <= 500, ms)
}

func TestSweepClosesUnusedTargets(t *testing.T) {
	rt := newRawTarget(t, script{sealedResponse, sealedResponse})
	c := newClient()
	do(c, rt.Target, newRequest("r1"))
	assert.Assert(t, c.Cache.HasIdle(rt.Target, time.Minute))
	c.Cache.Sweep(time.Now(), func(Target) bool { return false })
	assert.Assert(t, !c.Cache.HasIdle(rt.Target, time.Minute))
	assert.Equal(t, c.Cache.Opened(), int64(1))
}

// A target may restart under the same ID and address; connections to the earlier
// process must not be used for the later one.
func TestRestartedTargetGetsNoOldConnection(t *testing.T) {
	rt := newRawTarget(t, script{sealedResponse, sealedResponse})
	c := newClient()
	earlier, later := rt.Target, rt.Target
	earlier.Born, later.Born = 1_800_000_000_000, 1_800_000_007_000
	do(c, earlier, newRequest("r1"))
	assert.Assert(t, c.Cache.HasIdle(earlier, time.Minute))
	assert.Assert(t, !c.Cache.HasIdle(later, time.Minute))
	res := do(c, later, newRequest("r2"))
	assert.Equal(t, res.Kind, Answered)
	assert.Assert(t, !res.Reused)
	c.Cache.Sweep(time.Now(), func(t Target) bool { return t == later })
	assert.Assert(t, !c.Cache.HasIdle(earlier, time.Minute))
	assert.Assert(t, c.Cache.HasIdle(later, time.Minute))
}

func BenchmarkExchange(b *testing.B) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(b, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testHeaders.RequestID, r.Header.Get(testHeaders.RequestID))
	})}
	go srv.Serve(ln)
	defer srv.Close()
	c := newClient()
	r := &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		r.ID = strconv.Itoa(n)
		do(c, Target{ID: "t", Addr: ln.Addr().String()}, r)
	}
}

// A connection that is idle past the deadline of its last request must stay reusable.
func TestIdleConnectionOutlivesRequestDeadline(t *testing.T) {
	c, rt := newClient(), newRawTarget(t, script{sealedResponse, sealedResponse})
	const wait = 50 * time.Millisecond
	end := time.Now().Add(wait)
	first := c.Do(context.Background(), rt.Target, newRequest("r1"), end, end, time.Minute)
	assert.Equal(t, first.Kind, Answered)
	time.Sleep(2 * wait)
	second := do(c, rt.Target, newRequest("r2"))
	assert.Equal(t, second.Kind, Answered)
	assert.Assert(t, second.Reused)
	assert.Equal(t, rt.conns.Load(), int32(1))
}

// The response header must be reported even if the body fails, and only if it came from
// the intended target and belongs to the request that was sent.
func TestOnResponseHeader(t *testing.T) {
	const extraHeader = "X-Word: 1\r\n"
	withHeader := func(response string) string { return strings.Replace(response, "X-Id", extraHeader+"X-Id", 1) }
	for _, tc := range []struct {
		name string
		step string
		want bool
	}{
		{"complete", withHeader(sealedResponse), true},
		{"a failure", withHeader("HTTP/1.1 500 No\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n"), true},
		{"a refusal", withHeader("HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), true},
		{"truncated in the body", withHeader("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 9\r\n\r\nbody") + resetMarker, true},
		{"a body that never arrives", withHeader("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 9\r\n\r\nbody"), true},
		{"bytes after the response", withHeader(sealedResponse) + "more", true},
		{"another request's response first", otherResponse + withHeader(sealedResponse), true},
		{"truncated in the header", withHeader(sealedResponse)[:40] + resetMarker, false},
		{"another request's response", withHeader(otherResponse) + sealedResponse, false},
		{"an extra response", sealedResponse + withHeader(otherResponse), false},
		{"a different target", withHeader("HTTP/1.1 421 No\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n"), false},
		{"without an ID", strings.Replace(withHeader("HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), "X-Id: %s\r\n", "", 1), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			rt := newRawTarget(t, script{tc.step})
			c, called := newClient(), false
			c.OnResponseHeader = func(target Target, request string, h ResponseHeader) {
				assert.Check(t, target == rt.Target)
				assert.Check(t, request == "r1")
				called = called || h.Header.Get("X-Word") != "" && h.HasRequestID
			}
			do(c, rt.Target, newRequest("r1"))
			assert.Equal(t, called, tc.want, "response header reported")
		})
	}
}

// A target that stops accepting requests after it was chosen must not receive any.
func TestNotAdmittedRequestIsNotSent(t *testing.T) {
	rt := newRawTarget(t, script{sealedResponse, sealedResponse})
	c := newClient()
	accepts := true
	c.Admit = func(Target) bool { return accepts }
	assert.Equal(t, do(c, rt.Target, newRequest("r1")).Kind, Answered)
	accepts = false
	res := do(c, rt.Target, newRequest("r2"))
	assert.Equal(t, res.Kind, NotAdmitted)
	assert.Assert(t, res.Kind.NotRun() && !res.Kind.MayHaveArrived())
	assert.Equal(t, rt.requests.Load(), int32(1))
}

// rejection is a response by which a target states that it has not run the request.
const rejection = "HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

// TestRequestIsNotSentAgainOnItsConnection guards against a late second copy of a response that is taken for the
// response to the same request, sent again: the ID tells only other requests' responses apart.
func TestRequestIsNotSentAgainOnItsConnection(t *testing.T) {
	lateCopy := strings.ReplaceAll(rejection, "%s", "r1")
	rt := newRawTarget(t, script{rejection, lateCopy + sealedResponse, sealedResponse})
	c := newClient()
	assert.Equal(t, do(c, rt.Target, newRequest("r1")).Kind, Refused)
	assert.Assert(t, !c.Cache.HasIdleFor(rt.Target, "r1", time.Minute))
	assert.Assert(t, c.Cache.HasIdleFor(rt.Target, "r2", time.Minute))
	assert.Equal(t, do(c, rt.Target, newRequest("r1")).Kind, Refused) // the first step of another connection
	assert.Equal(t, rt.conns.Load(), int32(2))
	res := do(c, rt.Target, newRequest("r2"))
	assert.Equal(t, res.Kind, Answered, "%v", res.Err)
	assert.Equal(t, res.Skipped, 1)
	assert.Equal(t, rt.conns.Load(), int32(2), "other requests use the connection")
	assert.Equal(t, c.Cache.TakeStats().SameRequest, 1)
}

// TestRequestsWithoutIDShareNoConnection guards against the same where callers send no ID.
func TestRequestsWithoutIDShareNoConnection(t *testing.T) {
	step := strings.ReplaceAll(sealedResponse, "X-Id: %s\r\n", "")
	rt := newRawTarget(t, script{step, step})
	c := newClient()
	for range 3 {
		assert.Equal(t, do(c, rt.Target, newRequest("")).Kind, Answered)
	}
	assert.Equal(t, rt.conns.Load(), int32(3))
}

// TestConnectionsAreReplacedAfterManyRequests: the IDs that a connection remembers are bounded, and none is forgotten.
func TestConnectionsAreReplacedAfterManyRequests(t *testing.T) {
	steps := make(script, maxRequestsPerConn+1)
	for i := range steps {
		steps[i] = sealedResponse
	}
	rt := newRawTarget(t, steps)
	c := newClient()
	for n := range maxRequestsPerConn + 1 {
		assert.Equal(t, do(c, rt.Target, newRequest(fmt.Sprint("r", n))).Kind, Answered)
	}
	assert.Equal(t, rt.conns.Load(), int32(2))
}

// slowMemory has room after a time.
type slowMemory time.Duration

// Acquire implements Memory.
func (m slowMemory) Acquire(context.Context, int64, time.Time) (time.Duration, error) {
	time.Sleep(time.Duration(m))
	return time.Duration(m), nil
}

// TestWaitForMemoryIsPartOfTheExchange guards against an exchange that seems to have begun later than it did, by the
// time that its response waited for memory.
func TestWaitForMemoryIsPartOfTheExchange(t *testing.T) {
	const waits = 60 * time.Millisecond
	rt, r := newRawTarget(t, script{sealedResponse}), newRequest("r1")
	r.Memory = slowMemory(waits)
	res := do(newClient(), rt.Target, r)
	assert.Equal(t, res.Kind, Answered, "%v", res.Err)
	assert.Equal(t, res.Waited, waits)
	assert.Assert(t, res.Took >= waits, "%v", res.Took)
}

// BenchmarkHasIdle asks for each of 137 targets whether it has a connection for a request, where each has two that have
// carried as many requests as they may.
func BenchmarkHasIdle(b *testing.B) {
	const targets, connsPerTarget = 137, 2
	c := NewCache(time.Second)
	var all []Target
	for n := range targets {
		t := Target{ID: fleet.TargetID(fmt.Sprint("t", n))}
		all = append(all, t)
		for k := range connsPerTarget {
			cn := &conn{idleSince: time.Now(), idleTimeout: time.Hour}
			for i := range maxRequestsPerConn {
				cn.carry(c.hash(fmt.Sprint(n, k, i)))
			}
			c.idle[t] = append(c.idle[t], cn)
		}
	}
	b.Run("first attempt", func(b *testing.B) {
		for b.Loop() {
			for _, t := range all {
				c.HasIdle(t, time.Hour)
			}
		}
	})
	b.Run("later attempt", func(b *testing.B) {
		for b.Loop() {
			for _, t := range all {
				c.HasIdleFor(t, "r", time.Hour)
			}
		}
	})
}

// TestResetBesideUploadIsNoEnd answers a long upload at once with a response without a length, sends a part of it and
// resets the connection while the upload is being written. The reset may be reported to the writer alone.
func TestResetBesideUploadIsNoEnd(t *testing.T) {
	const plays = 200
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go resetEarly(c)
		}
	}()
	target := Target{ID: "t1", Addr: ln.Addr().String()}
	c := newClient()
	r := newRequest("r1")
	r.Body = make([]byte, 8<<20) // more than the buffers of a connection take
	for range plays {
		res := do(c, target, r)
		assert.Assert(t, res.Kind != Answered, "got %q", res.Response)
	}
}

// resetEarly responds to a request without reading its body, and resets the connection.
func resetEarly(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n\r\npart", r.Header.Get(testHeaders.RequestID))
	time.Sleep(2 * time.Millisecond)
	_ = c.(*net.TCPConn).SetLinger(0)
}

// TestEarlyResponseWithoutLength checks that a response that ends cleanly beside an upload is complete: the target
// reads the rest of the upload after it.
func TestEarlyResponseWithoutLength(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n\r\nwhole", r.Header.Get(testHeaders.RequestID))
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
	}()
	r := newRequest("r1")
	r.Body = make([]byte, 8<<20)
	res := do(newClient(), Target{ID: "t1", Addr: ln.Addr().String()}, r)
	assert.Equal(t, res.Kind, Answered, "%v", res.Err)
	assert.Equal(t, string(res.Response.Body), "whole")
}
