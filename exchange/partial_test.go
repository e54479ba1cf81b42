package exchange

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/partial"
)

// TestPartialResponseIsNone guards against a response that breaks off anywhere, also in its head, and is passed on
// as a whole one with a short body.
func TestPartialResponseIsNone(t *testing.T) {
	framings := partial.Framings("X-Id: r1\r\nX-Seal: s\r\n", "a body of some bytes")
	partial.Each(t, framings, func(t *testing.T, addr string) {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			res := doEndless(addr, method)
			assert.Check(t, res.Kind != Answered && res.Response == nil, "%s: %v", method, res.Kind)
		}
	})
	for name, response := range framings {
		res := doEndless(partial.Serve(t, response, partial.Closed), http.MethodGet)
		assert.Equal(t, res.Kind, Answered, "%s: %v", name, res.Err)
	}
}
