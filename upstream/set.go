package upstream

import (
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/publication"
)

// Set holds the services of all contracts in force.
type Set struct {
	via       Via
	transport http.RoundTripper
	mu        sync.Mutex // serializes Update
	services  atomic.Pointer[map[fleet.ServiceID]*Service]
}

// NewSet returns an empty set.
func NewSet(via Via, rt http.RoundTripper) *Set {
	s := &Set{via: via, transport: rt}
	s.services.Store(&map[fleet.ServiceID]*Service{})
	return s
}

// Service returns a service, nil if no contract in force has it.
func (s *Set) Service(id fleet.ServiceID) *Service {
	return (*s.services.Load())[id]
}

// Update follows the contracts and targets in force.
func (s *Set) Update(v *publication.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.services.Load()
	next := make(map[fleet.ServiceID]*Service, len(old))
	for customer, p := range v.Contracts {
		for _, svc := range p.Contract.Services {
			id := fleet.NewServiceID(customer, svc.Name)
			entry := old[id]
			if entry == nil {
				entry = newService(id, s.via, s.transport)
			}
			entry.update(v.Targets[id])
			next[id] = entry
		}
	}
	s.services.Store(&next)
}
