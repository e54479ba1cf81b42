package upstream

import (
	"context"
	"net/http"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/partial"
	"github.com/clementinereel/clementinereel/pool"
)

// TestPartialResponseIsNone guards against a response that breaks off anywhere, also in its head, and is passed on
// as a whole one with a short body.
func TestPartialResponseIsNone(t *testing.T) {
	try := func(addr string) Result {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		target := fleet.Target{Addr: addr}
		rt := pool.New(pool.Config{}).RoundTripper(target)
		return Try(ctx, rt, Via{}, target, &Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, MaxResponseBytes: 1 << 20})
	}
	framings := partial.Framings("", "a body of some bytes")
	partial.Each(t, framings, func(t *testing.T, addr string) {
		res := try(addr)
		assert.Check(t, res.Response == nil && !res.NotRun(), "%v", res.Try)
	})
	for name, response := range framings {
		res := try(partial.Serve(t, response, partial.Closed))
		assert.Assert(t, res.Response != nil, "%s: %v", name, res.Err)
		assert.Equal(t, string(res.Response.Body), "a body of some bytes", name)
	}
}
