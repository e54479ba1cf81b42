package emulator

import (
	"context"
	"sync/atomic"
)

// slots admits a bounded number of requests and lets a bounded number wait.
type slots struct {
	free    chan struct{}
	waiting atomic.Int64
	queue   int64
}

func newSlots(n, queue int) *slots {
	s := &slots{free: make(chan struct{}, n), queue: int64(queue)}
	for range n {
		s.free <- struct{}{}
	}
	return s
}

// acquire takes a slot. It reports false if the queue is full or the context
// ends first.
func (s *slots) acquire(ctx context.Context) bool {
	select {
	case <-s.free:
		return true
	default:
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > s.queue {
		return false
	}
	select {
	case <-s.free:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *slots) release() { s.free <- struct{}{} }

// busy returns how many slots are taken.
func (s *slots) busy() int { return cap(s.free) - len(s.free) }
