package outlier

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
)

const onset = 20 * time.Second

func testConfig(weight float64) Config {
	return Config{
		FalseEjectionWeight: weight, BaseEjection: DefaultBaseEjection, MaxEjection: DefaultMaxEjection,
		SlowStart: DefaultSlowStart, FloorPercent: DefaultFloorPercent, Slots: 4,
	}
}

// failTarget3 makes a share of the tries at target 3 time out from onset on.
func failTarget3(f *fakeFleet, share float64) {
	f.answer = func(_ fleet.Zone, _, t int, at time.Duration) (fleet.TryResult, time.Duration) {
		if t == 3 && at >= onset && f.rng.Float64() < share {
			return fleet.TryTimeout, fakeTimeout
		}
		return fleet.TryOK, 0
	}
}

// everywhere reports whether target 3 is in phase p on every detector.
func (f *fakeFleet) everywhere(p Phase) bool {
	for _, d := range f.detectors {
		if d.snapshot.Status("t03").Phase != p {
			return false
		}
	}
	return true
}

func (f *fakeFleet) runUntil(limit time.Duration, done func() bool) time.Duration {
	from := f.now
	for f.now.Sub(from) < limit && !done() {
		f.run(fakeTick)
	}
	return f.now.Sub(from)
}

func TestUnhealthyTargetIsEjectedEverywhere(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		targets int
		rate    float64
		weight  float64
		share   float64
		within  time.Duration
	}{
		{"all tries, speed", 12, 240, 0, 1, 1500 * time.Millisecond},
		{"all tries, balanced", 10, 240, 0.5, 1, 1500 * time.Millisecond},
		{"all tries, caution", 6, 100, 1, 1, 2500 * time.Millisecond},
		{"a third", 10, 240, 0.5, 0.3, 5 * time.Second},
		{"a tenth", 10, 240, 0.5, 0.1, 10 * time.Second},
		{"all tries, little traffic", 6, 4, 0.5, 1, 15 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				f := newFakeFleet(testConfig(c.weight), 40, c.targets, c.rate, seed)
				failTarget3(f, c.share)
				f.run(onset)
				took := f.runUntil(c.within, func() bool { return f.everywhere(Ejected) })
				assert.Assert(t, f.everywhere(Ejected), "not within %v", took)
				assert.Equal(t, len(f.ejected), 1)
			}
		})
	}
}

func TestNoFalseEjections(t *testing.T) {
	t.Parallel()
	slow := func(f *fakeFleet, factor float64) (fleet.TryResult, time.Duration) {
		return fleet.TryOK, time.Duration(factor * float64(f.usual()))
	}
	for _, c := range []struct {
		name   string
		answer func(f *fakeFleet, target int, at time.Duration) (fleet.TryResult, time.Duration)
	}{
		{"no fault", func(f *fakeFleet, _ int, _ time.Duration) (fleet.TryResult, time.Duration) {
			return fleet.TryOK, 0
		}},
		{"one in 200 fails everywhere", func(f *fakeFleet, _ int, _ time.Duration) (fleet.TryResult, time.Duration) {
			if f.rng.Float64() < 0.005 {
				return fleet.TryError, 0
			}
			return fleet.TryOK, 0
		}},
		{"the whole service fails", func(f *fakeFleet, _ int, at time.Duration) (fleet.TryResult, time.Duration) {
			if at >= onset {
				return fleet.TryTimeout, fakeTimeout
			}
			return fleet.TryOK, 0
		}},
		{"the whole service is slow", func(f *fakeFleet, _ int, at time.Duration) (fleet.TryResult, time.Duration) {
			if at >= onset {
				return slow(f, 5)
			}
			return fleet.TryOK, 0
		}},
		{"a full target sheds", func(f *fakeFleet, target int, at time.Duration) (fleet.TryResult, time.Duration) {
			if target == 3 && at >= onset && f.rng.Float64() < 0.7 {
				return fleet.TryShed, time.Millisecond
			}
			return fleet.TryOK, 0
		}},
		{"a target restarts and is cold", func(f *fakeFleet, target int, at time.Duration) (fleet.TryResult, time.Duration) {
			if target == 3 && at >= onset && at < onset+200*time.Millisecond {
				return fleet.TryCold, time.Millisecond
			}
			if target == 3 && at >= onset && at < onset+5*time.Second {
				return slow(f, 5)
			}
			return fleet.TryOK, 0
		}},
		{"a target drains", func(f *fakeFleet, target int, at time.Duration) (fleet.TryResult, time.Duration) {
			if target == 3 && at >= onset {
				return fleet.TryDraining, time.Millisecond
			}
			return fleet.TryOK, 0
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, w := range []float64{0, 1} {
				f := newFakeFleet(testConfig(w), 40, 10, 240, 7)
				f.answer = func(_ fleet.Zone, _, target int, at time.Duration) (fleet.TryResult, time.Duration) {
					return c.answer(f, target, at)
				}
				f.run(onset + 20*time.Second)
				assert.Equal(t, len(f.ejected), 0, "weight %v: %v", w, f.ejected)
			}
		})
	}
}

func TestSlowTargetIsEjected(t *testing.T) {
	t.Parallel()
	f := newFakeFleet(testConfig(0.5), 40, 10, 240, 1)
	f.answer = func(_ fleet.Zone, _, target int, at time.Duration) (fleet.TryResult, time.Duration) {
		if target == 3 && at >= onset {
			return fleet.TryOK, 5 * f.usual()
		}
		return fleet.TryOK, 0
	}
	f.run(onset)
	f.runUntil(5*time.Second, func() bool { return f.everywhere(Ejected) })
	assert.Assert(t, f.everywhere(Ejected))
	assert.Equal(t, f.detectors[0].snapshot.Status("t03").Reason, ReasonSlow)
}

func TestScopeMatchesAffectedObservers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		cut   func(zone fleet.Zone, instance int) bool
		scope Scope
	}{
		{"one zone", func(z fleet.Zone, _ int) bool { return z == "z1" }, ScopeZone},
		{"one instance", func(_ fleet.Zone, i int) bool { return i == 4 }, ScopeInstance},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFakeFleet(testConfig(0.5), 40, 10, 400, 1)
			f.answer = func(z fleet.Zone, i, target int, at time.Duration) (fleet.TryResult, time.Duration) {
				if target == 3 && at >= onset && c.cut(z, i) {
					return fleet.TryTimeout, fakeTimeout
				}
				return fleet.TryOK, 0
			}
			f.run(onset)
			f.runUntil(20*time.Second, func() bool { return f.detectors[4].snapshot.Status("t03").Phase == Ejected })
			assert.Equal(t, f.detectors[4].snapshot.Status("t03").Scope, c.scope)
			f.run(20 * time.Second)
			for i, d := range f.detectors {
				if !c.cut(f.zones[i], i) {
					assert.Equal(t, d.snapshot.Weight("t03"), 1.0, "instance %d", i)
				}
			}
			assert.Equal(t, len(f.ejected), 1)
		})
	}
}

func TestPartitionedInstanceSuspectsItself(t *testing.T) {
	t.Parallel()
	f := newFakeFleet(testConfig(0.5), 40, 10, 400, 1)
	f.answer = func(_ fleet.Zone, i, target int, at time.Duration) (fleet.TryResult, time.Duration) {
		if i == 4 && target < 6 && at >= onset {
			return fleet.TryTimeout, fakeTimeout
		}
		return fleet.TryOK, 0
	}
	f.run(onset + 20*time.Second)
	assert.Assert(t, f.detectors[4].suspect)
	assert.Assert(t, len(f.detectors[4].snapshot.entries) == 10)
	for _, d := range f.detectors[5:] {
		assert.Equal(t, d.snapshot.Weight("t03"), 1.0)
	}
}

func TestDetectionWithoutAggregator(t *testing.T) {
	t.Parallel()
	f := newFakeFleet(testConfig(0.5), 40, 10, 400, 1)
	f.deliver = func(int) bool { return false }
	failTarget3(f, 1)
	f.run(onset)
	f.runUntil(30*time.Second, func() bool { return f.everywhere(Ejected) })
	ejected := 0
	for _, d := range f.detectors {
		if d.snapshot.Status("t03").Phase != InUse {
			ejected++
		}
	}
	assert.Assert(t, ejected > 35, "%d instances", ejected)
	assert.Equal(t, len(f.ejected), 1)
}

func TestEjectionTimeDoublesAndTargetReturns(t *testing.T) {
	t.Parallel()
	f := newFakeFleet(testConfig(0.5), 40, 10, 240, 1)
	failTarget3(f, 1)
	f.run(onset + 40*time.Second)
	ejection := f.aggregator.cases[3].ejections[0]
	assert.Assert(t, ejection.level >= 2, "level %d", ejection.level)
	f.answer = func(fleet.Zone, int, int, time.Duration) (fleet.TryResult, time.Duration) { return fleet.TryOK, 0 }
	f.runUntil(2*time.Minute, func() bool { return f.everywhere(InUse) })
	assert.Assert(t, f.everywhere(InUse))
	assert.Equal(t, f.detectors[0].snapshot.Weight("t03"), 1.0)
	assert.Equal(t, f.detectors[0].active, false)
}

func TestVerdictsExpireWithoutAggregator(t *testing.T) {
	t.Parallel()
	d := NewDetector(testConfig(0.5), "i", "z0")
	d.SetTargets(epoch, testTargets(10))
	d.Tick(epoch)
	v := Verdicts{From: "a", Number: 2, Entries: []Verdict{{Target: "t03", Phase: Ejected, Remaining: 10 * time.Second}}}
	d.ApplyVerdicts(epoch, v)
	d.ApplyVerdicts(epoch, Verdicts{From: "a", Number: 1})
	d.ApplyVerdicts(epoch, Verdicts{From: "b", Number: 9})
	for _, c := range []struct {
		at     time.Duration
		phase  Phase
		weight float64
	}{
		{0, Ejected, 0}, {9 * time.Second, Ejected, 0}, {12 * time.Second, Trial, trialWeight},
		{16 * time.Second, Returning, 0.15625}, {26 * time.Second, InUse, 1},
	} {
		s := d.Tick(epoch.Add(c.at)).Snapshot
		assert.Equal(t, s.Status("t03").Phase, c.phase, "at %v", c.at)
		assert.Equal(t, s.Weight("t03"), c.weight, "at %v", c.at)
	}
}

func TestRepeatedReportsCountOnce(t *testing.T) {
	t.Parallel()
	report := func(seq uint64, good, failed uint32) Report {
		return Report{From: "i", Zone: "z0", Session: 5, Seq: seq,
			Targets: []TargetCounts{{Target: "t01", Counts: Counts{Good: good, Fast: good, Failed: failed}}}}
	}
	a := NewAggregator(testConfig(0.5), "agg")
	a.SetTargets(testTargets(3))
	for _, r := range []Report{report(1, 10, 1), report(1, 10, 1), report(3, 30, 2), report(2, 20, 1), report(3, 30, 2)} {
		v := a.Fold(epoch, r)
		assert.Assert(t, v.Ack >= r.Seq)
	}
	a.Tick(epoch)
	assert.Equal(t, a.judge.rows[1].total[failure], tally{good: 30, bad: 2})
	late := report(9, 1000, 50)
	late.Session, late.Acked = 7, 8
	a.Fold(epoch, late)
	a.Tick(epoch)
	assert.Equal(t, a.judge.rows[1].total[failure], tally{good: 30, bad: 2})
}

func TestLostReportIsCompensated(t *testing.T) {
	t.Parallel()
	d, a := NewDetector(testConfig(0.5), "i", "z0"), NewAggregator(testConfig(0.5), "agg")
	d.SetTargets(epoch, testTargets(3))
	a.SetTargets(testTargets(3))
	now := epoch
	for n := range 6 {
		d.Record("t01", fleet.TryError, time.Millisecond)
		now = now.Add(time.Second)
		r := d.Tick(now).Report
		assert.Assert(t, r != nil)
		if n%3 != 0 {
			d.ApplyVerdicts(now, a.Fold(now, *r))
		}
	}
	a.Tick(now)
	assert.Equal(t, a.judge.rows[1].total[failure].bad, 6.0)
	now = now.Add(time.Hour)
	assert.Assert(t, d.Tick(now).Report == nil)
}
