package statesync

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/partial"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/transfer"
)

// TestPartialStateOfPeerIsNone guards against a peer's state that breaks off anywhere and is taken for a whole one, in
// which the targets that have not arrived are gone.
func TestPartialStateOfPeerIsNone(t *testing.T) {
	sent, err := cbor.Marshal(PeerSnapshot{Registry: 9, Epoch: 1, Entries: []registry.Entry{*record(7, "a").Entry, *record(8, "b").Entry}})
	assert.NilError(t, err)
	body, err := compress(sent)
	assert.NilError(t, err)
	framings := partial.Framings("Content-Encoding: deflate\r\n", string(body))
	fetch := func(t *testing.T, addr string) (PeerSnapshot, error) {
		watch, ctx := transfer.NewWatch(t.Context(), pullTimeout, stallTimeout)
		defer watch.Stop()
		return pull(ctx, newPullClient(true), addr, pullRequest{})
	}
	partial.Each(t, framings, func(t *testing.T, addr string) {
		_, err := fetch(t, addr)
		assert.Check(t, err != nil)
	})
	for name, response := range framings {
		w, err := fetch(t, partial.Serve(t, response, partial.Closed))
		assert.NilError(t, err, name)
		assert.Equal(t, len(w.Entries), 2, name)
	}
}
