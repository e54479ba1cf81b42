package outlier

import (
	"math"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// accusation is why a target looks sick.
type accusation struct {
	channel channel
	score   float64
	base    float64
	excess  float64
	shares  []share
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
	if r.charts == nil {
		r.crossed = time.Time{}
		return best, false
	}
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
	if r.muted {
		limit *= mutedFactor
	}
	if c.sum < limit || r.warming && c.own.good > 0 {
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
	base = min(diverse(base), baseCeiling)
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
	if r.charts == nil {
		return tally{}
	}
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

// Targets differ by nature, and the more so the worse the service is off:
// where troubled or more of all tries are bad, one of them may have up to
// diversity times as many.
const (
	diversity = 3.0
	troubled  = 0.03
)

// diverse is the rate of bad tries that a target may have where the others
// have the given rate.
func diverse(rate float64) float64 {
	return rate * (1 + (diversity-1)*min(rate/troubled, 1))
}
