package placement

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Weights are the costs and gains of targets' properties, in units of the value of a request.
type Weights struct {
	// ZonePerKB is the cost of a kilobyte that crosses zones.
	ZonePerKB float64 `json:"zone_per_kb"`
	// ZoneMax bounds the cost of crossing zones: moving a large body is still better than
	// losing the request.
	ZoneMax float64 `json:"zone_most"`
	// Connection is the cost of opening a connection.
	Connection float64 `json:"connection"`
	// Preference is the cost of the target at position Homes in the instance's preference order of
	// its zone's targets. The cost is linear in the position, up to maxPreference times this, so
	// that an instance uses few targets, over open connections, however many there are.
	Preference float64 `json:"preference"`
	// Homes is the number of targets of its zone that an instance mostly uses.
	Homes float64 `json:"homes"`
	// Load is the cost at a target whose slots are all in use; below that, it grows with the
	// square of the share in use.
	Load float64 `json:"load"`
	// Late is the cost of a response after the objective. Queue is the additional cost for each
	// further objective that the response is expected to take: where all queues are long, the
	// shortest is still the best, and the longest end in rejections.
	Late  float64 `json:"late"`
	Queue float64 `json:"queue"`
	// Trial is the gain of a trial of a doubtful target by a retryable request.
	Trial float64 `json:"trial"`
	// CutPath is the cost of a network path that was found interrupted.
	CutPath float64 `json:"cut_path"`
	// ConcurrentTrial is the cost of a doubtful target that already has requests in flight.
	ConcurrentTrial float64 `json:"crowd"`
	// Warmup is the cost of a target that is still slow after its start.
	Warmup float64 `json:"warmup"`
	// Backoff is the cost of a target that rejected requests and from which other instances back
	// off: it is likely to reject this one too, which costs an attempt of the retry budget.
	Backoff float64 `json:"backoff"`
	// Unused is the gain of a target that has not been used lately: in a failing service each
	// healthy target should get some requests within 2 s, also one that was doubtful. It applies
	// to targets that this zone is responsible for, since in a large fleet most of the use of
	// other zones' targets is not reported here.
	Unused float64 `json:"unused"`
	// Joined is the gain of the first request to a target that joined lately, so that new
	// capacity is used at once.
	Joined float64 `json:"joined"`
	// Noise is the scale of a random part of each cost. Instances receive each other's choices
	// with a delay; without it they would all choose the same target.
	Noise float64 `json:"noise"`
	// Failure is the cost of a failure that cannot be retried at another target, and
	// RetryableFailure of one that can. Failure is twice the value of a request: the request
	// itself, and as much again for the service's success rate. A higher cost makes queues
	// at the healthy targets longer.
	Failure          float64 `json:"failure"`
	RetryableFailure float64 `json:"repeatable_failure"`
}

// DefaultWeights returns weights that follow from these prices: a request is worth 1 to 2 units,
// a kilobyte between zones 0.006 to 0.038, and a new connection 0.017 to 0.08.
func DefaultWeights() Weights {
	return Weights{
		ZonePerKB:        0.028,
		ZoneMax:          0.5,
		Connection:       0.06,
		Preference:       0.2,
		Homes:            8,
		Load:             0.1,
		Late:             0.8,
		Queue:            0.5,
		Trial:            0.05,
		CutPath:          0.8,
		ConcurrentTrial:  0.5,
		Warmup:           0.1,
		Backoff:          0.5,
		Unused:           0.1,
		Joined:           0.6,
		Noise:            0.01,
		Failure:          2,
		RetryableFailure: 0.8,
	}
}

// Thresholds of doubtful targets and of queues.
const (
	// DoubtfulFailureProbability is the failure probability from which a target is doubtful. An
	// attempt at it is a trial, and only one trial at a time is made.
	DoubtfulFailureProbability = 0.2
	// unusedThreshold is half of the time within which each healthy target should get requests.
	unusedThreshold = time.Second
	// maxPreference bounds the cost of a target far down in the preference order, as a multiple of
	// Weights.Preference.
	maxPreference = 2
	// trialInterval is the minimum time between trials of a doubtful target.
	trialInterval = 2 * time.Second
	// unreportedRequests is added to the requests in flight at a target, since reports of further
	// ones are on their way.
	unreportedRequests = 1
	// Responses begin to be late at an expected duration of lateFrom objectives, and are all late
	// at fullyLateFrom, since durations vary.
	lateFrom      = 0.45
	fullyLateFrom = 1.1
)

// Candidate is the state of one target as the instance has it.
type Candidate struct {
	ID    fleet.TargetID
	Zone  fleet.Zone
	Slots int
	// UnhealthyProbability is the probability that the target is unhealthy, FailureProbability
	// that an attempt fails.
	UnhealthyProbability, FailureProbability float64
	// InFlight is the number of requests of all instances in flight at the target.
	InFlight int
	// HasConn reports whether an open connection is available.
	HasConn bool
	// PathCut reports whether the network path from this instance was found interrupted.
	PathCut bool
	// Warming reports whether the target is still slow after its start.
	Warming bool
	// BackedOff reports whether other instances back off from the target since it rejected requests.
	BackedOff bool
	// SinceUse is the time since an attempt of any instance at the target was last recorded.
	SinceUse time.Duration
	// SinceStart is the time since the start of the latest request to the target, of any instance.
	SinceStart time.Duration
	// Joined reports whether the target has just started and has not been used yet.
	Joined bool
	// ZoneResponsible reports whether this instance's zone is responsible for the target.
	// Instances of that zone report their use of it to each other at once, and others leave
	// trials of it to them.
	ZoneResponsible bool
}

// Parameters of the floor, the minimum share of a failing service's healthy targets to be in use.
const (
	// floorFailureRate is the share of a service's attempts that fail from which the floor applies.
	floorFailureRate = 0.09
	// floorShare is the share of the healthy targets that must get requests within floorWindow. The
	// requirement is 0.7 within 2 s; the margin is for unhealthy targets that count as healthy.
	floorShare  = 0.8
	floorWindow = 1500 * time.Millisecond
	// probabilityTolerance is the difference of two probabilities that is insignificant, since
	// it can come from updates that one instance has received and another has not.
	probabilityTolerance = 0.02
)

// FloorTarget returns the index of the candidate to be tried next so that the load of a failing service
// does not fall on a few targets only: targets that were unhealthy may have recovered.
// recentFailureRate is the share of the service's recent attempts that failed, zoneTargets the number
// of candidates in the chooser's zone.
//
// It returns -1 if the service does not fail, or while a sufficient share of the healthy targets is in
// use, among all candidates or among those that the instance is responsible for. Each target counts by
// the probability that it is healthy: a trial of a target that is almost certainly unhealthy would only
// be a failure. Otherwise it returns, of the unused targets that the instance is responsible for, the one
// that is most likely healthy, and among equals the first in the instance's preference order.
//
// About as many instances are responsible for a target as an instance has homes, and they report requests
// to each other at their start. This keeps the number of concurrent trials of a target low, whereas a
// rule based on use reported within the last second made all instances of a zone try the same targets.
// Nor does an instance have to learn first which targets others use.
//
// A target from which others back off is not counted, since it would reject a trial.
//
// Use is measured by the start of requests: a request in flight may have started long ago, and its end
// is reported later still.
func (c *Chooser) FloorTarget(recentFailureRate float64, zoneTargets int, ts []Candidate) int {
	if recentFailureRate < floorFailureRate {
		return -1
	}
	var all, own floorTally
	next := -1
	for i := range ts {
		t := &ts[i]
		if t.BackedOff {
			continue
		}
		used := t.SinceStart < floorWindow
		all.add(t, used)
		if !t.ZoneResponsible || !c.responsibleFor(t, zoneTargets) {
			continue
		}
		own.add(t, used)
		if !used && !t.PathCut && (next < 0 || c.betterTrial(t, &ts[next])) {
			next = i
		}
	}
	if all.sufficient() || own.sufficient() {
		return -1
	}
	return next
}

// responsibleFor reports whether the instance keeps the target, for which its zone is responsible, in use
// for the floor: those of its own zone that it considers, and all of other zones.
func (c *Chooser) responsibleFor(t *Candidate, zoneTargets int) bool {
	return t.Zone != c.Zone || c.Considers(c.Self, t.ID, zoneTargets)
}

// betterTrial reports whether a is a better target for a trial than b. Ties are broken by the preference
// order, since instances with the same information would otherwise all try the same target.
func (c *Chooser) betterTrial(a, b *Candidate) bool {
	if math.Abs(a.UnhealthyProbability-b.UnhealthyProbability) > probabilityTolerance {
		return a.UnhealthyProbability < b.UnhealthyProbability
	}
	return preferenceRank(c.Self, a.ID) < preferenceRank(c.Self, b.ID)
}

// floorTally is the expected number of healthy targets, and of those among them that are in use.
type floorTally struct{ healthy, used float64 }

func (n *floorTally) add(t *Candidate, used bool) {
	n.healthy += 1 - t.UnhealthyProbability
	if used {
		n.used += 1 - t.UnhealthyProbability
	}
}

func (n *floorTally) sufficient() bool { return n.used >= floorShare*n.healthy }

// Work describes the request to be placed.
type Work struct {
	// Retryable reports whether a failed attempt can be retried at another target.
	Retryable bool
	// KB is the size of request and response, in kilobytes.
	KB float64
	// TypicalTime is the usual duration of a request to the service at a free slot. Objective is
	// the latency objective, 0 if there is none.
	TypicalTime, Objective time.Duration
	// ZoneTargets is the number of candidates in the chooser's zone.
	ZoneTargets int
}

// Chooser chooses targets for one instance.
type Chooser struct {
	Weights Weights
	Self    fleet.InstanceID
	Zone    fleet.Zone
	// Random returns numbers in [0, 1).
	Random func() float64
}

// Cost returns the expected cost of sending the request to the candidate.
func (c *Chooser) Cost(w Work, t *Candidate) float64 {
	k := &c.Weights
	cost := c.failureCost(w, t) + c.loadCost(w, t) + c.preferenceCost(w, t)
	if t.Zone != c.Zone {
		cost += min(k.ZonePerKB*w.KB, k.ZoneMax)
	}
	if !t.HasConn {
		cost += k.Connection
	}
	if t.PathCut {
		cost += k.CutPath
	}
	if t.Warming {
		cost += k.Warmup
	}
	if t.BackedOff {
		cost += k.Backoff
	}
	return cost
}

// preferenceCost returns the cost of the target's position in the preference order. Targets of other
// zones come after the last one of the own zone and are the same for all instances: they are used when
// those of the own zone do not suffice. Otherwise requests would go to other zones as soon as the homes
// are busy or unhealthy, in zones with many more targets than an instance has homes.
func (c *Chooser) preferenceCost(w Work, t *Candidate) float64 {
	x := preferenceRank(c.Self, t.ID)
	if t.Zone == c.Zone && w.ZoneTargets > 0 {
		x = min(c.scaleByHomes(x, w.ZoneTargets), maxPreference)
	} else {
		x += min(c.scaleByHomes(1, w.ZoneTargets), maxPreference)
	}
	return c.Weights.Preference * x
}

// scaleByHomes converts a rank from 0 to 1 among the given number of targets into a multiple of
// Weights.Homes.
func (c *Chooser) scaleByHomes(rank float64, targets int) float64 {
	return rank * float64(targets) / c.Weights.Homes
}

// Considers reports whether another instance of this zone considers the target among its main choices,
// where zoneTargets is the number of targets of the service in the zone. Requests in flight at other
// targets matter little to that instance: it uses them only when its own do not suffice, and receives
// their load by heartbeats. About as many instances consider a target as an instance has homes,
// however many instances there are.
func (c *Chooser) Considers(other fleet.InstanceID, id fleet.TargetID, zoneTargets int) bool {
	return c.scaleByHomes(preferenceRank(other, id), zoneTargets) < maxPreference
}

func (c *Chooser) failureCost(w Work, t *Candidate) float64 {
	k := &c.Weights
	cost := t.FailureProbability * k.Failure
	if w.Retryable {
		cost = t.FailureProbability * k.RetryableFailure
	}
	switch {
	case t.FailureProbability >= DoubtfulFailureProbability && t.InFlight > 0:
		return cost + k.ConcurrentTrial
	case t.FailureProbability >= DoubtfulFailureProbability && w.Retryable && t.SinceUse > trialInterval && t.Zone == c.Zone:
		return -k.Trial
	case t.Joined && t.InFlight == 0 && t.ZoneResponsible:
		return cost - k.Joined
	case t.FailureProbability < DoubtfulFailureProbability && t.ZoneResponsible && t.InFlight == 0 && t.SinceUse > unusedThreshold:
		return cost - k.Unused
	}
	return cost
}

// loadCost returns the cost of the requests in flight at the target: the share of its slots in use, and
// a queue that makes responses late.
func (c *Chooser) loadCost(w Work, t *Candidate) float64 {
	slots := float64(max(t.Slots, 1))
	full := min(float64(t.InFlight)/slots, 1)
	cost := c.Weights.Load * full * full
	if w.Objective <= 0 {
		return cost
	}
	turns := max(float64(t.InFlight+unreportedRequests)/slots, 1)
	expected := turns * float64(w.TypicalTime) / float64(w.Objective)
	x := min(max((expected-lateFrom)/(fullyLateFrom-lateFrom), 0), 1)
	cost += c.Weights.Late * x * x * (3 - 2*x)
	return cost + c.Weights.Queue*max(expected-fullyLateFrom, 0)
}

// Choose returns the index of the cheapest candidate and its cost, or -1 if there are no candidates.
func (c *Chooser) Choose(w Work, ts []Candidate) (int, float64) {
	best, minCost := -1, 0.0
	for i := range ts {
		cost := c.Cost(w, &ts[i]) + c.noise()
		if best < 0 || cost < minCost {
			best, minCost = i, cost
		}
	}
	return best, minCost
}

// noise returns a random cost with a Gumbel distribution: each target is then chosen with a probability
// that falls exponentially with its cost.
func (c *Chooser) noise() float64 {
	const minRandom = 1e-9
	return c.Weights.Noise * math.Log(-math.Log(max(c.Random(), minRandom)))
}

// preferenceRank returns the position of the target in the instance's preference order, from 0 to 1. It
// is a hash of both IDs, uniformly distributed.
func preferenceRank(self fleet.InstanceID, id fleet.TargetID) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(self)) // a hash never returns an error
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}
