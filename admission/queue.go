package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Queue wraps a Gate and blocks each queued request in its own goroutine. It is
// safe for concurrent use.
type Queue struct {
	gate  *Gate
	clock func() time.Time
	// queued is the number of waiting requests. Tick returns early at 0.
	queued atomic.Int64

	mu      sync.Mutex
	waiting map[Ticket]chan Event
	// early holds events that were delivered before their request was
	// registered in waiting.
	early map[Ticket]Event
}

// NewQueue returns a queue with a new gate.
func NewQueue(clock func() time.Time) *Queue {
	return &Queue{
		gate:    NewGate(),
		clock:   clock,
		waiting: make(map[Ticket]chan Event),
		early:   make(map[Ticket]Event),
	}
}

// Acquire blocks until the request is admitted or refused, or ctx is done. The
// caller must call Release after a verdict of Admitted. The only error is
// ctx.Err().
func (q *Queue) Acquire(ctx context.Context, value int, deadline time.Time) (Decision, error) {
	d, events := q.gate.Enter(q.clock(), value, deadline)
	q.deliver(events)
	if d.Verdict != Queued {
		return d, nil
	}
	q.queued.Add(1)
	defer q.queued.Add(-1)
	ch := q.register(d.Ticket)
	select {
	case e := <-ch:
		return Decision{Verdict: e.Verdict, RetryAfter: e.RetryAfter}, nil
	case <-ctx.Done():
		q.abandon(d.Ticket, ch)
		return Decision{}, ctx.Err()
	}
}

// Release frees the slot of an admitted request.
func (q *Queue) Release() { q.deliver(q.gate.Leave(q.clock())) }

// Observe records the result and latency of one try at a target.
func (q *Queue) Observe(r fleet.TryResult, latency time.Duration) {
	q.gate.Observe(q.clock(), r, latency)
}

// Tick refuses waiting requests that can no longer finish by their deadline.
// It must be called several times a second.
func (q *Queue) Tick() {
	if q.queued.Load() > 0 {
		q.deliver(q.gate.Tick(q.clock()))
	}
}

// SetCapacity calls Gate.SetCapacity.
func (q *Queue) SetCapacity(slots int, share float64) { q.gate.SetCapacity(slots, share) }

// Stats returns the gate's current values for metrics.
func (q *Queue) Stats() Stats { return q.gate.Stats() }

func (q *Queue) register(t Ticket) chan Event {
	ch := make(chan Event, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	if e, ok := q.early[t]; ok {
		delete(q.early, t)
		ch <- e
		return ch
	}
	q.waiting[t] = ch
	return ch
}

func (q *Queue) deliver(events []Event) {
	if len(events) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range events {
		ch, ok := q.waiting[e.Ticket]
		if !ok {
			q.early[e.Ticket] = e
			continue
		}
		delete(q.waiting, e.Ticket)
		ch <- e
	}
}

// abandon removes a waiting request. If the gate has already ended the wait
// with an admission, abandon releases it.
func (q *Queue) abandon(t Ticket, ch chan Event) {
	if q.gate.Abandon(t) {
		q.mu.Lock()
		delete(q.waiting, t)
		q.mu.Unlock()
		return
	}
	if e := <-ch; e.Verdict == Admitted {
		q.Release()
	}
}
