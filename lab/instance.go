package lab

import (
	"math/rand/v2"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// maxTries bounds the tries of one lookup that failed.
	maxTries = 2
	// maxMoves bounds how often a request goes on to another target after
	// one that did not run it.
	maxMoves = 3
	// retryShare is the retry budget: retries for each first try.
	retryShare = 0.1
	// retryBurst is the most budget that an instance saves up.
	retryBurst = 3
)

// request is one request of a caller.
type request struct {
	instance    int
	start       time.Duration
	tried       []int
	tries, move int
}

// try is one try of a request at one target.
type try struct {
	*request
	target  int
	ticket  Ticket
	start   time.Duration
	running bool
	ended   bool
	// result is what the target answers when the try is done.
	result fleet.TryResult
}

// instance is the fake of one instance: it chooses among the targets that
// its policy leaves in use, the less loaded of two by its own count.
type instance struct {
	policy Policy
	rng    *rand.Rand
	open   []int
	known  []int
	budget float64
	// weights is what the policy last gave each target.
	weights []float64
	nOut    int
}

// choose picks a target that the request did not try yet, or -1.
func (in *instance) choose(tried []int) int {
	a := in.draw(tried, -1)
	if a < 0 {
		return a
	}
	b := in.draw(tried, a)
	if b >= 0 && in.load(b) < in.load(a) {
		return b
	}
	return a
}

// load is the number of open tries for a full share of work.
func (in *instance) load(t int) float64 {
	return float64(in.open[t]+1) / in.weights[t]
}

// draw picks a target with a chance in proportion to its weight.
func (in *instance) draw(tried []int, not int) int {
	sum := 0.0
	for _, t := range in.known {
		sum += in.share(t, tried, not)
	}
	x := in.rng.Float64() * sum
	for _, t := range in.known {
		w := in.share(t, tried, not)
		if w > 0 && x < w {
			return t
		}
		x -= w
	}
	return -1
}

func (in *instance) share(t int, tried []int, not int) float64 {
	if t == not || contains(tried, t) {
		return 0
	}
	return in.weights[t]
}

func contains(list []int, x int) bool {
	for _, y := range list {
		if x == y {
			return true
		}
	}
	return false
}

// mayRetry tells whether a request whose try ended so may be tried again, and
// pays for it.
func (in *instance) mayRetry(r *request, class fleet.Class, result fleet.TryResult) bool {
	if result.RefusedUnrun() {
		r.move++
		return r.move <= maxMoves
	}
	if class != fleet.Lookup || r.tries >= maxTries || in.budget < 1 {
		return false
	}
	in.budget--
	return true
}
