package upstream

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/endless"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/pool"
)

// TestEndlessResponsesAreGivenUp guards against a try that keeps what a target sends without end, in any
// part of a response.
func TestEndlessResponsesAreGivenUp(t *testing.T) {
	const head, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	line := strings.Repeat("a", 1000)
	for name, form := range map[string][2]string{
		"no response":                   {"", "\x00\x01garbage"},
		"line ends":                     {"", "\r\n"},
		"status line":                   {"HTTP/1.1 200 ", line},
		"header line":                   {head + "X-A: ", line},
		"short header lines":            {head, "a:\r\n"},
		"interim responses":             {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"header of an interim response": {"HTTP/1.1 103 Early Hints\r\n", "Link: a\r\n"},
		"body":                          {head + "\r\n", line},
		"body of a huge length":         {head + "Content-Length: 1099511627776\r\n\r\n", line},
		"chunks":                        {chunked, "3e8\r\n" + line + "\r\n"},
		"tiny chunks":                   {chunked, "1\r\na\r\n"},
		"extension of a chunk":          {chunked + "1;", "a=b;"},
		"trailers":                      {chunked + "0\r\n", "X-A: a\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			addr := endless.Serve(t, form[0], form[1])
			target := fleet.Target{Addr: addr}
			transport := pool.New(pool.Config{}).RoundTripper(target)
			endless.Check(t, func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				res := Try(ctx, transport, Via{}, target, &Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, MaxResponseBytes: 1 << 20})
				assert.Check(t, res.Response == nil, "%v", res.Try)
			})
		})
	}
}
