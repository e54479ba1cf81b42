package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/mesh"
)

// questions matches the replies of other instances to this instance's questions for tokens, by number.
type questions struct {
	mu      sync.Mutex
	last    uint64
	pending map[uint64]chan mesh.TokenResponse
}

// ask sends a question and waits for the reply. It repeats the question at the interval, since a datagram may
// be lost, and returns false if there is no reply within the timeout. A later one is ignored.
func (q *questions) ask(ctx context.Context, timeout, interval time.Duration, send func(number uint64)) (reply mesh.TokenResponse, ok bool) {
	number, replies := q.open()
	defer q.close(number)
	end := time.NewTimer(timeout)
	defer end.Stop()
	repeat := time.NewTicker(interval)
	defer repeat.Stop()
	for {
		send(number)
		select {
		case reply = <-replies:
			return reply, true
		case <-repeat.C:
		case <-end.C:
			return reply, false
		case <-ctx.Done():
			return reply, false
		}
	}
}

func (q *questions) open() (uint64, chan mesh.TokenResponse) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending == nil {
		q.pending = make(map[uint64]chan mesh.TokenResponse)
		// A late reply to an earlier process at this address must match no question of this one.
		q.last = uint64(rand.Uint32())
	}
	q.last++
	replies := make(chan mesh.TokenResponse, 1)
	q.pending[q.last] = replies
	return q.last, replies
}

func (q *questions) close(number uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, number)
}

// deliver passes on a reply that has arrived.
func (q *questions) deliver(reply mesh.TokenResponse) {
	q.mu.Lock()
	replies := q.pending[reply.Number]
	q.mu.Unlock()
	if replies == nil {
		return
	}
	select {
	case replies <- reply:
	default: // already replied
	}
}

// questionID identifies a question of another process.
type questionID struct {
	requester string
	boot      int64
	number    uint64
}

// maxSentReplies is the number of replies that are kept for repeated questions.
const maxSentReplies = 256

// sentReplies keeps the latest replies to other instances, so that a repeated question gets the same one.
type sentReplies struct {
	mu      sync.Mutex
	replies map[questionID]mesh.TokenResponse
	order   [maxSentReplies]questionID
	next    int
}

// once returns the reply to a question. It calls reply only if the question is new.
func (s *sentReplies) once(id questionID, reply func() mesh.TokenResponse) mesh.TokenResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.replies[id]; ok {
		return r
	}
	if s.replies == nil {
		s.replies = make(map[questionID]mesh.TokenResponse)
	}
	r := reply()
	delete(s.replies, s.order[s.next])
	s.order[s.next], s.replies[id] = id, r
	s.next = (s.next + 1) % maxSentReplies
	return r
}
