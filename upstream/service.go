package upstream

import (
	"context"
	"net/http"
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

// Service is the runtime state of one service at this instance: its eligible
// targets, their health, and its admission queues.
type Service struct {
	ID       fleet.ServiceID
	via      Via
	pool     *pool.Set
	balancer *balancer.Balancer
	health   *evidence.Service
	budget   *retry.Budget
	gates    [len(classes)]*admission.Queue

	// used reports whether a request arrived since the last Rebalance.
	used atomic.Bool

	// The fields below are used only under Set.mu, by Update, Tick and Rebalance.
	settings   *contract.Service
	config     balancer.Config
	targets    []fleet.Target
	lastHealth *outlier.Snapshot
	members    balancer.Members
	slots      int
	instances  int
	// shares holds this instance's share of the traffic per class, from 0 to 1.
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

// Budget returns the retry budget.
func (s *Service) Budget() *retry.Budget { return s.budget }

// Health returns a snapshot of the health of the targets.
func (s *Service) Health() *outlier.Snapshot { return s.health.Snapshot() }

// ExpectedLatency returns the expected latency of a try, 0 if there is no estimate yet.
func (s *Service) ExpectedLatency(c fleet.Class) time.Duration { return s.Gate(c).Stats().Latency }

// HasMore reports whether more than n targets are eligible.
func (s *Service) HasMore(n int) bool { return s.balancer.Picker().Len() > n }

// TargetTracker tracks the target of a running try. It is safe for concurrent use.
type TargetTracker struct {
	id atomic.Pointer[fleet.TargetID]
}

// Target returns the target picked last, "" if none has been picked.
func (p *TargetTracker) Target() fleet.TargetID {
	if id := p.id.Load(); id != nil {
		return *id
	}
	return ""
}

func (p *TargetTracker) set(id fleet.TargetID) {
	if p == nil {
		return
	}
	chosen := id // a copy, so that id does not escape to the heap if p is nil
	p.id.Store(&chosen)
}

// Send searches for a target that accepts the request and returns the result
// of the try there. It skips targets that shed the request until the balancer
// ends the search; newRequest creates the request for each target. If tracker is
// not nil, it is updated with each picked target. A result without Target means
// that no target could be picked.
func (s *Service) Send(ctx context.Context, class fleet.Class, search *balancer.Search, tracker *TargetTracker, newRequest func() *Request) Result {
	s.used.Store(true)
	start := time.Now()
	last := Result{Try: fleet.TryDialFailed, Err: ErrNoTarget}
	for {
		var pause time.Duration
		var again bool
		pick, ok := s.balancer.Picker().Pick(balancer.PickInfo{Tried: search.Tried, Class: class, Now: time.Now()})
		if !ok {
			pause, again = s.balancer.Exhausted(search, time.Since(start))
		} else {
			tracker.set(pick.Target.ID)
			last = s.try(ctx, class, pick, newRequest())
			if last.Try != fleet.TryShed || last.BodyUsed {
				search.Tried.Add(pick.Target.ID)
				return last
			}
			pause, again = s.balancer.Refused(search, pick, time.Since(start))
		}
		if !again || !wait.For(ctx, pause) {
			return last
		}
	}
}

// try sends the request to the picked target and records the result.
func (s *Service) try(ctx context.Context, class fleet.Class, pick balancer.Pick, req *Request) Result {
	watch := s.health.Start(pick.Target.ID, time.Now())
	res := Try(ctx, s.roundTripper(class, pick.Target), s.via, pick.Target, req)
	s.health.Done(watch, res.Try, res.Latency)
	s.Gate(class).Observe(res.Try, res.Latency)
	s.budget.RecordResult(time.Now(), res.Try)
	pick.Done(balancer.DoneInfo{Result: res.Try, Latency: res.Latency, RetryAfter: res.RetryAfter})
	return res
}

// roundTripper returns how requests of a class are sent. Those that must run at most once share no connection, as a
// response to another request must not count as theirs.
func (s *Service) roundTripper(class fleet.Class, t fleet.Target) http.RoundTripper {
	if class.Repeatable() {
		return s.pool.RoundTripper(t)
	}
	return s.pool.SingleUse(t)
}
