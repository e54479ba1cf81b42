package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
)

var (
	testStart  = time.Unix(1000, 0)
	testLimit  = Limit{Rate: 10, Burst: 10}
	testBounds = Bounds{Window: 5 * time.Second, Excess: 0.1, Slack: 20}
)

func after(d time.Duration) time.Time { return testStart.Add(d) }

// oldMembers returns instances that started long ago.
func oldMembers(ids ...fleet.InstanceID) []Member {
	var all []Member
	for _, id := range ids {
		all = append(all, Member{id, testStart.Add(-time.Hour).UnixMilli()})
	}
	return all
}

// newTestTable returns the table of instance "a" in a zone of its own.
func newTestTable() *Table {
	t := NewTable("a", testStart.Add(-time.Hour), testBounds, rand.New(rand.NewPCG(1, 1)).Float64)
	t.Update(after(-time.Minute), Fleet{Members: oldMembers("a"), Total: 1})
	return t
}

// drain takes all tokens and returns their number.
func drain(t *Table, now time.Time, name document.TenantName) int {
	n := 0
	for {
		if _, ok := t.Grant(now, name, testLimit, 0); !ok {
			return n
		}
		n++
	}
}

func TestBucketRefillsAtItsPartOfTheRate(t *testing.T) {
	table := newTestTable()
	assert.Equal(t, drain(table, after(0), "t"), int(testBounds.capacity(testLimit)))
	assert.Equal(t, drain(table, after(time.Second), "t"), 10)
	table.Update(after(time.Second), Fleet{Members: oldMembers("a"), Total: 2})
	assert.Equal(t, drain(table, after(2*time.Second), "t"), 5)
}

func TestUnknownFleetGrantsNothing(t *testing.T) {
	table := newTestTable()
	table.Update(after(0), Fleet{Members: oldMembers("a")})
	wait, ok := table.Grant(after(time.Second), "t", testLimit, 0)
	assert.Assert(t, !ok && wait > 0)
}

// TestSmallBucketsGrantWhatTheyAreDue divides a small quota among many instances that do not reach each other.
func TestSmallBucketsGrantWhatTheyAreDue(t *testing.T) {
	const instances, seconds = 200, 100
	l := Limit{Rate: 4, Burst: 4}
	granted := 0
	for i := range instances {
		table := NewTable("a", testStart, testBounds, rand.New(rand.NewPCG(uint64(i), 1)).Float64)
		table.Update(testStart, Fleet{Members: oldMembers("a"), Total: instances})
		for s := range 10 * seconds {
			if _, ok := table.Grant(after(time.Duration(s)*100*time.Millisecond), "t", l, 0); ok {
				granted++
			}
		}
	}
	due := l.Rate * seconds
	assert.Assert(t, float64(granted) > 0.85*due && float64(granted) < 1.15*due, "%d granted, %v due", granted, due)
}

// TestNewHolderStartsWithoutTokens guards against a quota that is granted twice when holders change.
// lastRanked returns the name of a tenant for which instance "a" ranks last of its zone, and those before it.
func lastRanked(table *Table) (document.TenantName, []fleet.InstanceID) {
	for i := 0; ; i++ {
		name := document.TenantName(fmt.Sprint("t", i))
		ranked := append(table.Holders(name, testLimit), table.Standbys(name, testLimit)...)
		if ranked[len(ranked)-1] == "a" {
			return name, ranked[:len(ranked)-1]
		}
	}
}

// TestSuccessorStartsWithFewTokens checks how much an instance may grant at once after it took over from others.
func TestSuccessorStartsWithFewTokens(t *testing.T) {
	for _, c := range []struct {
		name string
		// earlier is when another holder departed, before the last one did.
		earlier time.Duration
		want    int
	}{
		{"after long", -time.Minute, 1},
		{"together with another one", -time.Second, 1},
		{"again within the window", -4 * time.Second, 0},
	} {
		table := newTestTable()
		table.Update(after(-2*time.Minute), Fleet{Members: oldMembers("a", "b", "c", "d", "e"), Total: 5})
		name, before := lastRanked(table)
		table.Update(after(c.earlier), Fleet{Members: oldMembers(append(before[1:], "a")...), Total: 5})
		table.Update(after(0), Fleet{Members: oldMembers(append(before[2:], "a")...), Total: 5})
		assert.Equal(t, drain(table, after(0), name), c.want, c.name)
	}
}

func TestNewHolderStartsWithoutTokens(t *testing.T) {
	name := document.TenantName("t")
	others := []fleet.InstanceID{"b", "c", "d", "e", "f"}
	table := newTestTable()
	table.Update(after(0), Fleet{Members: oldMembers(append(others, "a")...), Total: 6})
	if slices.Contains(table.Holders(name, testLimit), "a") {
		name = "other" // one of which the instance is no holder
		for i := 0; slices.Contains(table.Holders(name, testLimit), "a"); i++ {
			name = document.TenantName(fmt.Sprint("other", i))
		}
	}
	table.Update(after(time.Minute), Fleet{Members: oldMembers("a"), Total: 6})
	_, ok := table.Grant(after(time.Minute), name, testLimit, 0)
	assert.Assert(t, !ok)
	_, ok = table.Grant(after(time.Minute+2*time.Second), name, testLimit, 0)
	assert.Assert(t, ok)
}

// TestReleasedTokensExpire checks that what an instance has left after it ceased to be a holder may be granted,
// less what its successor's bucket has got since.
func TestReleasedTokensExpire(t *testing.T) {
	for _, c := range []struct {
		since time.Duration
		want  int
	}{{0, 3}, {500 * time.Millisecond, 1}, {5 * time.Second, 0}} {
		table := newTestTable()
		table.Update(after(-2*time.Minute), Fleet{Members: oldMembers("a", "b", "c", "d", "e"), Total: 5})
		name, before := lastRanked(table)
		holding := Fleet{Members: oldMembers(append(before[2:], "a")...), Total: 5}
		table.Update(after(-time.Minute), holding)
		_, ok := table.Grant(after(0), name, testLimit, 0)
		assert.Assert(t, ok)
		table.Update(after(0), Fleet{Members: oldMembers(append(before, "a")...), Total: 5})
		now, n := after(c.since), 0
		for table.grantReleased(now, name, testLimit) {
			n++
		}
		assert.Equal(t, n, c.want)
	}
}

// TestHolderAgainStartsAnew checks that the bucket of a tenant's only holder does not fill while another instance is
// the holder.
func TestHolderAgainStartsAnew(t *testing.T) {
	const total = 6 // so that the zone's part is held by one instance
	alone := Fleet{Members: oldMembers("a"), Total: total}
	table := newTestTable()
	table.Update(after(-2*time.Minute), Fleet{Members: oldMembers("a", "b"), Total: total})
	name := document.TenantName("t")
	for i := 0; table.Holders(name, smallLimit)[0] != "b"; i++ {
		name = document.TenantName(fmt.Sprint("t", i))
	}
	table.Update(after(-time.Minute), alone)
	_, ok := table.Grant(after(0), name, smallLimit, 0)
	assert.Assert(t, ok)
	table.Update(after(0), Fleet{Members: oldMembers("a", "b"), Total: total})
	table.Update(after(30*time.Second), alone)
	_, ok = table.Grant(after(30*time.Second), name, smallLimit, 0)
	assert.Assert(t, !ok)
}

func TestRestartedInstanceIsNoHolderAtOnce(t *testing.T) {
	members := append(oldMembers("a"), Member{"b", testStart.UnixMilli()})
	f := Fleet{Members: members, Total: 2}
	assert.DeepEqual(t, f.eligible(after(time.Second)), []fleet.InstanceID{"a"})
	assert.DeepEqual(t, f.eligible(after(minHolderAge)), []fleet.InstanceID{"a", "b"})
	together := Fleet{Members: []Member{{"a", testStart.UnixMilli()}, {"b", testStart.UnixMilli() + 500}}, Total: 2}
	assert.DeepEqual(t, together.eligible(after(time.Second)), []fleet.InstanceID{"a", "b"})
}

func TestReturnedTokenIsGrantedAgain(t *testing.T) {
	table := newTestTable()
	drain(table, after(0), "t")
	table.Return(after(0), "t", testLimit)
	assert.Equal(t, drain(table, after(0), "t"), 1)
}

// fakeAsker replies as its functions do, and counts the questions.
type fakeAsker struct {
	ask, elsewhere   func() (Reply, bool)
	asked, askedAway int
}

func (a *fakeAsker) Ask(fleet.InstanceID) (Reply, bool) { a.asked++; return a.ask() }

func (a *fakeAsker) AskOtherZone() (Reply, bool) { a.askedAway++; return a.elsewhere() }

func silent() (Reply, bool)  { return Reply{}, false }
func denied() (Reply, bool)  { return Reply{Wait: time.Second}, true }
func granted() (Reply, bool) { return Reply{Granted: true}, true }

// silentTimes does not reply to the first n questions.
func silentTimes(n int, then func() (Reply, bool)) func() (Reply, bool) {
	return func() (Reply, bool) {
		if n == 0 {
			return then()
		}
		n--
		return silent()
	}
}

func TestAcquire(t *testing.T) {
	for _, c := range []struct {
		name           string
		ask, elsewhere func() (Reply, bool)
		want           Decision
		asked, away    int
	}{
		{"a holder grants", granted, silent, Decision{Granted: true, Source: FromHolder}, 1, 0},
		{"all deny", denied, denied, Decision{Wait: time.Second, Source: FromHolder}, 4, 1},
		{"another zone grants", denied, granted, Decision{Granted: true, Source: FromOtherZone}, 4, 1},
		{"no holder replies", silentTimes(3, granted), denied, Decision{Granted: true, Source: FromStandby}, 4, 0},
		{"one contact of another zone is silent", denied, silentTimes(1, granted), Decision{Granted: true, Source: FromOtherZone}, 4, 2},
		{"none replies", silent, silent, Decision{Wait: notHeldWait, Source: FromHolder}, 3 + maxStandbys, maxFarAttempts},
	} {
		table := NewTable("self", testStart, testBounds, func() float64 { return 0 })
		table.Update(testStart, Fleet{Members: oldMembers("b", "c", "d", "e", "f"), Total: 5})
		asker := &fakeAsker{ask: c.ask, elsewhere: c.elsewhere}
		d := table.Acquire(func() time.Time { return testStart }, Request{Tenant: "t", Limit: testLimit}, asker, true)
		d.Holder = ""
		assert.DeepEqual(t, d, c.want)
		assert.Equal(t, asker.asked, c.asked, c.name)
		assert.Equal(t, asker.askedAway, c.away, c.name)
	}
}

// TestDenialAppliesToFurtherRequests guards the holders of a tenant that sends far beyond its quota.
func TestDenialAppliesToFurtherRequests(t *testing.T) {
	table := NewTable("self", testStart, testBounds, func() float64 { return 0 })
	table.Update(testStart, Fleet{Members: oldMembers("b", "c", "d"), Total: 3})
	asker := &fakeAsker{ask: denied, elsewhere: denied}
	for range 100 {
		d := table.Acquire(func() time.Time { return testStart }, Request{Tenant: "t", Limit: testLimit}, asker, true)
		assert.Assert(t, !d.Granted && d.Wait > 0)
	}
	assert.Equal(t, asker.asked, 3)
	d := table.Acquire(func() time.Time { return after(maxDenial) }, Request{Tenant: "t", Limit: testLimit}, &fakeAsker{ask: granted}, true)
	assert.Assert(t, d.Granted)
}

// TestSilentHolderIsNotAskedAgainAtOnce guards callers from waiting for a failed instance each time.
func TestSilentHolderIsNotAskedAgainAtOnce(t *testing.T) {
	table := NewTable("self", testStart, testBounds, func() float64 { return 0.999 })
	table.Update(testStart, Fleet{Members: oldMembers("b"), Total: 1})
	asker := &fakeAsker{ask: silent, elsewhere: silent}
	for i := range 10 {
		now := after(time.Duration(i) * 90 * time.Millisecond)
		table.Acquire(func() time.Time { return now }, Request{Tenant: "t", Limit: testLimit}, asker, false)
	}
	assert.Equal(t, asker.asked, 1)
}

// TestTickForgetsSilentInstances guards the memory of an instance in a fleet whose members are replaced.
func TestTickForgetsSilentInstances(t *testing.T) {
	table := NewTable("self", testStart, testBounds, func() float64 { return 0.999 })
	asker := &fakeAsker{ask: silent, elsewhere: silent}
	for i := range 5 {
		now := after(time.Duration(i) * time.Minute)
		table.Update(now, Fleet{Members: oldMembers(fleet.InstanceID(fmt.Sprint("b", i))), Total: 1})
		table.Acquire(func() time.Time { return now }, Request{Tenant: "t", Limit: testLimit}, asker, false)
		table.Tick(now.Add(time.Second / 2))
	}
	assert.Equal(t, len(table.unavailable), 1)
}

func BenchmarkHolders(b *testing.B) {
	for _, n := range []int{45, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var members []Member
			for i := range n {
				members = append(members, Member{fleet.InstanceID(fmt.Sprintf("10.1.%d.%d:7440", i/250, i%250)), 1})
			}
			table := NewTable("self", testStart, testBounds, rand.Float64)
			table.Update(testStart, Fleet{Members: members, Total: 3 * n})
			b.ReportAllocs()
			for b.Loop() {
				table.Holders("t", testLimit)
			}
		})
	}
}
