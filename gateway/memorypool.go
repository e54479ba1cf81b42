package gateway

import "sync/atomic"

// memoryPool bounds memory that is held for a purpose.
type memoryPool struct {
	maxBytes  int64
	heldBytes atomic.Int64
}

// Reserve implements reserver.
func (p *memoryPool) Reserve(n int64) bool {
	if n <= 0 {
		return true
	}
	if p.heldBytes.Add(n) > p.maxBytes {
		p.heldBytes.Add(-n)
		return false
	}
	return true
}

// Release implements reserver.
func (p *memoryPool) Release(n int64) { p.heldBytes.Add(-n) }
