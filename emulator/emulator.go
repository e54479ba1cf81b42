package emulator

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/header"
)

// readFirst is the largest body, in bytes, that is read before the request
// waits for a slot. While a body is unread a caller that left goes unnoticed.
const readFirst = 64 << 10

// Emulator is the state of one emulated target.
type Emulator struct {
	opts    Options
	slots   *slots
	records *records

	mu       sync.Mutex
	rand     *rand.Rand
	behavior Behavior
	since    time.Time
	dead     bool
	onDeath  func()
}

// New returns a well target.
func New(o Options) (*Emulator, error) {
	if err := o.Service.check(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	return &Emulator{
		opts:    o,
		slots:   newSlots(o.Slots, o.Queue),
		records: newRecords(o.ID),
		rand:    rand.New(rand.NewPCG(o.Seed, 0)),
		since:   time.Now(),
	}, nil
}

// Set replaces the behavior from now on. It revives a dead target.
func (e *Emulator) Set(b Behavior) error {
	if err := b.check(); err != nil {
		return err
	}
	e.records.resetArrivals()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behavior = b
	e.since = time.Now()
	e.dead = false
	return nil
}

// Runs returns the executions by key.
func (e *Emulator) Runs() map[string]Run { return e.records.snapshotRuns() }

// Arrivals returns the work that came since the behavior was set.
func (e *Emulator) Arrivals() []Arrival { return e.records.snapshotArrivals() }

// Stats returns the counters.
func (e *Emulator) Stats() Stats {
	s := e.records.snapshotStats()
	s.Busy = e.slots.busy()
	s.Waiting = int(e.slots.waiting.Load())
	return s
}

// plan is what is to happen to one request.
type plan struct {
	Behavior
	sick   bool
	refuse string
	time   time.Duration
	fault  fault
}

// fault is the kind of failure that one request meets.
type fault string

const (
	noFault       fault = ""
	faultHang     fault = "hang"
	faultError    fault = "error"
	faultReset    fault = "reset"
	faultTruncate fault = "truncate"
)

// plan decides a request's fate. It reports false if the target is dead.
func (e *Emulator) plan(h http.Header) (plan, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return plan{}, false
	}
	since := time.Since(e.since)
	p := plan{Behavior: e.behavior, sick: e.behavior.sick(since, h)}
	p.refuse = p.refusal(since)
	p.time = time.Duration(float64(e.opts.Service.draw(e.rand)) * p.slowness(since, p.sick))
	if p.sick {
		p.fault = e.drawFault()
	}
	e.records.arrived(Arrival{After: since, Instance: h.Get(header.ViaInstance), Sick: p.sick})
	return p, true
}

// drawFault picks at most one fault; the percentages add up.
func (e *Emulator) drawFault() fault {
	b, x := e.behavior, e.rand.Float64()*100
	for _, f := range []struct {
		fault   fault
		percent float64
	}{
		{faultHang, b.HangPercent}, {faultError, b.ErrorPercent},
		{faultReset, b.ResetPercent}, {faultTruncate, b.TruncatePercent},
	} {
		if x < f.percent {
			return f.fault
		}
		x -= f.percent
	}
	return noFault
}

// work serves one request for real work.
func (e *Emulator) work(w http.ResponseWriter, r *http.Request) {
	p, alive := e.plan(r.Header)
	if !alive {
		reset(w)
		return
	}
	if p.refuse != "" {
		e.refuse(w, p.refuse)
		return
	}
	ctx, cancel := deadline(r)
	defer cancel()
	x := &execution{e: e, p: p, w: w, r: r, ctx: ctx, key: operationKey(r.Header)}
	x.serve()
}

// deadline returns the request's context, bounded by Request-Timeout-Ms.
func deadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get(header.RequestTimeout))
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// refuse tells that the work did not run.
func (e *Emulator) refuse(w http.ResponseWriter, reason string) {
	e.records.update(func(s *Stats) { s.Refused[reason]++ })
	w.Header().Set(header.TargetNotRun, reason)
	seconds := max(1, int(e.opts.RetryAfter.D()/time.Second))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	http.Error(w, "not run: "+reason, http.StatusServiceUnavailable)
}

// die makes the target answer nothing until the next Set.
func (e *Emulator) die(w http.ResponseWriter) {
	e.mu.Lock()
	e.dead = true
	onDeath := e.onDeath
	e.mu.Unlock()
	if w != nil {
		reset(w)
	}
	if onDeath != nil {
		onDeath()
	}
}

// Kill makes the target die now.
func (e *Emulator) Kill() { e.die(nil) }
