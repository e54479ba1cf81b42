package lab

import (
	"math/rand/v2"
	"time"
)

var oneInstance = Fault{
	Name: "one-instance",
	Why:  "Sick for one instance only: nobody else can help it to see that.",
	Plan: func(s Service, r *rand.Rand) Plan {
		sick, victim := r.IntN(s.Targets), r.IntN(s.Instances)
		return Plan{Health: func(now time.Duration, target, instance int) Health {
			if target == sick && instance == victim && s.during(now) {
				return Health{Sick: true, AnswerLost: true}
			}
			return Health{}
		}}
	},
}
