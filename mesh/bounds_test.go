package mesh

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/endless"
)

// TestLargestDatagrams checks that the largest datagram takes little memory, whatever it claims to contain: empty
// elements decode to the largest ones.
func TestLargestDatagrams(t *testing.T) {
	n := startNode(t, "a")
	const elements = readBufferBytes - 64
	for key := 1; key <= 40; key++ {
		for name, element := range map[string]byte{"null": 0xf6, "empty map": 0xa0, "empty array": 0x80, "zero": 0} {
			list := append([]byte{0x99, elements >> 8, elements & 0xff}, bytes.Repeat([]byte{element}, elements)...)
			b, err := cbor.Marshal(map[int]any{1: "127.0.0.1:9", key + 1: cbor.RawMessage(list)})
			assert.NilError(t, err)
			bytes, took := endless.Peak(func() { n.HandleDatagram(b) })
			assert.Check(t, bytes <= endless.MaxHeapBytes && took <= endless.MaxTime, "field %d, %s: %d bytes, %v", key+1, name, bytes, took)
		}
	}
}
