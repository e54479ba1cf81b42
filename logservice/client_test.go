package logservice

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/partial"
)

// TestPartialReplyIsNone guards against a reply of the platform that breaks off anywhere and is taken for a whole one
// with fewer instances.
func TestPartialReplyIsNone(t *testing.T) {
	const instances = 2
	framings := partial.Framings("", `[{"id":"a"},{"id":"b"}]`)
	list := func(addr string) ([]Listed, error) {
		return NewClient("http://"+addr, time.Second).Instances(t.Context())
	}
	partial.Each(t, framings, func(t *testing.T, addr string) {
		got, err := list(addr)
		// The last bytes of chunks only say that nothing follows.
		assert.Check(t, err != nil || len(got) == instances, "%v", got)
	})
	for name, response := range framings {
		got, err := list(partial.Serve(t, response, partial.Closed))
		assert.NilError(t, err, name)
		assert.Equal(t, len(got), instances, name)
	}
}
