package lab

import "math/rand/v2"

var grayAndCold = Fault{
	Name: "gray+cold",
	Why:  "The cold target is the slowest of all and may be taken for the sick one.",
	Plan: func(s Service, r *rand.Rand) Plan {
		cold := r.IntN(s.Targets)
		gray := onHealth(s, other(r, s.Targets, cold), hang(1))
		return both(coldTarget(s, cold), gray)
	},
}
