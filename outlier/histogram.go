package outlier

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// histogramUnit is the width of the first bucket.
	histogramUnit = 64 * time.Microsecond
	// histogramSub is the binary logarithm of the number of buckets per octave.
	histogramSub = 3
	// histogramSize is the number of buckets; they cover about ten minutes.
	histogramSize = 24 << histogramSub
)

// histogram counts latencies in logarithmic buckets. add is safe for
// concurrent use and does not allocate, which library histograms do not offer;
// only the median is needed.
type histogram struct {
	counts [histogramSize]atomic.Uint32
}

func (h *histogram) add(d time.Duration) { h.counts[bucketOf(d)].Add(1) }

// bucketOf returns the bucket of a latency; each octave is split evenly.
func bucketOf(d time.Duration) int {
	n := uint64(max(d, 0) / histogramUnit)
	if n < 1<<histogramSub {
		return int(n)
	}
	shift := bits.Len64(n) - 1 - histogramSub
	i := shift<<histogramSub + int(n>>shift)
	return min(i, histogramSize-1)
}

// bucketTop returns the upper bound of a bucket.
func bucketTop(i int) time.Duration {
	if i < 1<<histogramSub {
		return time.Duration(i+1) * histogramUnit
	}
	shift := i>>histogramSub - 1
	n := i - shift<<histogramSub + 1
	return time.Duration(n<<shift) * histogramUnit
}

// median returns the median and the number of samples.
func (h *histogram) median() (time.Duration, uint32) {
	total := uint32(0)
	for i := range h.counts {
		total += h.counts[i].Load()
	}
	seen := uint32(0)
	for i := range h.counts {
		seen += h.counts[i].Load()
		if seen*2 >= total {
			return bucketTop(i), total
		}
	}
	return 0, 0
}

// halve discards half of the samples.
func (h *histogram) halve() {
	for i := range h.counts {
		if n := h.counts[i].Load(); n > 0 {
			h.counts[i].Add(-(n - n/2))
		}
	}
}
