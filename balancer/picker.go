package balancer

import (
	"time"

	"github.com/clementinereel/clementinereel/balancer/policy"
	"github.com/clementinereel/clementinereel/fleet"
)

// Tried are the targets that one request has been at already.
type Tried = policy.Tried

// Picker is an immutable snapshot of the targets that may be chosen. It is
// safe for concurrent use. Each request should take the newest one.
type Picker struct {
	b        *Balancer
	set      policy.Set
	spare    bool
	assigned []Assignment
}

// PickInfo describes the request that needs a target.
type PickInfo struct {
	// Tried are the targets that must not be chosen again.
	Tried Tried
	// Class is the class of the request. No policy tells classes apart yet.
	Class fleet.Class
	Now   time.Time
}

// Pick is a chosen target. Done must be called exactly once.
type Pick struct {
	Target fleet.Target
	// Spare tells that the target is outside the instance's subset: the
	// connection comes out of the margin and must be closed after use.
	Spare bool

	b    *Balancer
	load *policy.Load
	at   int64
}

// DoneInfo tells how a try ended.
type DoneInfo struct {
	Result fleet.TryResult
	// Latency is from the Pick to the end of the try.
	Latency time.Duration
	// RetryAfter is what the target asked for with a shed, cold or draining
	// reply; 0 if it named none.
	RetryAfter time.Duration
}

// acquireTries bounds how often Pick chooses again when other requests took
// the last place between choosing and acquiring.
const acquireTries = 4

// Pick chooses a target. It returns false when every target is excluded, gone
// or at the instance's limit.
func (p *Picker) Pick(info PickInfo) (Pick, bool) {
	if len(p.set.Candidates) == 0 {
		return Pick{}, false
	}
	for range acquireTries {
		i := p.choose(info)
		if i == policy.None {
			return Pick{}, false
		}
		c := &p.set.Candidates[i]
		if c.Load.Acquire(c.Limit) {
			return Pick{Target: c.Target, Spare: p.spare, b: p.b, load: c.Load, at: info.Now.UnixNano()}, true
		}
	}
	return Pick{}, false
}

func (p *Picker) choose(info PickInfo) int {
	r := policy.Request{
		Set: &p.set, Now: info.Now.UnixNano(), Tried: info.Tried,
		Seed: p.b.seed, Number: p.b.number.Add(1),
	}
	if i := p.b.policy.Choose(r); i != policy.None {
		return i
	}
	return r.LeastBackedOff()
}

// Len is how many targets may be chosen.
func (p *Picker) Len() int { return len(p.set.Candidates) }

// Connections calls f with each target of the instance's subset and its share
// of the target's connections; a connection pool takes its limits from it. A
// target that is not to be chosen for now is among them: it keeps its
// connections, so that a verdict or its end costs none.
func (p *Picker) Connections(f func(t fleet.Target, connections int)) {
	for _, a := range p.assigned {
		if a.Connections > 0 {
			f(a.Target, a.Connections)
		}
	}
}

// SameConnections tells whether two Pickers of one Balancer give the same
// connections, so that a pool needn't be told again.
func (p *Picker) SameConnections(q *Picker) bool {
	if len(p.assigned) == 0 || len(q.assigned) == 0 {
		return len(p.assigned) == len(q.assigned)
	}
	return &p.assigned[0] == &q.assigned[0]
}

// Done reports how the try ended and frees its place.
func (p Pick) Done(d DoneInfo) {
	if wait := p.b.cfg.backOff(d); wait > 0 {
		p.load.BackOff(p.at+int64(d.Latency), wait)
	}
	p.load.Release()
}

// backOff is how long a result asks to leave the target alone. A failure asks
// for nothing: judging it is the work of outlier detection.
func (c Config) backOff(d DoneInfo) time.Duration {
	asked := min(d.RetryAfter, c.MaxBackOff)
	switch d.Result {
	case fleet.TryShed:
		return orDefault(asked, c.ShedBackOff)
	case fleet.TryCold:
		return orDefault(asked, c.ColdBackOff)
	case fleet.TryDraining:
		return c.DrainBackOff
	}
	return 0
}
