package lab

import (
	"math/rand/v2"
	"time"
)

const (
	// pauseEvery is the time between two pauses of one target.
	pauseEvery = 8 * time.Second
	// pauseLength is less than any try's timeout.
	pauseLength = 300 * time.Millisecond
)

var pauses = Fault{
	Name:     "pauses",
	Why:      "Healthy targets stop for 300 ms now and then, as a collector makes them: several late answers come at once.",
	Innocent: true,
	Plan: func(s Service, r *rand.Rand) Plan {
		shift := make([]time.Duration, s.Targets)
		for i := range shift {
			shift[i] = time.Duration(r.Int64N(int64(pauseEvery)))
		}
		return Plan{Health: func(now time.Duration, target, _ int) Health {
			left := pauseLength - (now+shift[target])%pauseEvery
			if left > 0 && s.during(now) {
				return Health{Delay: left}
			}
			return Health{}
		}}
	},
}
