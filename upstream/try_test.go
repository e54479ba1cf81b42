package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
)

// serveEarly responds to each request before it has read the body, and resets the connection.
func serveEarly(t *testing.T, response string) (addr string) {
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
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = fmt.Fprint(c, response)
				time.Sleep(2 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return ln.Addr().String()
}

// TestInvalidAndCutResponsesAreNoAnswers checks that neither a response that is none of HTTP's nor a part of one counts as
// that of the target.
func TestInvalidAndCutResponsesAreNoAnswers(t *testing.T) {
	for name, response := range map[string]string{
		"reset beside the upload":        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
		"a status that HTTP has not":     "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody",
		"a blank in a field name":        "HTTP/1.1 200 OK\r\nContent-Length : 9\r\n\r\nbody",
		"a control byte in a field name": "HTTP/1.1 200 OK\r\nX\x01A: a\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			const plays = 100
			addr := serveEarly(t, response)
			body := make([]byte, 8<<20) // more than the buffers of a connection take
			for range plays {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				res := Try(ctx, new(http.Transport), Via{}, fleet.Target{Addr: addr}, &Request{
					Method: http.MethodPost, URL: &url.URL{Path: "/"}, Body: bytes.NewReader(body), Length: int64(len(body)), MaxResponseBytes: 1 << 20,
				})
				cancel()
				assert.Assert(t, res.Try != fleet.TryOK && res.Response == nil, "%v: %q", res.Try, res.Response)
			}
		})
	}
}
