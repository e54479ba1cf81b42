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

// Env is what all services of an instance share.
type Env struct {
	Via  Via
	Pool *pool.Set
	// Evidence judges the targets. Its Tick runs before that of the Set.
	Evidence *evidence.Table
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

// Service returns a service, nil if no contract in force has it or it never
// had a target.
func (s *Set) Service(id fleet.ServiceID) *Service {
	return (*s.services.Load())[id]
}

// All returns the services of all contracts in force that have targets. The map must not be
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
			if svc := s.follow(now, old[id], id, cs, v.Targets[id], members); svc != nil {
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

// follow brings one service in line with its contract and targets. A service
// that never had a target is nil: contracts may name many of them.
func (s *Set) follow(now time.Time, svc *Service, id fleet.ServiceID, cs *contract.Service, ts []fleet.Target, members balancer.Members) *Service {
	if svc == nil && len(ts) == 0 {
		return nil
	}
	if svc != nil && svc.settings == cs && same(svc.targets, ts) {
		return svc
	}
	health := s.env.Evidence.Set(id, outlier.FromContract(*cs), ts)
	if svc == nil || svc.config != balancer.FromContract(*cs) {
		svc = newService(id, s.env, cs, health, now)
	}
	svc.settings = cs
	svc.targets = ts
	svc.seen = nil
	svc.tick(now, members)
	return svc
}

// same tells whether two lists that are never changed are one.
func same(a, b []fleet.Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Tick rebuilds the choice of targets by what is known of their health.
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
		s.share()
	}
}

// tick rebuilds the choice among the service's targets if what it follows
// from has changed, and tells whether it has.
func (s *Service) tick(now time.Time, members balancer.Members) bool {
	for _, g := range s.gates {
		g.Tick()
	}
	h := s.health.Snapshot()
	if h == s.seen && members == s.members {
		return false
	}
	s.seen, s.members = h, members
	s.balancer.Update(now, s.targets, h.Weight, members)
	s.setCapacity(h, members.Len())
	return true
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
	for i := range s.gates {
		s.shares[i] = 1 / float64(instances)
	}
	s.openGates()
}

// openGates gives every gate its part of the healthy slots.
func (s *Service) openGates() {
	for i, g := range s.gates {
		g.SetCapacity(s.slots, s.shares[i])
	}
}

// ShareOf tells which part of the fleet's requests of a class at a service,
// from 0 to 1, arrives at this instance.
type ShareOf func(id fleet.ServiceID, class fleet.Class) float64

// Rebalance gives the gates of services that had requests since the last call
// the part of the healthy slots that goes with their part of the traffic.
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
		svc.openGates()
	}
}
