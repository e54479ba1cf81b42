package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// There is room for nothing also when the account is full, and a negative number makes no room.
func TestReserveNothing(t *testing.T) {
	b := &memoryPool{maxBytes: 10}
	assert.Assert(t, b.Reserve(10))
	b.maxBytes = 5
	assert.Assert(t, b.Reserve(0))
	assert.Assert(t, b.Reserve(-10))
	assert.Assert(t, !b.Reserve(1))
}
