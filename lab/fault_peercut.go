package lab

import (
	"math/rand/v2"
	"time"
)

var peerCut = Fault{
	Name: "gray+peer-cut",
	Why:  "A gray target while a zone's messages to the other zones get lost: its share of the evidence is missing.",
	Plan: func(s Service, r *rand.Rand) Plan {
		p := onTarget(hang(1))(s, r)
		zone := r.IntN(s.Zones)
		p.Link = func(now time.Duration, from, to int) (time.Duration, bool) {
			lost := s.Zone(from) == zone && s.Zone(to) != zone && s.during(now)
			return s.delay(from, to), !lost
		}
		return p
	},
}
