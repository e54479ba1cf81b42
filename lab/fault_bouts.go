package lab

import (
	"math/rand/v2"
	"time"
)

const (
	// boutLength and boutPause are the mean lengths of bad times and of the times
	// between them: a target is sick for three tenths of the time.
	boutLength = 6 * time.Second
	boutPause  = 14 * time.Second
	// boutErrors is the part of the work that fails at once in a bad time.
	boutErrors = 0.85
)

var bouts = Fault{
	Name: "bouts",
	Why:  "Every target has bad times of seconds in which most work fails at once.",
	Plan: func(s Service, r *rand.Rand) Plan {
		changes := make([][]time.Duration, s.Targets)
		for t := range changes {
			changes[t] = alternate(s, r)
		}
		return Plan{Health: func(now time.Duration, target, _ int) Health {
			if !s.during(now) || !within(changes[target], now) {
				return Health{}
			}
			return Health{Sick: true, Error: boutErrors}
		}}
	},
}

// alternate draws when a target's bad times begin and end, in turn.
func alternate(s Service, r *rand.Rand) []time.Duration {
	var at []time.Duration
	now := s.Onset
	for sick := r.Float64() < float64(boutLength)/float64(boutLength+boutPause); now < s.End; sick = !sick {
		mean := boutPause
		if sick {
			mean = boutLength
			at = append(at, now)
		}
		now += time.Duration(r.ExpFloat64() * float64(mean))
		if sick {
			at = append(at, now)
		}
	}
	return at
}

// within tells whether a time is in one of the spans that begin and end in turn.
func within(changes []time.Duration, now time.Duration) bool {
	for i := 0; i+1 < len(changes); i += 2 {
		if now >= changes[i] && now < changes[i+1] {
			return true
		}
	}
	return false
}
