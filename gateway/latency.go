package gateway

import (
	"slices"
	"time"
)

const (
	// latencySamples is how many of the last good attempts are looked at.
	latencySamples = 256
	// latencyEvery is after how many samples the bounds are worked out anew.
	latencyEvery = 16
	// slowShare is the part of good attempts that are below the slow bound.
	slowShare = 0.97
	// usualShare is the part of good attempts that are below the usual bound.
	usualShare = 0.93
	// slowDefault, usualDefault and medianDefault hold until enough samples came.
	slowDefault   = 900 * time.Millisecond
	usualDefault  = 700 * time.Millisecond
	medianDefault = 300 * time.Millisecond
	// trivial is the part of the long durations below which an answer took no
	// work, as one that is refused by its content.
	trivial = 0.1
	// slowTimes is the least slow bound, in medians.
	slowTimes = 1.8
)

// latency keeps the last durations of good attempts of a service.
type latency struct {
	ring  [latencySamples]time.Duration
	count int
	bounds
}

// bounds sum up durations.
type bounds struct {
	// slow is above nearly all, usual above most, and median above half.
	slow, usual, median time.Duration
}

func (l *latency) add(d time.Duration) {
	if d <= 0 {
		return
	}
	l.ring[l.count%latencySamples] = d
	l.count++
	if l.count >= 2*latencyEvery && l.count%latencyEvery == 0 {
		l.work()
	}
}

func (l *latency) work() {
	sorted := slices.Clone(l.ring[:min(l.count, latencySamples)])
	slices.Sort(sorted)
	long := sorted[len(sorted)*9/10]
	first, _ := slices.BinarySearch(sorted, time.Duration(trivial*float64(long)))
	sorted = sorted[first:]
	l.median = sorted[len(sorted)/2]
	l.usual = sorted[int(float64(len(sorted)-1)*usualShare)]
	l.slow = max(sorted[int(float64(len(sorted)-1)*slowShare)], time.Duration(slowTimes*float64(l.median)))
}

// known returns the bounds, or defaults until enough samples came.
func (l *latency) known() bounds {
	if l.slow == 0 {
		return bounds{slow: slowDefault, usual: usualDefault, median: medianDefault}
	}
	return l.bounds
}
