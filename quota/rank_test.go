package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// This file sends requests of three ranks through simulated fleets.

// rankShares are the shares of the ranks in a tenant's requests.
type rankShares [Ranks]float64

var mixedRanks = rankShares{0.25, 0.6, 0.15}

// rankCounts counts requests by rank.
type rankCounts [Ranks]int

func (c rankCounts) sum() int {
	n := 0
	for _, k := range c {
		n += k
	}
	return n
}

// pick returns a rank by chance.
func (s rankShares) pick(random float64) Rank {
	for rank, share := range s {
		if random < share {
			return Rank(rank)
		}
		random -= share
	}
	return 0
}

// runRanked sends requests of several ranks at a multiple of the limit's rate, and counts them.
func runRanked(f *simFleet, l Limit, factor float64, shares rankShares) (offered, granted rankCounts) {
	f.run(simTrafficStart, 0, nil, func(time.Duration) {})
	f.rankOf = func() Rank { return shares.pick(f.random.Float64()) }
	f.decided = func(rank Rank, d Decision) {
		offered[rank]++
		if d.Granted {
			granted[rank]++
		}
	}
	f.run(simLength, l.Rate*factor, f.anyInstance, func(time.Duration) {})
	return offered, granted
}

// owed returns how many requests of each rank the quota suffices for, if the most urgent are granted first.
func owed(offered rankCounts, l Limit) [Ranks]float64 {
	left := l.Rate * simLength.Seconds()
	var owed [Ranks]float64
	for rank, n := range offered {
		owed[rank] = min(float64(n), left)
		left -= owed[rank]
	}
	return owed
}

// minRankShare is the least part of what is owed to the most urgent rank, and to all together, that is granted.
const minRankShare = 0.95

// TestLeastUrgentRequestsAreRefusedFirst answers a tenant whose callers send more than its quota steadily, most of it
// less urgent: what is most urgent is served whole as long as it stays within the quota.
func TestLeastUrgentRequestsAreRefusedFirst(t *testing.T) {
	sizes := []int{36}
	if *fleetSeeds > 0 {
		sizes = append(sizes, 121)
	}
	for _, n := range sizes {
		for _, l := range simLimits[:2] {
			for _, factor := range []float64{0.9, 1.2, 2.5, 8} {
				t.Run(fmt.Sprintf("%d/%v/%v", n, l, factor), func(t *testing.T) {
					t.Parallel()
					checkRanks(t, newSimFleet(1, simZones[n], l), l, factor)
				})
			}
		}
	}
}

func checkRanks(t *testing.T, f *simFleet, l Limit, factor float64) {
	offered, granted := runRanked(f, l, factor, mixedRanks)
	t.Logf("granted %v of %v", granted, offered)
	o := owed(offered, l)
	assert.Assert(t, float64(granted[0]) >= minRankShare*o[0], "%.0f owed to rank 0", o[0])
	assert.Assert(t, float64(granted.sum()) >= minRankShare*(o[0]+o[1]+o[2]), "%.0f owed", o)
	const tolerance = 0.02
	for rank := range 2 {
		assert.Assert(t, granted.share(offered, rank) >= granted.share(offered, rank+1)-tolerance, "rank %d beside the next", rank)
	}
}

// share returns which part of the offered requests of a rank was granted.
func (c rankCounts) share(offered rankCounts, rank int) float64 {
	return float64(c[rank]) / float64(max(offered[rank], 1))
}

// TestOneRankIsServedAsAnyOther answers tenants all of whose routes have the same rank: whichever it is, as much is
// granted.
func TestOneRankIsServedAsAnyOther(t *testing.T) {
	l := simLimits[1]
	var counts []int
	for _, shares := range []rankShares{{1}, {0, 0, 1}} {
		_, granted := runRanked(newSimFleet(1, simZones[36], l), l, 2.5, shares)
		counts = append(counts, granted.sum())
	}
	assert.Equal(t, counts[0], counts[1])
}

// TestDenialAppliesToLessUrgentRequests guards urgent requests from the denial of others.
func TestDenialAppliesToLessUrgentRequests(t *testing.T) {
	for _, c := range []struct{ denied, next Rank }{{2, 0}, {0, 2}, {1, 1}, {3, 2}} {
		table := NewTable("self", testStart, testBounds, func() float64 { return 0 })
		table.Update(testStart, Fleet{Members: oldMembers("b", "c", "d"), Total: 3})
		clock := func() time.Time { return testStart }
		table.Acquire(clock, Request{Tenant: "t", Limit: testLimit, Rank: c.denied}, &fakeAsker{ask: denied, elsewhere: denied}, true)
		d := table.Acquire(clock, Request{Tenant: "t", Limit: testLimit, Rank: c.next}, &fakeAsker{ask: granted}, true)
		assert.Equal(t, d.Granted, c.next < c.denied, "%v after %v", c.next, c.denied)
	}
}

// TestTokensAreKeptForUrgentRequests checks what a holder keeps for urgent requests while they ask, and after.
func TestTokensAreKeptForUrgentRequests(t *testing.T) {
	table := newTestTable()
	const urgent = 4
	for range urgent {
		_, ok := table.Grant(after(0), "t", testLimit, 0)
		assert.Assert(t, ok)
	}
	for ok := true; ok; {
		_, ok = table.Grant(after(0), "t", testLimit, 2)
	}
	assert.Equal(t, drain(table, after(0), "t"), urgent)
	_, ok := table.Grant(after(10*demandTimeConstant), "t", testLimit, 2)
	assert.Assert(t, ok)
}
