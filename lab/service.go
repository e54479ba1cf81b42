package lab

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Service describes one service and the instances before it.
type Service struct {
	Customer fleet.CustomerID
	Name     string
	Class    fleet.Class
	// Instances is the number of proxy instances.
	Instances int
	// Zones is the number of availability zones. Instance and target number
	// n are in zone n modulo Zones.
	Zones int
	// Targets and Slots are the service's targets and the slots of each.
	Targets, Slots int
	// Connections is how many connections one target accepts.
	Connections int
	// Mean is the mean time a healthy target takes for one request.
	Mean time.Duration
	// Deadline bounds one request.
	Deadline time.Duration
	// Hop is the one-way delay between zones.
	Hop time.Duration
	// Floor is the contract's floor in percent.
	Floor int
	// FalseEjectionWeight is the contract's weight of false ejections.
	FalseEjectionWeight float64
	// Onset is when a fault begins, End when it ends, Length when the run
	// ends, all from the start of the run.
	Onset, End, Length time.Duration
}

// The users' contracts weigh the two errors of detection differently.
const (
	daugavaWeight  = 0.9
	loneStarWeight = 0.1
)

// Services lists the services of both users at today's sizes.
var Services = []Service{
	lookups(daugava("catalogue", 10)),
	confirmations(daugava("confirm", 15)),
	uploads(daugava("plans", 6)),
	lookups(loneStar("routes", 12)),
	confirmations(loneStar("settlement", 20)),
	uploads(loneStar("intake", 6)),
}

func daugava(name string, targets int) Service {
	return Service{
		Customer: "daugava", Name: name, Instances: 44, Zones: 3,
		Targets: targets, Slots: 4, Connections: 300, Hop: time.Millisecond, Floor: 70,
		FalseEjectionWeight: daugavaWeight,
	}
}

func loneStar(name string, targets int) Service {
	return Service{
		Customer: "lonestar", Name: name, Instances: 44, Zones: 3,
		Targets: targets, Slots: 2, Connections: 400, Hop: 1500 * time.Microsecond, Floor: 70,
		FalseEjectionWeight: loneStarWeight,
	}
}

func lookups(s Service) Service {
	s.Class = fleet.Lookup
	s.Mean, s.Deadline = 50*time.Millisecond, time.Second
	s.Onset, s.End, s.Length = 10*time.Second, 35*time.Second, 45*time.Second
	return s
}

func confirmations(s Service) Service {
	s.Class = fleet.Confirmation
	s.Mean, s.Deadline = 120*time.Millisecond, 2*time.Second
	s.Onset, s.End, s.Length = 10*time.Second, 35*time.Second, 45*time.Second
	return s
}

func uploads(s Service) Service {
	s.Class = fleet.Upload
	s.Mean, s.Deadline = 600*time.Millisecond, 10*time.Second
	s.Onset, s.End, s.Length = 20*time.Second, 80*time.Second, 100*time.Second
	return s
}

// ID returns the service's identifier.
func (s Service) ID() fleet.ServiceID { return fleet.NewServiceID(s.Customer, s.Name) }

// Zone returns the zone of instance or target number n.
func (s Service) Zone(n int) int { return n % s.Zones }

// target is the announcement of target number n.
func (s Service) target(n int, joined time.Duration) fleet.Target {
	return fleet.Target{
		ID: targetID(n), Service: s.ID(), Zone: zoneID(s.Zone(n)),
		State: fleet.Joined, Since: epoch.Add(joined),
	}
}

// MinInUse is the smallest number of targets that ejections may leave in use.
func (s Service) MinInUse(announced int) int {
	return (announced*s.Floor + 99) / 100
}

// rate is the number of requests a second that use the given share of slots.
func (s Service) rate(load float64) float64 {
	return load * float64(s.Targets*s.Slots) / s.Mean.Seconds()
}
