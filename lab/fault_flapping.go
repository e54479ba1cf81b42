package lab

import (
	"math/rand/v2"
	"time"
)

// flapPhase is how long a flapping target stays sick, and then well.
const flapPhase = 3 * time.Second

var flapping = Fault{
	Name: "flapping",
	Why:  "Well again before a slow judge has seen enough; sick again after.",
	Plan: func(s Service, r *rand.Rand) Plan {
		sick := r.IntN(s.Targets)
		return Plan{Health: func(now time.Duration, target, _ int) Health {
			well := (now-s.Onset)/flapPhase%2 == 1
			if target != sick || !s.during(now) || well {
				return Health{}
			}
			return hang(1)
		}}
	},
}
