package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
)

// fullGate returns a gate of one slot with one request in flight and an
// expected latency of 10 ms.
func fullGate(t *testing.T) *Gate {
	t.Helper()
	g := NewGate()
	g.SetCapacity(1, 1)
	g.Observe(testEpoch, fleet.TryOK, 10*time.Millisecond)
	assert.Equal(t, enter(g, 50).Verdict, Admitted)
	return g
}

func enter(g *Gate, value int) Decision {
	d, _ := g.Enter(testEpoch, value, testEpoch.Add(time.Second))
	return d
}

func TestThroughputUnderOverload(t *testing.T) {
	for _, c := range []struct {
		name                   string
		slots                  int
		queues                 bool
		load, minDone, minHigh float64
	}{
		{"targets shed, within capacity", 40, false, 0.9, 0.97, 0.97},
		{"targets shed, 10 % over", 24, false, 1.1, 0.93, 0.88},
		{"targets shed, 10 % over", 40, false, 1.1, 0.95, 0.93},
		{"targets shed, 10 % over", 60, false, 1.1, 0.94, 0.95},
		{"targets shed, flood", 40, false, 10, 0.95, 0},
		{"targets queue, within capacity", 40, true, 0.9, 0.98, 0.98},
		{"targets queue, 10 % over", 24, true, 1.1, 0.95, 0.95},
		{"targets queue, 10 % over", 40, true, 1.1, 0.95, 0.97},
		{"targets queue, double", 40, true, 2, 0.9, 0},
	} {
		s := newTestService(1, 44, c.slots, false)
		s.queues = c.queues
		s.run(3*time.Second, c.load*s.capacity())
		s.reset()
		s.run(5*time.Second, c.load*s.capacity())
		expected := min(float64(s.offered), s.capacity()*5)
		got := float64(s.done) / expected
		high := float64(s.done-s.doneLow) / float64(s.offered-s.offeredLow)
		t.Logf("%s, %d slots: %.3f of the expected requests, %.3f of those of high value", c.name, c.slots, got, high)
		assert.Assert(t, got >= c.minDone && high >= c.minHigh)
	}
}

func TestLowestValueIsShedFirst(t *testing.T) {
	g := fullGate(t)
	lowest := enter(g, 10)
	for range minQueue - 1 {
		assert.Equal(t, enter(g, 50).Verdict, Queued)
	}
	refused := enter(g, 10)
	assert.Equal(t, refused.Verdict, ShedFull)
	assert.Assert(t, refused.RetryAfter >= minRetryAfter)

	d, events := g.Enter(testEpoch, 90, testEpoch.Add(time.Second))
	assert.Equal(t, d.Verdict, Queued)
	assert.Equal(t, len(events), 1)
	assert.Equal(t, events[0].Ticket, lowest.Ticket)
	assert.Equal(t, events[0].Verdict, ShedFull)

	events = g.Leave(testEpoch)
	assert.Equal(t, len(events), 1)
	assert.Equal(t, events[0], Event{Ticket: d.Ticket, Verdict: Admitted})
}

func TestLateRequestIsRefused(t *testing.T) {
	g := fullGate(t)
	d, _ := g.Enter(testEpoch, 50, testEpoch.Add(15*time.Millisecond))
	assert.Equal(t, d.Verdict, ShedLate)

	d, _ = g.Enter(testEpoch, 50, testEpoch.Add(30*time.Millisecond))
	assert.Equal(t, d.Verdict, Queued)
	assert.Equal(t, len(g.Tick(testEpoch.Add(15*time.Millisecond))), 0)
	events := g.Tick(testEpoch.Add(25 * time.Millisecond))
	assert.Equal(t, len(events), 1)
	assert.Equal(t, events[0].Verdict, ShedLate)
}

func TestIdleGateAdmitsAtAnyLatency(t *testing.T) {
	g := NewGate()
	g.Observe(testEpoch, fleet.TryOK, time.Hour)
	assert.Equal(t, enter(g, 50).Verdict, Admitted)
}

func TestAbandon(t *testing.T) {
	g := fullGate(t)
	d := enter(g, 50)
	assert.Assert(t, g.Abandon(d.Ticket))
	assert.Assert(t, !g.Abandon(d.Ticket))
	assert.Equal(t, len(g.Leave(testEpoch)), 0)
	assert.Equal(t, g.Stats().InFlight, 0)
}

func TestSlowMinorityDoesNotLowerTheLimit(t *testing.T) {
	g := NewGate()
	g.SetCapacity(40, 0.5)
	before := g.Stats().Limit
	for i := range 1000 {
		latency, r := 20*time.Millisecond, fleet.TryOK
		if i%3 == 0 {
			latency, r = time.Second, fleet.TryTimeout
		}
		g.Observe(testEpoch.Add(time.Duration(i)*time.Millisecond), r, latency)
	}
	assert.Equal(t, g.Stats().Limit, before)
}

func TestQueueUnderConcurrentUse(t *testing.T) {
	q := NewQueue(time.Now)
	q.SetCapacity(3, 1)
	var inFlight, worst atomic.Int64
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%5 == 0 {
				cancel()
			}
			d, err := q.Acquire(ctx, i%100, time.Now().Add(time.Minute))
			if err != nil || d.Verdict != Admitted {
				return
			}
			if n := inFlight.Add(1); n > worst.Load() {
				worst.Store(n)
			}
			time.Sleep(time.Millisecond)
			inFlight.Add(-1)
			q.Release()
		})
	}
	wg.Wait()
	assert.Assert(t, worst.Load() <= 3, "%d", worst.Load())
	stats := q.Stats()
	assert.Equal(t, stats.InFlight, 0)
	assert.Equal(t, stats.Waiting, 0)
	assert.Equal(t, len(q.waiting)+len(q.early), 0)
}

func BenchmarkEnterLeave(b *testing.B) {
	g := NewGate()
	g.SetCapacity(40, 1)
	now, deadline := testEpoch, testEpoch.Add(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		g.Enter(now, 50, deadline)
		g.Observe(now, fleet.TryOK, 10*time.Millisecond)
		g.Leave(now)
	}
}
