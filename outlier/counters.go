package outlier

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// openSlots is how many open tries of one service an instance tracks
// concurrently. Further tries give evidence only when they end.
const openSlots = 256

// maxSlotProbes is how many slots are checked for a free one.
const maxSlotProbes = 8

// counter counts the tries at one target between two ticks. The request path
// adds, the tick drains. It fills a cache line.
type counter struct {
	good, failed, fast, slow, shed, cold, draining atomic.Uint32

	_ [36]byte
}

func (c *counter) drain() Counts {
	return Counts{
		Good: drained(&c.good), Failed: drained(&c.failed),
		Fast: drained(&c.fast), Slow: drained(&c.slow),
		Shed: drained(&c.shed), Cold: drained(&c.cold), Draining: drained(&c.draining),
	}
}

func drained(n *atomic.Uint32) uint32 {
	if n.Load() == 0 {
		return 0
	}
	return n.Swap(0)
}

// openTry is a slot for one open try. since is its start in nanoseconds, 0
// where the slot is free, and negative once the try has been counted as slow.
type openTry struct {
	since   atomic.Int64
	counter atomic.Pointer[counter]
}

// recorder is the part of a detector that the request path writes to. All
// methods except drain and scan are safe for concurrent use.
type recorder struct {
	counters  atomic.Pointer[map[fleet.TargetID]*counter]
	dirty     atomic.Bool
	open      atomic.Int32
	next      atomic.Uint32
	slowAfter atomic.Int64
	latencies histogram
	slots     [openSlots]openTry
}

// Try is an open try, from Start to Done. The zero Try is not tracked; Done does
// nothing for it.
type Try struct {
	counter *counter
	slot    *openTry
}

// setTargets keeps the counters of targets that remain.
func (r *recorder) setTargets(ts []fleet.Target) {
	old := r.counters.Load()
	m := make(map[fleet.TargetID]*counter, len(ts))
	for _, t := range ts {
		c := &counter{}
		if old != nil && (*old)[t.ID] != nil {
			c = (*old)[t.ID]
		}
		m[t.ID] = c
	}
	r.counters.Store(&m)
}

func (r *recorder) counter(t fleet.TargetID) *counter {
	m := r.counters.Load()
	if m == nil {
		return nil
	}
	return (*m)[t]
}

// start begins tracking a try.
func (r *recorder) start(t fleet.TargetID, now time.Time) Try {
	c := r.counter(t)
	if c == nil {
		return Try{}
	}
	at := max(now.UnixNano(), 1)
	first := r.next.Add(1)
	for i := range uint32(maxSlotProbes) {
		s := &r.slots[(first+i)%openSlots]
		if s.since.Load() == 0 && s.since.CompareAndSwap(0, at) {
			s.counter.Store(c)
			r.open.Add(1)
			return Try{counter: c, slot: s}
		}
	}
	return Try{counter: c}
}

// done ends a try.
func (r *recorder) done(t Try, res fleet.TryResult, latency time.Duration) {
	if t.counter == nil {
		return
	}
	counted := false
	if t.slot != nil {
		counted = t.slot.since.Swap(0) < 0
		r.open.Add(-1)
	}
	r.record(t.counter, res, latency, counted)
}

// record counts a try; counted means that it has already been
// counted as slow.
func (r *recorder) record(c *counter, res fleet.TryResult, latency time.Duration, counted bool) {
	switch {
	case res == fleet.TryOK:
		c.good.Add(1)
		r.recordLatency(c, latency, counted)
	case res.Failed():
		c.failed.Add(1)
	case res == fleet.TryShed:
		c.shed.Add(1)
	case res == fleet.TryCold:
		c.cold.Add(1)
	case res == fleet.TryDraining:
		c.draining.Add(1)
	default:
		return
	}
	if !r.dirty.Load() {
		r.dirty.Store(true)
	}
}

func (r *recorder) recordLatency(c *counter, latency time.Duration, counted bool) {
	r.latencies.add(latency)
	switch {
	case counted:
	case int64(latency) > r.slowAfter.Load():
		c.slow.Add(1)
	default:
		c.fast.Add(1)
	}
}

// scan counts the open tries that have become slow.
func (r *recorder) scan(now time.Time) {
	limit := r.slowAfter.Load()
	if r.open.Load() <= 0 || limit == math.MaxInt64 {
		return
	}
	at := now.UnixNano()
	for i := range r.slots {
		s := &r.slots[i]
		since := s.since.Load()
		if since <= 0 || at-since <= limit {
			continue
		}
		c := s.counter.Load()
		if c != nil && s.since.CompareAndSwap(since, -since) {
			c.slow.Add(1)
			r.dirty.Store(true)
		}
	}
}
