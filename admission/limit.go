package admission

import (
	"math"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// startFactor is the first limit as a multiple of the share of slots.
	startFactor = 4
	// usedAt is the share of the limit in use from which on successes raise
	// it.
	usedAt = 0.8
	// probeStep is the part of the usual raise above the share of slots.
	probeStep = 0.2
	// shedFactor and slowFactor lower the limit.
	shedFactor = 0.9
	slowFactor = 0.8
	// slowAt is how often the median latency may exceed its least before
	// targets count as queueing.
	slowAt = 2
	// minPause is the least time between two reductions.
	minPause = 10 * time.Millisecond
	// meanMemory is the time constant of the mean latency.
	meanMemory = time.Second
	// blockSize is the number of samples of which a median is taken.
	blockSize = 64
	// leastMemory is for how long, at least, the least median counts.
	leastMemory = 30 * time.Second
)

// limit is the number of requests that may be in flight; it adapts to what
// targets answer.
type limit struct {
	value   float64
	share   float64
	most    float64
	lowered time.Time
	mean    average
	median  median
}

// setCapacity bounds the limit by the service's healthy slots.
func (l *limit) setCapacity(slots int, share float64) {
	first := l.most <= 1
	l.most = math.Max(1, float64(slots))
	l.share = math.Max(1, l.most*share)
	if first {
		l.value = math.Max(minQueue, startFactor*l.share)
	}
	l.value = math.Min(l.value, l.most)
}

// whole is the limit in requests, at least 1.
func (l *limit) whole() int { return max(1, int(math.Round(l.value))) }

// latency is what a try is expected to take, 0 while that is not known.
func (l *limit) latency() time.Duration {
	return time.Duration(l.mean.value * float64(time.Second))
}

func (l *limit) observe(now time.Time, r fleet.TryResult, latency time.Duration, nearlyUsed bool) {
	switch r {
	case fleet.TryShed:
		l.shed(now)
		return
	case fleet.TryOK:
		l.mean.add(now, latency.Seconds(), meanMemory)
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
	l.value = math.Min(l.most, l.value+step)
}

// shed lowers the limit, at most once a latency.
func (l *limit) shed(now time.Time) {
	if now.Sub(l.lowered) < max(minPause, l.latency()) {
		return
	}
	l.lowered = now
	l.lower(shedFactor, 1)
}

func (l *limit) lower(factor, least float64) {
	l.value = math.Max(least, l.value*factor)
}

// average forgets exponentially by time; weight is the number of samples that
// still count.
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

// median takes the medians of blocks of samples and keeps the least of the
// current and the last period. A minority of slow or failing targets hardly
// moves it.
type median struct {
	block    [blockSize]float64
	n        int
	value    float64
	since    time.Time
	current  float64
	previous float64
}

// add tells whether the sample completed a block.
func (m *median) add(now time.Time, sample float64) bool {
	m.block[m.n] = sample
	m.n++
	if m.n < blockSize {
		return false
	}
	m.n = 0
	slices.Sort(m.block[:])
	m.value = m.block[blockSize/2]
	m.keepLeast(now)
	return true
}

func (m *median) keepLeast(now time.Time) {
	switch {
	case m.since.IsZero():
		m.current, m.previous, m.since = m.value, m.value, now
	case now.Sub(m.since) > leastMemory:
		m.previous, m.current, m.since = m.current, m.value, now
	default:
		m.current = math.Min(m.current, m.value)
	}
}

// slow tells whether the last block's median is far above the least.
func (m *median) slow() bool {
	return m.value > slowAt*math.Min(m.current, m.previous)
}
