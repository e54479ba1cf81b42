package lab

import (
	"math/rand/v2"
	"time"
)

var leavingAndGray = Fault{
	Name: "gray+leaving",
	Why:  "A target leaves while another turns gray: the floor must not call the leaving one back.",
	Plan: func(s Service, r *rand.Rand) Plan {
		leaving := r.IntN(s.Targets)
		p := onHealth(s, other(r, s.Targets, leaving), hang(1))
		p.Leaves = map[int]time.Duration{leaving: s.Onset}
		return p
	},
}
