package upstream

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinereel/clementinereel/balancer"
	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/evidence"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/outlier"
	"github.com/clementinereel/clementinereel/pool"
	"github.com/clementinereel/clementinereel/publication"
)

// Env holds the dependencies that all services of an instance share.
type Env struct {
	Via  Via
	Pool *pool.Set
	// Evidence estimates the health of the targets. Its Tick must run before Set.Tick.
	Evidence *evidence.Table
	// Seed makes random choices differ between instances.
	Seed uint64
}

// Seed returns a random seed.
func Seed() uint64 { return new(maphash.Hash).Sum64() }

// Set holds the services of all contracts in force. Update and Tick replace
// the table of services; requests read a snapshot of it.
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

// Service returns a service, or nil if no contract in force defines it or it
// has never had a target.
func (s *Set) Service(id fleet.ServiceID) *Service {
	return (*s.services.Load())[id]
}

// All returns the services of all contracts in force, without those that have
// never had a target. The map must not be modified.
func (s *Set) All() map[fleet.ServiceID]*Service { return *s.services.Load() }

// Update applies the contracts and targets in force.
func (s *Set) Update(now time.Time, v *publication.View, members balancer.Members) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.services.Load()
	next := make(map[fleet.ServiceID]*Service, len(old))
	for customer, p := range v.Contracts {
		for i := range p.Contract.Services {
			cs := &p.Contract.Services[i]
			id := fleet.NewServiceID(customer, cs.Name)
			if svc := s.updateService(now, old[id], id, cs, v.Targets[id], members); svc != nil {
				next[id] = svc
			}
		}
	}
	for id := range old {
		if next[id] == nil {
			s.env.Evidence.Remove(id)
		}
	}
	s.services.Store(&next)
	s.updatePool()
}

// updatePool sets this instance's updatePool of the connections of each target in the pool.
func (s *Set) updatePool() {
	var shares []pool.Share
	for _, svc := range *s.services.Load() {
		svc.balancer.Picker().Connections(func(t fleet.Target, connections int) {
			shares = append(shares, pool.Share{Target: t, Connections: connections})
		})
	}
	s.env.Pool.Update(shares)
}

// updateService applies the contract and targets of one service. It returns nil
// for a service that has never had a target, because contracts may define many
// of them.
func (s *Set) updateService(now time.Time, svc *Service, id fleet.ServiceID, cs *contract.Service, ts []fleet.Target, members balancer.Members) *Service {
	if svc == nil && len(ts) == 0 {
		return nil
	}
	if svc != nil && svc.settings == cs && sameSlice(svc.targets, ts) {
		return svc
	}
	health := s.env.Evidence.Set(id, outlier.FromContract(*cs), ts)
	if svc == nil || svc.config != balancer.FromContract(*cs) {
		svc = newService(id, s.env, cs, health, now)
	}
	svc.settings = cs
	svc.targets = ts
	svc.lastHealth = nil
	svc.tick(now, members)
	return svc
}

// sameSlice reports whether two immutable slices share their storage.
func sameSlice(a, b []fleet.Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Tick rebuilds the pickers from the current health of the targets.
func (s *Set) Tick(now time.Time, members balancer.Members) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, svc := range *s.services.Load() {
		before := svc.balancer.Picker()
		if svc.tick(now, members) {
			changed = changed || !svc.balancer.Picker().SameConnections(before)
		}
	}
	if changed {
		s.updatePool()
	}
}

// tick rebuilds the service's picker if the health of its targets or the members
// have changed, and reports whether it did.
func (s *Service) tick(now time.Time, members balancer.Members) bool {
	for _, g := range s.gates {
		g.Tick()
	}
	h := s.health.Snapshot()
	if h == s.lastHealth && members == s.members {
		return false
	}
	s.lastHealth, s.members = h, members
	s.balancer.Update(now, s.targets, h.Weight, members)
	s.setCapacity(h, members.Len())
	return true
}

// setCapacity updates the capacity of the gates from the number of healthy slots.
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
	for i := range s.gates {
		s.shares[i] = 1 / float64(instances)
	}
	s.updateGates()
}

// updateGates sets the capacity of each gate to its share of the healthy slots.
func (s *Service) updateGates() {
	for i, g := range s.gates {
		g.SetCapacity(s.slots, s.shares[i])
	}
}

// ShareOf returns this instance's share, from 0 to 1, of the fleet's requests
// of a class to a service.
type ShareOf func(id fleet.ServiceID, class fleet.Class) float64

// Rebalance divides the healthy slots by share of traffic: it updates the gates
// of all services that received requests since the last call.
func (s *Set) Rebalance(share ShareOf) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, svc := range *s.services.Load() {
		if !svc.used.Swap(false) {
			continue
		}
		for i, class := range classes {
			svc.shares[i] = share(id, class)
		}
		svc.updateGates()
	}
}
