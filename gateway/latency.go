package gateway

import (
	"slices"
	"time"
)

const (
	// latencySamples is the number of recent good attempts considered.
	latencySamples = 256
	// latencyUpdateSamples is the number of samples between updates of the bounds.
	latencyUpdateSamples = 16
	// slowQuantile is the quantile of good attempts used as the slow bound.
	slowQuantile = 0.97
	// usualQuantile is the quantile of good attempts used as the usual bound.
	usualQuantile = 0.93
	// Defaults apply until there are enough samples.
	defaultSlow   = 900 * time.Millisecond
	defaultUsual  = 700 * time.Millisecond
	defaultMedian = 300 * time.Millisecond
	// trivialFraction is the fraction of the 90th percentile below which a response took no work,
	// such as a rejection because of the request's content. Such responses are ignored.
	trivialFraction = 0.1
	// minSlowFactor is the smallest slow bound as a multiple of the median.
	minSlowFactor = 1.8
)

// latency holds the durations of recent good attempts of a service.
type latency struct {
	samples [latencySamples]time.Duration
	count   int
	latencyBounds
}

// latencyBounds summarizes durations.
type latencyBounds struct {
	// slow is a bound on nearly all durations, usual a bound on most.
	slow, usual, median time.Duration
	// sorted are the durations in ascending order.
	sorted []time.Duration
}

// openShare returns the share of attempts that are still open at an age.
func (b latencyBounds) openShare(age time.Duration) float64 {
	if len(b.sorted) == 0 {
		return 1
	}
	ended, _ := slices.BinarySearch(b.sorted, age)
	return 1 - float64(ended)/float64(len(b.sorted))
}

func (l *latency) add(d time.Duration) {
	if d <= 0 {
		return
	}
	l.samples[l.count%latencySamples] = d
	l.count++
	if l.count >= 2*latencyUpdateSamples && l.count%latencyUpdateSamples == 0 {
		l.updateBounds()
	}
}

func (l *latency) updateBounds() {
	sorted := slices.Clone(l.samples[:min(l.count, latencySamples)])
	slices.Sort(sorted)
	p90 := sorted[len(sorted)*9/10]
	first, _ := slices.BinarySearch(sorted, time.Duration(trivialFraction*float64(p90)))
	sorted = sorted[first:]
	l.sorted = sorted
	l.median = sorted[len(sorted)/2]
	l.usual = sorted[int(float64(len(sorted)-1)*usualQuantile)]
	l.slow = max(sorted[int(float64(len(sorted)-1)*slowQuantile)], time.Duration(minSlowFactor*float64(l.median)))
}

// current returns the bounds, or defaults until there are enough samples.
func (l *latency) current() latencyBounds {
	if l.slow == 0 {
		return latencyBounds{slow: defaultSlow, usual: defaultUsual, median: defaultMedian}
	}
	return l.latencyBounds
}
