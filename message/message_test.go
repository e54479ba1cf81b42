package message

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// TestTextThatIsNotUTF8IsPassedOn guards against a message that is refused as a whole because of one text
// in it, such as the key of another writer or the field of a caller.
func TestTextThatIsNotUTF8IsPassedOn(t *testing.T) {
	type fields struct{ A, B string }
	sent := fields{A: "pl\xe2ni-7", B: "rest"}
	b, err := cbor.Marshal(sent)
	assert.NilError(t, err)
	var got fields
	assert.NilError(t, Decode(b, &got))
	assert.Equal(t, got, sent)
}

// TestListsAreBounded guards against a short message whose lists take much memory.
func TestListsAreBounded(t *testing.T) {
	b, err := cbor.Marshal(make([]int, 5))
	assert.NilError(t, err)
	var got []int
	assert.NilError(t, NewDecoder(16).Decode(b, &got))
	b, err = cbor.Marshal(make([]int, 17))
	assert.NilError(t, err)
	assert.Assert(t, NewDecoder(16).Decode(b, &got) != nil)
}
