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

// The rate of bad tries that a healthy target is taken to have: at least
// baseFloor, and basePrior as long as fewer than priorTries tries are known.
var (
	baseFloor = [channels]float64{failure: 0.001, slowness: 0.005}
	basePrior = [channels]float64{failure: 0.01, slowness: 0.05}
)

const (
	priorTries = 100
	// contemporaryTries weighs the base rate against the others' tries since
	// a sum left zero.
	contemporaryTries = 5
	// contemporaryShare times the bad tries at a target is how many tries at
	// the others since then an accusation needs.
	contemporaryShare = 2
	baseCeiling       = 0.9
)

// excesses are the alternatives: shares of tries, beyond those that fail
// anyway, that a sick target fails.
var excesses = [...]float64{0.1, 0.3, 0.9}

// tally is a number of good and bad tries.
type tally struct{ good, bad float64 }

func (t tally) plus(o tally) tally  { return tally{t.good + o.good, t.bad + o.bad} }
func (t tally) minus(o tally) tally { return tally{max(t.good-o.good, 0), max(t.bad-o.bad, 0)} }
func (t tally) tries() float64      { return t.good + t.bad }

// rate is the share of bad tries, with weight tries of a prior rate added.
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

// badStep is the log-likelihood ratio of one bad try at a base rate.
func badStep(base, excess float64) float64 {
	return math.Log((base + (1-base)*excess) / base)
}

// goodStep is that of one good try; it does not depend on the base rate.
func goodStep(excess float64) float64 { return math.Log1p(-excess) }

// likelihood is the log-likelihood ratio of a tally.
func likelihood(t tally, base, excess float64) float64 {
	return t.good*goodStep(excess) + t.bad*badStep(base, excess)
}

// source is who saw the tries: a reporter's number and its zone.
type source struct {
	reporter int
	zone     fleet.Zone
}

// seen is what one source saw.
type seen struct {
	source
	tallies tallies
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
	// own and all are the target's and the service's tallies when the sum
	// last left zero.
	own, all tally
	lastBad  time.Time
	shares   []share
}

func (c *chart) reset() {
	c.sum = 0
	c.shares = c.shares[:0]
}

// step adds the tries of one tick, good ones first.
func (c *chart) step(now time.Time, now1 tally, base float64, own, all tally, from []seen, ch channel) {
	if c.sum > 0 && now.Sub(c.lastBad) > staleAfter {
		c.reset()
	}
	if c.sum > 0 {
		c.sum += now1.good * goodStep(c.excess)
	}
	if c.sum <= 0 {
		c.reset()
		c.own, c.all = own, all
	}
	if now1.bad > 0 {
		c.sum += now1.bad * badStep(base, c.excess)
		c.lastBad = now
	}
	if c.sum > 0 {
		c.share(from, ch)
	}
}

func (c *chart) share(from []seen, ch channel) {
	for _, s := range from {
		if s.tallies[ch].tries() > 0 {
			c.add(s.source, s.tallies[ch])
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
