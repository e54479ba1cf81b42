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

// noWarmConn reports that no open connection is available.
func noWarmConn(exchange.Target, time.Duration) bool { return false }

func viewOf(members ...mesh.Member) mesh.View {
	v := mesh.View{At: start, Zone: "a", Members: members, Joined: true}
	for i := range v.Members {
		v.Members[i].Zone = "a"
		v.Members[i].LastReceived = start
	}
	return v
}

// spendable returns the number of attempts the instance may add.
func spendable(k *Knowledge, now time.Time) int {
	for n := 0; ; n++ {
		if _, ok := k.SpendBudget(now, "s", true); !ok {
			return n
		}
	}
}

// Attempts added by a process count until they leave the window, even though the process that
// replaces it at the address does not know of them.
func TestRestartDoesNotRefillBudget(t *testing.T) {
	settled := newKnowledge()
	settled.UpdateInstanceCount(start, viewOf())
	full := spendable(settled, start)
	assert.Assert(t, full >= 4, full)

	restarted := newKnowledge()
	restarted.instanceCount.booted = start
	restarted.UpdateInstanceCount(start, viewOf())
	for _, after := range []time.Duration{0, countStartDelay - time.Millisecond} {
		assert.Equal(t, spendable(restarted, start.Add(after)), 0)
	}
	assert.Assert(t, spendable(restarted, start.Add(budget.Window/2)) <= full/2)
	assert.Equal(t, spendable(restarted, start.Add(time.Minute)), full)
}

// An instance whose callers see all the failures can use the budget its neighbours leave unused.
func TestInstanceWithEmptyBudgetBorrows(t *testing.T) {
	var ks []*Knowledge
	for range 1 + loanPeers {
		k := newKnowledge()
		k.UpdateInstanceCount(start, mesh.View{PeerCount: 5})
		ks = append(ks, k)
	}
	borrower := ks[0]
	spendable(borrower, start)
	asks := borrower.LoanRequests(start, "s")
	assert.Equal(t, len(asks), 1)
	assert.Assert(t, borrower.LoanRequests(start, "s") == nil, "a second request is too soon")
	for _, k := range ks[1:] {
		before := k.service("s").budget.Available(start, 6)
		loans := k.Lend(start, "short", asks)
		borrower.HandlePacket(start, &mesh.Packet{Addr: "p", Zone: "a", Boot: 1, Loans: loans})
		assert.Assert(t, k.service("s").budget.Available(start, 6) < before)
	}
	assert.Equal(t, spendable(borrower, start), 1)
	assert.Assert(t, borrower.LoanRequests(start.Add(loanRequestInterval), "s") != nil)
}

func TestPeerLoadIsReplacedAndExpires(t *testing.T) {
	k := newKnowledge()
	load := func(boot int64, n int) *mesh.Packet {
		return &mesh.Packet{Addr: "p", Zone: "a", Boot: boot, Heartbeat: true, Load: []mesh.Load{{Target: "t", InFlight: n}}}
	}
	others := func() int { return k.target("t").peerInFlight }
	k.HandlePacket(start, load(1, 3))
	k.HandlePacket(start, load(1, 2))
	assert.Equal(t, others(), 2)
	k.HandlePacket(start, load(2, 1))
	assert.Equal(t, others(), 1, "the load of the earlier process must be dropped")
	k.HandlePacket(start, &mesh.Packet{Addr: "q", Zone: "b", Digest: &mesh.Digest{Load: []mesh.Load{{Target: "t", InFlight: 5}}}})
	assert.Equal(t, others(), 6)
	k.Tick(start.Add(peerLoadTimeout + time.Second))
	assert.Equal(t, others(), 0)
}

func targets(ids ...fleet.TargetID) []*registry.Target {
	var ts []*registry.Target
	for _, id := range ids {
		ts = append(ts, &registry.Target{Entry: registry.Entry{ID: id, Service: "s", Zone: "a", Slots: 4}})
	}
	return ts
}

func TestPeerEvidenceChangesPlacement(t *testing.T) {
	k := newKnowledge()
	ts := targets("t1", "t2")
	place := func() fleet.TargetID {
		p, ok := k.Place(start, "s", ts, nil, nil, placement.Work{}, noWarmConn)
		assert.Assert(t, ok)
		k.Done(p)
		return p.ID
	}
	first := place()
	k.HandlePacket(start, &mesh.Packet{Addr: "p", Zone: "b", Evidence: []mesh.Evidence{{Service: "s", Target: first, Observation: suspicion.Failure}}})
	assert.Assert(t, place() != first)
	_, ok := k.Place(start, "s", ts, []fleet.TargetID{"t1", "t2"}, nil, placement.Work{}, noWarmConn)
	assert.Assert(t, !ok)
}

// An instance that fails to reach several targets at once has a fault on its own paths. That it fails to
// reach one is the target's fault only if it reaches another.
func TestOwnCutPathsAreNotReportedAsTargetFailures(t *testing.T) {
	for _, o := range []suspicion.Observation{suspicion.Unreachable, suspicion.ConnRefused} {
		k := newKnowledge()
		reported := func() int { return len(k.UrgentUpdate(start, "t1").Evidence) }
		k.Observe(start, "s", "t1", o, start, 0)
		assert.Equal(t, reported(), 0, "nothing shows yet whose fault it is")
		k.Observe(start, "s", "t2", suspicion.Success, start, time.Millisecond)
		assert.Equal(t, reported(), 2, "the failure and the success")
		for _, id := range []fleet.TargetID{"t1", "t2", "t3"} {
			k.Observe(start, "s", id, o, start, 0)
		}
		assert.Equal(t, reported(), 0)
		k.Observe(start, "s", "t2", suspicion.Success, start, time.Millisecond)
		assert.Equal(t, reported(), 1, "the success alone")
	}
}

func TestDigestSummarizesZone(t *testing.T) {
	k := newKnowledge()
	v := viewOf(mesh.Member{Addr: "p"})
	p := &mesh.Packet{Addr: "p", Zone: "a", Boot: 1, Heartbeat: true, Load: []mesh.Load{{Target: "t", InFlight: 2}}}
	p.Evidence = []mesh.Evidence{{Service: "s", Target: "t", Observation: suspicion.Success}}
	k.HandlePacket(start, p)
	k.HandlePacket(start, &mesh.Packet{Addr: "q", Zone: "b", Digest: &mesh.Digest{Load: []mesh.Load{{Target: "t", InFlight: 5}}}})
	d := k.Digest(start, v, true)
	assert.Equal(t, d.Instances, 2)
	assert.Equal(t, len(d.Load), 1)
	assert.Equal(t, d.Load[0].InFlight, 2, "the other zone's load must be left out")
	assert.Equal(t, d.Successes[0].Count, 1)
	assert.Equal(t, len(k.Digest(start, v, true).Successes), 0, "successes must be sent only once")
}

// nextIsForFloor reports whether the next placement is for the floor after half of the service's
// attempts failed: those at good succeeded, those at bad failed.
func nextIsForFloor(t *testing.T, k *Knowledge, ts []*registry.Target, now time.Time, good, bad fleet.TargetID) bool {
	for range 20 {
		k.Observe(now, "s", good, suspicion.Success, now, time.Millisecond)
		k.Observe(now, "s", bad, suspicion.Failure, now, 0)
	}
	p, ok := k.Place(now, "s", ts, nil, nil, placement.Work{}, noWarmConn)
	assert.Assert(t, ok)
	k.Done(p)
	return p.ForFloor
}

// A new instance must not place requests for the floor yet, since it has not heard which targets
// the others use.
func TestNewInstanceDoesNotPlaceForFloor(t *testing.T) {
	k := newKnowledge()
	k.instanceCount.booted = start
	var ts []*registry.Target
	for _, id := range []fleet.TargetID{"a", "b", "c", "d", "e", "f"} {
		ts = append(ts, &registry.Target{Entry: registry.Entry{ID: id, Zone: "a", Slots: 2}})
	}
	forFloor := func(now time.Time) bool { return nextIsForFloor(t, k, ts, now, "a", "f") }
	assert.Assert(t, !forFloor(start))
	assert.Assert(t, forFloor(start.Add(floorStartDelay)))
}

// A target that has just started gets a request at once, although the other targets have warm
// connections and a known state.
func TestJoinedTargetGetsRequests(t *testing.T) {
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
	assert.Assert(t, p.ID != "new", "only one attempt at a time")
}

func TestLatencyIgnoresTrivialResponses(t *testing.T) {
	var l latency
	assert.Equal(t, l.current().median, defaultMedian)
	for n := range 200 {
		d := time.Duration(300+n%100) * time.Millisecond
		if n%3 == 0 {
			d = 2 * time.Millisecond
		}
		l.add(d)
	}
	k := l.current()
	assert.Assert(t, k.median > 300*time.Millisecond && k.median < 400*time.Millisecond, k.median)
	assert.Assert(t, k.usual > k.median && k.slow >= k.usual)
}

// Attempts that never reached a target must not count as use of it.
func TestUnreachableAttemptsDoNotCountAsUse(t *testing.T) {
	k := newKnowledge()
	now := start.Add(time.Minute)
	k.HandlePacket(now, &mesh.Packet{Addr: "p", Zone: "a", Evidence: []mesh.Evidence{{Service: "s", Target: "t", Observation: suspicion.Unreachable}}})
	assert.Assert(t, k.target("t").lastUse.IsZero())
	k.HandlePacket(now, &mesh.Packet{Addr: "p", Zone: "a", Evidence: []mesh.Evidence{{Service: "s", Target: "t", Observation: suspicion.Failure}}})
	assert.Equal(t, k.target("t").lastUse, now)
}

// A new process must not send requests to unhealthy targets that all others avoid.
func TestNewInstanceAdoptsHealthEstimates(t *testing.T) {
	old, fresh := newKnowledge(), newKnowledge()
	for range 3 {
		old.Observe(start, "s", "sick", suspicion.Failure, start, 0)
		old.Observe(start, "s", "sound", suspicion.Success, start, time.Millisecond)
	}
	fresh.HandlePacket(start, &mesh.Packet{Addr: "old", Zone: "a", Boot: 1, Estimates: old.HealthEstimates(start)})
	e := fresh.service("s").estimator
	assert.Assert(t, e.UnhealthyProbability(start, "sick") > suspicion.SuspectThreshold)
	assert.Assert(t, e.UnhealthyProbability(start, "sound") < suspicion.ClearThreshold)
	many := newKnowledge()
	for n := range 100 {
		many.Observe(start, "s", fleet.TargetID(fmt.Sprint(n)), suspicion.Success, start, 0)
	}
	many.Observe(start, "s", "sick", suspicion.Failure, start, 0)
	sent := many.HealthEstimates(start)
	assert.Equal(t, len(sent), maxGreetingEstimates)
	assert.Equal(t, sent[0].Target, fleet.TargetID("sick"))
}

// Observations of a target's earlier process must not count against its replacement, whichever
// instance reports them and however late.
func TestRestartedTargetStartsWithoutHistory(t *testing.T) {
	k := newKnowledge()
	ts := targets("t1")
	earlier, ok := k.Place(start, "s", ts, nil, nil, placement.Work{}, noWarmConn)
	assert.Assert(t, ok)
	bad := func(age time.Duration) *mesh.Packet {
		return &mesh.Packet{
			Addr: "p", Zone: "a", Boot: 1, Load: []mesh.Load{{Target: "t1", InFlight: 3}},
			Evidence: []mesh.Evidence{{Service: "s", Target: "t1", Observation: suspicion.Failure, AgeMillis: age.Milliseconds()}},
		}
	}
	k.HandlePacket(start, bad(0))
	k.Observe(start, "s", "t1", suspicion.Unreachable, start, 0)
	unknown := k.service("s").estimator.UnhealthyProbability(start, "other")
	assert.Assert(t, k.service("s").estimator.UnhealthyProbability(start, "t1") > unknown)

	restartedAt := start.Add(time.Second)
	k.ResetRestarted(restartedAt, []fleet.TargetID{"t1"})
	k.Done(earlier)
	k.Observe(restartedAt.Add(time.Second), "s", "t1", suspicion.Failure, start, 0)
	packet := bad(1500 * time.Millisecond)
	packet.Load = nil
	k.HandlePacket(restartedAt.Add(time.Second), packet)
	k.HandlePacket(restartedAt.Add(time.Second), &mesh.Packet{Addr: "q", Zone: "a", Boot: 1, Estimates: []mesh.Estimate{{Service: "s", Target: "t1", Permille: 900}}})
	known := k.service("s").estimator.UnhealthyProbability(restartedAt, "t1")
	assert.Assert(t, known <= unknown, "estimate %v after the restart, %v for an unknown target", known, unknown)
	p, ok := k.Place(restartedAt.Add(time.Second), "s", ts, nil, nil, placement.Work{}, noWarmConn)
	assert.Assert(t, ok)
	assert.Equal(t, p.InFlight, 0)
	assert.Assert(t, !restartedAt.Before(k.target("t1").cutUntil), "the path must not be avoided after the restart")

	k.HandlePacket(restartedAt.Add(2*time.Second), bad(10*time.Millisecond))
	assert.Assert(t, k.service("s").estimator.UnhealthyProbability(restartedAt.Add(2*time.Second), "t1") > unknown, "evidence about the new process must count")
	assert.Equal(t, k.target("t1").peerInFlight, 3)
}

// While a service was failing, 6 of 19 healthy targets got no request for 2 s because the
// instances considered them in use. A peer's load is reported when a request begins, but its end
// only with a later heartbeat if updates queue for the link. The success reported then must count
// from the start of the request, not from when the report arrived.
func TestTargetUseCountsRequestStarts(t *testing.T) {
	k := newKnowledge()
	ts := targets("t0", "t1", "t2", "t3", "t4", "t5")
	forFloor := func(now time.Time) bool { return nextIsForFloor(t, k, ts, now, "t0", "t1") }
	heartbeat := &mesh.Packet{Addr: "p", Zone: "a", Boot: 1, Heartbeat: true}
	for _, target := range ts[2:] {
		heartbeat.Load = append(heartbeat.Load, mesh.Load{Target: target.ID, InFlight: 1})
	}
	began := start.Add(floorStartDelay)
	k.HandlePacket(began, heartbeat)
	assert.Assert(t, !forFloor(began.Add(time.Second)))
	k.HandlePacket(began.Add(time.Second), heartbeat)
	assert.Assert(t, forFloor(began.Add(1700*time.Millisecond)), "no request has begun there since")

	heartbeat.Load = nil
	for _, target := range ts[2:] {
		heartbeat.Evidence = append(heartbeat.Evidence, mesh.Evidence{Service: "s", Target: target.ID, Observation: suspicion.Success, AgeMillis: 1000, DurationMillis: 700})
	}
	received := began.Add(2700 * time.Millisecond)
	k.HandlePacket(received, heartbeat)
	assert.Assert(t, forFloor(received.Add(600*time.Millisecond)), "the reported successes began a second earlier")
}
