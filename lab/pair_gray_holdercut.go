package lab

import (
	"math/rand/v2"
	"time"
)

// noticeAfter is how long the others take to see that the holder is cut off.
const noticeAfter = 5 * time.Second

var grayAndHolderCut = Fault{
	Name: "gray+holder-cut",
	Why:  "The instance that pools the evidence hears all and reaches nobody: each instance must judge for itself until the role moves.",
	Plan: func(s Service, r *rand.Rand) Plan {
		p := onTarget(hang(1))(s, r)
		p.Link = func(now time.Duration, from, to int) (time.Duration, bool) {
			return s.delay(from, to), from != holder || !s.during(now)
		}
		p.Takeover = s.Onset + noticeAfter
		return p
	},
}
