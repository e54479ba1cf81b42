package gateway

import (
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/placement"
	"github.com/clementinereel/clementinereel/registry"
)

const (
	// joinedFor is for how long after its start-up a target that nobody used is sought
	// out.
	joinedFor = 8 * time.Second
	// floorAfter is how long after its start a process only learns before it tries targets
	// for the floor: by then each other instance of its zone has sent a heartbeat, with
	// what it has in flight, even where these are 1.4 s apart.
	floorAfter = 2 * time.Second
)

// Placed is a target that was chosen and why.
type Placed struct {
	*registry.Target
	// Cost is the expected cost, Fails its part for failure.
	Cost, Fails float64
	// InFlight is what all instances had there, this attempt left out.
	InFlight int
	// Doubtful tells that the others are to hear at once how the attempt ends.
	Doubtful bool
	// ForFloor tells that the target was chosen to keep enough targets in use.
	ForFloor bool
	// MaxIdle is how long a connection may have been idle to carry the attempt.
	MaxIdle time.Duration
	// restarts are those of the target before the attempt.
	restarts int
	// arrivedBefore is when the latest request before this one began there.
	arrivedBefore time.Time
	// inItsZone is how many targets of the service are in the target's zone.
	inItsZone int
}

// at is where the attempt goes.
func at(t *registry.Target) exchange.Target {
	return exchange.Target{ID: t.ID, Addr: t.Addr, Born: t.Born}
}

// turns is how many times the slots must come free, as far as known, before the
// attempt is done, its own work included; at least 1.
func (p *Placed) turns() float64 {
	return max(float64(p.InFlight+1)/float64(max(p.Slots, 1)), 1)
}

// crowded tells whether the attempt left no slot free, as far as known.
func (p *Placed) crowded() bool { return p.InFlight+1 >= p.Slots }

// Place chooses a target among those given, those that were tried, those that are withheld and those that this
// instance backs off from left out, and counts the attempt in. Warm tells whether a connection that was idle for at most the given time is
// at hand. It returns false if there is no target.
func (k *Knowledge) Place(now time.Time, name document.ServiceName, ts []*registry.Target, tried, withheld []fleet.TargetID, w placement.Work, warm func(exchange.Target, time.Duration) bool) (Placed, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.service(name)
	w.KB += s.answerKB
	w.TypicalTime = s.latency.known().median
	candidates := make([]placement.Candidate, 0, len(ts))
	from := make([]*registry.Target, 0, len(ts))
	for _, t := range ts {
		if !slices.Contains(tried, t.ID) && !slices.Contains(withheld, t.ID) && !now.Before(k.target(t.ID).backoff.until) {
			candidates = append(candidates, k.candidate(now, s, t, warm(at(t), k.maxIdle(now, s, t.ID))))
			from = append(from, t)
			if t.Zone == k.chooser.Zone {
				w.ZoneTargets++
			}
		}
	}
	i, cost := k.chooser.Choose(w, candidates)
	if i < 0 {
		return Placed{}, false
	}
	next := k.floor(now, s, w.ZoneTargets, candidates)
	forFloor := next >= 0 && len(tried) == 0
	if forFloor {
		i, cost = next, k.chooser.Cost(w, &candidates[next])
	}
	c := &candidates[i]
	chosen := k.target(c.ID)
	chosen.own++
	arrivedBefore := chosen.arrivedAt
	chosen.arrived(now)
	return Placed{
		Target:        from[i],
		Cost:          cost,
		Fails:         c.FailureProbability,
		InFlight:      c.InFlight,
		Doubtful:      c.FailureProbability >= placement.DoubtfulFailureProbability,
		ForFloor:      forFloor,
		MaxIdle:       k.maxIdle(now, s, c.ID),
		restarts:      chosen.restarts,
		arrivedBefore: arrivedBefore,
		inItsZone:     inZone(ts, c.Zone),
	}, true
}

// inZone is how many of the targets are in the zone.
func inZone(ts []*registry.Target, z fleet.Zone) int {
	n := 0
	for _, t := range ts {
		if t.Zone == z {
			n++
		}
	}
	return n
}

// Concerns tells whether an instance of the zone, named by its address, should hear at once
// of an attempt that was placed.
func (k *Knowledge) Concerns(addr string, p *Placed) bool {
	return k.chooser.Considers(fleet.InstanceID(addr), p.ID, p.inItsZone)
}

// InFlight is what this instance has in flight at a target.
func (k *Knowledge) InFlight(id fleet.TargetID) mesh.Load {
	k.mu.Lock()
	defer k.mu.Unlock()
	return mesh.Load{Target: id, InFlight: k.target(id).own}
}

// maxIdle is how long a connection to the target may have been idle.
func (k *Knowledge) maxIdle(now time.Time, s *service, id fleet.TargetID) time.Duration {
	return min(s.reuse.most(now), k.target(id).reuse.most(now))
}

// floor returns the target to be tried so that enough are in use; -1 if none is.
func (k *Knowledge) floor(now time.Time, s *service, inZone int, candidates []placement.Candidate) int {
	if now.Sub(k.census.booted) < floorAfter {
		return -1
	}
	return k.chooser.FloorTarget(s.estimator.RecentFailureRate(), inZone, candidates)
}

func (k *Knowledge) candidate(now time.Time, s *service, rt *registry.Target, warm bool) placement.Candidate {
	t := k.target(rt.ID)
	return placement.Candidate{
		ID:                   rt.ID,
		Zone:                 rt.Zone,
		Slots:                rt.Slots,
		UnhealthyProbability: s.estimator.UnhealthyProbability(now, rt.ID),
		FailureProbability:   s.estimator.FailureProbability(now, rt.ID),
		InFlight:             t.own + t.others,
		HasConn:              warm,
		PathCut:              now.Before(t.cutUntil),
		Warming:              now.Before(rt.WarmAt),
		BackedOff:            now.Before(t.backoff.peersUntil),
		SinceUse:             now.Sub(t.lastUse),
		// An arrival may be known before any use is, which is told as an attempt ends.
		SinceStart:      now.Sub(t.arrivedAt),
		Joined:          t.lastUse.IsZero() && now.Sub(rt.WarmAt) < joinedFor,
		ZoneResponsible: k.near(now, rt.Zone),
	}
}

// near tells whether this zone's instances look after targets of the given zone:
// their own, and those of a zone from which nothing is heard.
func (k *Knowledge) near(now time.Time, name fleet.Zone) bool {
	if name == k.chooser.Zone {
		return true
	}
	z := k.zones[name]
	return z == nil || now.Sub(z.heard) > peerLoadFor
}

// Withdraw counts out an attempt that is not made.
func (k *Knowledge) Withdraw(p Placed) {
	k.Ended(p)
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.target(p.ID); t.restarts == p.restarts {
		t.arrivedAt = p.arrivedBefore
	}
}

// Ended counts an attempt out, unless its target has started again since.
func (k *Knowledge) Ended(p Placed) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.target(p.ID); t.restarts == p.restarts && t.own > 0 {
		t.own--
	}
}

// Utilization is the part of the targets' slots that all instances have in use; slots tells how many a target
// has. Those that this instance backs off from have none to use.
func (k *Knowledge) Utilization(now time.Time, ts []*registry.Target, slots func(*registry.Target) float64) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	used, all := 0, 0.0
	for _, t := range ts {
		x := k.target(t.ID)
		if now.Before(x.backoff.until) {
			continue
		}
		used += x.own + x.others
		all += slots(t)
	}
	if all == 0 {
		return 0
	}
	return float64(used) / all
}
