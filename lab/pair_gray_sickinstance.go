package lab

import (
	"math/rand/v2"
	"time"
)

var grayAndSickInstance = Fault{
	Name: "gray+sick-instance",
	Why:  "One instance times out on every target and accuses them all: its word must not count.",
	Plan: func(s Service, r *rand.Rand) Plan {
		victim := r.IntN(s.Instances)
		own := Plan{Health: func(now time.Duration, _, instance int) Health {
			if instance == victim && s.during(now) {
				return Health{AnswerLost: true}
			}
			return Health{}
		}}
		return both(onTarget(hang(1))(s, r), own)
	},
}
