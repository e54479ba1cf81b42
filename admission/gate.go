package admission

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// queueFactor is the maximum queue length as a multiple of the limit;
	// minQueue is its lower bound.
	queueFactor = 2
	minQueue    = 4
	// minRetryAfter and maxRetryAfter bound the retry delay sent to refused
	// callers.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// goldenRatio spreads the retry delays of consecutive refused callers.
	goldenRatio = 0.6180339887
)

// Verdict is the outcome of a request at a gate.
type Verdict uint8

const (
	// Admitted requests may start; the caller must call Leave at their end.
	Admitted Verdict = iota + 1
	// Queued requests wait for an Event with their ticket.
	Queued
	// ShedFull requests are refused because the queue is full of requests of
	// at least their value.
	ShedFull
	// ShedLate requests are refused because they can't finish by their
	// deadline.
	ShedLate
)

var verdictNames = [...]string{
	Admitted: "admitted", Queued: "queued", ShedFull: "shed-full", ShedLate: "shed-late",
}

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string {
	if v == 0 || int(v) >= len(verdictNames) {
		return fmt.Sprintf("verdict(%d)", uint8(v))
	}
	return verdictNames[v]
}

// Shed reports whether the request was refused.
func (v Verdict) Shed() bool { return v == ShedFull || v == ShedLate }

// Ticket identifies a queued request of one gate.
type Ticket uint64

// Decision is a gate's decision on one request.
type Decision struct {
	Verdict Verdict
	// Ticket is set for Queued.
	Ticket Ticket
	// RetryAfter is the delay before a retry, set for refused requests.
	RetryAfter time.Duration
}

// Event ends the wait of one queued request: it is admitted or refused.
type Event struct {
	Ticket     Ticket
	Verdict    Verdict
	RetryAfter time.Duration
}

// Gate limits the requests in flight of one class of one service at this
// instance. It is safe for concurrent use.
type Gate struct {
	mu         sync.Mutex
	limit      limit
	inFlight   int
	waiting    waitList
	lastTicket Ticket
	refused    uint64
}

// NewGate returns a gate with a capacity of one slot until SetCapacity is
// called.
func NewGate() *Gate {
	g := &Gate{}
	g.limit.setCapacity(1, 1)
	return g
}

// SetCapacity sets the number of healthy slots over all targets of the service
// and the share, from 0 to 1, of its requests that arrive at this instance.
func (g *Gate) SetCapacity(slots int, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.setCapacity(slots, share)
}

// Enter admits, queues or refuses a request with a value and a deadline. The
// events refuse queued requests of lower value that it displaced.
func (g *Gate) Enter(now time.Time, value int, deadline time.Time) (Decision, []Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	idle := g.inFlight == 0 && len(g.waiting) == 0
	if !idle && g.late(now, deadline, g.waiting.ahead(value)) {
		return g.shed(ShedLate), nil
	}
	if len(g.waiting) == 0 && g.inFlight < g.limit.rounded() {
		g.inFlight++
		return Decision{Verdict: Admitted}, nil
	}
	return g.enqueue(value, deadline)
}

// late reports whether a request with ahead others before it in the queue
// can't finish by its deadline.
func (g *Gate) late(now, deadline time.Time, ahead int) bool {
	wait := time.Duration(0)
	if ahead > 0 || g.inFlight >= g.limit.rounded() {
		wait = g.expectedWait(ahead + 1)
	}
	return now.Add(wait + g.limit.latency()).After(deadline)
}

// expectedWait returns the expected time for n requests to leave the queue.
func (g *Gate) expectedWait(n int) time.Duration {
	return time.Duration(float64(g.limit.latency()) * float64(n) / math.Max(1, g.limit.value))
}

func (g *Gate) enqueue(value int, deadline time.Time) (Decision, []Event) {
	var events []Event
	if len(g.waiting) >= g.queueLength() {
		lowest := g.waiting[len(g.waiting)-1]
		if lowest.value >= value {
			return g.shed(ShedFull), nil
		}
		g.waiting = g.waiting[:len(g.waiting)-1]
		events = []Event{g.end(lowest.ticket, ShedFull)}
	}
	g.lastTicket++
	g.waiting.insert(waiter{ticket: g.lastTicket, value: value, deadline: deadline})
	return Decision{Verdict: Queued, Ticket: g.lastTicket}, events
}

func (g *Gate) queueLength() int {
	return max(minQueue, queueFactor*g.limit.rounded())
}

// Leave ends an admitted request. The events admit or refuse queued requests.
func (g *Gate) Leave(now time.Time) []Event {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	return g.advance(now)
}

// Abandon removes a queued request whose caller has cancelled it. It returns
// false if the wait has already ended; if the request was admitted, the caller
// must then call Leave.
func (g *Gate) Abandon(t Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting.remove(t)
}

// Observe records the result and latency of one try at a target.
func (g *Gate) Observe(now time.Time, r fleet.TryResult, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	nearlyUsed := float64(g.inFlight) >= usedThreshold*g.limit.value
	g.limit.observe(now, r, latency, nearlyUsed)
}

// Tick refuses queued requests that can no longer finish by their deadline and
// admits others if there is room.
func (g *Gate) Tick(now time.Time) []Event {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.advance(now)
}

// advance refuses queued requests that are overdue and admits others while the
// limit allows.
func (g *Gate) advance(now time.Time) []Event {
	var events []Event
	kept := g.waiting[:0]
	for i, w := range g.waiting {
		room := g.inFlight < g.limit.rounded()
		switch {
		case g.overdue(now, w.deadline):
			events = append(events, g.end(w.ticket, ShedLate))
		case room && len(kept) == 0:
			g.inFlight++
			events = append(events, Event{Ticket: w.ticket, Verdict: Admitted})
		default:
			kept = append(kept, g.waiting[i])
		}
	}
	g.waiting = kept
	return events
}

// overdue reports whether a request would miss its deadline even if it started
// now.
func (g *Gate) overdue(now, deadline time.Time) bool {
	if g.inFlight == 0 {
		return now.After(deadline)
	}
	return now.Add(g.limit.latency()).After(deadline)
}

func (g *Gate) end(t Ticket, v Verdict) Event {
	d := g.shed(v)
	return Event{Ticket: t, Verdict: v, RetryAfter: d.RetryAfter}
}

// shed refuses a request. Its retry delay is spread between one and two times
// the expected time for the queue and the requests in flight to finish, so
// that refused callers don't retry all at once.
func (g *Gate) shed(v Verdict) Decision {
	g.refused++
	wait := max(minRetryAfter, g.expectedWait(len(g.waiting)+g.inFlight))
	_, frac := math.Modf(float64(g.refused) * goldenRatio)
	after := time.Duration(float64(wait) * (1 + frac))
	return Decision{Verdict: v, RetryAfter: min(after, maxRetryAfter)}
}

// Stats are the current values of a gate for metrics.
type Stats struct {
	Limit    float64
	InFlight int
	Waiting  int
	Latency  time.Duration
	Refused  uint64
}

// Stats returns the gate's current values.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Stats{
		Limit:    g.limit.value,
		InFlight: g.inFlight,
		Waiting:  len(g.waiting),
		Latency:  g.limit.latency(),
		Refused:  g.refused,
	}
}
