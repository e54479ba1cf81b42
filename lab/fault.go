package lab

import (
	"math/rand/v2"
	"time"
)

// Fault is one thing, or one pair of things, that goes wrong.
type Fault struct {
	// Name is the fault's name in tables.
	Name string
	// Why says what makes it worth measuring.
	Why string
	// Innocent faults give no reason to eject any target.
	Innocent bool
	// Plan fixes the fault's details for one run.
	Plan func(s Service, r *rand.Rand) Plan
}

// Plan is the schedule of one run. Functions that are nil mean health, whole
// links and targets that are there from the start.
type Plan struct {
	// Health is how a target treats an instance.
	Health func(now time.Duration, target, instance int) Health
	// Link is the delay of a message, or false when it is lost.
	Link func(now time.Duration, from, to int) (time.Duration, bool)
	// Takeover is when the role of pooling the evidence moves to another
	// instance; 0: never.
	Takeover time.Duration
	// Joins holds when a target joins that is not there from the start.
	Joins map[int]time.Duration
	// Leaves holds when a target is announced to leave.
	Leaves map[int]time.Duration
}

// Faults lists every fault.
var Faults = []Fault{
	noFault, gray10, gray30, gray100, oneZone, oneInstance, flapping, slow,
	coldStart, loadShed, targetCut, peerCut, wholeSlow, logDown,
	shedAndLate, grayAndCold, grayAndShed, twoGray, zoneCutAndGray, grayAndSlowService,
	grayAndSickInstance, pauses, flappingAndLoss, grayAndHolderCut,
	leavingAndGray, grayJoining, bouts,
}

// health returns how the target treats the instance under the plan.
func (p Plan) health(now time.Duration, target, instance int) Health {
	if p.Health == nil {
		return Health{}
	}
	return p.Health(now, target, instance)
}

// during tells whether the service's fault is on.
func (s Service) during(now time.Duration) bool { return now >= s.Onset && now < s.End }

// hang is the health of a target that is sick for this share of tries.
func hang(share float64) Health { return Health{Sick: true, Hang: share} }

// onTarget plans one randomly chosen target with the given health for every
// instance while the fault is on.
func onTarget(h Health) func(Service, *rand.Rand) Plan {
	return func(s Service, r *rand.Rand) Plan {
		return onHealth(s, r.IntN(s.Targets), h)
	}
}

// onHealth plans the target with the given health for every instance while
// the fault is on.
func onHealth(s Service, sick int, h Health) Plan {
	return Plan{Health: func(now time.Duration, target, _ int) Health {
		if target == sick && s.during(now) {
			return h
		}
		return Health{}
	}}
}

// other draws a number below n that differs from not.
func other(r *rand.Rand, n, not int) int {
	x := r.IntN(n - 1)
	if x >= not {
		x++
	}
	return x
}

// both lays plan b over plan a: where a leaves a target healthy, b decides.
func both(a, b Plan) Plan {
	return Plan{
		Health: func(now time.Duration, target, instance int) Health {
			if h := a.health(now, target, instance); h != (Health{}) {
				return h
			}
			return b.health(now, target, instance)
		},
		Link:  firstLink(a.Link, b.Link),
		Joins: firstOf(a.Joins, b.Joins),

		Takeover: max(a.Takeover, b.Takeover),
	}
}

type link = func(now time.Duration, from, to int) (time.Duration, bool)

func firstLink(a, b link) link {
	if a != nil {
		return a
	}
	return b
}

func firstOf(a, b map[int]time.Duration) map[int]time.Duration {
	if a != nil {
		return a
	}
	return b
}
