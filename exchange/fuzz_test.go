package exchange

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// fuzzedConn is a connection to a target that sends first and then repeat without end, or ends if repeat is empty.
type fuzzedConn struct {
	net.Conn
	first, repeat []byte
	received      int64
}

// Read implements net.Conn.
func (c *fuzzedConn) Read(p []byte) (int, error) {
	if len(c.first) == 0 {
		c.first = c.repeat
	}
	if len(c.first) == 0 {
		return 0, net.ErrClosed
	}
	n := copy(p, c.first)
	c.first = c.first[n:]
	c.received += int64(n)
	return n, nil
}

func (c *fuzzedConn) Write(p []byte) (int, error)   { return len(p), nil }
func (c *fuzzedConn) Close() error                  { return nil }
func (c *fuzzedConn) SetDeadline(_ time.Time) error { return nil }

// FuzzResponse checks that no response, with or without an end, is read beyond its bounds or taken for a larger one.
func FuzzResponse(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n"
	for _, seed := range []struct{ first, repeat string }{
		{head + "Content-Length: 2\r\n\r\nok", ""}, {head + "Content-Length: 99\r\n\r\n", "a"}, {head + "\r\n", "body"}, {"", "\x00"}, {head, "X-A: b\r\n"},
		{head + "Transfer-Encoding: chunked\r\n\r\n", "1;a=b\r\na\r\n"}, {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-T: a\r\n"},
		{"HTTP/1.1 200 OK\r\nX-Id: r0\r\n\r\n", "late"}, {"", "HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 4\r\n\r\nlate"}, {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	} {
		f.Add([]byte(seed.first), []byte(seed.repeat))
	}
	const maxBody = 32 << 10
	const maxReceived = maxResponsesRead * (2*MaxHeadBytes + 3*maxBody)
	f.Fuzz(func(t *testing.T, first, repeat []byte) {
		cn := &fuzzedConn{first: first, repeat: repeat}
		c := newClient()
		c.MaxResponseBytes = maxBody
		c.Cache.Dial = func(context.Context, string, string) (net.Conn, error) { return cn, nil }
		end := time.Now().Add(time.Minute)
		res := c.Do(context.Background(), Target{ID: "t"}, &Request{ID: "r1", Method: http.MethodGet, URI: "/", Header: http.Header{}}, end, end, time.Minute)
		if cn.received > maxReceived {
			t.Fatalf("%d bytes were read", cn.received)
		}
		if res.Response != nil && len(res.Response.Body) > maxBody {
			t.Fatalf("a body of %d bytes", len(res.Response.Body))
		}
		if res.Kind == Answered && res.Response.Header.Get(c.Headers.RequestID) != "r1" {
			t.Fatal("another request's response")
		}
	})
}
