package header

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// End-to-end fields must be kept, and the original header must not be modified.
func TestWithoutHopByHop(t *testing.T) {
	h := http.Header{"Connection": {"close, X-One", "x-two"}, "X-One": {"1"}, "X-Two": {"2"}, "X-Three": {"3"}}
	for _, name := range hopByHop {
		assert.Equal(t, name, http.CanonicalHeaderKey(name))
		if name != "Connection" {
			h[name] = []string{"x"}
		}
	}
	fields := len(h)
	assert.DeepEqual(t, WithoutHopByHop(h), http.Header{"X-Three": {"3"}})
	assert.Equal(t, len(h), fields)
	assert.DeepEqual(t, WithoutHopByHop(nil), http.Header{})
}
