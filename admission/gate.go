package admission

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// queueFactor is the length of the queue as a multiple of the limit.
	queueFactor = 2
	minQueue    = 4
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// goldenRatio spreads the retry times of callers refused in a row.
	goldenRatio = 0.6180339887
)

// Verdict is what a gate says to a request.
type Verdict uint8

const (
	// Admitted requests may start; Leave must follow.
	Admitted Verdict = iota + 1
	// Queued requests wait for an Event with their ticket.
	Queued
	// ShedFull: the gate is full of requests at least as valuable.
	ShedFull
	// ShedLate: the request can't finish within its deadline.
	ShedLate
)

var verdictNames = [...]string{
	Admitted: "admitted", Queued: "queued", ShedFull: "shed-full", ShedLate: "shed-late",
}

// String returns the verdict as logs and metrics write it.
func (v Verdict) String() string {
	if v == 0 || int(v) >= len(verdictNames) {
		return fmt.Sprintf("verdict(%d)", uint8(v))
	}
	return verdictNames[v]
}

// Shed tells whether the request was refused.
func (v Verdict) Shed() bool { return v == ShedFull || v == ShedLate }

// Ticket names a waiting request of one gate.
type Ticket uint64

// Decision is a gate's answer to one request.
type Decision struct {
	Verdict Verdict
	// Ticket is set for Queued.
	Ticket Ticket
	// RetryAfter is set for refused requests.
	RetryAfter time.Duration
}

// Event ends the waiting of one request.
type Event struct {
	Ticket     Ticket
	Verdict    Verdict
	RetryAfter time.Duration
}

// Gate bounds the requests of one class at one service. It is safe for
// concurrent use.
type Gate struct {
	mu       sync.Mutex
	limit    limit
	inFlight int
	waiting  waitList
	last     Ticket
	refused  uint64
}

// NewGate returns a gate for a service whose capacity is not known yet.
func NewGate() *Gate {
	g := &Gate{}
	g.limit.setCapacity(1, 1)
	return g
}

// SetCapacity tells the gate the service's healthy slots over all targets and
// the share of the service's requests that arrive at this instance, from 0 to 1.
func (g *Gate) SetCapacity(slots int, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.setCapacity(slots, share)
}

// Enter decides on one request with a value and a deadline. Requests that
// give way to it are returned as events.
func (g *Gate) Enter(now time.Time, value int, deadline time.Time) (Decision, []Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	idle := g.inFlight == 0 && len(g.waiting) == 0
	if !idle && g.late(now, deadline, g.waiting.ahead(value)) {
		return g.shed(ShedLate), nil
	}
	if len(g.waiting) == 0 && g.inFlight < g.limit.whole() {
		g.inFlight++
		return Decision{Verdict: Admitted}, nil
	}
	return g.enqueue(value, deadline)
}

// late tells whether a request behind so many others can't finish in time.
func (g *Gate) late(now, deadline time.Time, ahead int) bool {
	wait := time.Duration(0)
	if ahead > 0 || g.inFlight >= g.limit.whole() {
		wait = g.expectedWait(ahead + 1)
	}
	return now.Add(wait + g.limit.latency()).After(deadline)
}

// expectedWait is how long n requests take to leave the queue.
func (g *Gate) expectedWait(n int) time.Duration {
	return time.Duration(float64(g.limit.latency()) * float64(n) / math.Max(1, g.limit.value))
}

func (g *Gate) enqueue(value int, deadline time.Time) (Decision, []Event) {
	var events []Event
	if len(g.waiting) >= g.queueLength() {
		least := g.waiting[len(g.waiting)-1]
		if least.value >= value {
			return g.shed(ShedFull), nil
		}
		g.waiting = g.waiting[:len(g.waiting)-1]
		events = []Event{g.end(least.ticket, ShedFull)}
	}
	g.last++
	g.waiting.insert(waiter{ticket: g.last, value: value, deadline: deadline})
	return Decision{Verdict: Queued, Ticket: g.last}, events
}

func (g *Gate) queueLength() int {
	return max(minQueue, queueFactor*g.limit.whole())
}

// Leave ends an admitted request; the events admit or refuse waiting ones.
func (g *Gate) Leave(now time.Time) []Event {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	return g.advance(now)
}

// Abandon takes back a waiting request whose caller left. It tells false if
// its waiting has already ended; an admitted request must Leave then.
func (g *Gate) Abandon(t Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting.remove(t)
}

// Observe records the end of one try at a target.
func (g *Gate) Observe(now time.Time, r fleet.TryResult, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	nearlyUsed := float64(g.inFlight) >= usedAt*g.limit.value
	g.limit.observe(now, r, latency, nearlyUsed)
}

// Tick ends the waiting of requests that can't finish any more.
func (g *Gate) Tick(now time.Time) []Event {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.advance(now)
}

// advance refuses what has become late and admits while there is room.
func (g *Gate) advance(now time.Time) []Event {
	var events []Event
	kept := g.waiting[:0]
	for i, w := range g.waiting {
		room := g.inFlight < g.limit.whole()
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

// overdue tells whether a request could not finish even if it began now.
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

// shed refuses a request. Callers refused in a row are told times that are
// spread over half to the whole of what the queue takes to empty.
func (g *Gate) shed(v Verdict) Decision {
	g.refused++
	wait := max(minRetryAfter, g.expectedWait(len(g.waiting)+g.inFlight))
	_, part := math.Modf(float64(g.refused) * goldenRatio)
	after := time.Duration(float64(wait) * (1 + part))
	return Decision{Verdict: v, RetryAfter: min(after, maxRetryAfter)}
}

// Stats are a gate's figures for metrics.
type Stats struct {
	Limit    float64
	InFlight int
	Waiting  int
	Latency  time.Duration
	Refused  uint64
}

// Stats returns the gate's figures.
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
