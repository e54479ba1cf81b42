package outlier

import (
	"math"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// accusation describes why a target looks unhealthy.
type accusation struct {
	channel channel
	score   float64
	base    float64
	excess  float64
	shares  []share
}

// suspects returns the hot rows that are not excluded. crowded reports whether
// these and the excluded rows are so many that the targets are unlikely to be
// the cause.
func (j *judge) suspects() (hot []*row, crowded bool) {
	suspects, members := 0, 0
	for _, r := range j.rows {
		if r.target.State != fleet.Joined {
			continue
		}
		members++
		if r.excluded {
			suspects++
			continue
		}
		if r.hot(j.adjustedThreshold) {
			suspects++
			hot = append(hot, r)
		}
	}
	limit := max(int(maxSuspectShare*float64(members)), 1)
	return hot, suspects > limit
}

// undecided reports whether any row is hot or accused.
func (j *judge) undecided() bool {
	for _, r := range j.rows {
		if !r.accusedAt.IsZero() || r.window.tally.bad > 0 || r.hot(j.adjustedThreshold) {
			return true
		}
	}
	return false
}

// accuse returns the strongest accusation against a row that passes factor
// times the threshold and has persisted for the settling time.
func (j *judge) accuse(now time.Time, r *row, hot []*row, factor float64) (accusation, bool) {
	best := accusation{score: math.Inf(-1)}
	if r.charts == nil {
		r.accusedAt = time.Time{}
		return best, false
	}
	for ch := range channels {
		for i := range r.charts[ch] {
			a, ok := j.evaluate(now, r, ch, &r.charts[ch][i], hot, factor)
			if ok && a.score > best.score {
				best = a
			}
		}
	}
	if math.IsInf(best.score, -1) {
		r.accusedAt = time.Time{}
		return best, false
	}
	if r.accusedAt.IsZero() {
		r.accusedAt = now
	}
	return best, now.Sub(r.accusedAt) >= j.settle
}

// evaluate compares a target with the others' tries since its sum left zero.
func (j *judge) evaluate(now time.Time, r *row, ch channel, c *chart, hot []*row, factor float64) (accusation, bool) {
	limit := j.adjustedThreshold * factor
	if r.muted {
		limit *= mutedFactor
	}
	if c.sum < limit || r.warming && c.own.good > 0 {
		return accusation{}, false
	}
	own := c.own
	own.good += j.unreported(now, r, ch, c)
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
	base = max(base, others.rate(base, contemporaryTries), j.currentRate(r, ch, hot, base))
	base = min(toleratedRate(base), baseCeiling)
	trouble := max(base, j.currentRate(r, slowness, hot, basePrior[slowness]))
	limit *= 1 + troubleFactor*max(trouble-troubleBase, 0)
	score := likelihood(own, base, c.excess)
	return accusation{channel: ch, score: score, base: base, excess: c.excess, shares: c.shares}, score >= limit
}

// currentRate returns the others' current rate of bad tries.
func (j *judge) currentRate(r *row, ch channel, hot []*row, base float64) float64 {
	var others tally
	for _, o := range j.rows {
		if o != r && !slices.Contains(hot, o) {
			others = others.plus(o.latest[ch])
		}
	}
	return others.rate(base, contemporaryTries)
}

// unreported estimates how many good tries at a target since a sum left zero
// have not been reported yet. Bad tries are reported immediately, so any
// shortfall from the target's usual rate was good or has not ended.
func (j *judge) unreported(now time.Time, r *row, ch channel, c *chart) float64 {
	if !j.lagging {
		return 0
	}
	rate := r.recent[ch].tries() / rateWindow.Seconds()
	passed := now.Sub(c.startedAt) - maxBadReportDelay
	return max(rate*passed.Seconds()-c.own.tries(), 0)
}

// excessTally returns what a hot row added to the service's tally since the
// row's largest sum of the channel left zero.
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

// exclude removes a row, and the bad tries that led to its ejection, from the
// rates that others are compared with.
func (j *judge) exclude(r *row) {
	for ch := range channels {
		j.total[ch].bad = max(j.total[ch].bad-r.excessTally(ch).bad, 0)
		r.recent[ch], r.latest[ch] = tally{}, tally{}
	}
	r.clear()
	r.excluded = true
}

// setExcluded updates whether a row is excluded.
func (j *judge) setExcluded(r *row, aside bool) {
	if aside && !r.excluded {
		j.exclude(r)
	}
	if !aside && r.excluded {
		r.clear()
	}
	r.excluded = aside
}

// Targets differ, and more so when the service is degraded: if the rate of bad
// tries is at least degradedRate, one target may have up to maxRateRatio times
// that rate.
const (
	maxRateRatio = 3.0
	degradedRate = 0.03
)

// toleratedRate returns the rate of bad tries that a target may have if the
// others have the given rate.
func toleratedRate(rate float64) float64 {
	return rate * (1 + (maxRateRatio-1)*min(rate/degradedRate, 1))
}
