package lab

import (
	"math/rand/v2"
	"time"
)

var wholeSlow = Fault{
	Name:     "whole-slow",
	Why:      "All targets slow down 5x together: setting some aside makes it worse.",
	Innocent: true,
	Plan: func(s Service, _ *rand.Rand) Plan {
		return Plan{Health: func(now time.Duration, _, _ int) Health {
			if s.during(now) {
				return Health{Slow: 5}
			}
			return Health{}
		}}
	},
}
