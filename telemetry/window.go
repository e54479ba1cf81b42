package telemetry

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

// window is a sample of the last durations, at most sampleSize. It takes
// memory only for those that came: most customers send little to one instance.
type window struct {
	mu     sync.Mutex
	values []int64
	next   int // where the next value goes once the window is full
	count  int64
	sum    int64
}

var _ metrics.Sample = (*window)(nil)

// Update records a value.
func (w *window) Update(v int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count++
	w.sum += v
	if len(w.values) < sampleSize {
		w.values = append(w.values, v)
		return
	}
	w.values[w.next] = v
	w.next = (w.next + 1) % sampleSize
}

// Clear forgets all values.
func (w *window) Clear() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.values, w.next, w.count, w.sum = nil, 0, 0, 0
}

// Snapshot returns a copy of the values that are kept.
func (w *window) Snapshot() metrics.Sample {
	w.mu.Lock()
	defer w.mu.Unlock()
	return metrics.NewSampleSnapshot(w.count, append([]int64(nil), w.values...))
}

// Sum returns the sum of all values ever recorded, to go with Count.
func (w *window) Sum() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sum
}

func (w *window) Count() int64                      { return w.Snapshot().Count() }
func (w *window) Max() int64                        { return w.Snapshot().Max() }
func (w *window) Mean() float64                     { return w.Snapshot().Mean() }
func (w *window) Min() int64                        { return w.Snapshot().Min() }
func (w *window) Percentile(p float64) float64      { return w.Snapshot().Percentile(p) }
func (w *window) Percentiles(p []float64) []float64 { return w.Snapshot().Percentiles(p) }
func (w *window) Size() int                         { return w.Snapshot().Size() }
func (w *window) StdDev() float64                   { return w.Snapshot().StdDev() }
func (w *window) Values() []int64                   { return w.Snapshot().Values() }
func (w *window) Variance() float64                 { return w.Snapshot().Variance() }
