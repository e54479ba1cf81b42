package lab

import (
	"math/rand/v2"
	"time"
)

var logDown = Fault{
	Name: "gray+log-down",
	Why:  "A gray target while the announcement of a new target cannot be read: detection must not need the log.",
	Plan: func(s Service, r *rand.Rand) Plan {
		sick := r.IntN(s.Targets)
		p := onHealth(s, sick, hang(1))
		p.Joins = map[int]time.Duration{other(r, s.Targets, sick): s.Length}
		return p
	},
}
