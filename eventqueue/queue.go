// Package eventqueue is a discrete-event scheduler with a simulated clock, for tests that model a
// fleet.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue is a queue of scheduled events. The zero value is empty, with its clock at 0.
type Queue struct {
	now      time.Duration
	sequence int
	events   eventHeap
}

// event is a scheduled function. Events of the same time run in the order in which they were added.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].sequence < h[b].sequence
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Now returns the time of the event that is running or ran last.
func (q *Queue) Now() time.Duration { return q.now }

// After schedules run at the given duration from now. The duration may be negative before the queue
// runs.
func (q *Queue) After(d time.Duration, run func()) {
	q.sequence++
	heap.Push(&q.events, event{q.now + d, q.sequence, run})
}

// Run executes all events before the given time, including those added while it runs.
func (q *Queue) Run(until time.Duration) {
	for len(q.events) > 0 && q.events[0].at < until {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.run()
	}
}
