package rejection

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
)

var (
	start = time.Unix(1000, 0)
	key   = Key{Service: "s", Zone: "a"}
	zones = []fleet.Zone{"a"}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// record records attempts at seven targets, one every 10 ms, of which every nth is rejected; none if nth is 0.
func record(t *Table, fromMillis, untilMillis, nth int) {
	for ms := fromMillis; ms < untilMillis; ms += 10 {
		n := ms / 10
		t.Record(at(ms), key, fleet.TargetID(fmt.Sprint(n%7)), nth > 0 && n%nth == 0)
	}
}

func TestBeliefFollowsRejections(t *testing.T) {
	var changes []Change
	table := NewTable(func(c Change) { changes = append(changes, c) })
	record(table, 0, 1000, 0)
	assert.Assert(t, !table.State("s", zones).Wide)
	record(table, 1000, 3000, 3)
	s := table.State("s", zones)
	assert.Assert(t, s.Wide && s.Accepted > 0.6 && s.Accepted < 0.75, "%+v", s)
	record(table, 3000, 3400, 0)
	assert.DeepEqual(t, table.State("s", zones), State{Accepted: 1})
	assert.Equal(t, len(changes), 2, "%+v", changes)
	assert.Assert(t, changes[0].Rejecting && !changes[1].Rejecting)
	record(table, 3400, 5000, 0)
	assert.Equal(t, len(changes), 2, "%+v", changes)
}

// TestSingleTargetIsNotService: one target that rejects all of its requests, a third of the load, is not its service.
func TestSingleTargetIsNotService(t *testing.T) {
	table := NewTable(nil)
	for ms := 0; ms < 3000; ms += 10 {
		n := ms / 10 % 3
		table.Record(at(ms), key, fleet.TargetID(fmt.Sprint(n)), n == 0)
		assert.Assert(t, !table.State("s", zones).Wide)
	}
}

func TestOnlyAllZonesTogetherAreWide(t *testing.T) {
	table := NewTable(nil)
	record(table, 0, 1000, 2)
	both := []fleet.Zone{"a", "b"}
	s := table.State("s", both)
	assert.Assert(t, !s.Wide)
	assert.DeepEqual(t, s.Rejecting, zones)
	assert.Equal(t, s.Accepted, 1.0, "nothing speaks against the other zone")
	assert.Assert(t, !table.State("other", both).Wide)
	assert.Assert(t, !table.State("s", nil).Wide)
}

// TestBeliefExpires: an instance that hears nothing, from its own attempts or others, tries again.
func TestBeliefExpires(t *testing.T) {
	table := NewTable(nil)
	record(table, 0, 1000, 2)
	assert.Assert(t, table.State("s", zones).Wide)
	table.Tick(at(2000))
	assert.Assert(t, table.State("s", zones).Wide)
	table.Tick(at(4100))
	assert.Assert(t, !table.State("s", zones).Wide)
	table.Tick(at(9000))
	assert.Equal(t, len(table.beliefs)+len(table.own), 0)
}

func rejectingReport() Report {
	r := Report{Key: key, Tried: 7, Rejecting: 7}
	for i := range r.Slots {
		r.Slots[i] = Counts{Attempts: 2, Rejections: 1}
	}
	return r
}

func TestReportsOfOthersCount(t *testing.T) {
	table := NewTable(nil)
	table.Apply(start, Sender{Name: "p", Boot: 1, Sequence: 1}, []Report{rejectingReport()})
	assert.Assert(t, table.State("s", zones).Wide)
	assert.Equal(t, len(table.Own(start)), 0, "an instance reports only what it saw")
}

// TestDuplicateAndLateReportsAreHarmless: reports replace each other, those of an earlier datagram or process do not.
func TestDuplicateAndLateReportsAreHarmless(t *testing.T) {
	table := NewTable(nil)
	one := Report{Key: key, Tried: 3, Rejecting: 3}
	one.Slots[0] = Counts{Attempts: 2, Rejections: 2}
	for range 10 {
		table.Apply(start, Sender{Name: "p", Boot: 1, Sequence: 5}, []Report{one})
	}
	assert.Equal(t, table.ZoneReports(start)["s"][0].Rejections, 2)
	table.Apply(start, Sender{Name: "p", Boot: 1, Sequence: 4}, []Report{rejectingReport()})
	table.Apply(start, Sender{Name: "p", Boot: 0, Sequence: 9}, []Report{rejectingReport()})
	assert.Equal(t, table.ZoneReports(start)["s"][0].Rejections, 2)
	table.Apply(start, Sender{Name: "p", Boot: 2, Sequence: 1}, nil)
	assert.Equal(t, table.ZoneReports(start)["s"][0].Rejections, 0, "a new process has seen nothing")
}

func TestSilentSendersAgeOut(t *testing.T) {
	table := NewTable(nil)
	table.Apply(start, Sender{Name: "p", Boot: 1, Sequence: 1}, []Report{rejectingReport()})
	table.Tick(at(5000))
	assert.Equal(t, len(table.senders)+len(table.beliefs), 0)
}

func TestInvalidReportsAreIgnored(t *testing.T) {
	for _, c := range []Counts{{-1, 0}, {1, 2}, {5, -5}, {1 << 30, 1}} {
		r := rejectingReport()
		r.Slots[3] = c
		table := NewTable(nil)
		table.Apply(start, Sender{Name: "p", Boot: 1, Sequence: 1}, []Report{r})
		assert.Assert(t, !table.State("s", zones).Wide, "%+v", c)
	}
	late := rejectingReport()
	late.Elapsed = -time.Second
	table := NewTable(nil)
	table.Apply(start, Sender{Name: "p", Boot: 1, Sequence: 1}, []Report{late})
	assert.Assert(t, !table.State("s", zones).Wide)
}

func TestReportsAreBounded(t *testing.T) {
	table := NewTable(nil)
	for i := range 3 * MaxReports {
		table.Record(start, Key{Service: key.Service, Zone: fleet.Zone(fmt.Sprint(i))}, "t", true)
	}
	assert.Equal(t, len(table.Own(start)), MaxReports)
	assert.Equal(t, len(table.Summary(start)), MaxReports)
}

// zoneModel is one zone of a fleet whose targets reject every attempt with the same probability.
type zoneModel struct {
	rng       *rand.Rand
	tables    []*Table
	sequences []uint64
	interval  time.Duration
	rate      float64
	lossRate  float64
	phase     []time.Duration
}

func newZoneModel(seed uint64, instances int, rate, lossRate float64) *zoneModel {
	// These are the intervals of heartbeats of package mesh.
	const minInterval, perMember, maxInterval = 300 * time.Millisecond, 24 * time.Millisecond, 1400 * time.Millisecond
	z := &zoneModel{rng: rand.New(rand.NewPCG(seed, 5)), rate: rate, lossRate: lossRate, interval: min(max(minInterval, time.Duration(instances)*perMember), maxInterval), sequences: make([]uint64, instances)}
	for range instances {
		z.tables = append(z.tables, NewTable(nil))
		z.phase = append(z.phase, time.Duration(z.rng.Int64N(int64(z.interval))))
	}
	return z
}

const modelStep = 10 * time.Millisecond

// step makes the attempts and sends the heartbeats of one step.
func (z *zoneModel) step(now time.Time, share float64) {
	for i, t := range z.tables {
		if z.rng.Float64() < z.rate*modelStep.Seconds() {
			t.Record(now, key, fleet.TargetID(fmt.Sprint(z.rng.IntN(12))), z.rng.Float64() < share)
		}
		if z.phase[i] -= modelStep; z.phase[i] > 0 {
			continue
		}
		z.phase[i] += z.interval
		z.sequences[i]++
		reports := t.Own(now)
		for j, other := range z.tables {
			if j != i && z.rng.Float64() >= z.lossRate {
				other.Apply(now, Sender{Name: fmt.Sprint(i), Boot: 1, Sequence: z.sequences[i]}, reports)
			}
		}
	}
}

func (z *zoneModel) rejecting() int {
	n := 0
	for _, t := range z.tables {
		if t.State("s", zones).Wide {
			n++
		}
	}
	return n
}

// halfUntil runs the model until at least half of the instances have the wanted belief, and returns how long it took.
func (z *zoneModel) halfUntil(now time.Time, share float64, rejecting bool) time.Duration {
	for took := time.Duration(0); ; took += modelStep {
		z.step(now.Add(took), share)
		if n := z.rejecting(); rejecting == (2*n >= len(z.tables)) || took > 5*time.Second {
			return took
		}
	}
}

// TestEndIsNoticedSoon names the pattern: a service that rejects 0.55 of all attempts for 8.5 s, then 0.03. It ends for half of
// the instances of a zone within about 0.3 s, in fleets of three zones, and hardly ends before.
func TestEndIsNoticedSoon(t *testing.T) {
	for _, tc := range []struct {
		instances       int
		rate, lossRate  float64
		maxMean, maxAny time.Duration
	}{
		{15, 12, 0, 300 * time.Millisecond, 600 * time.Millisecond},
		{40, 5, 0, 350 * time.Millisecond, 700 * time.Millisecond},
		{40, 5, 0.3, 450 * time.Millisecond, 900 * time.Millisecond},
	} {
		var noticed, ended, worst time.Duration
		early, samples := 0, 0
		const seeds = 5
		for seed := range uint64(seeds) {
			z := newZoneModel(seed, tc.instances, tc.rate, tc.lossRate)
			now := start
			for ; now.Before(at(2000)); now = now.Add(modelStep) {
				z.step(now, 0.03)
				assert.Equal(t, z.rejecting(), 0)
			}
			noticed += z.halfUntil(now, 0.55, true)
			now = now.Add(2 * time.Second)
			for end := now.Add(6500 * time.Millisecond); now.Before(end); now = now.Add(modelStep) {
				z.step(now, 0.55)
				early += tc.instances - z.rejecting()
				samples += tc.instances
			}
			took := z.halfUntil(now, 0.03, false)
			ended += took
			worst = max(worst, took)
		}
		t.Logf("%d instances, %g requests/s each, loss %g: begin noticed after %v, end after %v (at most %v), %.4f of the time believed to have ended", tc.instances, tc.rate, tc.lossRate,
			noticed/seeds, ended/seeds, worst, float64(early)/float64(samples))
		assert.Assert(t, ended/seeds <= tc.maxMean, "%v", ended/seeds)
		assert.Assert(t, worst <= tc.maxAny, "%v", worst)
		assert.Assert(t, float64(early)/float64(samples) < 0.03)
	}
}
