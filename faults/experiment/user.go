package experiment

import (
	"time"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/emulator"
	"github.com/clementinereel/clementinereel/examples"
	"github.com/clementinereel/clementinereel/faults"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/load"
)

// User is one of the kinds of customer that the project was written for, with
// its number of targets.
type User struct {
	Name     string
	Document []byte
	Targets  map[string]int
}

// Users are the users by name.
var Users = map[string]User{
	"daugava": {
		Name:     "daugava",
		Document: examples.Daugava,
		Targets:  map[string]int{"price-catalogue": 10, "quote-confirmation": 15, "plan-uploads": 6},
	},
	"lonestar": {
		Name:     "lonestar",
		Document: examples.LoneStar,
		Targets:  map[string]int{"route-listing": 12, "settlement": 20, "kitchen-records": 6},
	},
}

// serviceTime is the mean time of a piece of work at a target. It is long, so
// that few requests a second make up the wanted load.
const serviceTime = 100 * time.Millisecond

// setup describes a fleet for a user.
func (u User) setup(b *faults.Binaries, instances int) faults.Setup {
	return faults.Setup{
		Binaries:  b,
		Instances: instances,
		Document:  u.Document,
		Targets:   u.Targets,
		NoLinks:   true,
		Target: emulator.Options{
			Service: emulator.ServiceTime{Shape: emulator.LogNormal, Mean: contract.Duration(serviceTime), Sigma: 0.3},
			Queue:   2,
		},
	}
}

// mix loads every service with a share of its slots, as far as the contract
// allows.
func (u User) mix(f *faults.Fleet, share float64) []load.Stream {
	var mix []load.Stream
	for _, class := range fleet.Classes {
		r := f.Route(class)
		s := f.Stream(class, min(share*u.capacity(f, r.Service), contractShare*r.Limits.Rate))
		s.BodyBytes = uploadBytes(class)
		mix = append(mix, s)
	}
	return mix
}

// contractShare keeps the load below the contract's rate, so that what is
// measured is not the rate limit.
const contractShare = 0.7

// uploadBytes is small: many processes share the machine.
func uploadBytes(c fleet.Class) int {
	if c == fleet.Upload {
		return 32 << 10
	}
	return 0
}

// capacity is how many requests a second a service's slots can serve.
func (u User) capacity(f *faults.Fleet, service string) float64 {
	for _, s := range f.Contract.Services {
		if s.Name == service {
			return float64(u.Targets[service]*s.Slots) / serviceTime.Seconds()
		}
	}
	return 0
}
