package statesync

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/endless"
	"github.com/clementinereel/clementinereel/transfer"
)

// TestEndlessPeers answers instances in trouble that send bytes without end: a pull is given up at once, with little
// memory held.
func TestEndlessPeers(t *testing.T) {
	const head, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	line := strings.Repeat("a", 1000)
	zeros, err := compress(make([]byte, 2*maxSnapshotBytes))
	assert.NilError(t, err)
	for _, tc := range []struct{ name, first, repeat string }{
		{"no response at all", "", "\x00\x01garbage"},
		{"status line", "HTTP/1.1 200 ", line},
		{"header line", head + "X-A: ", line},
		{"header lines", head, "a:\r\n"},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"body", head + "\r\n", line},
		{"chunked body", chunked, "3e8\r\n" + line + "\r\n"},
		{"failure", "HTTP/1.1 500 No\r\n\r\n", line},
		{"compressed body", head + "Content-Encoding: deflate\r\n\r\n" + string(zeros), "a"},
		{"empty compressed blocks", head + "Content-Encoding: deflate\r\n\r\n", "\x00\x00\x00\xff\xff"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr := endless.Serve(t, tc.first, tc.repeat)
			var err error
			endless.Check(t, func() {
				watch, ctx := transfer.NewWatch(t.Context(), pullTimeout, stallTimeout)
				defer watch.Stop()
				_, err = pull(ctx, newPullClient(true), addr, pullRequest{})
			})
			assert.Assert(t, err != nil)
		})
	}
}

// TestDecompressionIsBounded checks that a small body does not become a large one.
func TestDecompressionIsBounded(t *testing.T) {
	zeros, err := compress(make([]byte, 16*maxSnapshotBytes))
	assert.NilError(t, err)
	endless.Check(t, func() { _, err = decompress(zeros) })
	assert.ErrorIs(t, err, transfer.ErrTooLarge)
}
