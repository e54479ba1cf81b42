package upstream

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/clementinereel/clementinereel/admission"
	"github.com/clementinereel/clementinereel/balancer"
	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/evidence"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/outlier"
	"github.com/clementinereel/clementinereel/pool"
	"github.com/clementinereel/clementinereel/retry"
	"github.com/clementinereel/clementinereel/wait"
)

// Service is the runtime state of one service at this instance: which targets
// may be chosen, what is known of their health, and how much work is let in.
type Service struct {
	ID       fleet.ServiceID
	via      Via
	pool     *pool.Set
	balancer *balancer.Balancer
	health   *evidence.Service
	budget   *retry.Budget
	gates    [len(classes)]*admission.Queue

	// used tells that a request came since the last Rebalance.
	used atomic.Bool

	// The tick alone uses what follows.
	settings  *contract.Service
	config    balancer.Config
	targets   []fleet.Target
	seen      *outlier.Snapshot
	members   balancer.Members
	slots     int
	instances int
	// shares are this instance's parts of the traffic by class.
	shares [len(classes)]float64
}

var classes = [...]fleet.Class{fleet.Lookup, fleet.Confirmation, fleet.Upload}

func newService(id fleet.ServiceID, env Env, cs *contract.Service, health *evidence.Service, now time.Time) *Service {
	s := &Service{
		ID:       id,
		via:      env.Via,
		pool:     env.Pool,
		health:   health,
		budget:   retry.NewBudget(now),
		settings: cs,
		config:   balancer.FromContract(*cs),
	}
	s.balancer = balancer.New(s.config, env.Seed)
	for i := range s.gates {
		s.gates[i] = admission.NewQueue(time.Now)
	}
	return s
}

// Gate returns the admission queue of a class.
func (s *Service) Gate(c fleet.Class) *admission.Queue { return s.gates[c-fleet.Lookup] }

// Budget returns the bound on further tries.
func (s *Service) Budget() *retry.Budget { return s.budget }

// Health returns what is known of the targets.
func (s *Service) Health() *outlier.Snapshot { return s.health.Snapshot() }

// Expected is the latency to be expected of a try, 0 if nothing is known yet.
func (s *Service) Expected(c fleet.Class) time.Duration { return s.Gate(c).Stats().Latency }

// HasMore tells whether more than n targets can be chosen.
func (s *Service) HasMore(n int) bool { return s.balancer.Picker().Len() > n }

// Place tells where a running try is. It is safe for concurrent use.
type Place struct {
	id atomic.Pointer[fleet.TargetID]
}

// Target is the target that was chosen last, "" before the first.
func (p *Place) Target() fleet.TargetID {
	if id := p.id.Load(); id != nil {
		return *id
	}
	return ""
}

func (p *Place) set(id fleet.TargetID) {
	if p == nil {
		return
	}
	chosen := id // not id: it would cost an allocation without a Place, too
	p.id.Store(&chosen)
}

// Send searches for a target that takes the request and returns how the try
// ended there. Targets that shed the request are passed over for as long as
// the balancer is patient; newRequest makes the request anew for each of
// them. Place, if not nil, is told of each choice. A result without Target
// means that no target could be chosen.
func (s *Service) Send(ctx context.Context, class fleet.Class, search *balancer.Search, place *Place, newRequest func() *Request) Result {
	s.used.Store(true)
	begun := time.Now()
	last := Result{Try: fleet.TryDialFailed, Err: ErrNoTarget}
	for {
		var pause time.Duration
		var again bool
		pick, ok := s.balancer.Picker().Pick(balancer.PickInfo{Tried: search.Tried, Class: class, Now: time.Now()})
		if !ok {
			pause, again = s.balancer.Exhausted(search, time.Since(begun))
		} else {
			place.set(pick.Target.ID)
			last = s.try(ctx, class, pick, newRequest())
			if last.Try != fleet.TryShed || last.BodyUsed {
				search.Tried.Add(pick.Target.ID)
				return last
			}
			pause, again = s.balancer.Refused(search, pick, time.Since(begun))
		}
		if !again || !wait.For(ctx, pause) {
			return last
		}
	}
}

// try sends the request to the picked target and records how it ended.
func (s *Service) try(ctx context.Context, class fleet.Class, pick balancer.Pick, req *Request) Result {
	watch := s.health.Start(pick.Target.ID, time.Now())
	res := Try(ctx, s.pool.RoundTripper(pick.Target), s.via, pick.Target, req)
	s.health.Done(watch, res.Try, res.Latency)
	s.Gate(class).Observe(res.Try, res.Latency)
	s.budget.RecordResult(time.Now(), res.Try)
	pick.Done(balancer.DoneInfo{Result: res.Try, Latency: res.Latency, RetryAfter: res.RetryAfter})
	return res
}
