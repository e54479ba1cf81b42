package placement

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Weights turn what is known into parts of a request's worth.
type Weights struct {
	// ZonePerKB is the cost of a kilobyte that crosses zones.
	ZonePerKB float64 `json:"zone_per_kb"`
	// ZoneMost bounds the cost of crossing zones: a large body is still better
	// moved than lost.
	ZoneMost float64 `json:"zone_most"`
	// Connection is the cost of opening a connection.
	Connection float64 `json:"connection"`
	// Preference is the cost of the target that is at place Homes in the
	// instance's own order of its zone's targets. The cost grows evenly with the
	// place, up to mostPreference times that, so that an instance meets few
	// targets, on warm connections, however many there are.
	Preference float64 `json:"preference"`
	// Homes is how many targets of its zone an instance should mostly use.
	Homes float64 `json:"homes"`
	// Load is the cost at a target whose slots are all taken; below, it grows
	// with the square of the part that is taken.
	Load float64 `json:"load"`
	// Late is the cost of an answer after the objective, and Queue what it grows by
	// for each further objective that the answer is expected to take: where all queues
	// are long, the shortest is still the best, and the longest end in refusals.
	Late  float64 `json:"late"`
	Queue float64 `json:"queue"`
	// Trial is the gain of a trial at a doubtful target by work that can be
	// repeated.
	Trial float64 `json:"trial"`
	// CutPath is the cost of a path that was found cut.
	CutPath float64 `json:"cut_path"`
	// Crowd is the cost of a doubtful target that others are trying.
	Crowd float64 `json:"crowd"`
	// Warmup is the cost of a target that is still slow after its start.
	Warmup float64 `json:"warmup"`
	// Backoff is the cost of a target from which other instances back off, since it turned them away: the
	// request is likely turned away too, and needs another target out of the retry budget.
	Backoff float64 `json:"backoff"`
	// Unused is the gain of a target near by that nobody used lately: in a service in
	// trouble each sound target must see some work within 2 s, also one that was
	// doubted. Targets of other zones are left to their instances, for in a large fleet
	// most of their use is not heard of here.
	Unused float64 `json:"unused"`
	// Joined is the gain of the first work at a target that joined lately: capacity
	// that was added is to be used at once.
	Joined float64 `json:"joined"`
	// Noise is the spread of a random part of each cost. Instances learn of each
	// other's choices late; without it they would all choose the same target.
	Noise float64 `json:"noise"`
	// Failure is the cost of a failure that cannot be repeated elsewhere, and
	// RepeatableFailure of one that can. The former is twice a request's worth: the
	// request itself, and as much again for its part in the share that is served at
	// all. A higher one makes queues at the sound targets longer.
	Failure           float64 `json:"failure"`
	RepeatableFailure float64 `json:"repeatable_failure"`
}

// DefaultWeights come from the users' prices: a request is worth 1 to 2 units,
// a kilobyte between zones 0.006 to 0.038, a new connection 0.017 to 0.08.
func DefaultWeights() Weights {
	return Weights{
		ZonePerKB:         0.028,
		ZoneMost:          0.5,
		Connection:        0.06,
		Preference:        0.2,
		Homes:             8,
		Load:              0.1,
		Late:              0.8,
		Queue:             0.5,
		Trial:             0.05,
		CutPath:           0.8,
		Crowd:             0.5,
		Warmup:            0.1,
		Backoff:           0.5,
		Unused:            0.1,
		Joined:            0.6,
		Noise:             0.01,
		Failure:           2,
		RepeatableFailure: 0.8,
	}
}

// Bounds of what counts as doubtful, and of queues.
const (
	// Doubtful is the probability of failure from which an attempt is a trial, and
	// only one at a time is made.
	Doubtful = 0.2
	// unusedAfter is half of the time in which every sound target should see
	// some work.
	unusedAfter = time.Second
	// mostPreference bounds the cost of a target far down in the instance's order,
	// in parts of Weights.Preference.
	mostPreference = 2
	// trialAfter is the time between trials at a doubtful target.
	trialAfter = 2 * time.Second
	// unseen is how many requests more than known are taken to be at a target:
	// news of them is on its way.
	unseen = 1
	// onTime and tooLate are the expected durations, in parts of the objective,
	// from which answers begin to be late, and are all late: durations vary.
	onTime  = 0.45
	tooLate = 1.1
)

// Candidate is what is known of one target.
type Candidate struct {
	ID    fleet.TargetID
	Zone  fleet.Zone
	Slots int
	// Sick is the probability that the target is sick, Fails that an attempt fails.
	Sick, Fails float64
	// InFlight is how many requests all instances have there.
	InFlight int
	// Warm tells that an open connection is at hand.
	Warm bool
	// Cut tells that the path from this instance was found cut.
	Cut bool
	// Warming tells that the target is still slow after its start.
	Warming bool
	// BackedOff tells that other instances back off from the target, since it turned them away.
	BackedOff bool
	// SinceUse is the time since any instance sent it work.
	SinceUse time.Duration
	// SinceArrival is the time since the latest request that is known began there,
	// at whichever instance.
	SinceArrival time.Duration
	// Joined tells that the target has just started and nobody sent it work yet.
	Joined bool
	// Near tells that this instance's zone looks after the target: what the
	// instances of its zone do is known at once, and others leave it to them.
	Near bool
}

// Bounds of Floor.
const (
	// troubled is the part of a service's attempts that fail from which the floor
	// is kept.
	troubled = 0.09
	// floorShare is the part of the sound targets that must see work, and floorWithin
	// in which time: the users ask for 0.7 of them within 2 s. The rest is for targets
	// that are taken for sound and are not.
	floorShare  = 0.8
	floorWithin = 1500 * time.Millisecond
	// alike is the difference of two probabilities that says nothing: what one instance heard
	// and another did not.
	alike = 0.02
)

// Floor returns the target that is to be tried next so that a service in trouble does
// not shrink to a few targets: what looked sick may be sound again, and the rest is
// loaded by what was set aside. InZone is how many of the candidates are in the chooser's zone.
//
// It returns -1 while the targets in use are enough of the sound ones, of all or of those that
// the instance considers, each counted by the probability that it is sound: trials of what is
// surely sick would only be failures. Among the considered ones that are not used it is the one
// that is most likely sound, and of equals the first in the instance's own order.
//
// Each target is considered by about as many instances as one has homes, which tell each other
// at once of the requests that begin there. So one trial suffices, where all of a zone tried what they
// had not heard of for a second; and an instance needs no time to learn what others use.
//
// A target from which others back off counts neither way: it turns a trial away.
//
// A target is in use by the requests that begin there: what is still at work may have begun
// long ago, and news of its end comes later still.
func (c *Chooser) Floor(failedLately float64, inZone int, ts []Candidate) int {
	if failedLately < troubled {
		return -1
	}
	var all, own tally
	next := -1
	for i := range ts {
		t := &ts[i]
		if t.BackedOff {
			continue
		}
		used := t.SinceArrival < floorWithin
		all.add(t, used)
		if !t.Near || !c.looksAfter(t, inZone) {
			continue
		}
		own.add(t, used)
		if !used && !t.Cut && (next < 0 || c.likelierSound(t, &ts[next])) {
			next = i
		}
	}
	if all.suffices() || own.suffices() {
		return -1
	}
	return next
}

// looksAfter tells whether the instance keeps the target in use where that is needed: those
// that it considers in its own zone, and those of zones that nobody else is heard to look after.
func (c *Chooser) looksAfter(t *Candidate, inZone int) bool {
	return t.Zone != c.Zone || c.Considers(c.Self, t.ID, inZone)
}

// likelierSound compares targets for a trial. Instances that know the same would otherwise all
// try the same one.
func (c *Chooser) likelierSound(a, b *Candidate) bool {
	if math.Abs(a.Sick-b.Sick) > alike {
		return a.Sick < b.Sick
	}
	return order(c.Self, a.ID) < order(c.Self, b.ID)
}

// tally is how many targets are expected to be sound, and of these in use.
type tally struct{ sound, used float64 }

func (n *tally) add(t *Candidate, used bool) {
	n.sound += 1 - t.Sick
	if used {
		n.used += 1 - t.Sick
	}
}

func (n *tally) suffices() bool { return n.used >= floorShare*n.sound }

// Work is what is to be placed.
type Work struct {
	// Repeatable tells that a failure can be repeated elsewhere.
	Repeatable bool
	// KB is the size of request and answer, in kilobytes.
	KB float64
	// Typical is how long work at the service takes at a free slot, and Objective
	// within which time it should be done; 0 if there is no such time.
	Typical, Objective time.Duration
	// InZone is how many of the candidates are in the chooser's zone.
	InZone int
}

// Chooser chooses for one instance.
type Chooser struct {
	Weights Weights
	Self    fleet.InstanceID
	Zone    fleet.Zone
	// Random returns numbers from 0 to below 1.
	Random func() float64
}

// Cost is the expected cost of sending the work to the candidate.
func (c *Chooser) Cost(w Work, t *Candidate) float64 {
	k := &c.Weights
	cost := c.failure(w, t) + c.load(w, t) + c.preference(w, t)
	if t.Zone != c.Zone {
		cost += min(k.ZonePerKB*w.KB, k.ZoneMost)
	}
	if !t.Warm {
		cost += k.Connection
	}
	if t.Cut {
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

// preference is the cost of the target's place in the instance's own order. Targets of
// other zones come after the last of the own zone: they are used when the own ones do not
// suffice, by everybody alike. Where a zone has far more targets than an instance has homes,
// work would otherwise go to other zones as soon as the homes are busy or sick.
func (c *Chooser) preference(w Work, t *Candidate) float64 {
	x := order(c.Self, t.ID)
	if t.Zone == c.Zone && w.InZone > 0 {
		x = min(c.homes(x, w.InZone), mostPreference)
	} else {
		x += min(c.homes(1, w.InZone), mostPreference)
	}
	return c.Weights.Preference * x
}

// homes is a place in an instance's order of a number of targets, in parts of
// Weights.Homes.
func (c *Chooser) homes(place float64, of int) float64 {
	return place * float64(of) / c.Weights.Homes
}

// Considers tells whether the target, one of a number of its service in its zone, is among
// those that another instance of this zone mostly uses. What is in flight at others matters
// little to that instance: it uses them where its own do not suffice, and hears of their load
// by heartbeats. Each target is so considered by about as many instances as it has homes,
// however many instances there are.
func (c *Chooser) Considers(other fleet.InstanceID, id fleet.TargetID, of int) bool {
	return c.homes(order(other, id), of) < mostPreference
}

func (c *Chooser) failure(w Work, t *Candidate) float64 {
	k := &c.Weights
	cost := t.Fails * k.Failure
	if w.Repeatable {
		cost = t.Fails * k.RepeatableFailure
	}
	switch {
	case t.Fails >= Doubtful && t.InFlight > 0:
		return cost + k.Crowd
	case t.Fails >= Doubtful && w.Repeatable && t.SinceUse > trialAfter && t.Zone == c.Zone:
		return -k.Trial
	case t.Joined && t.InFlight == 0 && t.Near:
		return cost - k.Joined
	case t.Fails < Doubtful && t.Near && t.InFlight == 0 && t.SinceUse > unusedAfter:
		return cost - k.Unused
	}
	return cost
}

// load is the cost of what is already at the target: full slots, and a queue that
// makes answers late.
func (c *Chooser) load(w Work, t *Candidate) float64 {
	slots := float64(max(t.Slots, 1))
	full := min(float64(t.InFlight)/slots, 1)
	cost := c.Weights.Load * full * full
	if w.Objective <= 0 {
		return cost
	}
	turns := max(float64(t.InFlight+unseen)/slots, 1)
	expected := turns * float64(w.Typical) / float64(w.Objective)
	x := min(max((expected-onTime)/(tooLate-onTime), 0), 1)
	cost += c.Weights.Late * x * x * (3 - 2*x)
	return cost + c.Weights.Queue*max(expected-tooLate, 0)
}

// Choose returns the index of the cheapest candidate and its cost; -1 if there
// is none.
func (c *Chooser) Choose(w Work, ts []Candidate) (int, float64) {
	best, least := -1, 0.0
	for i := range ts {
		cost := c.Cost(w, &ts[i]) + c.noise()
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best, least
}

// noise is drawn from a Gumbel distribution: the choice then falls on each target
// with a probability that falls exponentially with its cost.
func (c *Chooser) noise() float64 {
	const least = 1e-9
	return c.Weights.Noise * math.Log(-math.Log(max(c.Random(), least)))
}

// order is a number from 0 to 1 that differs for each pair of instance and target,
// evenly spread: the place of the target in the instance's own order.
func order(self fleet.InstanceID, id fleet.TargetID) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(self)) // a hash takes every write
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}
