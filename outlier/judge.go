package outlier

import (
	"math"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// rateWindow is the decay time constant of the base rate, shortRateWindow
	// that of the rate used to detect simultaneous failures of other targets.
	rateWindow      = 15 * time.Second
	shortRateWindow = time.Second
	// maxBadReportDelay bounds the delay until a bad try is reported.
	maxBadReportDelay = 2 * FlushInterval
)

// row is the evidence about one target.
type row struct {
	target fleet.Target
	// pending holds the observations since the last step.
	pending []observation
	// total sums all observations, recent sums them with exponential decay;
	// prev is the total before the last step.
	total, prev, recent tallies
	// latest is like recent, but decays with shortRateWindow.
	latest tallies
	// charts are nil while every sum is zero.
	charts *charts
	window slowWindows
	// muted rows collect no evidence of slowness.
	muted bool
	// warming rows joined or were cold within the slow start.
	warming bool
	// excluded rows are ejected or on trial; they do not count toward the
	// rates that others are compared with.
	excluded bool
	// accusedAt is when the current accusation was first found.
	accusedAt time.Time
}

// judge holds the evidence of one service in a table of targets.
type judge struct {
	rows  []*row
	index map[fleet.TargetID]int
	// total and prev sum the rows that are not excluded.
	total, prev tallies
	decayed     time.Time
	threshold   float64
	// adjustedThreshold is the threshold at the current rate of evidence.
	adjustedThreshold float64
	settle            time.Duration
	// pooled holds the service's rates of bad tries as received from the
	// aggregator; 0: unknown.
	pooled [channels]float64
	// median is the service's median latency; 0: unknown.
	median time.Duration
	// lagging means that good tries are reported later than bad ones.
	lagging bool
}

func newJudge(threshold float64, settle time.Duration) *judge {
	return &judge{threshold: threshold, settle: settle, index: map[fleet.TargetID]int{}}
}

// setTargets keeps the rows of targets that remain.
func (j *judge) setTargets(ts []fleet.Target) {
	rows := make([]*row, 0, len(ts))
	index := make(map[fleet.TargetID]int, len(ts))
	for _, t := range ts {
		if _, twice := index[t.ID]; twice {
			continue
		}
		r := &row{}
		if i, ok := j.index[t.ID]; ok {
			r = j.rows[i]
		}
		r.target = t
		index[t.ID] = len(rows)
		rows = append(rows, r)
	}
	j.rows, j.index = rows, index
}

// add queues the latest observations of one source for target i.
func (j *judge) add(i int, s observation) {
	r := j.rows[i]
	if r.muted {
		s.tallies[slowness] = tally{}
	}
	if s.tallies != (tallies{}) {
		r.pending = append(r.pending, s)
	}
}

// step processes the observations queued since the last step.
func (j *judge) step(now time.Time) {
	j.forget(now)
	j.prev = j.total
	for _, r := range j.rows {
		r.prev = r.total
		if len(r.pending) == 0 && len(r.window.seen) == 0 {
			continue
		}
		r.window.add(now, r.pending)
		r.pending = r.window.close(now, j.median, r.pending)
		j.sum(now, r)
	}
	recent := j.recentAll()
	j.adjustedThreshold = j.threshold + thresholdAdjustment(recent[failure])
	for _, r := range j.rows {
		if len(r.pending) > 0 || r.charts != nil {
			j.stepRow(now, r, recent)
		}
	}
}

// thresholdAdjustment returns the correction (at most 0) of the threshold at
// the current rate of evidence.
func thresholdAdjustment(recent tally) float64 {
	rate := recent.tries() / rateWindow.Seconds()
	return min(max(math.Log(rate/referenceRate), -maxThresholdReduction), 0)
}

// forget decays the recent tallies.
func (j *judge) forget(now time.Time) {
	if j.decayed.IsZero() {
		j.decayed = now
	}
	passed := now.Sub(j.decayed)
	if passed < shortRateWindow/16 {
		return
	}
	keep := math.Exp(-float64(passed) / float64(rateWindow))
	keepLatest := math.Exp(-float64(passed) / float64(shortRateWindow))
	for _, r := range j.rows {
		for ch := range r.recent {
			r.recent[ch] = r.recent[ch].times(keep)
			r.latest[ch] = r.latest[ch].times(keepLatest)
		}
	}
	j.decayed = now
}

// sum adds a row's pending tries to its tallies.
func (j *judge) sum(now time.Time, r *row) {
	for _, s := range r.pending {
		for ch := range r.total {
			r.total[ch] = r.total[ch].plus(s.tallies[ch])
			if !r.excluded {
				r.recent[ch] = r.recent[ch].plus(s.tallies[ch])
				r.latest[ch] = r.latest[ch].plus(s.after(now.Add(-shortRateWindow), now, channel(ch)))
				j.total[ch] = j.total[ch].plus(s.tallies[ch])
			}
		}
	}
}

func (j *judge) recentAll() tallies {
	var all tallies
	for _, r := range j.rows {
		for ch := range all {
			all[ch] = all[ch].plus(r.recent[ch])
		}
	}
	return all
}

func (j *judge) stepRow(now time.Time, r *row, recent tallies) {
	live := false
	for ch := range channels {
		base := j.base(ch, recent[ch].minus(r.recent[ch]))
		bad := r.total[ch].bad > r.prev[ch].bad
		if r.charts == nil && bad {
			r.charts = newCharts()
		}
		if r.charts == nil {
			continue
		}
		for i := range r.charts[ch] {
			c := &r.charts[ch][i]
			if c.sum > 0 || bad {
				c.step(now, r.pending, ch, base, r.prev[ch], j.prev[ch])
			}
			live = live || c.sum > 0
		}
	}
	if !live {
		r.charts = nil
	}
	r.pending = r.pending[:0]
}

// base returns the expected rate of bad tries of a target, given the others'
// recent tries. The service's rate from the aggregator, if available, replaces
// the prior.
func (j *judge) base(ch channel, others tally) float64 {
	prior := basePrior[ch]
	if j.pooled[ch] > 0 {
		prior = j.pooled[ch]
	}
	rate := others.rate(prior, priorTries)
	return min(max(rate, baseFloor[ch]), baseCeiling)
}

// rates returns the recent rates of bad tries, without the hot targets unless
// there are too many of them.
func (j *judge) rates() [channels]float64 {
	hot, crowded := j.suspects()
	var rates [channels]float64
	for ch := range channels {
		var recent, latest tally
		for _, r := range j.rows {
			if crowded || !slices.Contains(hot, r) {
				recent = recent.plus(r.recent[ch])
				latest = latest.plus(r.latest[ch])
			}
		}
		rate := recent.rate(basePrior[ch], priorTries)
		rates[ch] = max(rate, latest.rate(rate, contemporaryTries))
	}
	return rates
}

// bases returns the rates of bad tries that a row is compared with.
func (j *judge) bases(r *row) [channels]float64 {
	var bases [channels]float64
	recent := j.recentAll()
	for ch := range channels {
		bases[ch] = j.base(ch, recent[ch].minus(r.recent[ch]))
	}
	return bases
}

// clear drops the evidence against a row.
func (r *row) clear() {
	r.charts = nil
	r.window.clear()
	r.accusedAt = time.Time{}
}

// hot reports whether any sum of the row has reached half the threshold.
func (r *row) hot(threshold float64) bool {
	if r.charts == nil {
		return false
	}
	for ch := range r.charts {
		for i := range r.charts[ch] {
			if r.charts[ch][i].sum >= threshold/2 {
				return true
			}
		}
	}
	return false
}
