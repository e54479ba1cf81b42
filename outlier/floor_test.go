package outlier

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementinereel/clementinereel/fleet"
)

// history generates arbitrary events and applies them to a detector.
type history struct {
	t   *rapid.T
	d   *Detector
	ts  []fleet.Target
	now time.Time
}

func (h *history) record() {
	t := rapid.SampledFrom(h.ts).Draw(h.t, "target")
	res := rapid.SampledFrom([]fleet.TryResult{fleet.TryOK, fleet.TryTimeout, fleet.TryError,
		fleet.TryCold, fleet.TryDraining, fleet.TryShed, fleet.TryCanceled}).Draw(h.t, "result")
	latency := time.Duration(rapid.IntRange(1, 900).Draw(h.t, "ms")) * time.Millisecond
	for range rapid.IntRange(1, 40).Draw(h.t, "times") {
		h.d.Record(t.ID, res, latency)
	}
}

func drawVerdicts(t *rapid.T, ts []fleet.Target) Verdicts {
	v := Verdicts{
		From:   rapid.SampledFrom([]fleet.InstanceID{"a", "b"}).Draw(t, "from"),
		Number: rapid.Int64Range(1, 50).Draw(t, "number"),
	}
	for range rapid.IntRange(0, len(ts)).Draw(t, "entries") {
		v.Entries = append(v.Entries, Verdict{
			Target:    rapid.SampledFrom(ts).Draw(t, "target").ID,
			Zone:      rapid.SampledFrom([]fleet.Zone{"", "z0", "z1"}).Draw(t, "zone"),
			Phase:     rapid.SampledFrom([]Phase{Ejected, Trial, Returning, Warming, Draining}).Draw(t, "phase"),
			Remaining: time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second,
			Score:     rapid.IntRange(0, 3).Draw(t, "score"),
		})
	}
	return v
}

func (h *history) announce() {
	i := rapid.IntRange(0, len(h.ts)-1).Draw(h.t, "index")
	h.ts[i].State = rapid.SampledFrom([]fleet.TargetState{fleet.Joined, fleet.Leaving, fleet.Stopped}).Draw(h.t, "state")
	h.ts[i].Since = h.now
	h.d.SetTargets(h.now, h.ts)
}

// check verifies that the snapshot keeps the floor.
func (h *history) check(s *Snapshot) {
	joined, usable, full := 0, 0, 0
	for _, target := range h.d.targets {
		if target.target.State != fleet.Joined {
			assert.Equal(h.t, s.Weight(target.target.ID), 0.0)
			continue
		}
		joined++
		if h.d.warming(target, h.now) || h.now.Sub(target.drainingAt) < drainTTL {
			continue
		}
		usable++
		if s.Weight(target.target.ID) == 1 {
			full++
		}
	}
	least := min(minFullTargets(h.d.cfg.FloorPercent, joined), usable)
	assert.Assert(h.t, full >= least, "%d of %d usable in full use, want %d", full, usable, least)
}

func TestFloorHoldsInEveryHistory(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig(rapid.Float64Range(0, 1).Draw(t, "weight"))
		cfg.FloorPercent = rapid.IntRange(1, 100).Draw(t, "floor")
		h := &history{t: t, d: NewDetector(cfg, "i", "z0"), ts: testTargets(rapid.IntRange(1, 12).Draw(t, "targets")), now: epoch}
		h.d.SetTargets(h.now, h.ts)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				h.announce()
			case 1:
				h.d.ApplyVerdicts(h.now, drawVerdicts(t, h.ts))
			case 2:
				h.now = h.now.Add(time.Duration(rapid.IntRange(50, 5000).Draw(t, "ms")) * time.Millisecond)
			default:
				h.record()
			}
			h.now = h.now.Add(100 * time.Millisecond)
			h.check(h.d.Tick(h.now).Snapshot)
		}
	})
}

func TestSameEjectionsSameTargetsGivenBack(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		ts := testTargets(10)
		x, y := NewDetector(testConfig(0.5), "x", "z0"), NewDetector(testConfig(0.5), "y", "z0")
		x.SetTargets(epoch, ts)
		y.SetTargets(epoch, ts)
		a, b := drawVerdicts(t, ts), drawVerdicts(t, ts)
		a.From, b.From = "a", "b"
		x.ApplyVerdicts(epoch, a)
		x.ApplyVerdicts(epoch, b)
		y.ApplyVerdicts(epoch, b)
		y.ApplyVerdicts(epoch, a)
		assert.Assert(t, x.Tick(epoch).Snapshot.equal(y.Tick(epoch).Snapshot))
	})
}

// TestAggregatorKeepsFloor accuses every target except one, in turn.
func TestAggregatorKeepsFloor(t *testing.T) {
	t.Parallel()
	a := NewAggregator(testConfig(0), "agg")
	a.SetTargets(testTargets(10))
	for i := range 9 {
		a.eject(epoch, charge{index: i})
	}
	assert.Equal(t, len(a.Verdicts(epoch).Entries), 3)
}
