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
	// joinPreferencePeriod is how long after a target's warm-up ends an unused target is
	// preferred as newly joined.
	joinPreferencePeriod = 8 * time.Second
	// floorStartDelay is how long after its start a process waits before it places requests for
	// the floor. By then each other instance of its zone has sent a heartbeat with its in-flight
	// requests, even where heartbeats are 1.4 s apart.
	floorStartDelay = 2 * time.Second
)

// Placement is a chosen target together with the reasons for the choice.
type Placement struct {
	*registry.Target
	// Cost is the expected cost of the attempt, FailProbability the probability that it fails.
	Cost, FailProbability float64
	// InFlight is the number of requests of all instances at the target, without this attempt.
	InFlight int
	// Doubtful reports whether the attempt is likely enough to fail that its result must be sent
	// to the other instances at once.
	Doubtful bool
	// ForFloor reports whether the target was chosen to keep the floor: the minimum share of
	// healthy targets in use while a service fails.
	ForFloor bool
	// MaxIdle is the longest idle time of a connection that may carry the attempt.
	MaxIdle time.Duration
	// restarts is the target's restart count before the attempt.
	restarts int
	// prevArrival is the start time of the latest earlier request at the target.
	prevArrival time.Time
	// zoneTargets is the number of the service's targets in the target's zone.
	zoneTargets int
}

// exchangeTarget returns the target in the form the exchange client uses.
func exchangeTarget(t *registry.Target) exchange.Target {
	return exchange.Target{ID: t.ID, Addr: t.Addr, Born: t.Born}
}

// queueRounds estimates how many rounds of the target's slots pass until the attempt is done,
// including its own.
func (p *Placement) queueRounds() float64 { return queueRounds(p.InFlight+1, p.Slots) }

// queueRounds estimates how many rounds of a target's slots pass until that many requests are done; at least 1.
func queueRounds(requests, slots int) float64 {
	return max(float64(requests)/float64(max(slots, 1)), 1)
}

// fillsTarget reports whether the attempt took the last known free slot of the target.
func (p *Placement) fillsTarget() bool { return p.InFlight+1 >= p.Slots }

// Place chooses a target for an attempt and counts the attempt as in flight. It skips targets in
// tried and withheld and those that this instance backs off from. warm reports whether a
// connection with at most the given idle time is available to the request. Place returns false if there is no
// target.
func (k *Knowledge) Place(now time.Time, name document.ServiceName, ts []*registry.Target, tried, withheld []fleet.TargetID, w placement.Work, warm func(exchange.Target, time.Duration) bool) (Placement, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.service(name)
	w.KB += s.meanResponseKB
	w.TypicalTime = s.latency.current().median
	candidates := make([]placement.Candidate, 0, len(ts))
	from := make([]*registry.Target, 0, len(ts))
	for _, t := range ts {
		if !slices.Contains(tried, t.ID) && !slices.Contains(withheld, t.ID) && !now.Before(k.target(t.ID).backoff.until) {
			candidates = append(candidates, k.candidate(now, s, t, warm(exchangeTarget(t), k.maxIdle(now, s, t.ID))))
			from = append(from, t)
			if t.Zone == k.chooser.Zone {
				w.ZoneTargets++
			}
		}
	}
	i, cost := k.chooser.Choose(w, candidates)
	if i < 0 {
		return Placement{}, false
	}
	next := k.floorCandidate(now, s, w.ZoneTargets, candidates)
	forFloor := next >= 0 && len(tried) == 0
	if forFloor {
		i, cost = next, k.chooser.Cost(w, &candidates[next])
	}
	c := &candidates[i]
	chosen := k.target(c.ID)
	chosen.ownInFlight++
	prevArrival := chosen.lastArrival
	chosen.recordArrival(now)
	return Placement{
		Target:          from[i],
		Cost:            cost,
		FailProbability: c.FailureProbability,
		InFlight:        c.InFlight,
		Doubtful:        c.FailureProbability >= placement.DoubtfulFailureProbability,
		ForFloor:        forFloor,
		MaxIdle:         k.maxIdle(now, s, c.ID),
		restarts:        chosen.restarts,
		prevArrival:     prevArrival,
		zoneTargets:     countInZone(ts, c.Zone),
	}, true
}

// countInZone returns the number of targets in the zone.
func countInZone(ts []*registry.Target, z fleet.Zone) int {
	n := 0
	for _, t := range ts {
		if t.Zone == z {
			n++
		}
	}
	return n
}

// ShouldNotify reports whether the instance of this zone at addr must be notified of the
// placement at once.
func (k *Knowledge) ShouldNotify(addr string, p *Placement) bool {
	return k.chooser.Considers(fleet.InstanceID(addr), p.ID, p.zoneTargets)
}

// InFlight returns the number of requests this instance has in flight at a target.
func (k *Knowledge) InFlight(id fleet.TargetID) mesh.Load {
	k.mu.Lock()
	defer k.mu.Unlock()
	return mesh.Load{Target: id, InFlight: k.target(id).ownInFlight}
}

// maxIdle returns the longest idle time of a reusable connection to the target.
func (k *Knowledge) maxIdle(now time.Time, s *service, id fleet.TargetID) time.Duration {
	return min(s.reuse.maxIdle(now), k.target(id).reuse.maxIdle(now))
}

// floorCandidate returns the index of the candidate to use next so that enough targets stay in
// use, or -1 if there is none.
func (k *Knowledge) floorCandidate(now time.Time, s *service, inZone int, candidates []placement.Candidate) int {
	if now.Sub(k.instanceCount.booted) < floorStartDelay {
		return -1
	}
	return k.chooser.FloorTarget(s.estimator.RecentFailureRate(), inZone, candidates)
}

func (k *Knowledge) candidate(now time.Time, s *service, rt *registry.Target, warm bool) placement.Candidate {
	t := k.target(rt.ID)
	unhealthy, failure := s.estimator.Probabilities(now, rt.ID, k.openShare(now, s, t, rt.Slots))
	return placement.Candidate{
		ID:                   rt.ID,
		Zone:                 rt.Zone,
		Slots:                rt.Slots,
		UnhealthyProbability: unhealthy,
		FailureProbability:   failure,
		InFlight:             t.ownInFlight + t.peerInFlight,
		HasConn:              warm,
		PathCut:              now.Before(t.cutUntil),
		Warming:              now.Before(rt.WarmAt),
		BackedOff:            now.Before(t.backoff.peersUntil),
		SinceUse:             now.Sub(t.lastUse),
		// Peers report use only when an attempt ends, but an arrival when it begins.
		SinceStart:      now.Sub(t.lastArrival),
		Joined:          t.lastUse.IsZero() && now.Sub(rt.WarmAt) < joinPreferencePeriod,
		ZoneResponsible: k.coversZone(now, rt.Zone),
	}
}

// openShare returns the share of attempts at healthy targets that are still open after as long as the latest
// one at the target; 1 if it has none in flight. An attempt that hangs shows before it is slow, so that fewer
// requests follow it. At a target with more requests than slots an attempt takes as many times longer.
func (k *Knowledge) openShare(now time.Time, s *service, t *target, slots int) float64 {
	inFlight := t.ownInFlight + t.peerInFlight
	if inFlight == 0 {
		return 1
	}
	age := float64(now.Sub(t.lastArrival)) / queueRounds(inFlight, slots)
	return s.latency.current().openShare(time.Duration(age))
}

// coversZone reports whether instances of this zone are responsible for targets of the given
// zone: their own zone, and zones that have sent nothing recently.
func (k *Knowledge) coversZone(now time.Time, name fleet.Zone) bool {
	if name == k.chooser.Zone {
		return true
	}
	z := k.zones[name]
	return z == nil || now.Sub(z.lastReceived) > peerLoadTimeout
}

// Withdraw reverts the counts of an attempt that was not made.
func (k *Knowledge) Withdraw(p Placement) {
	k.Done(p)
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.target(p.ID); t.restarts == p.restarts {
		t.lastArrival = p.prevArrival
	}
}

// Done removes an ended attempt from the requests in flight, unless its target has restarted
// since.
func (k *Knowledge) Done(p Placement) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.target(p.ID); t.restarts == p.restarts && t.ownInFlight > 0 {
		t.ownInFlight--
	}
}

// Utilization returns the share of the targets' slots in use by all instances. slots returns the
// number of slots of a target. Targets that this instance backs off from are left out.
func (k *Knowledge) Utilization(now time.Time, ts []*registry.Target, slots func(*registry.Target) float64) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	used, all := 0, 0.0
	for _, t := range ts {
		x := k.target(t.ID)
		if now.Before(x.backoff.until) {
			continue
		}
		used += x.ownInFlight + x.peerInFlight
		all += slots(t)
	}
	if all == 0 {
		return 0
	}
	return float64(used) / all
}
