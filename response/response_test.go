package response

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func TestCheck(t *testing.T) {
	for _, tc := range []struct {
		name    string
		status  int
		header  http.Header
		wantErr bool
	}{
		{"valid", 200, http.Header{"X-A": {"a", "b\tc", "\xff"}}, false},
		{"an unusual status", 999, nil, false},
		{"no status", 0, nil, true},
		{"a status that HTTP does not have", 99, nil, true},
		{"a blank at the end of a name", 200, http.Header{"Content-Length ": {"5"}}, true},
		{"a blank in a name", 200, http.Header{"X A": {"5"}}, true},
		{"a control byte in a name", 200, http.Header{"X\x01A": {"5"}}, true},
		{"no name", 200, http.Header{"": {"5"}}, true},
		{"a zero byte in a value", 200, http.Header{"X-A": {"a\x00"}}, true},
		{"a carriage return in a value", 200, http.Header{"X-A": {"a\rb"}}, true},
	} {
		err := Check(tc.status, tc.header)
		assert.Equal(t, errors.Is(err, ErrInvalid), tc.wantErr, tc.name)
		assert.Equal(t, err != nil, tc.wantErr, tc.name)
	}
}

// serveRaw serves each connection with the given function, which is given the first request without its body.
func serveRaw(t *testing.T, serve func(c *net.TCPConn, r *http.Request)) (url string) {
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
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					serve(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return "http://" + ln.Addr().String()
}

// longBody is more than the buffers of a connection take.
var longBody = make([]byte, 8<<20)

// post returns the body of the response to a POST of longBody.
func post(t *testing.T, c *http.Client, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(longBody))
	assert.NilError(t, err)
	resp, err := c.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

const headWithoutLength = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// TestResetBesideUploadIsNoEnd resets the connection in the middle of a body without a length, while the request is
// still being written.
func TestResetBesideUploadIsNoEnd(t *testing.T) {
	const plays = 200
	url := serveRaw(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, headWithoutLength+"part")
		time.Sleep(2 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	c := &http.Client{Transport: Transport{Next: new(http.Transport)}}
	for range plays {
		body, err := post(t, c, url)
		assert.Assert(t, err != nil, "%q counts as complete", body)
	}
}

// TestCleanEndBesideUpload ends such a body cleanly.
func TestCleanEndBesideUpload(t *testing.T) {
	url := serveRaw(t, func(c *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(c, headWithoutLength+"whole")
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
	})
	body, err := post(t, &http.Client{Transport: Transport{Next: new(http.Transport)}}, url)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "whole")
}

func TestTransportRefusesInvalidResponses(t *testing.T) {
	for _, first := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n"} {
		url := serveRaw(t, func(c *net.TCPConn, _ *http.Request) { _, _ = fmt.Fprintf(c, "%sConnection: close\r\n\r\nbody", first) })
		resp, err := (&http.Client{Transport: Transport{Next: new(http.Transport)}}).Get(url)
		if err == nil {
			_ = resp.Body.Close()
		}
		assert.ErrorIs(t, err, ErrInvalid)
	}
}
