package lab

import "math/rand/v2"

var twoGray = Fault{
	Name: "gray+gray",
	Why:  "Two sick targets widen the spread that hides them; of six targets the floor lets only one go.",
	Plan: func(s Service, r *rand.Rand) Plan {
		a := r.IntN(s.Targets)
		b := other(r, s.Targets, a)
		return both(onHealth(s, a, hang(1)), onHealth(s, b, hang(1)))
	},
}
