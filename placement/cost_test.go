package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
)

func chooser(self fleet.InstanceID) *Chooser {
	return &Chooser{Weights: DefaultWeights(), Self: self, Zone: "a", Random: func() float64 { return 0.5 }}
}

func candidates(n int) []Candidate {
	ts := make([]Candidate, n)
	for i := range ts {
		ts[i] = Candidate{ID: fleet.TargetID(fmt.Sprint("t", i)), Zone: "a", Slots: 4, FailureProbability: 0.02, HasConn: true, SinceUse: time.Millisecond, ZoneResponsible: true}
	}
	return ts
}

func TestCostRaisedByTargetState(t *testing.T) {
	for name, change := range map[string]func(*Candidate){
		"high failure probability": func(c *Candidate) { c.FailureProbability = 0.2 },
		"all slots in use":         func(c *Candidate) { c.InFlight = 4 },
		"path interrupted":         func(c *Candidate) { c.PathCut = true },
		"warming up":               func(c *Candidate) { c.Warming = true },
	} {
		ts := candidates(2)
		best, _ := chooser("i").Choose(Work{}, ts)
		change(&ts[best])
		other, _ := chooser("i").Choose(Work{}, ts)
		assert.Assert(t, other != best, name)
	}
}

func TestLargeBodiesStayInZoneUnlessUnhealthy(t *testing.T) {
	ts := candidates(2)
	ts[0].Zone = "b"
	upload := Work{KB: 60}
	best, _ := chooser("i").Choose(upload, ts)
	assert.Equal(t, best, 1)
	ts[1].FailureProbability = 0.9
	best, _ = chooser("i").Choose(upload, ts)
	assert.Equal(t, best, 0)
}

// TestShortestOfLongQueuesIsChosen: where all healthy targets have queues that make responses late, the
// shortest queue outweighs the instance's preference.
func TestShortestOfLongQueuesIsChosen(t *testing.T) {
	w := Work{TypicalTime: 200 * time.Millisecond, Objective: 600 * time.Millisecond, ZoneTargets: 8}
	for shortest := range 8 {
		ts := candidates(8)
		for i := range ts {
			ts[i].Slots, ts[i].InFlight = 2, 10
		}
		ts[shortest].InFlight = 6
		best, _ := chooser("i").Choose(w, ts)
		assert.Equal(t, best, shortest)
	}
}

func TestChooseWhenAllTargetsAreUnhealthy(t *testing.T) {
	ts := candidates(3)
	for i := range ts {
		ts[i].FailureProbability = 0.95
	}
	best, _ := chooser("i").Choose(Work{}, ts)
	assert.Assert(t, best >= 0)
	best, _ = chooser("i").Choose(Work{}, nil)
	assert.Equal(t, best, -1)
}

func TestSingleConcurrentTrialOfDoubtfulTarget(t *testing.T) {
	ts := candidates(2)
	for i := range ts {
		ts[i].FailureProbability = 0.4
	}
	best, _ := chooser("i").Choose(Work{}, ts)
	ts[best].InFlight = 1
	other, _ := chooser("i").Choose(Work{}, ts)
	assert.Assert(t, other != best)
}

func TestFloorTargetOfFailingService(t *testing.T) {
	ts := candidates(10)
	for i := range 4 {
		ts[i].UnhealthyProbability, ts[i].SinceStart = 0.4-0.1*float64(i), time.Duration(2+i)*time.Second
	}
	assert.Equal(t, chooser("i").FloorTarget(0.01, 0, ts), -1, "the service does not fail")
	assert.Equal(t, chooser("i").FloorTarget(0.15, 0, ts), 3, "the target that is most likely healthy")
	ts[3].PathCut = true
	assert.Equal(t, chooser("i").FloorTarget(0.15, 0, ts), 2)
	ts[3].SinceStart, ts[2].SinceStart = 0, 0
	assert.Equal(t, chooser("i").FloorTarget(0.15, 0, ts), -1, "enough targets are in use")
	ts[3].SinceStart, ts[3].InFlight = 2*time.Second, 1
	assert.Equal(t, chooser("i").FloorTarget(0.15, 0, ts), 1, "the path to target 3 is interrupted")
	ts[3].PathCut = false
	assert.Equal(t, chooser("i").FloorTarget(0.15, 0, ts), 3, "the request in flight at target 3 started too long ago")
}

// TestLikelyHealthyTargetIsUsed: some instance chooses a probably healthy target that has not been used
// for 2 s, though others have open connections and a better estimate.
func TestLikelyHealthyTargetIsUsed(t *testing.T) {
	ts := candidates(8)
	ts[5].FailureProbability, ts[5].SinceUse, ts[5].HasConn = 0.05, 2*time.Second, false
	taken := 0
	for i := range 40 {
		best, _ := chooser(fleet.InstanceID(fmt.Sprint("i", i))).Choose(Work{ZoneTargets: 8}, ts)
		if best == 5 {
			taken++
		}
	}
	assert.Assert(t, taken > 0)
}

// TestFloorCountsLikelyHealthyTargets: a trial of a target that is almost certainly unhealthy would only
// be one more failure.
func TestFloorCountsLikelyHealthyTargets(t *testing.T) {
	ts := candidates(10)
	for i := range 5 {
		ts[i].UnhealthyProbability, ts[i].SinceStart = 0.9, 3*time.Second
	}
	assert.Equal(t, chooser("i").FloorTarget(0.15, 0, ts), -1, "half of the targets are unused and unhealthy")
	for i := range 5 {
		ts[i].UnhealthyProbability = 0.3
	}
	assert.Assert(t, chooser("i").FloorTarget(0.15, 0, ts) >= 0, "half of the targets are unused and likely healthy")
}

func TestFloorSkipsTargetsOfOtherZones(t *testing.T) {
	ts := candidates(10)
	for i := range 6 {
		ts[i].SinceStart, ts[i].ZoneResponsible = 5*time.Second, false
	}
	assert.Equal(t, chooser("i").FloorTarget(0.15, 0, ts), -1)
}

// TestFloorCountsAllZones: few of a zone's targets may be in use while all zones together use enough.
func TestFloorCountsAllZones(t *testing.T) {
	ts := candidates(12)
	for i := range 12 {
		ts[i].ZoneResponsible = i < 4
	}
	ts[0].SinceStart, ts[1].SinceStart = 3*time.Second, 3*time.Second
	assert.Equal(t, chooser("i").FloorTarget(0.15, 0, ts), -1, "ten of twelve are in use")
	for i := 6; i < 10; i++ {
		ts[i].SinceStart = 3 * time.Second
	}
	assert.Assert(t, chooser("i").FloorTarget(0.15, 0, ts) >= 0, "six of twelve are in use, two of four that this zone is responsible for")
}

// TestInstancesTryDifferentFloorTargets covers the start of traffic, when no target has been used and all
// instances have the same information. Some instance is responsible for each target, and no target is
// tried by most instances.
func TestInstancesTryDifferentFloorTargets(t *testing.T) {
	for _, size := range []struct{ instances, targets int }{{12, 5}, {43, 80}, {58, 72}, {184, 225}} {
		ts := candidates(size.targets)
		for i := range ts {
			ts[i].UnhealthyProbability, ts[i].SinceStart = 0.17+0.001*float64(i%3), time.Hour
		}
		tried, responsible := map[int]int{}, map[int]int{}
		for i := range size.instances {
			c := chooser(fleet.InstanceID(fmt.Sprint("i", i)))
			tried[c.FloorTarget(0.15, size.targets, ts)]++
			for n := range ts {
				if c.responsibleFor(&ts[n], size.targets) {
					responsible[n]++
				}
			}
		}
		assert.Assert(t, tried[-1] == 0, "%d instances", size.instances)
		for target, n := range tried {
			assert.Assert(t, n <= max(size.instances/4, 7), "target %d is tried by %d of %d instances at the same time", target, n, size.instances)
		}
		for n := range ts {
			assert.Assert(t, responsible[n] > 0, "none of %d instances is responsible for target %d", size.instances, n)
		}
	}
}

// TestInstancesSpread: instances with the same information must not all choose the same target.
func TestInstancesSpread(t *testing.T) {
	ts := candidates(10)
	used := map[int]int{}
	for i := range 100 {
		best, _ := chooser(fleet.InstanceID(fmt.Sprint("i", i))).Choose(Work{}, ts)
		used[best]++
	}
	assert.Assert(t, len(used) >= 9, used)
	for i, n := range used {
		assert.Assert(t, n < 25, "target %d: %d of 100", i, n)
	}
}

// BenchmarkChoose chooses among the targets of one service, of all services of a large deployment, and
// of a much larger one.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{36, 386, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := chooser("i")
			ts := candidates(n)
			for b.Loop() {
				c.Choose(Work{KB: 1}, ts)
			}
		})
	}
}

// TestLargeZoneKeepsRequestsLocal guards against needless cross-zone traffic in zones with many more
// targets than an instance has homes. With 358 targets in five zones, 137 MB crossed zones on a day of heavy
// load, and on a quiet one a third of the bookings and half of the lookups did. An instance has 8 homes among
// the 71 targets of its zone, and the excess went to targets of other zones that were early in its
// preference order, or whose use had not been reported to it for a second.
//
// Three in ten targets are unhealthy, and the instances place bookings at a usual load of 1.3 requests in
// flight per target, all of them reported. They receive few reports of use in other zones.
func TestLargeZoneKeepsRequestsLocal(t *testing.T) {
	testLargeZone(t, 58, 71)   // in a fleet of 293 instances
	testLargeZone(t, 184, 225) // in a fleet of 920 instances
}

func testLargeZone(t *testing.T, instances, perZone int) {
	t.Helper()
	const (
		zones  = 5
		rounds = 4000
	)
	inFlight := perZone * 90 / 71 // of all instances of the zone
	rng := rand.New(rand.NewPCG(1, 2))
	var ts []Candidate
	for i := range zones * perZone {
		c := Candidate{ID: fleet.TargetID(fmt.Sprint("t", i)), Zone: fleet.Zone(fmt.Sprint(i / perZone)), Slots: 4, UnhealthyProbability: 0.01, FailureProbability: 0.02}
		c.ZoneResponsible, c.HasConn = c.Zone == "0", true
		if rng.Float64() < 0.3 {
			c.UnhealthyProbability, c.FailureProbability = 0.9, 0.8
		}
		if !c.ZoneResponsible && i%3 > 0 {
			c.SinceUse = 2 * time.Second
		}
		ts = append(ts, c)
	}
	work := Work{KB: 5, ZoneTargets: perZone, TypicalTime: 550 * time.Millisecond, Objective: 2500 * time.Millisecond}
	var running []int
	crossed, maxInFlight := 0, 0
	for n := range rounds {
		c := &Chooser{Weights: DefaultWeights(), Self: fleet.InstanceID(fmt.Sprint("i", n%instances)), Zone: "0", Random: rng.Float64}
		i, _ := c.Choose(work, ts)
		if !ts[i].ZoneResponsible {
			crossed++
		}
		ts[i].InFlight++
		maxInFlight = max(maxInFlight, ts[i].InFlight)
		running = append(running, i)
		if len(running) > inFlight {
			ts[running[0]].InFlight--
			running = running[1:]
		}
	}
	t.Logf("%d of %d requests crossed zones, at most %d in flight at a target", crossed, rounds, maxInFlight)
	assert.Assert(t, crossed*20 < rounds, "%d of %d", crossed, rounds)
	expected := time.Duration(maxInFlight+1) * work.TypicalTime / 4
	assert.Assert(t, expected < work.Objective/2, "the longest queue takes %v", expected)
}
