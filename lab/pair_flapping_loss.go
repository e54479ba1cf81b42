package lab

import (
	"math/rand/v2"
	"time"
)

const (
	// lateBy is how late messages arrive that are not lost.
	lateBy = 500 * time.Millisecond
	// lostShare of the messages is lost.
	lostShare = 0.3
)

var flappingAndLoss = Fault{
	Name: "flapping+late-peers",
	Why:  "Reports are lost or arrive when the target has changed its state: stale evidence against a target that is well.",
	Plan: func(s Service, r *rand.Rand) Plan {
		p := flapping.Plan(s, r)
		p.Link = func(now time.Duration, from, to int) (time.Duration, bool) {
			if !s.during(now) {
				return s.delay(from, to), true
			}
			return s.delay(from, to) + lateBy, r.Float64() >= lostShare
		}
		return p
	},
}
