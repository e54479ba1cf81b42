package outlier

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// record is the history of a target's ejections in one scope.
type record struct {
	level      int
	returnedAt time.Time
}

// next returns the level of an ejection that begins now.
func (r record) next(now time.Time, cfg Config) int {
	if r.returnedAt.IsZero() {
		return 0
	}
	forgotten := int(now.Sub(r.returnedAt) / cfg.MaxEjection)
	return max(r.level+1-forgotten, 0)
}

// ejection is one ejection of one target, from its accusation to full use.
type ejection struct {
	zone   fleet.Zone
	phase  Phase
	since  time.Time
	until  time.Time
	level  int
	score  float64
	reason Reason
	// trial is the evidence of the current trial, base the rates of bad tries
	// that it is compared with.
	trial tallies
	base  [channels]float64
}

func newEjection(now time.Time, cfg Config, zone fleet.Zone, level int, a accusation) *ejection {
	s := &ejection{zone: zone, score: a.score, reason: a.channel.reason()}
	s.eject(now, cfg, level)
	return s
}

func (s *ejection) eject(now time.Time, cfg Config, level int) {
	s.level = level
	s.enter(now, Ejected, cfg.ejectionTime(level))
}

func (s *ejection) enter(now time.Time, p Phase, d time.Duration) {
	s.phase = p
	s.since = now
	s.until = now.Add(d)
	s.trial = tallies{}
}

// excluded reports whether the target is ejected or on trial, so that its
// evidence counts for the trial only.
func (s *ejection) excluded() bool { return s != nil && (s.phase == Ejected || s.phase == Trial) }

// add records evidence from within the ejection's scope.
func (s *ejection) add(t tallies) {
	if s.phase != Trial {
		return
	}
	for ch := range t {
		s.trial[ch] = s.trial[ch].plus(t[ch])
	}
}

// advance updates the phase of the ejection and reports whether it is over.
func (s *ejection) advance(now time.Time, cfg Config, lim limits) (over bool) {
	expired := !now.Before(s.until)
	switch s.phase {
	case Ejected:
		if expired {
			s.enter(now, Trial, cfg.trialLimit())
		}
	case Trial:
		s.evaluateTrial(now, cfg, lim, expired)
	case Returning:
		return expired
	}
	return false
}

// evaluateTrial decides whether a trial fails, succeeds or continues.
func (s *ejection) evaluateTrial(now time.Time, cfg Config, lim limits, expired bool) {
	worst := s.trialScore()
	switch {
	case worst >= trialFailureScore, expired && worst > 0:
		s.eject(now, cfg, s.level+1)
	case expired, s.trial[failure].good >= lim.trialGood && worst <= 0:
		s.enter(now, Returning, cfg.SlowStart)
	}
}

// trialScore returns the stronger of the two channels' evidence against the
// target.
func (s *ejection) trialScore() float64 {
	worst := 0.0
	for ch := range channels {
		base := max(s.base[ch], baseFloor[ch])
		v := likelihood(s.trial[ch], base, excesses[len(excesses)-1])
		if ch == failure || v > worst {
			worst = v
		}
	}
	return worst
}

// verdict returns the ejection in the form sent to instances.
func (s *ejection) verdict(now time.Time, t fleet.TargetID) Verdict {
	return Verdict{
		Target: t, Zone: s.zone, Phase: s.phase, Reason: s.reason,
		Remaining: max(s.until.Sub(now), 0), Score: int(s.score),
	}
}

// after returns the verdict advanced by the time since it was received, as its
// aggregator would advance it without further evidence. over reports that the
// ejection has ended.
func (v Verdict) after(cfg Config, passed time.Duration) (w Verdict, over bool) {
	for passed >= v.Remaining {
		passed -= v.Remaining
		switch v.Phase {
		case Ejected:
			v.Phase, v.Remaining = Trial, cfg.trialLimit()
		case Trial:
			v.Phase, v.Remaining = Returning, cfg.SlowStart
		default:
			return v, true
		}
	}
	v.Remaining -= passed
	return v, false
}
