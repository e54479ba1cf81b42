package lab

import "time"

type eventKind uint8

const (
	evArrival eventKind = iota
	evSearch
	evRetry
	evTryDone
	evTryTimeout
	evTick
	evMessage
	evJoin
	evLeave
	evTakeover
	evSample
)

// event happens at a moment of the run. Of two at one moment the one that was
// planned first happens first.
type event struct {
	at   time.Duration
	seq  uint64
	kind eventKind
	// n is the instance of a tick, or the target that joins or leaves.
	n   int
	try *try
	req *request
	msg *Message
}

func (e event) before(o event) bool {
	return e.at < o.at || e.at == o.at && e.seq < o.seq
}

// events is a binary heap with the earliest event first.
type events struct {
	heap []event
	seq  uint64
}

func (q *events) push(e event) {
	q.seq++
	e.seq = q.seq
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 && q.heap[i].before(q.heap[(i-1)/2]) {
		q.heap[i], q.heap[(i-1)/2] = q.heap[(i-1)/2], q.heap[i]
		i = (i - 1) / 2
	}
}

func (q *events) pop() event {
	first := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = event{}
	q.heap = q.heap[:last]
	for i := 0; ; {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < last && q.heap[child].before(q.heap[least]) {
				least = child
			}
		}
		if least == i {
			return first
		}
		q.heap[i], q.heap[least] = q.heap[least], q.heap[i]
		i = least
	}
}
