package outlier

import (
	"math"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// channel is one kind of evidence.
type channel int

const (
	failure channel = iota
	slowness
	channels
)

func (c channel) reason() Reason {
	if c == slowness {
		return ReasonSlow
	}
	return ReasonFailing
}

// The assumed rate of bad tries of a healthy target: at least baseFloor; basePrior
// is the prior, with the weight of priorTries tries.
var (
	baseFloor = [channels]float64{failure: 0.001, slowness: 0.005}
	basePrior = [channels]float64{failure: 0.01, slowness: 0.02}
)

const (
	priorTries = 100
	// contemporaryTries is the weight of the base rate relative to the others' tries since
	// a sum left zero.
	contemporaryTries = 5
	// contemporaryShare times the bad tries at a target is how many tries at
	// the others since then an accusation needs.
	contemporaryShare = 2
	baseCeiling       = 0.9
)

// excesses are the alternatives: the shares of tries that an unhealthy target
// fails in addition to the base rate.
var excesses = [...]float64{0.1, 0.3, 0.9}

// tally is a number of good and bad tries.
type tally struct{ good, bad float64 }

func (t tally) plus(o tally) tally    { return tally{t.good + o.good, t.bad + o.bad} }
func (t tally) minus(o tally) tally   { return tally{max(t.good-o.good, 0), max(t.bad-o.bad, 0)} }
func (t tally) times(f float64) tally { return tally{t.good * f, t.bad * f} }
func (t tally) tries() float64        { return t.good + t.bad }

// rate returns the share of bad tries, with weight tries of a prior rate added.
func (t tally) rate(prior, weight float64) float64 {
	return (t.bad + prior*weight) / (t.tries() + weight)
}

// tallies are the evidence of some tries in each channel.
type tallies [channels]tally

func (c Counts) tallies() tallies {
	return tallies{
		failure:  {good: float64(c.Good), bad: float64(c.Failed)},
		slowness: {good: float64(c.Fast), bad: float64(c.Slow)},
	}
}

// badStep returns the log-likelihood ratio of one bad try at a base rate.
func badStep(base, excess float64) float64 {
	return math.Log((base + (1-base)*excess) / base)
}

// goodStep returns that of one good try; it does not depend on the base rate.
func goodStep(excess float64) float64 { return math.Log1p(-excess) }

// likelihood returns the log-likelihood ratio of a tally.
func likelihood(t tally, base, excess float64) float64 {
	return t.good*goodStep(excess) + t.bad*badStep(base, excess)
}

// source identifies who observed the tries: a reporter's number and its zone.
type source struct {
	reporter int
	zone     fleet.Zone
}

// observation holds the tries seen by one source. since is when its previous
// report was applied; zero: the tries are current.
type observation struct {
	source
	since   time.Time
	tallies tallies
}

// after returns the estimated part of the evidence from after a time. Good tries
// are spread evenly over the reported time; bad ones are reported immediately.
func (s observation) after(at, now time.Time, ch channel) tally {
	t := s.tallies[ch]
	if s.since.IsZero() || !s.since.Before(at) {
		return t
	}
	t.good *= float64(now.Sub(at)) / float64(now.Sub(s.since))
	return t
}

// share is what one source added to a sum since it left zero.
type share struct {
	source
	tally tally
}

// chart is one cumulative sum (CUSUM) of one target.
type chart struct {
	excess float64
	sum    float64
	// startedAt is when the sum last left zero, and own the evidence since.
	// row and all are the target's and the service's tallies at that time.
	startedAt time.Time
	own       tally
	row, all  tally
	lastBad   time.Time
	shares    []share
}

// charts are the sums of one target, by channel and alternative.
type charts [channels][len(excesses)]chart

func newCharts() *charts {
	cs := &charts{}
	for ch := range cs {
		for i, e := range excesses {
			cs[ch][i].excess = e
		}
	}
	return cs
}

func (c *chart) reset() {
	c.sum = 0
	c.own = tally{}
	c.shares = c.shares[:0]
}

// step adds the evidence of one tick, good tries first.
func (c *chart) step(now time.Time, from []observation, ch channel, base float64, row, all tally) {
	if c.sum > 0 && now.Sub(c.lastBad) > sumTimeout {
		c.reset()
	}
	var tick tally
	for _, s := range from {
		tick = tick.plus(s.after(c.startedAt, now, ch))
	}
	if c.sum > 0 {
		c.sum += tick.good * goodStep(c.excess)
	}
	if c.sum <= 0 {
		c.reset()
		c.startedAt, c.row, c.all = now, row, all
		tick.good = 0
	}
	if tick.bad > 0 {
		c.sum += tick.bad * badStep(base, c.excess)
		c.lastBad = now
	}
	if c.sum > 0 {
		c.own = c.own.plus(tick)
		c.share(now, from, ch)
	}
}

func (c *chart) share(now time.Time, from []observation, ch channel) {
	for _, s := range from {
		t := s.after(c.startedAt, now, ch)
		if c.startedAt.Equal(now) {
			t.good = 0
		}
		if t.tries() > 0 {
			c.add(s.source, t)
		}
	}
}

func (c *chart) add(s source, t tally) {
	for i := range c.shares {
		if c.shares[i].reporter == s.reporter {
			c.shares[i].tally = c.shares[i].tally.plus(t)
			return
		}
	}
	c.shares = append(c.shares, share{source: s, tally: t})
}
