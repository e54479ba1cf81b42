package upstream

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/clementinereel/clementinereel/fleet"
)

// Service is the runtime state of one service at this instance.
type Service struct {
	ID        fleet.ServiceID
	via       Via
	transport http.RoundTripper
	targets   atomic.Pointer[[]fleet.Target]
	turn      atomic.Uint64
}

func newService(id fleet.ServiceID, via Via, rt http.RoundTripper) *Service {
	return &Service{ID: id, via: via, transport: rt}
}

// update replaces the targets that may be chosen.
func (s *Service) update(targets []fleet.Target) {
	joined := make([]fleet.Target, 0, len(targets))
	for _, t := range targets {
		if t.State == fleet.Joined {
			joined = append(joined, t)
		}
	}
	s.targets.Store(&joined)
}

// Pick chooses a target, in turn. It tells false if there is none.
func (s *Service) Pick() (fleet.Target, bool) {
	targets := *s.targets.Load()
	if len(targets) == 0 {
		return fleet.Target{}, false
	}
	n := s.turn.Add(1)
	return targets[n%uint64(len(targets))], true
}

// Try sends a request to one target.
func (s *Service) Try(ctx context.Context, t fleet.Target, req *Request) Result {
	return Try(ctx, s.transport, s.via, t, req)
}
