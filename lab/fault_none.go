package lab

import "math/rand/v2"

var noFault = Fault{
	Name:     "no-fault",
	Why:      "Noise alone must eject nobody.",
	Innocent: true,
	Plan:     func(Service, *rand.Rand) Plan { return Plan{} },
}
