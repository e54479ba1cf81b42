package suspicion

import (
	"math"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Observation is what one attempt said of its target.
type Observation uint8

const (
	// Good is a success.
	Good Observation = iota + 1
	// Bad is an answer of failure, a reset or a cut or forged answer.
	Bad
	// Slow is an attempt that is open for longer than nearly all others.
	Slow
	// Unreachable is a connection that did not come about.
	Unreachable
	// Rested is a break that came at once on a connection that had been idle: the
	// target may be sick, or may have forgotten the connection.
	Rested
	// Down is a connection that was refused: no process listens.
	Down
	// Elsewhere is an answer by another target at the address.
	Elsewhere
	// Quick is a failure that came much sooner than work takes: the target failed
	// it without trying. A sound target's failures take as long as its work.
	Quick
)

var observationNames = map[Observation]string{
	Good: "good", Bad: "bad", Slow: "slow", Unreachable: "unreachable", Rested: "rested-break",
	Down: "down", Elsewhere: "elsewhere", Quick: "quick-failure",
}

// String names the observation as logs write it.
func (o Observation) String() string { return observationNames[o] }

// Failed tells whether the observation is a failure that the target answered with.
func (o Observation) Failed() bool { return o == Bad || o == Quick }

// quickShare is the part of the usual duration below which a failure did not come from
// the work itself.
const quickShare = 0.15

// Failure is the observation of a failure that came after the given time, where work
// usually takes so long.
func Failure(took, usual time.Duration) Observation {
	if float64(took) < quickShare*float64(usual) {
		return Quick
	}
	return Bad
}

// Priors of the learned rates. The pseudo counts are small, so that some tens of
// observations outweigh them.
const (
	priorSickFails   = 0.8
	priorSickCount   = 20
	priorSoundFails  = 0.015
	priorSoundCount  = 200
	priorSickQuick   = 0.3
	priorSoundQuick  = 0.15
	priorSickSlow    = 0.3
	priorSoundSlow   = 0.04
	priorBout        = 7 * time.Second
	priorSoundSpell  = 35 * time.Second
	priorSpellsCount = 4
)

// Likelihood ratios, sick to sound, of observations whose rates are not learned.
const (
	// unreachableRatio: single instances lose the path to healthy targets too.
	unreachableRatio = 3
	// goneRatio: a target that is there neither refuses connections nor lets
	// another one answer.
	goneRatio = 500
)

// Thresholds of the learned lengths of bouts and spells, and of logs.
const (
	// Suspected is the probability from which a target counts as sick.
	Suspected = 0.5
	// Cleared is the probability under which it counts as sound again.
	Cleared = 0.25
	// confirming is how many failures make a suspicion a bout: a single one is
	// more often a sound target's.
	confirming = 2
	// longestGap bounds the time between two observations that counts for
	// the learned rates: what happened in a longer one is not known.
	longestGap = 4 * time.Second
	// ceiling and floor keep a long run of equal observations from making the
	// estimate deaf to the next one.
	ceiling = 0.98
	floor   = 0.003
)

// target is the state of one target.
type target struct {
	sick      float64
	at        time.Time
	lastBad   time.Time
	lastGood  time.Time
	suspected bool
	bads      int // since it is suspected
	// boutTime is the time in seconds between these.
	boutTime float64
}

// Estimator holds the estimates of one service's targets. It belongs to one
// goroutine at a time.
type Estimator struct {
	targets map[fleet.TargetID]*target

	sickFails, sickSlow, sickCount    float64
	soundFails, soundSlow, soundCount float64
	// sickQuick and soundQuick are the part of the failures that were quick.
	sickQuick, soundQuick float64
	// sickTime is the time in seconds between failures of bouts that ended, soundTime
	// that between successes; ends and onsets are how many bouts ended and began.
	sickTime, ends    float64
	soundTime, onsets float64
	slowLately        recent
	failedLately      recent
}

// New returns an estimator that has seen nothing.
func New() *Estimator {
	return &Estimator{
		targets:    make(map[fleet.TargetID]*target),
		sickFails:  priorSickFails * priorSickCount,
		sickCount:  priorSickCount,
		soundFails: priorSoundFails * priorSoundCount,
		soundCount: priorSoundCount,
		sickQuick:  priorSickQuick * priorSickFails * priorSickCount,
		soundQuick: priorSoundQuick * priorSoundFails * priorSoundCount,
		sickSlow:   priorSickSlow * priorSickCount,
		soundSlow:  priorSoundSlow * priorSoundCount,
		sickTime:   priorBout.Seconds() * priorSpellsCount,
		ends:       priorSpellsCount,
		soundTime:  priorSoundSpell.Seconds() * priorSpellsCount,
		onsets:     priorSpellsCount,
	}
}

// Rates are the learned parameters.
type Rates struct {
	// SickFails and SoundFails are the parts of work that fail.
	SickFails, SoundFails float64
	// SickQuick and SoundQuick are the parts of the failures that are quick.
	SickQuick, SoundQuick float64
	// SickSlow and SoundSlow are the parts that are slow.
	SickSlow, SoundSlow float64
	// Bout and Spell are the mean lengths of a sick and of a sound time.
	Bout, Spell time.Duration
}

// Rates returns what was learned so far.
func (e *Estimator) Rates() Rates {
	return Rates{
		SickFails:  e.sickFails / e.sickCount,
		SoundFails: e.soundFails / e.soundCount,
		SickQuick:  e.sickQuick / e.sickFails,
		SoundQuick: e.soundQuick / e.soundFails,
		SickSlow:   e.sickSlow / e.sickCount,
		SoundSlow:  e.soundSlow / e.soundCount,
		Bout:       seconds(e.sickTime / e.ends),
		Spell:      seconds(e.soundTime / e.onsets),
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// recent is a part of the service's last attempts.
type recent struct {
	share float64
	at    time.Time
}

// recentFor is the time constant of recent.
const recentFor = 2 * time.Second

// add takes in an observation. Its weight grows with the time since the last one, so
// that the share does not depend on how many there are.
func (r *recent) add(now time.Time, o Observation, counts bool) {
	if o != Good && !o.Failed() && o != Slow {
		return
	}
	x := 0.0
	if counts {
		x = 1
	}
	weight := 1 - math.Exp(-max(now.Sub(r.at).Seconds(), 0.02)/recentFor.Seconds())
	r.share += weight * (x - r.share)
	r.at = now
}

// FailedLately is the part of the service's attempts that failed within about the
// last 2 s.
func (e *Estimator) FailedLately() float64 { return e.failedLately.share }

// Change tells how an observation changed what is believed of a target.
type Change uint8

const (
	// None: no threshold was passed.
	None Change = iota
	// NowSuspected: the target counts as sick from now on.
	NowSuspected
	// NowCleared: the target counts as sound again.
	NowCleared
)

// Observe takes in an observation of an attempt that began at the given time.
// It returns the probability that the target is sick, before and after.
func (e *Estimator) Observe(now time.Time, id fleet.TargetID, o Observation, began time.Time) (before, after float64, c Change) {
	t := e.target(now, id)
	e.drift(now, t)
	e.slowLately.add(now, o, o == Slow)
	e.failedLately.add(now, o, o.Failed())
	e.learnSlow(t, o)
	return e.update(now, t, o, e.ratio(t, o, began))
}

// ObserveRested takes in a Rested break, where the given part of the connections that
// rested as long is stale: the rarer that is, the more the break says of the target.
func (e *Estimator) ObserveRested(now time.Time, id fleet.TargetID, stale float64) (before, after float64, c Change) {
	t := e.target(now, id)
	e.drift(now, t)
	sick, sound := e.sickQuick/e.sickCount, e.soundQuick/e.soundCount
	return e.update(now, t, Rested, (stale+(1-stale)*sick)/(stale+(1-stale)*sound))
}

// update moves the target's estimate by the likelihood ratio of an observation.
func (e *Estimator) update(now time.Time, t *target, o Observation, ratio float64) (before, after float64, c Change) {
	before = t.sick
	odds := t.sick / (1 - t.sick) * ratio
	t.sick = min(max(odds/(1+odds), floor), ceiling)
	e.learnFailures(t, o)
	e.learnTimes(now, t, o)
	return before, t.sick, e.learnBouts(now, t)
}

func (e *Estimator) target(now time.Time, id fleet.TargetID) *target {
	t := e.targets[id]
	if t == nil {
		t = &target{sick: e.longRun(), at: now}
		e.targets[id] = t
	}
	return t
}

// ratio is the likelihood ratio of the observation, sick to sound.
func (e *Estimator) ratio(t *target, o Observation, began time.Time) float64 {
	r := e.Rates()
	switch o {
	case Good:
		if began.Before(t.lastBad) {
			// The work began before the latest failure and says nothing of
			// the time since.
			return 1
		}
		return (1 - r.SickFails) / (1 - r.SoundFails)
	case Bad:
		return r.SickFails * (1 - r.SickQuick) / (r.SoundFails * (1 - r.SoundQuick))
	case Quick:
		return r.SickFails * r.SickQuick / (r.SoundFails * r.SoundQuick)
	case Slow:
		// Where the whole service is slow, no target stands out.
		return max(r.SickSlow/max(r.SoundSlow, e.slowLately.share), 1)
	case Unreachable:
		return unreachableRatio
	case Down, Elsewhere:
		return goneRatio
	}
	return 1
}

func (e *Estimator) learnFailures(t *target, o Observation) {
	if o != Good && !o.Failed() {
		return
	}
	failed := 0.0
	if o.Failed() {
		failed = 1
	}
	if o == Quick {
		e.sickQuick += t.sick
		e.soundQuick += 1 - t.sick
	}
	e.sickCount += t.sick
	e.sickFails += t.sick * failed
	e.soundCount += 1 - t.sick
	e.soundFails += (1 - t.sick) * failed
}

// learnSlow counts with the probability from before the observation: slowness alone
// must not teach that it means sickness.
func (e *Estimator) learnSlow(t *target, o Observation) {
	if o != Slow {
		return
	}
	e.sickSlow += t.sick
	e.soundSlow += 1 - t.sick
}

// learnTimes adds the time since the last observation of the same kind to that of
// bouts or of sound spells. What is between a success and a failure is not known.
func (e *Estimator) learnTimes(now time.Time, t *target, o Observation) {
	switch o {
	case Good:
		if gap := now.Sub(t.lastGood); gap < longestGap && !t.lastBad.After(t.lastGood) {
			e.soundTime += gap.Seconds()
		}
		t.lastGood = now
		return
	case Bad, Quick:
		if gap := now.Sub(t.lastBad); t.suspected && t.bads > 0 && gap < longestGap {
			t.boutTime += gap.Seconds()
		}
		t.bads++
		if t.bads == confirming {
			e.onsets++
		}
	}
	t.lastBad = now
}

// learnBouts counts a confirmed bout and its length at its end, both at once: sick targets get
// no work, so that ends are seen late, and bouts that are not over yet would make the others
// seem longer, the more targets there are.
func (e *Estimator) learnBouts(now time.Time, t *target) Change {
	switch {
	case !t.suspected && t.sick >= Suspected:
		t.suspected = true
		return NowSuspected
	case !t.suspected && t.sick < Cleared:
		t.bads, t.boutTime = 0, 0
	case t.suspected && t.sick < Cleared:
		if t.bads >= confirming {
			e.ends++
			e.sickTime += t.boutTime + min(now.Sub(t.lastBad), longestGap).Seconds()/2
		}
		t.suspected, t.bads, t.boutTime = false, 0, 0
		return NowCleared
	}
	return None
}

// longRun is the part of time for which a target is sick.
func (e *Estimator) longRun() float64 {
	bout, spell := e.sickTime/e.ends, e.soundTime/e.onsets
	return bout / (bout + spell)
}

// drift moves the estimate by the time since the last one.
func (e *Estimator) drift(now time.Time, t *target) {
	dt := now.Sub(t.at).Seconds()
	if dt <= 0 {
		return
	}
	t.sick = e.drifted(t.sick, dt)
	t.at = now
}

func (e *Estimator) drifted(sick, dt float64) float64 {
	rate := e.ends/e.sickTime + e.onsets/e.soundTime
	long := e.longRun()
	return long + (sick-long)*math.Exp(-rate*dt)
}

// Known calls f with each target of which something was seen, and the probability that
// it is sick.
func (e *Estimator) Known(now time.Time, f func(id fleet.TargetID, sick float64)) {
	for id, t := range e.targets {
		f(id, e.drifted(t.sick, max(now.Sub(t.at).Seconds(), 0)))
	}
}

// Adopt takes over what another instance believes of a target, if nothing was seen of
// the target here. It tells whether it did.
func (e *Estimator) Adopt(now time.Time, id fleet.TargetID, sick float64) bool {
	if e.targets[id] != nil {
		return false
	}
	t := &target{sick: min(max(sick, floor), ceiling), at: now}
	t.suspected = t.sick >= Suspected
	e.targets[id] = t
	return true
}

// Sick is the probability that the target is sick.
func (e *Estimator) Sick(now time.Time, id fleet.TargetID) float64 {
	t := e.targets[id]
	if t == nil {
		return e.longRun()
	}
	return e.drifted(t.sick, max(now.Sub(t.at).Seconds(), 0))
}

// Fails is the probability that an attempt at the target fails.
func (e *Estimator) Fails(now time.Time, id fleet.TargetID) float64 {
	sick := e.Sick(now, id)
	return sick*e.sickFails/e.sickCount + (1-sick)*e.soundFails/e.soundCount
}

// FailsAtOnce is the probability that an attempt at the target fails much sooner than
// work takes.
func (e *Estimator) FailsAtOnce(now time.Time, id fleet.TargetID) float64 {
	sick := e.Sick(now, id)
	return sick*e.sickQuick/e.sickCount + (1-sick)*e.soundQuick/e.soundCount
}

// Suspects is how many targets count as sick.
func (e *Estimator) Suspects() int {
	n := 0
	for _, t := range e.targets {
		if t.suspected {
			n++
		}
	}
	return n
}

// Forget drops the targets for which keep is false.
func (e *Estimator) Forget(keep func(fleet.TargetID) bool) {
	for id := range e.targets {
		if !keep(id) {
			delete(e.targets, id)
		}
	}
}
