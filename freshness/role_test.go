package freshness

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
)

var now = time.Unix(1000, 0)

// view returns a view of the members and of so many other zones, all heard now.
func view(zones int, members ...mesh.Member) mesh.View {
	v := mesh.View{At: now, Zone: "a", Members: slices.Clone(members), Joined: true, PeerCount: len(members)}
	for i := range v.Members {
		v.Members[i].LastReceived = now
	}
	for range zones {
		v.Zones = append(v.Zones, mesh.Zone{Name: "b", LastDigest: now})
	}
	return v
}

// after returns the view some time later, with all members heard then.
func after(v mesh.View, d time.Duration) mesh.View {
	v.At = v.At.Add(d)
	v.Members = slices.Clone(v.Members)
	for i := range v.Members {
		v.Members[i].LastReceived = v.At
	}
	return v
}

// instance is an instance for which decisions are made.
type instance struct {
	options Options
	state   State
	own     Own
	addr    string
}

// settled returns an instance that started long ago and has a state.
func settled(addr string) *instance {
	return &instance{options: Options{Rank: ReaderRank(addr), Started: now.Add(-time.Hour)}, own: Own{HasState: true}, addr: addr}
}

// fresh returns an instance that starts now.
func fresh(addr string) *instance {
	return &instance{options: Options{Rank: ReaderRank(addr), Started: now}, addr: addr}
}

func (x *instance) decide(v mesh.View) (d Decision) {
	x.state, d = Decide(x.options, x.state, x.own, v)
	return d
}

// without returns the view of the instance at an address, which is not among its members.
func without(v mesh.View, addr string) mesh.View {
	v.Members = slices.DeleteFunc(slices.Clone(v.Members), func(m mesh.Member) bool { return m.Addr == addr })
	return v
}

// zoneOf returns the members of a zone by their ranks as readers.
func zoneOf(size int, log mesh.LogState) (members []mesh.Member) {
	for n := range size {
		members = append(members, mesh.Member{Addr: fmt.Sprintf("10.0.%d.%d:1", n/200, n%200+1), Zone: "a", Log: log})
	}
	slices.SortFunc(members, func(a, b mesh.Member) int { return cmp.Compare(ReaderRank(a.Addr), ReaderRank(b.Addr)) })
	return members
}

// reading returns how many of the instances read.
func reading(xs []*instance, v mesh.View) (n int) {
	for _, x := range xs {
		if x.decide(without(v, x.addr)).Reason.Reads() {
			n++
		}
	}
	return n
}

func instances(members []mesh.Member, make func(addr string) *instance) (xs []*instance) {
	for _, m := range members {
		xs = append(xs, make(m.Addr))
	}
	return xs
}

func TestReaderCountPerZone(t *testing.T) {
	members := zoneOf(4, mesh.LogAvailable)
	assert.Equal(t, reading(instances(members, settled), view(0, members...)), SingleZoneReaders)
	assert.Equal(t, reading(instances(members, settled), view(1, members...)), ReadersPerZone)
}

// TestReadersAreNotBridges checks that no instance is both a reader and a bridge, so that one
// saturated link does not delay updates from both the store and other zones.
func TestReadersAreNotBridges(t *testing.T) {
	const bridges = 2
	members := zoneOf(12, mesh.LogAvailable)
	slices.SortFunc(members, func(a, b mesh.Member) int { return cmp.Compare(mesh.Rank(a.Addr), mesh.Rank(b.Addr)) })
	for i, m := range members {
		reads := settled(m.Addr).decide(without(view(1, members...), m.Addr)).Reason.Reads()
		assert.Equal(t, reads, i >= len(members)-ReadersPerZone)
		assert.Assert(t, !reads || i >= bridges)
	}
}

// TestFewInstancesReplaceRefusedReaders checks what happens when the store refuses a zone's
// two readers: the next instance reads at once, and those after it only if that fails too.
func TestFewInstancesReplaceRefusedReaders(t *testing.T) {
	members := zoneOf(12, mesh.LogUnread)
	members[0].Log, members[1].Log = mesh.LogUnavailable, mesh.LogUnavailable
	xs, v := instances(members, settled), view(1, members...)
	assert.Equal(t, reading(xs, v), 3, "the two readers and the next instance")
	assert.Equal(t, reading(xs, after(v, 2*TakeoverDelay)), 5, "two more, as no instance reports a response")
	assert.Equal(t, reading(xs, after(v, 14*TakeoverDelay)), len(members), "all instances, if no other gets responses")
}

// TestTakeoverIsBoundedWhenStoreRefusesAll guards against every instance taking over from
// readers that get no responses: while the store was down for 8 s, the 293 instances of a fleet
// made 6,466 calls, three times the usual number.
func TestTakeoverIsBoundedWhenStoreRefusesAll(t *testing.T) {
	for _, size := range []int{58, 184} { // in fleets of 293 and 920
		members := zoneOf(size, mesh.LogUnavailable)
		xs, v := instances(members, settled), view(1, members...)
		reading(xs, v)
		assert.Equal(t, reading(xs, after(v, time.Hour)), ReadersPerZone+MaxTakeoverReaders)
	}
}

// TestOneOfTwoTakeoverReadersYields checks that exactly one of two takeover readers stops when
// each learns that the other gets responses.
func TestOneOfTwoTakeoverReadersYields(t *testing.T) {
	members := zoneOf(4, mesh.LogAvailable)
	members[0].Log, members[1].Log = mesh.LogUnavailable, mesh.LogUnavailable
	xs := instances(members[2:], settled)
	for _, x := range xs {
		x.state.Reads = true
	}
	assert.Equal(t, reading(xs, view(1, members...)), 1)
}

func TestSilentReaderIsReplaced(t *testing.T) {
	members := zoneOf(3, mesh.LogAvailable)
	x, v := settled(members[2].Addr), view(1, members[:2]...)
	assert.Equal(t, x.decide(v).Reason, Follows)
	v.At = v.At.Add(1100 * time.Millisecond)
	assert.Assert(t, x.decide(v).Reason.Reads())
}

// TestSilentReadersOfLargeFleetAreReplacedInTime guards against a reader timeout of three
// heartbeat intervals, which grow with the number of instances: 3.2 s at 134 instances, 22 s at
// 920. When saturated links silenced all readers of a fleet of 134 at once, others took over only
// 2.3 s later, but a change must be applied everywhere within 2 to 2.5 s of its confirmation.
func TestSilentReadersOfLargeFleetAreReplacedInTime(t *testing.T) {
	members := zoneOf(3, mesh.LogAvailable)
	x, v := settled(members[2].Addr), view(1, members[:2]...)
	v.Interval = 1064 * time.Millisecond
	assert.Equal(t, x.decide(v).Reason, Follows)
	v.At = v.At.Add(1100 * time.Millisecond)
	assert.Assert(t, x.decide(v).Reason.Reads())
}

// TestReaderVouchesUntilItsStateIsOld guards against instances that rely on a reader which is heard, but does not
// read any more.
func TestReaderVouchesUntilItsStateIsOld(t *testing.T) {
	const age = 2 * time.Second
	members := zoneOf(3, mesh.LogAvailable)
	for n := range 2 {
		members[n].DocumentsComplete, members[n].TargetsComplete = now, now.Add(-time.Second)
	}
	x, v := settled(members[2].Addr), view(1, members[:2]...)
	x.options.DocumentsMaxAge, x.options.TargetsMaxAge = age, age
	d := x.decide(v)
	assert.Equal(t, d.Reason, Follows)
	assert.Equal(t, d.Until, now.Add(mesh.ReaderTimeout))
	assert.Equal(t, x.decide(after(v, time.Second)).Until, now.Add(time.Second))
	assert.Assert(t, x.decide(after(v, time.Second+time.Millisecond)).Reason != Follows)
}

// TestRestartedReaderDoesNotVouch guards against instances that rely on readers which have just started again and
// do not read the log yet.
func TestRestartedReaderDoesNotVouch(t *testing.T) {
	members := zoneOf(6, mesh.LogUnread)
	xs, v := instances(members, settled), view(1, members...)
	for _, x := range xs[:2] {
		x.options.Started, x.own.HasState = now.Add(-time.Millisecond), false
	}
	assert.Equal(t, reading(xs, v), 0)
	assert.Equal(t, reading(xs, after(v, AcquaintanceTime)), 1, "the first one, as soon as it may know the others")
	assert.Equal(t, reading(xs, after(v, 2*TakeoverDelay)), 3)
}

// TestNewProcessAwaitsContact checks that a process that has just started reads the log at once only if there are
// no others, and soon if none is heard.
func TestNewProcessAwaitsContact(t *testing.T) {
	x, alone := fresh("10.0.0.1:1"), mesh.View{At: now, Zone: "a", Joined: true}
	assert.Assert(t, x.decide(alone).Reason.Reads())
	x, unheard := fresh("10.0.0.1:1"), mesh.View{At: now, Zone: "a", PeerCount: 3}
	assert.Equal(t, x.decide(unheard).Reason, Starts)
	assert.Assert(t, !x.decide(after(unheard, ContactTimeout-time.Millisecond)).Reason.Reads())
	assert.Assert(t, x.decide(after(unheard, ContactTimeout)).Reason.Reads())
}

// TestFewInstancesReadTheLogFromItsBeginning guards against a fleet of which each instance reads all newest records
// for itself after all were killed: the store served none of them in time. Instances of a zone that has one
// reading wait for it, but not for long.
func TestFewInstancesReadTheLogFromItsBeginning(t *testing.T) {
	for _, size := range []int{12, 60, 184} {
		members := zoneOf(size, mesh.LogUnread)
		xs, v := instances(members, fresh), view(2, members...)
		assert.Equal(t, reading(xs, v), 0)
		v = after(v, AcquaintanceTime)
		assert.Equal(t, reading(xs, v), 1)
		xs[0].own.Loads, v.Members[0].Log = true, mesh.LogLoading
		assert.Equal(t, reading(xs, after(v, LoadingDelay-time.Millisecond)), 1)
		assert.Equal(t, reading(xs, after(v, LoadingDelay)), 2)
		xs[0].own.Loads, v.Members[0].Log = false, mesh.LogUnavailable
		assert.Equal(t, reading(xs, after(v, LoadingDelay)), min(size, ReadersPerZone+MaxTakeoverReaders))
	}
}

// TestInstancesWithoutPartsYield guards against instances that read the log from its beginning beside one of their
// zone of which parts have arrived, because they began before they knew.
func TestInstancesWithoutPartsYield(t *testing.T) {
	const loader = 3
	members := zoneOf(6, mesh.LogUnread)
	xs, v := instances(members, fresh), view(2, members...)
	v = after(v, AcquaintanceTime+loader*TakeoverDelay)
	assert.Equal(t, reading(xs, v), 1)
	v = after(v, loader*TakeoverDelay)
	assert.Equal(t, reading(xs, v), loader+1)
	xs[loader].own.Loads, v.Members[loader].Log = true, mesh.LogLoading
	assert.Equal(t, reading(xs, v), 1)
	assert.Assert(t, xs[loader].state.Reads, "the one that has parts goes on")
	xs[2].own.HasState = true
	assert.Equal(t, xs[2].decide(without(v, xs[2].addr)).Reason, StandsIn, "one with a state reads only what has changed")
}

// TestStateThatDoesNotArriveIsRead guards against an instance without any state that waits for that of a reader for
// good, because the path between them is cut one way.
func TestStateThatDoesNotArriveIsRead(t *testing.T) {
	members := zoneOf(4, mesh.LogAvailable)
	xs, v := instances(members[2:], fresh), view(1, members...)
	assert.Equal(t, reading(xs, v), 0)
	v = after(v, StateTimeout+2*TakeoverDelay)
	assert.Equal(t, reading(xs, v), 1)
	assert.Equal(t, xs[0].decide(without(v, xs[0].addr)).Reason, LacksState)
	xs[0].own.HasState = true
	assert.Equal(t, xs[0].decide(without(v, xs[0].addr)).Reason, Follows)
}

// TestReadersOfEarlierEpochDoNotVouch checks that readers which have not seen a restore of the store do not count.
func TestReadersOfEarlierEpochDoNotVouch(t *testing.T) {
	members := zoneOf(3, mesh.LogAvailable)
	members[0].Registry, members[1].Registry = registry.Position{Epoch: 1}, registry.Position{Epoch: 1}
	x, v := settled(members[2].Addr), view(1, members[:2]...)
	assert.Equal(t, x.decide(v).Reason, Follows)
	x.own.Epoch = 2
	assert.Equal(t, x.decide(v).Reason, AwaitsTurn)
	assert.Equal(t, x.decide(after(v, 2*TakeoverDelay)).Reason, StandsIn)
}

// TestReaderTellsWhatItsReadsMet checks the state of the log that a reader tells by its reads of two streams.
func TestReaderTellsWhatItsReadsMet(t *testing.T) {
	var unread, loading, answered, failed, late Reading
	loading.Loading()
	answered.Answered(now)
	failed.Failed()
	late.Answered(now)
	late.SetLate(true)
	for _, tc := range []struct {
		a, b Reading
		want mesh.LogState
	}{
		{unread, unread, mesh.LogUnread}, {unread, answered, mesh.LogUnread}, {unread, failed, mesh.LogUnread},
		{loading, unread, mesh.LogLoading}, {loading, answered, mesh.LogLoading}, {loading, failed, mesh.LogUnavailable},
		{failed, answered, mesh.LogUnavailable}, {failed, late, mesh.LogUnavailable},
		{answered, late, mesh.LogLate}, {answered, answered, mesh.LogAvailable},
	} {
		assert.Equal(t, Combined(tc.a, tc.b), tc.want)
		assert.Equal(t, Combined(tc.b, tc.a), tc.want)
	}
	assert.Equal(t, answered.Unanswered(now.Add(time.Second)), time.Second)
	failed.Answered(now)
	assert.Equal(t, failed.State(), mesh.LogAvailable)
}

// TestDecisionsTellWhenToLookAgain checks that an instance which waits knows the moment of its turn: a look at fixed
// intervals alone made the start of all later.
func TestDecisionsTellWhenToLookAgain(t *testing.T) {
	members := zoneOf(3, mesh.LogUnread)
	x, v := fresh(members[2].Addr), view(2, members[:2]...)
	d := x.decide(v)
	assert.Equal(t, d.Reason, Starts)
	assert.Equal(t, d.Until, now.Add(AcquaintanceTime))
	v = after(v, AcquaintanceTime)
	d = x.decide(v)
	assert.Equal(t, d.Reason, AwaitsTurn)
	assert.Equal(t, d.Until, v.At.Add(2*TakeoverDelay))
	assert.Equal(t, x.decide(after(v, 2*TakeoverDelay)).Reason, StandsIn)
}
