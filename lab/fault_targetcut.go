package lab

import (
	"math/rand/v2"
	"time"
)

var targetCut = Fault{
	Name: "target-cut",
	Why:  "One way between a few instances and a target: it runs the work, the answers get lost.",
	Plan: func(s Service, r *rand.Rand) Plan {
		sick, first := r.IntN(s.Targets), r.IntN(s.Instances)
		return Plan{Health: func(now time.Duration, target, instance int) Health {
			cut := (instance-first+s.Instances)%s.Instances < cutInstances
			if target == sick && cut && s.during(now) {
				return Health{Sick: true, AnswerLost: true}
			}
			return Health{}
		}}
	},
}

// cutInstances is how many instances a cut concerns.
const cutInstances = 4
