package lab

import "math/rand/v2"

var grayAndSlowService = Fault{
	Name: "gray+whole-slow",
	Why:  "Timeouts everywhere hide the one target that gives nothing but timeouts.",
	Plan: func(s Service, r *rand.Rand) Plan {
		return both(onTarget(hang(1))(s, r), wholeSlow.Plan(s, r))
	},
}
