package gateway

import "sync/atomic"

// memoryPool bounds memory that is held for a purpose.
type memoryPool struct {
	maxBytes  int64
	heldBytes atomic.Int64
	// room, if set, returns what others leave for the pool, in bytes.
	room func() int64
}

// limit returns the bytes that may be held now.
func (p *memoryPool) limit() int64 {
	if p.room == nil {
		return p.maxBytes
	}
	return min(p.maxBytes, p.room())
}

// Reserve implements reserver.
func (p *memoryPool) Reserve(n int64) bool {
	if n <= 0 {
		return true
	}
	if p.heldBytes.Add(n) > p.limit() {
		p.heldBytes.Add(-n)
		return false
	}
	return true
}

// Release implements reserver.
func (p *memoryPool) Release(n int64) { p.heldBytes.Add(-n) }
