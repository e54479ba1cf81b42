package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const testStallTimeout = 100 * time.Millisecond

// readingServer reads the bodies of requests with testStallTimeout, then waits for longer than that. It delivers the
// error of reading each body, to which it responds 400, or that of the request's context after the wait.
func readingServer(t *testing.T) (*httptest.Server, <-chan error) {
	results := make(chan error, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := newCallerBody(w, r)
		b.stallTimeout = testStallTimeout
		_, err := io.Copy(io.Discard, b)
		time.Sleep(2 * testStallTimeout)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
		} else {
			err = r.Context().Err()
		}
		results <- err
	}))
	t.Cleanup(s.Close)
	return s, results
}

// A caller whose body stands still gets its response, and then the end of the connection.
func TestStalledBodyIsGivenUp(t *testing.T) {
	s, results := readingServer(t)
	c, err := net.Dial("tcp4", s.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
	assert.NilError(t, err)
	select {
	case err := <-results:
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	case <-time.After(10 * testStallTimeout):
		t.Fatal("the body is still awaited")
	}
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(20*testStallTimeout)))
	response, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(response), "HTTP/1.1 400 "), "%q", response)
}

// TestSlowBodyIsRead guards against a deadline for the whole body, and against one that is left in force after it:
// the request would then count as abandoned.
func TestSlowBodyIsRead(t *testing.T) {
	s, results := readingServer(t)
	body, w := io.Pipe()
	go func() {
		for range 6 {
			time.Sleep(testStallTimeout / 2)
			_, _ = w.Write([]byte("part"))
		}
		w.Close()
	}()
	for range 2 { // the second request is on the same connection
		resp, err := s.Client().Post(s.URL, "text/plain", body)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		assert.NilError(t, <-results)
		body, w = io.Pipe()
		go w.Close()
	}
}

// TestSmallChunksOfCallers checks that small chunks are refused only in bodies of some size.
func TestSmallChunksOfCallers(t *testing.T) {
	url := startGateway(t, newBackend(t, respondWith(http.StatusOK)))
	c, err := net.Dial("tcp4", strings.TrimPrefix(url, "http://"))
	assert.NilError(t, err)
	defer c.Close()
	const size = 500 << 10
	go func() {
		_, _ = io.WriteString(c, "POST /long/1 HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"+
			strings.Repeat("1\r\na\r\n", size)+"0\r\n\r\n")
	}()
	response, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(response), "HTTP/1.1 200 "), "%.200s", response)
}

// TestRefusalDoesNotAwaitBody checks that a request that can't be served is refused although its body does not end, and
// that its connection is closed however slowly the body goes on.
func TestRefusalDoesNotAwaitBody(t *testing.T) {
	t.Parallel()
	url := startGateway(t, newBackend(t, respondWith(http.StatusOK)))
	for name, head := range map[string]string{
		"no route":        "POST /none/ HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n",
		"chunks":          "POST /none/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n",
		"above the limit": "POST /get/ HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp4", strings.TrimPrefix(url, "http://"))
			assert.NilError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, head)
			assert.NilError(t, err)
			stop := make(chan struct{})
			defer close(stop)
			go trickle(c, stop)
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(bodyStallTimeout/2)))
			response, err := io.ReadAll(c)
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection stays open")
			assert.Assert(t, strings.HasPrefix(string(response), "HTTP/1.1 4"), "%q", response)
		})
	}
}

// trickle sends a byte now and then.
func trickle(c net.Conn, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(testStallTimeout):
			if _, err := io.WriteString(c, "b"); err != nil {
				return
			}
		}
	}
}
