package lab

import "math/rand/v2"

var grayAndShed = Fault{
	Name: "gray+shed",
	Why:  "Work taken from the gray target pushes the full one further: refusals follow the ejection.",
	Plan: func(s Service, r *rand.Rand) Plan {
		busy := r.IntN(s.Targets)
		gray := onHealth(s, other(r, s.Targets, busy), hang(1))
		return both(onHealth(s, busy, Health{Full: true}), gray)
	},
}
