package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Queue is a Gate whose requests wait in their own goroutines.
type Queue struct {
	gate  *Gate
	clock func() time.Time
	// queued is how many requests wait; Tick has nothing to do for none.
	queued atomic.Int64

	mu      sync.Mutex
	waiting map[Ticket]chan Event
	// early holds events that came before their request began to wait.
	early map[Ticket]Event
}

// NewQueue returns a queue with a gate of its own.
func NewQueue(clock func() time.Time) *Queue {
	return &Queue{
		gate:    NewGate(),
		clock:   clock,
		waiting: make(map[Ticket]chan Event),
		early:   make(map[Ticket]Event),
	}
}

// Acquire waits until the request is admitted, refused, or its context ends.
// A verdict of Admitted must be followed by Release. The error is that of the
// context.
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

// Release ends an admitted request.
func (q *Queue) Release() { q.deliver(q.gate.Leave(q.clock())) }

// Observe records the end of one try at a target.
func (q *Queue) Observe(r fleet.TryResult, latency time.Duration) {
	q.gate.Observe(q.clock(), r, latency)
}

// Tick refuses waiting requests that can't finish any more; call it several
// times a second.
func (q *Queue) Tick() {
	if q.queued.Load() > 0 {
		q.deliver(q.gate.Tick(q.clock()))
	}
}

// SetCapacity is Gate.SetCapacity.
func (q *Queue) SetCapacity(slots int, share float64) { q.gate.SetCapacity(slots, share) }

// Stats returns the gate's figures.
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

// abandon gives up waiting. If the event was faster, an admission is given
// back.
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
