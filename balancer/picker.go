package balancer

import (
	"time"

	"github.com/clementinereel/clementinereel/balancer/policy"
	"github.com/clementinereel/clementinereel/fleet"
)

// Tried is the set of targets that a request has already tried.
type Tried = policy.Tried

// Picker is an immutable snapshot of the eligible targets. It is safe for
// concurrent use. Each request should use the newest one.
type Picker struct {
	b             *Balancer
	set           policy.Set
	outsideSubset bool
	assigned      []Assignment
}

// PickInfo describes a request that needs a target.
type PickInfo struct {
	// Tried are the targets that must not be chosen again.
	Tried Tried
	// Class is the class of the request. Policies don't distinguish classes
	// yet.
	Class fleet.Class
	Now   time.Time
}

// Pick is a chosen target. Done must be called exactly once.
type Pick struct {
	Target fleet.Target
	// OutsideSubset reports whether the target is outside the instance's
	// subset. Its connection is taken from the margin and must be closed
	// after use.
	OutsideSubset bool

	b        *Balancer
	load     *policy.Load
	pickedAt int64
}

// DoneInfo describes the result of a try.
type DoneInfo struct {
	Result fleet.TryResult
	// Latency is the time from the Pick to the end of the try.
	Latency time.Duration
	// RetryAfter is the value that the target sent with a shed, cold or
	// draining response; 0 if it sent none.
	RetryAfter time.Duration
}

// maxAcquireAttempts bounds how often Pick chooses again when concurrent
// requests take the last place of the chosen target before it is acquired.
const maxAcquireAttempts = 4

// Pick chooses a target. It returns false when every target is excluded,
// removed or at the instance's limit.
func (p *Picker) Pick(info PickInfo) (Pick, bool) {
	if len(p.set.Candidates) == 0 {
		return Pick{}, false
	}
	for range maxAcquireAttempts {
		i := p.choose(info)
		if i == policy.None {
			return Pick{}, false
		}
		c := &p.set.Candidates[i]
		if c.Load.Acquire(c.Limit) {
			return Pick{Target: c.Target, OutsideSubset: p.outsideSubset, b: p.b, load: c.Load, pickedAt: info.Now.UnixNano()}, true
		}
	}
	return Pick{}, false
}

func (p *Picker) choose(info PickInfo) int {
	r := policy.Request{
		Set: &p.set, Now: info.Now.UnixNano(), Tried: info.Tried,
		Seed: p.b.seed, Number: p.b.requestCount.Add(1),
	}
	if i := p.b.policy.Choose(r); i != policy.None {
		return i
	}
	return r.SoonestAvailable()
}

// Len returns the number of eligible targets.
func (p *Picker) Len() int { return len(p.set.Candidates) }

// Connections calls f with each target of the instance's subset and the
// instance's share of its connections, from which a connection pool takes its
// limits. Targets that must not be chosen for now are included: they keep
// their connections, so that ejecting and readmitting a target doesn't close
// any.
func (p *Picker) Connections(f func(t fleet.Target, connections int)) {
	for _, a := range p.assigned {
		if a.Connections > 0 {
			f(a.Target, a.Connections)
		}
	}
}

// SameConnections reports whether p and q, of the same Balancer, have the
// same connections, so that a pool needs no update.
func (p *Picker) SameConnections(q *Picker) bool {
	if len(p.assigned) == 0 || len(q.assigned) == 0 {
		return len(p.assigned) == len(q.assigned)
	}
	return &p.assigned[0] == &q.assigned[0]
}

// Done records the result of the try and releases its place at the target.
func (p Pick) Done(d DoneInfo) {
	if wait := p.b.cfg.backOff(d); wait > 0 {
		p.load.BackOff(p.pickedAt+int64(d.Latency), wait)
	}
	p.load.Release()
}

// backOff returns the back-off that a result requires, or 0. Failures require
// none: they are handled by outlier detection.
func (c Config) backOff(d DoneInfo) time.Duration {
	retryAfter := min(d.RetryAfter, c.MaxBackOff)
	switch d.Result {
	case fleet.TryShed:
		return orDefault(retryAfter, c.ShedBackOff)
	case fleet.TryCold:
		return orDefault(retryAfter, c.ColdBackOff)
	case fleet.TryDraining:
		return c.DrainBackOff
	}
	return 0
}
