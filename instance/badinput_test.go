package instance_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/instance"
)

// raw sends bytes as they are and returns the first answer's status, 0 if
// the connection was closed without one.
func raw(t *testing.T, i *instance.Instance, request string) int {
	t.Helper()
	conn, err := net.Dial("tcp", i.CallerAddr())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	_, _ = io.WriteString(conn, request)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func TestBadInputIsRefusedAndHarmsNobody(t *testing.T) {
	t.Parallel()
	b := newBench(t, 1)
	i := b.all[0]
	const head = "POST /v1/quotes/confirmations HTTP/1.1\r\nHost: " + host + "\r\nIdempotency-Key: k\r\n"
	for _, tc := range []struct {
		name    string
		request string
		want    []int
	}{
		{"two lengths", head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde", []int{400}},
		{"negative length", head + "Content-Length: -1\r\n\r\n", []int{400}},
		{"unknown transfer coding", head + "Transfer-Encoding: chunked, zip\r\n\r\n0\r\n\r\n", []int{400, 501}},
		{"bad chunk size", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", []int{400}},
		{"space before colon", "GET /v1/prices HTTP/1.1\r\nHost: " + host + "\r\nContent-Length : 4\r\n\r\nabcd", []int{400}},
		{"no host", "GET /v1/prices HTTP/1.1\r\n\r\n", []int{400}},
		{"two hosts", "GET /v1/prices HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", []int{400}},
		{"header too large", "GET /v1/prices HTTP/1.1\r\nHost: " + host + "\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", []int{431}},
		{"body larger than announced allowance", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<30), []int{413}},
		{"connect", "CONNECT 127.0.0.1:1 HTTP/1.1\r\nHost: " + host + "\r\n\r\n", []int{404, 405}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := raw(t, i, tc.request)
			for _, w := range tc.want {
				if got == w {
					return
				}
			}
			t.Errorf("status %d, want one of %v", got, tc.want)
		})
	}
	resp, got := send(t, i, http.MethodGet, "/v1/prices/worktops", "", nil)
	assert.Equal(t, resp.StatusCode, http.StatusOK, got)
}

// TestLengthBesideChunksIsNotPassedOn sends both framings at once, the shape
// that request smuggling needs: the targets must see one request at most.
func TestLengthBesideChunksIsNotPassedOn(t *testing.T) {
	t.Parallel()
	b := newBench(t, 1)
	const hidden = "GET /v1/prices/hidden HTTP/1.1\r\nHost: " + host + "\r\n\r\n"
	request := "POST /v1/plans/a.jpg HTTP/1.1\r\nHost: " + host + "\r\n" +
		fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 5+len(hidden)) + hidden
	assert.Assert(t, raw(t, b.all[0], request) != 0)
	assert.Equal(t, b.work(), 1, "a hidden request reached a target")
}

func TestBodyThatBreaksOffIsNotStored(t *testing.T) {
	t.Parallel()
	b := newBench(t, 1)
	conn, err := net.Dial("tcp", b.all[0].CallerAddr())
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "POST /v1/plans/a.jpg HTTP/1.1\r\nHost: "+host+"\r\nContent-Length: 1000\r\n\r\nonly this")
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	resp, got := send(t, b.all[0], http.MethodPost, "/v1/plans/b.jpg", "whole", nil)
	assert.Equal(t, resp.StatusCode, http.StatusOK, got)
	assert.Assert(t, strings.Contains(got, `"size":5`), got)
}
