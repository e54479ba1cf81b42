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

var backoffSeeds = flag.Uint64("backoff-seeds", 2, "seeds of the model of targets that send Retry-After")

const (
	// turnsAwayAfter is when targets begin to turn all work away, for turnsAwayFor.
	turnsAwayAfter = 2 * time.Second
	turnsAwayFor   = 6 * time.Second
	// backoffCounts is from when after a refusal a backoff counts.
	backoffCounts = 100 * time.Millisecond
	// refusalTakes is how long a target takes to turn work away.
	refusalTakes = 3 * time.Millisecond
	// backoffAim is the most requests of an instance that reach a target within a backoff.
	backoffAim = 1
	// usage is the part of all targets' slots that the work takes.
	usage = 0.35
)

// arrivalAt is a request of one instance at one target; refused ones were answered with Retry-After until a time.
type arrivalAt struct {
	instance string
	target   fleet.TargetID
	at       time.Time
	until    time.Time
}

// backoffRun is a zone of which some targets turn work away and send Retry-After.
type backoffRun struct {
	*zoneRun
	sends map[fleet.TargetID]time.Duration
	// turnsAway is the part of the work that they turn away.
	turnsAway float64
	// silent tells that they ask for nothing as they do so.
	silent bool
	met    []arrivalAt
	// asked and served are requests from when targets turn work away on.
	asked, served int
}

// newBackoffRun is a zone of which the given part of the targets turns work away.
func newBackoffRun(seed uint64, instances, targets int, share float64) *backoffRun {
	z := &backoffRun{zoneRun: newZoneRun(seed, instances, targets, 0), sends: make(map[fleet.TargetID]time.Duration), turnsAway: 1}
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
			z.sends[t.ID] = []time.Duration{3 * time.Second, 1500 * time.Millisecond, 800 * time.Millisecond}[i%3]
		}
	}
	return z
}

// retryAfter is what a target that gets a request sends as it turns it away; 0 if it takes the work.
func (z *backoffRun) retryAfter(now time.Time, id fleet.TargetID) time.Duration {
	if z.rng.Float64() >= z.turnsAway || now.Before(start.Add(turnsAwayAfter)) || now.After(start.Add(turnsAwayAfter+turnsAwayFor)) {
		return 0
	}
	return z.sends[id]
}

// request is a lookup at any instance.
func (z *backoffRun) request(now time.Time) {
	in := z.instances[z.rng.IntN(len(z.instances))]
	in.k.RecordRequest(now, "s", true)
	if now.After(start.Add(turnsAwayAfter)) {
		z.asked++
	}
	z.attempt(in, now, now, nil)
}

// attempt tries a target; one that turns it away is followed by another, if the retry budget allows.
func (z *backoffRun) attempt(in *zoneInstance, asked, now time.Time, tried []fleet.TargetID) {
	w := placement.Work{Objective: objective, KB: 1, Retryable: true}
	p, ok := in.k.Place(now, "s", z.targets, tried, nil, w, func(exchange.Target, time.Duration) bool { return true })
	if !ok {
		return
	}
	z.tellLoad(in, now, &p)
	after := z.retryAfter(now, p.ID)
	a := arrivalAt{instance: in.addr, target: p.ID, at: now}
	if after > 0 {
		a.until = now.Add(after)
	}
	z.met = append(z.met, a)
	if after == 0 {
		z.at(now.Add(time.Duration((0.7+0.6*z.rng.Float64())*float64(workTakes))), func(now time.Time) {
			z.learn(in, now, a.at, &p, suspicion.Success)
			if asked.After(start.Add(turnsAwayAfter)) {
				z.served++
			}
		})
		return
	}
	z.at(now.Add(refusalTakes), func(now time.Time) {
		in.k.Ended(p)
		if !z.silent && in.k.TurnedAway(now, "s", p.ID, after) {
			told := &mesh.Packet{Backoffs: []mesh.TargetBackoff{{Target: p.ID, RemainingMillis: after.Milliseconds()}}}
			z.tell(in, now, told, func(addr string) bool { return in.k.ConcernedBy(addr, p.Target, z.targets) })
		}
		z.again(in, asked, now, append(slices.Clone(tried), p.ID))
	})
}

// again tries another target, if the retry budget allows that, or a loan of neighbours does.
func (z *backoffRun) again(in *zoneInstance, asked, now time.Time, tried []fleet.TargetID) {
	if _, ok := in.k.SpendBudget(now, "s", true); ok {
		z.attempt(in, asked, now, tried)
		return
	}
	asks := in.k.LoanRequests(now, "s")
	for _, i := range z.rng.Perm(len(z.instances))[:loanPeers] {
		if other := z.instances[i]; other != in && asks != nil {
			loans := other.k.Lend(now, in.addr, asks)
			in.k.Take(now, &mesh.Packet{Addr: other.addr, Zone: "a", Boot: other.boot, Loans: loans})
		}
	}
	z.at(now.Add(loanTimeout), func(now time.Time) {
		if _, ok := in.k.SpendBudget(now, "s", true); ok {
			z.attempt(in, asked, now, tried)
		}
	})
}

// play plays the traffic until some seconds after the last target takes work again.
func (z *backoffRun) play() {
	const until = turnsAwayAfter + turnsAwayFor + 4*time.Second
	rate := usage * float64(len(z.targets)*z.targets[0].Slots) / workTakes.Seconds()
	for at := 0.0; at < until.Seconds(); at += z.rng.ExpFloat64() / rate {
		z.at(start.Add(time.Duration(at*float64(time.Second))), z.request)
	}
	z.queue.Run(until + 2*time.Second)
}

// mostInBackoff is the most requests of one instance that met a target within a time that it had sent that
// instance.
func (z *backoffRun) mostInBackoff() int {
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
				if a.at.Sub(refused.at) >= backoffCounts && a.at.Before(refused.until) {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// TestTargetsThatSendRetryAfterAreLeftAlone: a refusal changed nothing of what was known of a target, which, with nothing in
// flight, was chosen again at once, and what it turned away used up the retry budget.
func TestTargetsThatSendRetryAfterAreLeftAlone(t *testing.T) {
	const share, leastServed = 0.375, 0.99
	for _, size := range zoneSizes {
		for seed := range *backoffSeeds {
			z := newBackoffRun(seed, size.instances, max(size.targets, 8), share)
			z.play()
			most, served := z.mostInBackoff(), float64(z.served)/float64(z.asked)
			what := fmt.Sprintf("%d instances, seed %d", size.fleet, seed)
			t.Logf("%s: %.4f served, at most %d requests of an instance in one backoff", what, served, most)
			assert.Check(t, most <= backoffAim, "%s: %d requests of an instance in one backoff", what, most)
			assert.Check(t, served >= leastServed, "%s: %.4f served", what, served)
		}
	}
}

// TestTargetsThatTurnSomeAwayStayInUse: all targets of a service turn away a third of what arrives; that they ask whom they
// turned away to stay away costs callers nothing, for nobody else leaves them alone.
func TestTargetsThatTurnSomeAwayStayInUse(t *testing.T) {
	const (
		alike     = 0.03
		leastSeen = 3000 // requests, in as many seeds as it takes
	)
	for _, size := range zoneSizes {
		var asked, served [2]int // where targets send Retry-After, and where they do not
		for seed := uint64(0); asked[0] < leastSeen; seed++ {
			for i, silent := range []bool{false, true} {
				z := newBackoffRun(seed, size.instances, max(size.targets, 8), 1)
				z.turnsAway, z.silent = 1.0/3, silent
				z.play()
				asked[i] += z.asked
				served[i] += z.served
				assert.Check(t, silent || z.mostInBackoff() <= backoffAim, "%d instances, seed %d: %d requests of an instance in one backoff", size.fleet, seed, z.mostInBackoff())
			}
		}
		share := func(i int) float64 { return float64(served[i]) / float64(asked[i]) }
		t.Logf("%d instances: %.4f served, %.4f where targets ask for nothing", size.fleet, share(0), share(1))
		assert.Check(t, share(0) >= share(1)-alike, "%d instances: %.4f served, %.4f where targets ask for nothing", size.fleet, share(0), share(1))
	}
}
