package lab

import (
	"math/rand/v2"
	"time"
)

const (
	// coldFor is how long a joining target refuses work as cold.
	coldFor = time.Second
	// warmAfter is when a joining target has its full speed.
	warmAfter = 9 * time.Second
	// coldSlow is the factor on times when a target leaves the cold state.
	coldSlow = 4
)

var coldStart = Fault{
	Name:     "cold-start",
	Why:      "A joining target refuses, then is slow: it is new, not sick.",
	Innocent: true,
	Plan: func(s Service, r *rand.Rand) Plan {
		return coldTarget(s, r.IntN(s.Targets))
	},
}

// coldTarget plans that the target joins at the fault's onset.
func coldTarget(s Service, joining int) Plan {
	return Plan{
		Joins: map[int]time.Duration{joining: s.Onset},
		Health: func(now time.Duration, target, _ int) Health {
			age := now - s.Onset
			if target != joining || age > warmAfter {
				return Health{}
			}
			if age < coldFor {
				return Health{Cold: true}
			}
			left := float64(warmAfter-age) / float64(warmAfter-coldFor)
			return Health{Slow: 1 + (coldSlow-1)*left}
		},
	}
}
