package gateway

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/placement"
	"github.com/clementinereel/clementinereel/retry/pooled"
	"github.com/clementinereel/clementinereel/suspicion"
)

var restSeeds = flag.Uint64("rest-seeds", 2, "seeds of the model of targets that ask for rest")

const (
	// restsAfter is when targets begin to turn all work away, for restsFor.
	restsAfter = 2 * time.Second
	restsFor   = 6 * time.Second
	// restCounts is from when after a refusal a target's rest counts.
	restCounts = 100 * time.Millisecond
	// refusalTakes is how long a target takes to turn work away.
	refusalTakes = 3 * time.Millisecond
	// restAim is the most requests of an instance that reach a target in the rest that it asked for.
	restAim = 1
	// restUsage is the part of all targets' slots that the work takes.
	restUsage = 0.35
)

// arrivalAt is a request of one instance at one target; refused ones ask for rest until a time.
type arrivalAt struct {
	instance string
	target   fleet.TargetID
	at       time.Time
	until    time.Time
}

// restRun is a zone of which some targets turn work away and ask for rest.
type restRun struct {
	*zoneRun
	rests map[fleet.TargetID]time.Duration
	// turnsAway is the part of the work that they turn away.
	turnsAway float64
	// silent tells that they ask for nothing as they do so.
	silent bool
	met    []arrivalAt
	// asked and served are requests from when targets rest on.
	asked, served int
}

// newRestRun is a zone of which the given part of the targets asks for rest.
func newRestRun(seed uint64, instances, targets int, share float64) *restRun {
	z := &restRun{zoneRun: newZoneRun(seed, instances, targets, 0), rests: make(map[fleet.TargetID]time.Duration), turnsAway: 1}
	var members []mesh.Member
	for _, in := range z.instances {
		members = append(members, mesh.Member{Addr: in.addr})
	}
	for _, in := range z.instances {
		in.k = NewKnowledge(in.k.chooser, pooled.Config{Ratio: 0.2, Slack: 1.6 * float64(instances), Window: 10 * time.Second}, start.Add(-time.Hour))
		in.k.Count(start, viewOf(members...))
	}
	for i, t := range z.targets {
		if float64(i) < share*float64(targets) {
			z.rests[t.ID] = []time.Duration{3 * time.Second, 1500 * time.Millisecond, 800 * time.Millisecond}[i%3]
		}
	}
	return z
}

// resting is for how long a target that gets a request wants nothing; 0 if it takes the work.
func (z *restRun) resting(now time.Time, id fleet.TargetID) time.Duration {
	if z.rng.Float64() >= z.turnsAway || now.Before(start.Add(restsAfter)) || now.After(start.Add(restsAfter+restsFor)) {
		return 0
	}
	return z.rests[id]
}

// request is a lookup at any instance.
func (z *restRun) request(now time.Time) {
	in := z.instances[z.rng.IntN(len(z.instances))]
	in.k.Request(now, "s", true)
	if now.After(start.Add(restsAfter)) {
		z.asked++
	}
	z.attempt(in, now, now, nil)
}

// attempt tries a target; one that turns it away is followed by another, if the retry budget allows.
func (z *restRun) attempt(in *zoneInstance, asked, now time.Time, tried []fleet.TargetID) {
	w := placement.Work{Objective: objective, KB: 1, Repeatable: true}
	p, ok := in.k.Place(now, "s", z.targets, tried, nil, w, func(exchange.Target, time.Duration) bool { return true })
	if !ok {
		return
	}
	z.tellLoad(in, now, &p)
	rest := z.resting(now, p.ID)
	a := arrivalAt{instance: in.addr, target: p.ID, at: now}
	if rest > 0 {
		a.until = now.Add(rest)
	}
	z.met = append(z.met, a)
	if rest == 0 {
		z.at(now.Add(time.Duration((0.7+0.6*z.rng.Float64())*float64(workTakes))), func(now time.Time) {
			z.learn(in, now, a.at, &p, suspicion.Good)
			if asked.After(start.Add(restsAfter)) {
				z.served++
			}
		})
		return
	}
	z.at(now.Add(refusalTakes), func(now time.Time) {
		in.k.Ended(p)
		if !z.silent && in.k.TurnedAway(now, "s", p.ID, rest) {
			told := &mesh.Packet{Rests: []mesh.TargetRest{{Target: p.ID, ForMillis: rest.Milliseconds()}}}
			z.tell(in, now, told, func(addr string) bool { return in.k.ConcernedBy(addr, p.Target, z.targets) })
		}
		z.again(in, asked, now, append(slices.Clone(tried), p.ID))
	})
}

// again tries another target, if the retry budget allows that, or a loan of neighbours does.
func (z *restRun) again(in *zoneInstance, asked, now time.Time, tried []fleet.TargetID) {
	if _, ok := in.k.Spend(now, "s", true); ok {
		z.attempt(in, asked, now, tried)
		return
	}
	asks := in.k.Short(now, "s")
	for _, i := range z.rng.Perm(len(z.instances))[:lenders] {
		if other := z.instances[i]; other != in && asks != nil {
			loans := other.k.Lend(now, in.addr, asks)
			in.k.Take(now, &mesh.Packet{Addr: other.addr, Zone: "a", Boot: other.boot, Loans: loans})
		}
	}
	z.at(now.Add(loanWait), func(now time.Time) {
		if _, ok := in.k.Spend(now, "s", true); ok {
			z.attempt(in, asked, now, tried)
		}
	})
}

// play plays the traffic until some seconds after the last target takes work again.
func (z *restRun) play() {
	const until = restsAfter + restsFor + 4*time.Second
	rate := restUsage * float64(len(z.targets)*z.targets[0].Slots) / workTakes.Seconds()
	for at := 0.0; at < until.Seconds(); at += z.rng.ExpFloat64() / rate {
		z.at(start.Add(time.Duration(at*float64(time.Second))), z.request)
	}
	z.queue.Run(until + 2*time.Second)
}

// mostInRest is the most requests of one instance that met a target within a rest that it had asked that
// instance for.
func (z *restRun) mostInRest() int {
	type pair struct {
		instance string
		target   fleet.TargetID
	}
	of := make(map[pair][]arrivalAt)
	for _, a := range z.met {
		of[pair{a.instance, a.target}] = append(of[pair{a.instance, a.target}], a)
	}
	most := 0
	for _, as := range of {
		for i, refused := range as {
			n := 0
			for _, a := range as[i+1:] {
				if a.at.Sub(refused.at) >= restCounts && a.at.Before(refused.until) {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// TestTargetsThatAskForRestAreLeftAlone: a refusal changed nothing of what was known of a target, which, with nothing in
// flight, was chosen again at once, and what it turned away used up the retry budget.
func TestTargetsThatAskForRestAreLeftAlone(t *testing.T) {
	const share, leastServed = 0.375, 0.99
	for _, size := range zoneSizes {
		for seed := range *restSeeds {
			z := newRestRun(seed, size.instances, max(size.targets, 8), share)
			z.play()
			most, served := z.mostInRest(), float64(z.served)/float64(z.asked)
			what := fmt.Sprintf("%d instances, seed %d", size.fleet, seed)
			t.Logf("%s: %.4f served, at most %d requests of an instance in one rest", what, served, most)
			assert.Check(t, most <= restAim, "%s: %d requests of an instance in one rest", what, most)
			assert.Check(t, served >= leastServed, "%s: %.4f served", what, served)
		}
	}
}

// TestTargetsThatTurnSomeAwayStayInUse: all targets of a service turn away a third of what arrives; that they ask whom they
// turned away for rest costs callers nothing, for nobody else leaves them alone.
func TestTargetsThatTurnSomeAwayStayInUse(t *testing.T) {
	const (
		alike     = 0.03
		leastSeen = 3000 // requests, in as many seeds as it takes
	)
	for _, size := range zoneSizes {
		var asked, served [2]int // where targets ask for rest, and where they do not
		for seed := uint64(0); asked[0] < leastSeen; seed++ {
			for i, silent := range []bool{false, true} {
				z := newRestRun(seed, size.instances, max(size.targets, 8), 1)
				z.turnsAway, z.silent = 1.0/3, silent
				z.play()
				asked[i] += z.asked
				served[i] += z.served
				assert.Check(t, silent || z.mostInRest() <= restAim, "%d instances, seed %d: %d requests of an instance in one rest", size.fleet, seed, z.mostInRest())
			}
		}
		share := func(i int) float64 { return float64(served[i]) / float64(asked[i]) }
		t.Logf("%d instances: %.4f served, %.4f where targets ask for nothing", size.fleet, share(0), share(1))
		assert.Check(t, share(0) >= share(1)-alike, "%d instances: %.4f served, %.4f where targets ask for nothing", size.fleet, share(0), share(1))
	}
}
