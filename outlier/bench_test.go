package outlier

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
)

func benchDetector(n int) *Detector {
	d := NewDetector(testConfig(0.5), "i", "z0")
	d.SetTargets(epoch, testTargets(n))
	d.Tick(epoch)
	return d
}

func TestRecordingAllocatesNothing(t *testing.T) {
	d := benchDetector(100)
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		d.Record("t07", fleet.TryOK, fakeLatency)
		d.Done(d.Start("t07", epoch), fleet.TryTimeout, fakeTimeout)
	}), 0.0)
}

func BenchmarkRecord(b *testing.B) {
	d := benchDetector(100)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			d.Record("t07", fleet.TryOK, fakeLatency)
		}
	})
}

func BenchmarkStartDone(b *testing.B) {
	d := benchDetector(100)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			d.Done(d.Start("t07", epoch), fleet.TryOK, fakeLatency)
		}
	})
}

var benchSizes = []int{10, 100, 1000, 10000}

func benchEach(b *testing.B, run func(b *testing.B, n int)) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			run(b, n)
		})
	}
}

func BenchmarkTickIdle(b *testing.B) {
	benchEach(b, func(b *testing.B, n int) {
		d, now := benchDetector(n), epoch
		for b.Loop() {
			now = now.Add(100 * time.Millisecond)
			d.Tick(now)
		}
	})
}

func BenchmarkTickBusy(b *testing.B) {
	benchEach(b, func(b *testing.B, n int) {
		d, now := benchDetector(n), epoch
		for i := 0; b.Loop(); i++ {
			now = now.Add(100 * time.Millisecond)
			d.Record(d.targets[i%n].target.ID, fleet.TryOK, fakeLatency)
			if r := d.Tick(now).Report; r != nil {
				d.ApplyVerdicts(now, Verdicts{From: "a", Session: r.Session, Ack: r.Seq})
			}
		}
	})
}

// BenchmarkFold applies a report about ten targets.
func BenchmarkFold(b *testing.B) {
	benchEach(b, func(b *testing.B, n int) {
		a, now := NewAggregator(testConfig(0.5), "agg"), epoch
		ts := testTargets(n)
		a.SetTargets(ts)
		r := Report{From: "i", Zone: "z0", Session: 1, Targets: make([]TargetCounts, 10)}
		for i := 0; b.Loop(); i++ {
			r.Seq++
			for j := range r.Targets {
				r.Targets[j].Target = ts[(i+j)%n].ID
				r.Targets[j].Counts.Good += 3
				r.Targets[j].Counts.Fast += 3
			}
			a.Fold(now, r)
			if i%64 == 0 {
				now = now.Add(100 * time.Millisecond)
				a.Tick(now)
			}
		}
	})
}

func BenchmarkAggregatorTick(b *testing.B) {
	benchEach(b, func(b *testing.B, n int) {
		a, now := NewAggregator(testConfig(0.5), "agg"), epoch
		a.SetTargets(testTargets(n))
		for b.Loop() {
			now = now.Add(100 * time.Millisecond)
			a.Tick(now)
		}
	})
}

// BenchmarkDetectorMemory reports the heap size of one detector.
func BenchmarkDetectorMemory(b *testing.B) {
	benchEach(b, func(b *testing.B, n int) {
		var before, after runtime.MemStats
		for b.Loop() {
			runtime.GC()
			runtime.ReadMemStats(&before)
			d := benchDetector(n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(d)
		}
		b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-B")
	})
}
