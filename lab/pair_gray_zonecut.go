package lab

import (
	"math/rand/v2"
	"time"
)

var zoneCutAndGray = Fault{
	Name: "gray+zone-cut",
	Why:  "One zone reaches no target of another and accuses them all, while one target is sick for everyone.",
	Plan: func(s Service, r *rand.Rand) Plan {
		from := r.IntN(s.Zones)
		to := other(r, s.Zones, from)
		sick := from + s.Zones*r.IntN(s.Targets/s.Zones)
		cut := Plan{Health: func(now time.Duration, target, instance int) Health {
			if s.Zone(instance) == from && s.Zone(target) == to && s.during(now) {
				return Health{Sick: true, Unreachable: true}
			}
			return Health{}
		}}
		return both(cut, onHealth(s, sick, hang(1)))
	},
}
