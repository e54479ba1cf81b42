package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/endless"
)

// endlessTimeout is the time that the requests to endless targets have; they must end long before.
const endlessTimeout = 4 * time.Second

// maxResponse is the bound of bodies in the tests of endless targets.
const maxResponse = 16 << 20

func doEndless(addr, method string) Result {
	c := newClient()
	c.MaxResponseBytes = maxResponse
	r := newRequest("r1")
	r.Method = method
	end := time.Now().Add(endlessTimeout)
	return c.Do(context.Background(), Target{ID: "t1", Addr: addr}, r, end, end, time.Minute)
}

// partFolded stands for a header that is given up as its lines are folded.
const partFolded Part = "folded"

// TestEndlessResponses answers targets in trouble that send until the connection is closed: the response is
// given up at once, with little memory held, and the error says which bound it exceeded.
func TestEndlessResponses(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	const head = status + "X-Id: r1\r\nX-Seal: s\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	line := strings.Repeat("a", 1000)
	for _, tc := range []struct {
		name          string
		first, repeat string
		want          Part
	}{
		{"no answer at all", "", "\x00\x01garbage", PartHead},
		{"status line", "HTTP/1.1 200 ", line, PartHead},
		{"empty lines", "", "\r\n", ""},
		{"header line", status + "X-A: ", line, PartHead},
		{"header lines", status, "X-A: b\r\n", PartHead},
		{"short header lines", status, "a:\r\n", PartHead},
		{"folded header line", status + "X-A: b", "\r\n b", partFolded},
		{"folded header line behind a long one", status + "X-A: " + strings.Repeat(line, 5), "\r\n b", PartHead},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", PartInterim},
		{"interim responses with headers", "", "HTTP/1.1 103 Early Hints\r\nLink: " + line + "\r\n\r\n", PartInterim},
		{"body without length", head + "\r\n", line, PartBody},
		{"chunked body", chunked, "3e8\r\n" + line + "\r\n", PartBody},
		{"tiny chunks", chunked, "1\r\na\r\n", PartFraming},
		{"chunk extension", chunked + "1;a=", line, PartFraming},
		{"chunk extensions", chunked, "1;" + strings.Repeat("a=b;", 100) + "\r\na\r\n", ""},
		{"trailer line", chunked + "0\r\nX-T: ", line, ""},
		{"trailer lines", chunked + "0\r\n", "X-T: a\r\n", ""},
		{"announced length", head + "Content-Length: 99999999999\r\n\r\n", line, PartBody},
		{"other requests' responses", "", otherResponse, ""},
		{"another request's body", strings.Replace(head, "r1", "r0", 1) + "\r\n", line, PartSkipped},
		{"another request's chunked body", strings.Replace(chunked, "r1", "r0", 1), "3e8\r\n" + line + "\r\n", PartSkipped},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr := endless.Serve(t, tc.first, tc.repeat)
			var res Result
			endless.Check(t, func() { res = doEndless(addr, http.MethodPost) })
			assert.Equal(t, res.Kind, Broken, "%v", res.Err)
			switch tc.want {
			case "":
			case partFolded:
				assert.ErrorIs(t, res.Err, errFolded)
			default:
				assert.Equal(t, ExceededPart(res.Err), tc.want, "%v", res.Err)
			}
		})
	}
}

// TestLargeResponses guards against bounds that refuse what targets may send: heads of 64 KiB in few or many
// lines, interim responses, and bodies of the largest size, with and without a length.
func TestLargeResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n"
	body := strings.Repeat("abcdefgh", maxResponse/8)
	const small = 1 << 20
	for _, tc := range []struct{ name, response, want string }{
		{"one long header line", head + "X-A: " + strings.Repeat("a", 64<<10) + "\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"many header lines", head + strings.Repeat("X-A: 456789\r\n", 64<<10/13) + "Content-Length: 2\r\n\r\nok", "ok"},
		{"interim responses", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterimResponses) + head + "Content-Length: 2\r\n\r\nok", "ok"},
		{"largest body", head + "Content-Length: 16777216\r\n\r\n" + body, body},
		{"largest body without length", head + "\r\n" + body, body},
		{"largest body in one chunk", head + "Transfer-Encoding: chunked\r\n\r\n1000000\r\n" + body + "\r\n0\r\n\r\n", body},
		{"largest body in chunks of 16 bytes", head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10\r\nabcdefghabcdefgh\r\n", maxResponse/16) + "0\r\n\r\n", body},
		{"body in chunks of a byte", head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", small/2) + "0\r\n\r\n", strings.Repeat("a", small/2)},
		{"late response first", strings.Replace(head, "r1", "r0", 1) + "Content-Length: 16777216\r\n\r\n" + body + head + "Content-Length: 2\r\n\r\nok", "ok"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			res := doEndless(serveOnce(t, tc.response), http.MethodGet)
			assert.Equal(t, res.Kind, Answered, "%.200v", res.Err)
			assert.Assert(t, string(res.Response.Body) == tc.want, "%d bytes, want %d", len(res.Response.Body), len(tc.want))
		})
	}
}

// serveOnce serves one response to one request, then closes the connection. It returns the address.
func serveOnce(t *testing.T, response string) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, response)
	}()
	return ln.Addr().String()
}

// TestHeadOfLargeBody checks that the length in the response to a HEAD request is no body.
func TestHeadOfLargeBody(t *testing.T) {
	res := doEndless(serveOnce(t, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 99999999999\r\n\r\n"), http.MethodHead)
	assert.Equal(t, res.Kind, Answered, "%v", res.Err)
	assert.Equal(t, len(res.Response.Body), 0)
}

// TestErrorsQuoteLittle checks that an error, which is logged, does not repeat a long response.
func TestErrorsQuoteLittle(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("a", 64<<10) + "\r\n\r\n", strings.Repeat("a", 64<<10) + "\r\n\r\n",
		"HTTP/1.1 " + strings.Repeat("2", 64<<10) + "\r\n\r\n", strings.Repeat("H", 64<<10) + " 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: " + strings.Repeat("a", 64<<10) + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + strings.Repeat("a", 64<<10) + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Encoding: " + strings.Repeat("a", 64<<10) + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: " + strings.Repeat("a", 64<<10) + "\r\nConnection: close\r\n\r\n",
	} {
		res := doEndless(serveOnce(t, response), http.MethodGet)
		assert.Equal(t, res.Kind, Broken)
		assert.Assert(t, len(res.Err.Error()) < 2*maxErrorBytes, "%d bytes: %.300v", len(res.Err.Error()), res.Err)
	}
}
