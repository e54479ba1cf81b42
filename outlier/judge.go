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
	charts [channels][len(excesses)]chart
	window slowWindows
	// muted rows gather no evidence of slowness: cold or warming up.
	muted bool
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
	// lagging means that good tries are heard of later than bad ones.
	lagging bool
}

// accusation is why a target looks sick.
type accusation struct {
	channel channel
	score   float64
	base    float64
	excess  float64
	shares  []share
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
		r := newRow()
		if i, ok := j.index[t.ID]; ok {
			r = j.rows[i]
		}
		r.target = t
		index[t.ID] = len(rows)
		rows = append(rows, r)
	}
	j.rows, j.index = rows, index
}

func newRow() *row {
	r := &row{}
	for ch := range r.charts {
		for i, e := range excesses {
			r.charts[ch][i].excess = e
		}
	}
	return r
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
		r.window.add(now, r.pending)
		r.pending = r.window.close(now, r.pending)
		j.sum(now, r)
	}
	recent := j.recentAll()
	j.bar = j.threshold + scarce(recent[failure])
	for _, r := range j.rows {
		j.stepRow(now, r, recent)
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
	r.prev = r.total
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
	for ch := range channels {
		base := j.base(ch, recent[ch].minus(r.recent[ch]))
		bad := r.total[ch].bad > r.prev[ch].bad
		for i := range r.charts[ch] {
			c := &r.charts[ch][i]
			if c.sum > 0 || bad {
				c.step(now, r.pending, ch, base, r.prev[ch], j.prev[ch])
			}
		}
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
	for ch := range r.charts {
		for i := range r.charts[ch] {
			r.charts[ch][i].reset()
		}
	}
	r.window.clear()
	r.crossed = time.Time{}
}

// hot tells whether a row's sum has gone a good part of the way.
func (r *row) hot(threshold float64) bool {
	for ch := range r.charts {
		for i := range r.charts[ch] {
			if r.charts[ch][i].sum >= threshold/2 {
				return true
			}
		}
	}
	return false
}

// crowd returns the hot rows that are not aside, and whether they and the
// rows aside are so many that something else than the targets is to blame.
func (j *judge) crowd() (hot []*row, crowded bool) {
	suspects, members := 0, 0
	for _, r := range j.rows {
		if r.target.State != fleet.Joined {
			continue
		}
		members++
		if r.aside {
			suspects++
			continue
		}
		if r.hot(j.bar) {
			suspects++
			hot = append(hot, r)
		}
	}
	limit := max(int(crowdShare*float64(members)), 1)
	return hot, suspects > limit
}

// undecided tells whether any row is hot or accused.
func (j *judge) undecided() bool {
	for _, r := range j.rows {
		if !r.crossed.IsZero() || r.window.tally.bad > 0 || r.hot(j.bar) {
			return true
		}
	}
	return false
}

// accuse returns the strongest accusation against a row that passes factor
// times the threshold and has stood for the settling time.
func (j *judge) accuse(now time.Time, r *row, hot []*row, factor float64) (accusation, bool) {
	best := accusation{score: math.Inf(-1)}
	for ch := range channels {
		for i := range r.charts[ch] {
			a, ok := j.weigh(now, r, ch, &r.charts[ch][i], hot, factor)
			if ok && a.score > best.score {
				best = a
			}
		}
	}
	if math.IsInf(best.score, -1) {
		r.crossed = time.Time{}
		return best, false
	}
	if r.crossed.IsZero() {
		r.crossed = now
	}
	return best, now.Sub(r.crossed) >= j.settle
}

// weigh compares a target with what the others did since its sum left zero.
func (j *judge) weigh(now time.Time, r *row, ch channel, c *chart, hot []*row, factor float64) (accusation, bool) {
	limit := j.bar * factor
	if c.sum < limit {
		return accusation{}, false
	}
	own := c.own
	own.good += j.unheard(now, r, ch, c)
	others := j.total[ch].minus(c.all).minus(r.total[ch].minus(c.row))
	for _, h := range hot {
		if h != r {
			others = others.minus(h.excessTally(ch))
		}
	}
	if others.tries() < contemporaryShare*own.bad {
		return accusation{}, false
	}
	base := j.bases(r)[ch]
	base = max(base, others.rate(base, contemporaryTries), j.momentary(r, ch, hot, base))
	base = min(base, baseCeiling)
	trouble := max(base, j.momentary(r, slowness, hot, basePrior[slowness]))
	limit *= 1 + troubleFactor*max(trouble-troubleBase, 0)
	score := likelihood(own, base, c.excess)
	return accusation{channel: ch, score: score, base: base, excess: c.excess, shares: c.shares}, score >= limit
}

// momentary is the others' rate of bad tries right now.
func (j *judge) momentary(r *row, ch channel, hot []*row, base float64) float64 {
	var others tally
	for _, o := range j.rows {
		if o != r && !slices.Contains(hot, o) {
			others = others.plus(o.lately[ch])
		}
	}
	return others.rate(base, contemporaryTries)
}

// unheard is how many good tries at a target were likely made since a sum left
// zero but not reported yet. Bad tries are reported at once, so what is missing
// against the target's usual rate was good or has not ended.
func (j *judge) unheard(now time.Time, r *row, ch channel, c *chart) float64 {
	if !j.lagging {
		return 0
	}
	rate := r.recent[ch].tries() / window.Seconds()
	passed := now.Sub(c.startedAt) - unheardGrace
	return max(rate*passed.Seconds()-c.own.tries(), 0)
}

// excessTally is what a hot row added to the service's tally since its
// strongest sum of the channel left zero.
func (r *row) excessTally(ch channel) tally {
	best := &r.charts[ch][0]
	for i := range r.charts[ch] {
		if r.charts[ch][i].sum > best.sum {
			best = &r.charts[ch][i]
		}
	}
	if best.sum <= 0 {
		return tally{}
	}
	return r.total[ch].minus(best.row)
}

// setAside takes a row out of the yardstick for others, with the bad tries
// that led to it.
func (j *judge) setAside(r *row) {
	for ch := range channels {
		j.total[ch].bad = max(j.total[ch].bad-r.excessTally(ch).bad, 0)
		r.recent[ch], r.lately[ch] = tally{}, tally{}
	}
	r.clear()
	r.aside = true
}

// mark notes whether a row is aside.
func (j *judge) mark(r *row, aside bool) {
	if aside && !r.aside {
		j.setAside(r)
	}
	if !aside && r.aside {
		r.clear()
	}
	r.aside = aside
}
