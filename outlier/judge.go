package outlier

import (
	"math"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// window is how fast the base rate forgets, moment how fast it does to
	// see whether others fail at the same time.
	window = 15 * time.Second
	moment = time.Second
	// unheardGrace is how late bad tries are heard of at most.
	unheardGrace = 2 * FlushInterval
)

// row is what a judge knows of one target.
type row struct {
	target fleet.Target
	// pending is what was seen since the last step.
	pending []seen
	// total is all that was seen, recent the same with forgetting, prev the
	// total before the last step.
	total, prev, recent tallies
	// lately is recent with a much shorter memory.
	lately tallies
	// charts are nil while every sum is zero.
	charts *charts
	window slowWindows
	// muted rows gather no evidence of slowness: cold or warming up.
	muted bool
	// warming rows joined or were cold lately.
	warming bool
	// aside rows are ejected or on trial; they are no yardstick for others.
	aside bool
	// crossed is when the accusation that stands now was first found.
	crossed time.Time
}

// judge holds the evidence of one service in a table of targets.
type judge struct {
	rows  []*row
	index map[fleet.TargetID]int
	// total and prev sum the rows that are not aside.
	total, prev tallies
	decayed     time.Time
	threshold   float64
	// bar is the threshold at the present rate of evidence.
	bar    float64
	settle time.Duration
	// pooled are the service's rates of bad tries as heard; 0: unknown.
	pooled [channels]float64
	// median is the service's median latency; 0: unknown.
	median time.Duration
	// lagging means that good tries are heard of later than bad ones.
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

// add hands in what a source saw of a target since it last did.
func (j *judge) add(i int, s seen) {
	r := j.rows[i]
	if r.muted {
		s.tallies[slowness] = tally{}
	}
	if s.tallies != (tallies{}) {
		r.pending = append(r.pending, s)
	}
}

// step folds all that was handed in since the last step.
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
	j.bar = j.threshold + scarce(recent[failure])
	for _, r := range j.rows {
		if len(r.pending) > 0 || r.charts != nil {
			j.stepRow(now, r, recent)
		}
	}
}

// scarce is what the threshold is changed by at the present rate of evidence.
func scarce(recent tally) float64 {
	rate := recent.tries() / window.Seconds()
	return min(max(math.Log(rate/referenceRate), -scarcity), 0)
}

// forget decays the recent tallies.
func (j *judge) forget(now time.Time) {
	if j.decayed.IsZero() {
		j.decayed = now
	}
	passed := now.Sub(j.decayed)
	if passed < moment/16 {
		return
	}
	keep := math.Exp(-float64(passed) / float64(window))
	keepLately := math.Exp(-float64(passed) / float64(moment))
	for _, r := range j.rows {
		for ch := range r.recent {
			r.recent[ch] = r.recent[ch].times(keep)
			r.lately[ch] = r.lately[ch].times(keepLately)
		}
	}
	j.decayed = now
}

// sum adds a row's pending tries to its tallies.
func (j *judge) sum(now time.Time, r *row) {
	for _, s := range r.pending {
		for ch := range r.total {
			r.total[ch] = r.total[ch].plus(s.tallies[ch])
			if !r.aside {
				r.recent[ch] = r.recent[ch].plus(s.tallies[ch])
				r.lately[ch] = r.lately[ch].plus(s.after(now.Add(-moment), now, channel(ch)))
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

// base is the rate of bad tries expected of a target, given the others' recent
// tries. Where the service's rate is known from the aggregator, it takes the
// place of the prior.
func (j *judge) base(ch channel, others tally) float64 {
	prior := basePrior[ch]
	if j.pooled[ch] > 0 {
		prior = j.pooled[ch]
	}
	rate := others.rate(prior, priorTries)
	return min(max(rate, baseFloor[ch]), baseCeiling)
}

// rates are the recent rates of bad tries, without the targets that stand
// out, unless too many do.
func (j *judge) rates() [channels]float64 {
	hot, crowded := j.crowd()
	var rates [channels]float64
	for ch := range channels {
		var recent, lately tally
		for _, r := range j.rows {
			if crowded || !slices.Contains(hot, r) {
				recent = recent.plus(r.recent[ch])
				lately = lately.plus(r.lately[ch])
			}
		}
		rate := recent.rate(basePrior[ch], priorTries)
		rates[ch] = max(rate, lately.rate(rate, contemporaryTries))
	}
	return rates
}

// bases are the rates of bad tries that a row is measured against.
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
	r.crossed = time.Time{}
}

// hot tells whether a row's sum has gone a good part of the way.
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
