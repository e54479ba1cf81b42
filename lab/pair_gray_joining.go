package lab

import (
	"math/rand/v2"
	"time"
)

var grayJoining = Fault{
	Name: "gray-joining",
	Why:  "A target joins gray: being new must not excuse one that never answers.",
	Plan: func(s Service, r *rand.Rand) Plan {
		joining := r.IntN(s.Targets)
		p := onHealth(s, joining, hang(1))
		p.Joins = map[int]time.Duration{joining: s.Onset}
		return p
	},
}
