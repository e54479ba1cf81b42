package suspicion

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
)

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(seconds(s)) }

func TestOneFailureAfterSilenceIsSuspicious(t *testing.T) {
	e := New()
	e.Observe(at(0), "a", Good, at(0))
	_, after, c := e.Observe(at(10), "a", Bad, at(10))
	assert.Assert(t, after > 0.8, after)
	assert.Equal(t, c, NowSuspected)
	assert.Assert(t, e.Sick(at(22), "a") < 0.4, "trust returns with time")
}

func TestAFailureAmongSuccessesWeighsLess(t *testing.T) {
	e := New()
	for n := range 20 {
		e.Observe(at(float64(n)/10), "a", Good, at(float64(n)/10))
	}
	_, after, _ := e.Observe(at(2), "a", Bad, at(2))
	assert.Assert(t, after < Suspected, after)
	_, after, _ = e.Observe(at(2.1), "a", Bad, at(2.1))
	assert.Assert(t, after > 0.9, after)
}

func TestWorkBegunBeforeAFailureClearsNothing(t *testing.T) {
	e := New()
	_, bad, _ := e.Observe(at(1), "a", Bad, at(0.9))
	_, after, _ := e.Observe(at(1.2), "a", Good, at(0.8))
	assert.Assert(t, bad-after < 0.1)
	_, after, c := e.Observe(at(1.6), "a", Good, at(1.2))
	assert.Assert(t, bad-after > 0.2)
	_, _, second := e.Observe(at(1.9), "a", Good, at(1.6))
	assert.Assert(t, c == NowCleared || second == NowCleared)
}

// Rates of other deployments must be found, whatever the priors say.
func TestRatesAreLearned(t *testing.T) {
	const bout, spell, sickFails, soundFails = 1.0, 40.0, 0.5, 0.03
	rng := rand.New(rand.NewPCG(1, 2))
	e := New()
	ids := []fleet.TargetID{"a", "b", "c", "d", "e", "f", "g", "h"}
	sick := map[fleet.TargetID]bool{}
	now := 0.0
	for range 60000 {
		now += 0.01
		id := ids[rng.IntN(len(ids))]
		rate := 1 / spell
		if sick[id] {
			rate = 1 / bout
		}
		if rng.Float64() < rate*0.01*float64(len(ids)) {
			sick[id] = !sick[id]
		}
		fails := soundFails
		if sick[id] {
			fails = sickFails
		}
		o := Good
		if rng.Float64() < fails {
			o = Bad
		}
		e.Observe(at(now), id, o, at(now))
	}
	r := e.Rates()
	assert.Assert(t, r.SoundFails > 0.015 && r.SoundFails < 0.045, "%+v", r)
	assert.Assert(t, r.SickFails > 0.3 && r.SickFails < 0.8, "%+v", r)
	assert.Assert(t, r.Bout > 300*time.Millisecond && r.Bout < 3*time.Second, "%+v", r)
	assert.Assert(t, r.Spell > 10*time.Second, "%+v", r)
}

// TestQuickFailuresAreToldApart lets sick targets fail at once and sound ones after
// their work: a sound target's failure must not set it aside, a sick one's must.
func TestQuickFailuresAreToldApart(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	e := New()
	ids := []fleet.TargetID{"a", "b", "c", "d", "e", "f"}
	now := 0.0
	for range 4000 {
		now += 0.02
		i := rng.IntN(len(ids))
		sick := int(now/4)%len(ids) == i
		o := Good
		switch {
		case sick && rng.Float64() < 0.8:
			o = Quick
		case rng.Float64() < 0.012:
			o = Bad
		}
		e.Observe(at(now), ids[i], o, at(now))
	}
	for n := range 4 {
		e.Observe(at(now+float64(n)), "g", Good, at(now+float64(n)))
		e.Observe(at(now+float64(n)), "h", Good, at(now+float64(n)))
	}
	_, slow, _ := e.Observe(at(now+5), "g", Bad, at(now+5))
	_, quick, _ := e.Observe(at(now+5), "h", Quick, at(now+5))
	assert.Assert(t, slow < Suspected, "after a failure that took its time: %.3f, %+v", slow, e.Rates())
	assert.Assert(t, quick > 0.9, "after a quick one: %.3f, %+v", quick, e.Rates())
}

// A break on a connection that rested says much of the target where connections are
// rarely forgotten, and little where they often are.
func TestARestedBreakWeighsByHowOftenConnectionsAreForgotten(t *testing.T) {
	after := func(stale float64) float64 {
		e := New()
		e.Observe(at(0), "a", Good, at(0))
		_, after, _ := e.ObserveRested(at(2), "a", stale)
		return after
	}
	assert.Assert(t, after(0.005) > Suspected, "%v", after(0.005))
	assert.Assert(t, after(0.3) < Cleared, "%v", after(0.3))
}

// A fresh instance takes over what others believe, and trusts its own eyes more.
func TestBeliefsAreTakenOverOnce(t *testing.T) {
	old, fresh := New(), New()
	old.Observe(at(0), "a", Bad, at(0))
	fresh.Observe(at(1), "b", Good, at(1))
	old.Observe(at(0), "b", Bad, at(0))
	old.Known(at(1), func(id fleet.TargetID, sick float64) { fresh.Adopt(at(1), id, sick) })
	assert.Equal(t, fresh.Sick(at(1), "a"), old.Sick(at(1), "a"))
	assert.Assert(t, fresh.Sick(at(1), "b") < Cleared)
	assert.Equal(t, fresh.Suspects(), 1)
}

// TestBoutsThatAreNotOverYetDoNotLengthenTheOthers: among 193 targets of which three in ten
// were in a bout of some 3 s at a time, the learned length of a bout went from 7 s to 33 s
// within 9 s of traffic, and among 358 to 94 s. Sick targets get no work, so that the end of a
// bout is seen only once trust has come back; the time between failures was counted at once.
// Targets that were sound again stayed unused, and less was seen of ends the longer bouts
// seemed.
//
// Each target here gets 2.8 attempts a second until it is suspected, and three failures as that
// happens, from instances that have not heard of each other.
func TestBoutsThatAreNotOverYetDoNotLengthenTheOthers(t *testing.T) {
	for _, targets := range []int{193, 358, 1124} { // of a service, at 134, 293 and 920 instances
		r := ratesAfterManyOnsets(targets)
		assert.Assert(t, r.Bout < 8*time.Second, "%d targets: %+v", targets, r)
		assert.Assert(t, r.Spell < 4*seconds(learnedSpell), "%d targets: %+v", targets, r)
	}
}

// learnedSpell is how long targets of ratesAfterManyOnsets are sound, in seconds.
const learnedSpell = 7.0

// ratesAfterManyOnsets returns what is learned of so many targets within 8 s.
func ratesAfterManyOnsets(targets int) Rates {
	const (
		bout      = 3.0
		perSecond = 2.8
		step      = 0.02
	)
	rng := rand.New(rand.NewPCG(5, 6))
	e := New()
	sick := make([]bool, targets)
	for now := 0.0; now < 8; now += step {
		for i := range sick {
			id := fleet.TargetID(fmt.Sprint("t", i))
			rate := 1 / learnedSpell
			if sick[i] {
				rate = 1 / bout
			}
			if rng.Float64() < rate*step {
				sick[i] = !sick[i]
			}
			if e.Sick(at(now), id) >= Suspected || rng.Float64() >= perSecond*step {
				continue
			}
			if !sick[i] {
				e.Observe(at(now), id, Good, at(now))
				continue
			}
			for n := range 3 {
				e.Observe(at(now+0.1*float64(n)), id, Quick, at(now))
			}
		}
	}
	return e.Rates()
}
