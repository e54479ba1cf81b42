package lab

import (
	"math/rand/v2"
	"time"
)

var oneZone = Fault{
	Name: "one-zone",
	Why:  "Sick for one zone's callers only: the others must keep the target.",
	Plan: func(s Service, r *rand.Rand) Plan {
		sick, zone := r.IntN(s.Targets), r.IntN(s.Zones)
		return Plan{Health: func(now time.Duration, target, instance int) Health {
			if target == sick && s.Zone(instance) == zone && s.during(now) {
				return Health{Sick: true, AnswerLost: true}
			}
			return Health{}
		}}
	},
}
