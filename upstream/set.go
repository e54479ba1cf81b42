package upstream

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinereel/clementinereel/balancer"
	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/outlier"
	"github.com/clementinereel/clementinereel/pool"
	"github.com/clementinereel/clementinereel/publication"
)

// Env is what all services of an instance share.
type Env struct {
	Via  Via
	Pool *pool.Set
	// Seed makes this instance's random choices differ from others'.
	Seed uint64
}

// Seed returns a random seed.
func Seed() uint64 { return new(maphash.Hash).Sum64() }

// Set holds the services of all contracts in force. Its table is owned by the
// goroutine that calls Update and Tick; requests read a snapshot.
type Set struct {
	env      Env
	mu       sync.Mutex // serializes Update and Tick
	services atomic.Pointer[map[fleet.ServiceID]*Service]
}

// NewSet returns an empty set.
func NewSet(env Env) *Set {
	s := &Set{env: env}
	s.services.Store(&map[fleet.ServiceID]*Service{})
	return s
}

// Service returns a service, nil if no contract in force has it.
func (s *Set) Service(id fleet.ServiceID) *Service {
	return (*s.services.Load())[id]
}

// All returns the services of all contracts in force. The map must not be
// changed.
func (s *Set) All() map[fleet.ServiceID]*Service { return *s.services.Load() }

// Update follows the contracts and targets in force.
func (s *Set) Update(now time.Time, v *publication.View, members balancer.Members) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.services.Load()
	next := make(map[fleet.ServiceID]*Service, len(old))
	for customer, p := range v.Contracts {
		for i := range p.Contract.Services {
			cs := &p.Contract.Services[i]
			id := fleet.NewServiceID(customer, cs.Name)
			next[id] = s.follow(now, old[id], id, cs, v.Targets[id], members)
		}
	}
	s.services.Store(&next)
	s.share()
}

// share gives the pool this instance's shares of all targets' connections.
func (s *Set) share() {
	var shares []pool.Share
	for _, svc := range *s.services.Load() {
		svc.balancer.Picker().Connections(func(t fleet.Target, connections int) {
			shares = append(shares, pool.Share{Target: t, Connections: connections})
		})
	}
	s.env.Pool.Update(shares)
}

// follow brings one service in line with its contract and targets.
func (s *Set) follow(now time.Time, svc *Service, id fleet.ServiceID, cs *contract.Service, ts []fleet.Target, members balancer.Members) *Service {
	if svc == nil || svc.config != balancer.FromContract(*cs) {
		svc = newService(id, s.env, cs, now)
	}
	if svc.settings != cs {
		svc.settings = cs
		svc.detector.SetConfig(outlier.FromContract(*cs))
	}
	svc.targets = ts
	svc.detector.SetTargets(now, ts)
	svc.tick(now, members)
	return svc
}

// Output is what the tick of one service hands out.
type Output struct {
	Service *Service
	outlier.Output
}

// Tick moves every service on and returns what their detectors say.
func (s *Set) Tick(now time.Time, members balancer.Members) []Output {
	s.mu.Lock()
	defer s.mu.Unlock()
	var outs []Output
	changed := false
	for _, svc := range *s.services.Load() {
		before := svc.balancer.Picker()
		out := svc.tick(now, members)
		changed = changed || svc.balancer.Picker() != before
		if out.Report != nil || len(out.Events) > 0 || out.Suspect {
			outs = append(outs, Output{Service: svc, Output: out})
		}
	}
	if changed {
		s.share()
	}
	return outs
}

// Apply hands a service's detector what its aggregator says.
func (s *Set) Apply(now time.Time, v outlier.Verdicts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if svc := s.Service(v.Service); svc != nil {
		svc.detector.ApplyVerdicts(now, v)
	}
}

// ReportTo tells a service's detector who its aggregator is.
func (s *Set) ReportTo(id fleet.ServiceID, aggregator fleet.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if svc := s.Service(id); svc != nil {
		svc.detector.ReportTo(aggregator)
	}
}

// tick judges the targets and rebuilds the choice among them.
func (s *Service) tick(now time.Time, members balancer.Members) outlier.Output {
	out := s.detector.Tick(now)
	s.health.Store(out.Snapshot)
	s.balancer.Update(now, s.targets, out.Snapshot.Weight, members)
	s.setCapacity(out.Snapshot, members.Len())
	for _, g := range s.gates {
		g.Tick()
	}
	return out
}

// setCapacity tells the gates how many slots are healthy.
func (s *Service) setCapacity(h *outlier.Snapshot, instances int) {
	weight := 0.0
	for _, t := range s.targets {
		weight += h.Weight(t.ID)
	}
	slots := int(weight * float64(s.settings.Slots))
	if slots == s.slots && instances == s.instances {
		return
	}
	s.slots, s.instances = slots, instances
	for _, g := range s.gates {
		g.SetCapacity(slots, 1/float64(instances))
	}
}
