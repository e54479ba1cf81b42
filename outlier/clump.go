package outlier

import (
	"math"
	"slices"
	"time"
)

const (
	// clumpWindow is the time within which bad tries at a target are taken to
	// have one cause, and clumpMemory how long sizes are remembered.
	clumpWindow = 250 * time.Millisecond
	clumpMemory = time.Minute
	// clumpPrior is the number of bad tries, in clumps of clumpPriorSize, that
	// every estimate begins with, and clumpMost bounds it.
	clumpPrior     = 5.0
	clumpPriorSize = 1.5
	clumpMost      = 4.0
)

// clumps measures how many bad tries at one target come together. With few
// slots, a request that takes long makes those behind it time out; counted
// one by one they would weigh too much.
type clumps struct {
	opened time.Time
	open   float64
	// sum and squares are of the sizes of past clumps.
	sum, squares float64
	decayed      time.Time
}

// add counts bad tries; the time is never before that of an earlier call.
func (c *clumps) add(now time.Time, bad float64) {
	if now.Sub(c.opened) >= clumpWindow {
		c.close(now)
	}
	if bad > 0 && c.open == 0 {
		c.opened = now
	}
	c.open += bad
}

func (c *clumps) close(now time.Time) {
	if c.open == 0 {
		return
	}
	keep := math.Exp(-float64(now.Sub(c.decayed)) / float64(clumpMemory))
	c.sum = c.sum*keep + c.open
	c.squares = c.squares*keep + c.open*c.open
	c.decayed = now
	c.open = 0
}

// clumpSize is the size of the clump that a bad try at the other targets was
// part of, on average.
func (j *judge) clumpSize(r *row, hot []*row) float64 {
	sum, squares := clumpPrior, clumpPrior*clumpPriorSize
	for _, o := range j.rows {
		if o != r && !slices.Contains(hot, o) {
			sum += o.clumps.sum
			squares += o.clumps.squares
		}
	}
	return min(squares/sum, clumpMost)
}
