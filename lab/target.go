package lab

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Health is how a target treats the tries of one instance at one moment.
type Health struct {
	// Sick tells whether the target should be set aside by this instance.
	Sick bool
	// Hang is the share of tries that never get an answer.
	Hang float64
	// Error is the share of tries that the target fails at once.
	Error float64
	// Unreachable targets let connections fail; nothing arrives there.
	Unreachable bool
	// AnswerLost targets run the request, but the answer gets lost.
	AnswerLost bool
	// Cold targets say that they are not warm and run nothing.
	Cold bool
	// Slow multiplies the time for a request; 0 means 1.
	Slow float64
	// Delay is added to the time of each request.
	Delay time.Duration
	// Full targets have one slot left beside work from elsewhere, and shed
	// at once what does not fit.
	Full bool
}

// serving is the share of the target's capacity that healthy slots are.
func (h Health) serving(slots int) float64 {
	if h.Sick || h.Cold {
		return 0
	}
	return 1 / h.slow() * float64(h.free(slots)) / float64(slots)
}

// free is how many of the target's slots this fleet may use.
func (h Health) free(slots int) int {
	if h.Full {
		return 1
	}
	return slots
}

func (h Health) slow() float64 {
	if h.Slow == 0 {
		return 1
	}
	return h.Slow
}

// What a healthy target does now and then.
const (
	// errorShare of the answers of a healthy target are errors.
	errorShare = 0.002
	// tailShare of requests take tailFactor times as long.
	tailShare, tailFactor = 0.01, 6
	// sigma is the spread of the log-normal times of requests.
	sigma = 0.5
	// spread bounds how much faster or slower than the mean one target is.
	spread = 0.2
	// backlogPerSlot is how many requests wait at a target for each slot
	// before it sheds.
	backlogPerSlot = 2
	// replyTime is how long a refusal takes to arrive.
	replyTime = 2 * time.Millisecond
	// dialTimeout bounds the wait for a connection.
	dialTimeout = 250 * time.Millisecond
)

// target is the fake of one target.
type target struct {
	rng     *rand.Rand
	mean    time.Duration
	slots   int
	running int
	backlog []*try
}

func newTarget(s Service, seed, n uint64) *target {
	r := rand.New(rand.NewPCG(seed, 1000+n))
	// The speeds are spread evenly around the mean, so that the service's
	// capacity is the same under every seed.
	factor := 1 + spread*(2*float64(n)/float64(max(1, s.Targets-1))-1)
	return &target{rng: r, slots: s.Slots, mean: time.Duration(float64(s.Mean) * factor)}
}

// serviceTime draws the time for one request.
func (t *target) serviceTime(h Health) time.Duration {
	x := math.Exp(sigma*t.rng.NormFloat64() - sigma*sigma/2)
	if t.rng.Float64() < tailShare {
		x *= tailFactor
	}
	x *= h.slow() / (1 + tailShare*(tailFactor-1))
	return h.Delay + time.Duration(x*float64(t.mean))
}

// receive says at once how the target receives a try: refused (with the
// result) or accepted.
func (t *target) receive(h Health) (refused fleet.TryResult, after time.Duration) {
	switch {
	case h.Unreachable:
		return fleet.TryDialFailed, dialTimeout
	case h.Cold:
		return fleet.TryCold, replyTime
	case h.Full && !t.free(h), len(t.backlog) >= backlogPerSlot*t.slots:
		return fleet.TryShed, replyTime
	}
	return 0, 0
}

// free tells whether a slot is free.
func (t *target) free(h Health) bool { return t.running < h.free(t.slots) }

// leave takes a try out of the slots or the backlog.
func (t *target) leave(y *try) {
	if y.running {
		t.running--
		y.running = false
		return
	}
	for i, other := range t.backlog {
		if other == y {
			t.backlog = append(t.backlog[:i], t.backlog[i+1:]...)
			return
		}
	}
}
