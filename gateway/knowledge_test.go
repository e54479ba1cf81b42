package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/placement"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/retry/pooled"
	"github.com/clementinereel/clementinereel/suspicion"
)

var (
	start  = time.Unix(1000, 0)
	budget = pooled.Config{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
)

func newKnowledge() *Knowledge {
	return NewKnowledge(&placement.Chooser{
		Weights: placement.DefaultWeights(), Self: "self", Zone: "a", Random: func() float64 { return 0.5 },
	}, budget, start.Add(-time.Hour))
}

// cold tells that no connection is at hand.
func cold(exchange.Target, time.Duration) bool { return false }

func viewOf(members ...mesh.Member) mesh.View {
	v := mesh.View{At: start, Zone: "a", Members: members, Joined: true}
	for i := range v.Members {
		v.Members[i].Zone = "a"
		v.Members[i].LastReceived = start
	}
	return v
}

// spendable is how many attempts the instance may add.
func spendable(k *Knowledge, now time.Time) int {
	for n := 0; ; n++ {
		if _, ok := k.SpendBudget(now, "s", true); !ok {
			return n
		}
	}
}

// What a process spent counts until it has left the window, though the process that
// follows it at the address knows nothing of it.
func TestARestartDoesNotRefillTheBudget(t *testing.T) {
	settled := newKnowledge()
	settled.Count(start, viewOf())
	full := spendable(settled, start)
	assert.Assert(t, full >= 4, full)

	again := newKnowledge()
	again.census.booted = start
	again.Count(start, viewOf())
	for _, after := range []time.Duration{0, countedAfter - time.Millisecond} {
		assert.Equal(t, spendable(again, start.Add(after)), 0)
	}
	assert.Assert(t, spendable(again, start.Add(budget.Window/2)) <= full/2)
	assert.Equal(t, spendable(again, start.Add(time.Minute)), full)
}

// An instance whose callers meet all the failures has the use of what its neighbours leave.
func TestAnInstanceThatIsShortBorrows(t *testing.T) {
	var ks []*Knowledge
	for range 1 + loanPeers {
		k := newKnowledge()
		k.Count(start, mesh.View{PeerCount: 5})
		ks = append(ks, k)
	}
	short := ks[0]
	spendable(short, start)
	asks := short.LoanRequests(start, "s")
	assert.Equal(t, len(asks), 1)
	assert.Assert(t, short.LoanRequests(start, "s") == nil, "not again at once")
	for _, k := range ks[1:] {
		before := k.service("s").budget.Available(start, 6)
		loans := k.Lend(start, "short", asks)
		short.Take(start, &mesh.Packet{Addr: "p", Zone: "a", Boot: 1, Loans: loans})
		assert.Assert(t, k.service("s").budget.Available(start, 6) < before)
	}
	assert.Equal(t, spendable(short, start), 1)
	assert.Assert(t, short.LoanRequests(start.Add(loanRequestInterval), "s") != nil)
}

func TestLoadOfPeersIsReplacedAndLapses(t *testing.T) {
	k := newKnowledge()
	load := func(boot int64, n int) *mesh.Packet {
		return &mesh.Packet{Addr: "p", Zone: "a", Boot: boot, Heartbeat: true, Load: []mesh.Load{{Target: "t", InFlight: n}}}
	}
	others := func() int { return k.target("t").others }
	k.Take(start, load(1, 3))
	k.Take(start, load(1, 2))
	assert.Equal(t, others(), 2)
	k.Take(start, load(2, 1))
	assert.Equal(t, others(), 1, "a new process has what it says")
	k.Take(start, &mesh.Packet{Addr: "q", Zone: "b", Digest: &mesh.Digest{Load: []mesh.Load{{Target: "t", InFlight: 5}}}})
	assert.Equal(t, others(), 6)
	k.Tick(start.Add(peerLoadFor + time.Second))
	assert.Equal(t, others(), 0)
}

func targets(ids ...fleet.TargetID) []*registry.Target {
	var ts []*registry.Target
	for _, id := range ids {
		ts = append(ts, &registry.Target{Entry: registry.Entry{ID: id, Service: "s", Zone: "a", Slots: 4}})
	}
	return ts
}

func TestEvidenceOfOthersMovesTheChoice(t *testing.T) {
	k := newKnowledge()
	ts := targets("t1", "t2")
	place := func() fleet.TargetID {
		p, ok := k.Place(start, "s", ts, nil, nil, placement.Work{}, cold)
		assert.Assert(t, ok)
		k.Ended(p)
		return p.ID
	}
	first := place()
	k.Take(start, &mesh.Packet{Addr: "p", Zone: "b", Evidence: []mesh.Evidence{{Service: "s", Target: first, Observation: suspicion.Failure}}})
	assert.Assert(t, place() != first)
	_, ok := k.Place(start, "s", ts, []fleet.TargetID{"t1", "t2"}, nil, placement.Work{}, cold)
	assert.Assert(t, !ok)
}

// An instance that loses several targets at once has lost its own paths.
func TestOwnCutPathsAreNotHeldAgainstTargets(t *testing.T) {
	k := newKnowledge()
	for _, id := range []fleet.TargetID{"t1", "t2", "t3"} {
		k.Observe(start, "s", id, suspicion.Unreachable, start, 0)
	}
	told := k.News(start, "t1").Evidence
	assert.Equal(t, len(told), 1, "only the first could be the target's fault")
}

func TestDigestSumsUpTheZone(t *testing.T) {
	k := newKnowledge()
	v := viewOf(mesh.Member{Addr: "p"})
	p := &mesh.Packet{Addr: "p", Zone: "a", Boot: 1, Heartbeat: true, Load: []mesh.Load{{Target: "t", InFlight: 2}}}
	p.Evidence = []mesh.Evidence{{Service: "s", Target: "t", Observation: suspicion.Success}}
	k.Take(start, p)
	k.Take(start, &mesh.Packet{Addr: "q", Zone: "b", Digest: &mesh.Digest{Load: []mesh.Load{{Target: "t", InFlight: 5}}}})
	d := k.Digest(start, v, true)
	assert.Equal(t, d.Instances, 2)
	assert.Equal(t, len(d.Load), 1)
	assert.Equal(t, d.Load[0].InFlight, 2, "the other zone's own load is left out")
	assert.Equal(t, d.Successes[0].Count, 1)
	assert.Equal(t, len(k.Digest(start, v, true).Successes), 0, "told once")
}

// triesForFloor tells whether the next choice is for the floor, after half of the service's
// attempts have just failed: those at one target are good, those at another bad.
func triesForFloor(t *testing.T, k *Knowledge, ts []*registry.Target, now time.Time, good, bad fleet.TargetID) bool {
	for range 20 {
		k.Observe(now, "s", good, suspicion.Success, now, time.Millisecond)
		k.Observe(now, "s", bad, suspicion.Failure, now, 0)
	}
	p, ok := k.Place(now, "s", ts, nil, nil, placement.Work{}, cold)
	assert.Assert(t, ok)
	k.Ended(p)
	return p.ForFloor
}

// TestAFreshInstanceTriesNothingForTheFloor: it knows of no use by the others.
func TestAFreshInstanceTriesNothingForTheFloor(t *testing.T) {
	k := newKnowledge()
	k.census.booted = start
	var ts []*registry.Target
	for _, id := range []fleet.TargetID{"a", "b", "c", "d", "e", "f"} {
		ts = append(ts, &registry.Target{Entry: registry.Entry{ID: id, Zone: "a", Slots: 2}})
	}
	forFloor := func(now time.Time) bool { return triesForFloor(t, k, ts, now, "a", "f") }
	assert.Assert(t, !forFloor(start))
	assert.Assert(t, forFloor(start.Add(floorAfter)))
}

// A target that has just started gets work at once, though others are warm and known.
func TestATargetThatJoinedGetsWork(t *testing.T) {
	k := newKnowledge()
	var ts []*registry.Target
	for _, id := range []fleet.TargetID{"a", "b", "c", "d"} {
		ts = append(ts, &registry.Target{Entry: registry.Entry{ID: id, Zone: "a", Slots: 2}})
		k.Observe(start, "s", id, suspicion.Success, start, time.Millisecond)
	}
	ts = append(ts, &registry.Target{Entry: registry.Entry{ID: "new", Zone: "a", Slots: 2}, WarmAt: start.Add(3 * time.Second)})
	warm := func(to exchange.Target, _ time.Duration) bool { return to.ID != "new" }
	p, _ := k.Place(start, "s", ts, nil, nil, placement.Work{}, warm)
	assert.Equal(t, p.ID, fleet.TargetID("new"))
	p, _ = k.Place(start, "s", ts, nil, nil, placement.Work{}, warm)
	assert.Assert(t, p.ID != "new", "one at a time")
}

func TestLatencyLeavesOutAnswersWithoutWork(t *testing.T) {
	var l latency
	assert.Equal(t, l.known().median, medianDefault)
	for n := range 200 {
		d := time.Duration(300+n%100) * time.Millisecond
		if n%3 == 0 {
			d = 2 * time.Millisecond
		}
		l.add(d)
	}
	k := l.known()
	assert.Assert(t, k.median > 300*time.Millisecond && k.median < 400*time.Millisecond, k.median)
	assert.Assert(t, k.usual > k.median && k.slow >= k.usual)
}

// A target that some instances cannot reach is not in use by their vain attempts.
func TestVainAttemptsAreNoUse(t *testing.T) {
	k := newKnowledge()
	now := start.Add(time.Minute)
	k.Take(now, &mesh.Packet{Addr: "p", Zone: "a", Evidence: []mesh.Evidence{{Service: "s", Target: "t", Observation: suspicion.Unreachable}}})
	assert.Assert(t, k.target("t").lastUse.IsZero())
	k.Take(now, &mesh.Packet{Addr: "p", Zone: "a", Evidence: []mesh.Evidence{{Service: "s", Target: "t", Observation: suspicion.Failure}}})
	assert.Equal(t, k.target("t").lastUse, now)
}

// A process that has just started does not meet the targets that all others avoid.
func TestAFreshInstanceTakesOverBeliefs(t *testing.T) {
	old, fresh := newKnowledge(), newKnowledge()
	for range 3 {
		old.Observe(start, "s", "sick", suspicion.Failure, start, 0)
		old.Observe(start, "s", "sound", suspicion.Success, start, time.Millisecond)
	}
	fresh.Take(start, &mesh.Packet{Addr: "old", Zone: "a", Boot: 1, Estimates: old.Beliefs(start)})
	e := fresh.service("s").estimator
	assert.Assert(t, e.UnhealthyProbability(start, "sick") > suspicion.SuspectThreshold)
	assert.Assert(t, e.UnhealthyProbability(start, "sound") < suspicion.ClearThreshold)
	many := newKnowledge()
	for n := range 100 {
		many.Observe(start, "s", fleet.TargetID(fmt.Sprint(n)), suspicion.Success, start, 0)
	}
	many.Observe(start, "s", "sick", suspicion.Failure, start, 0)
	told := many.Beliefs(start)
	assert.Equal(t, len(told), beliefEntries)
	assert.Equal(t, told[0].Target, fleet.TargetID("sick"))
}

// TestATargetThatStartedAgainIsMetAnew: what was seen of its earlier process says nothing
// of the later one, whoever tells it and however late.
func TestATargetThatStartedAgainIsMetAnew(t *testing.T) {
	k := newKnowledge()
	ts := targets("t1")
	earlier, ok := k.Place(start, "s", ts, nil, nil, placement.Work{}, cold)
	assert.Assert(t, ok)
	bad := func(age time.Duration) *mesh.Packet {
		return &mesh.Packet{
			Addr: "p", Zone: "a", Boot: 1, Load: []mesh.Load{{Target: "t1", InFlight: 3}},
			Evidence: []mesh.Evidence{{Service: "s", Target: "t1", Observation: suspicion.Failure, AgeMillis: age.Milliseconds()}},
		}
	}
	k.Take(start, bad(0))
	k.Observe(start, "s", "t1", suspicion.Unreachable, start, 0)
	unknown := k.service("s").estimator.UnhealthyProbability(start, "other")
	assert.Assert(t, k.service("s").estimator.UnhealthyProbability(start, "t1") > unknown)

	again := start.Add(time.Second)
	k.Restarted(again, []fleet.TargetID{"t1"})
	k.Ended(earlier)
	k.Observe(again.Add(time.Second), "s", "t1", suspicion.Failure, start, 0)
	packet := bad(1500 * time.Millisecond)
	packet.Load = nil
	k.Take(again.Add(time.Second), packet)
	k.Take(again.Add(time.Second), &mesh.Packet{Addr: "q", Zone: "a", Boot: 1, Estimates: []mesh.Estimate{{Service: "s", Target: "t1", Permille: 900}}})
	known := k.service("s").estimator.UnhealthyProbability(again, "t1")
	assert.Assert(t, known <= unknown, "%v, of an unknown one %v", known, unknown)
	p, ok := k.Place(again.Add(time.Second), "s", ts, nil, nil, placement.Work{}, cold)
	assert.Assert(t, ok)
	assert.Equal(t, p.InFlight, 0)
	assert.Assert(t, !again.Before(k.target("t1").cutUntil), "the path is not cut")

	k.Take(again.Add(2*time.Second), bad(10*time.Millisecond))
	assert.Assert(t, k.service("s").estimator.UnhealthyProbability(again.Add(2*time.Second), "t1") > unknown, "what is seen of the later process counts")
	assert.Equal(t, k.target("t1").others, 3)
}

// TestATargetIsInUseByTheRequestsThatBegin: on a day with a service in trouble 6 of 19 sound
// targets got no request for 2 s. To the instances they were in use: what a peer had in flight
// there is told as it begins and, where news waits for the link, told as over only with a
// later heartbeat; the success that came then counted from when it was heard.
func TestATargetIsInUseByTheRequestsThatBegin(t *testing.T) {
	k := newKnowledge()
	ts := targets("t0", "t1", "t2", "t3", "t4", "t5")
	forFloor := func(now time.Time) bool { return triesForFloor(t, k, ts, now, "t0", "t1") }
	heartbeat := &mesh.Packet{Addr: "p", Zone: "a", Boot: 1, Heartbeat: true}
	for _, target := range ts[2:] {
		heartbeat.Load = append(heartbeat.Load, mesh.Load{Target: target.ID, InFlight: 1})
	}
	began := start.Add(floorAfter)
	k.Take(began, heartbeat)
	assert.Assert(t, !forFloor(began.Add(time.Second)))
	k.Take(began.Add(time.Second), heartbeat)
	assert.Assert(t, forFloor(began.Add(1700*time.Millisecond)), "nothing has begun there since")

	heartbeat.Load = nil
	for _, target := range ts[2:] {
		heartbeat.Evidence = append(heartbeat.Evidence, mesh.Evidence{Service: "s", Target: target.ID, Observation: suspicion.Success, AgeMillis: 1000, DurationMillis: 700})
	}
	told := began.Add(2700 * time.Millisecond)
	k.Take(told, heartbeat)
	assert.Assert(t, forFloor(told.Add(600*time.Millisecond)), "what is told now began a second ago")
}
