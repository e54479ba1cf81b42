package admission

import (
	"math"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// startFactor is the initial limit as a multiple of the instance's share
	// of the slots.
	startFactor = 4
	// usedThreshold is the fraction of the limit that must be in use for
	// successes to raise it.
	usedThreshold = 0.8
	// probeStep scales the increase while the limit is above the share of
	// slots.
	probeStep = 0.2
	// shedFactor and slowFactor multiply the limit after a shed try and after
	// a slow block of tries.
	shedFactor = 0.9
	slowFactor = 0.8
	// slowThreshold is the ratio of the median latency to its recent minimum
	// above which targets count as queueing.
	slowThreshold = 2
	// minShedInterval is the minimum time between two reductions for shed
	// tries.
	minShedInterval = 10 * time.Millisecond
	// meanDecay is the time constant of the mean latency.
	meanDecay = time.Second
	// blockSize is the number of samples per median.
	blockSize = 64
	// minMedianWindow is the minimum time for which a minimum median is kept.
	minMedianWindow = 30 * time.Second
)

// limit is the adaptive number of requests that may be in flight. It follows
// the results and latencies of tries.
type limit struct {
	value    float64
	share    float64
	max      float64
	lastShed time.Time
	mean     average
	median   median
}

// setCapacity bounds the limit by the service's healthy slots.
func (l *limit) setCapacity(slots int, share float64) {
	first := l.max <= 1
	l.max = math.Max(1, float64(slots))
	l.share = math.Max(1, l.max*share)
	if first {
		l.value = math.Max(minQueue, startFactor*l.share)
	}
	l.value = math.Min(l.value, l.max)
}

// rounded returns the limit in whole requests, at least 1.
func (l *limit) rounded() int { return max(1, int(math.Round(l.value))) }

// latency returns the expected latency of a try, or 0 before the first
// success.
func (l *limit) latency() time.Duration {
	return time.Duration(l.mean.value * float64(time.Second))
}

func (l *limit) observe(now time.Time, r fleet.TryResult, latency time.Duration, nearlyUsed bool) {
	switch r {
	case fleet.TryShed:
		l.shed(now)
		return
	case fleet.TryOK:
		l.mean.add(now, latency.Seconds(), meanDecay)
	case fleet.TryTimeout:
	default:
		return
	}
	if l.median.add(now, latency.Seconds()) && l.median.slow() {
		l.lower(slowFactor, math.Min(l.share, l.value))
	}
	if nearlyUsed && r == fleet.TryOK && !l.median.slow() {
		l.raise()
	}
}

func (l *limit) raise() {
	step := 1 / math.Max(1, l.value)
	if l.value > l.share {
		step *= probeStep
	}
	l.value = math.Min(l.max, l.value+step)
}

// shed lowers the limit, at most once per expected latency.
func (l *limit) shed(now time.Time) {
	if now.Sub(l.lastShed) < max(minShedInterval, l.latency()) {
		return
	}
	l.lastShed = now
	l.lower(shedFactor, 1)
}

func (l *limit) lower(factor, floor float64) {
	l.value = math.Max(floor, l.value*factor)
}

// average is a mean with exponential decay over time. weight is the decayed
// number of samples.
type average struct {
	value  float64
	at     time.Time
	weight float64
}

func (a *average) add(now time.Time, sample float64, memory time.Duration) {
	if dt := now.Sub(a.at); dt > 0 {
		a.weight *= math.Exp(-dt.Seconds() / memory.Seconds())
		a.at = now
	}
	a.weight++
	a.value += (sample - a.value) / a.weight
}

// median computes medians of blocks of samples and keeps the minimum of the
// current and of the previous window. A minority of slow or failing targets
// has little effect on it.
type median struct {
	block    [blockSize]float64
	n        int
	value    float64
	since    time.Time
	current  float64
	previous float64
}

// add records a sample and reports whether it completed a block.
func (m *median) add(now time.Time, sample float64) bool {
	m.block[m.n] = sample
	m.n++
	if m.n < blockSize {
		return false
	}
	m.n = 0
	slices.Sort(m.block[:])
	m.value = m.block[blockSize/2]
	m.updateMin(now)
	return true
}

func (m *median) updateMin(now time.Time) {
	switch {
	case m.since.IsZero():
		m.current, m.previous, m.since = m.value, m.value, now
	case now.Sub(m.since) > minMedianWindow:
		m.previous, m.current, m.since = m.current, m.value, now
	default:
		m.current = math.Min(m.current, m.value)
	}
}

// slow reports whether the median of the last block exceeds slowThreshold
// times the minimum.
func (m *median) slow() bool {
	return m.value > slowThreshold*math.Min(m.current, m.previous)
}
