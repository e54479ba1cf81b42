package outlier

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// record is what is remembered of a target's ejections in one scope.
type record struct {
	level      int
	returnedAt time.Time
}

// next is the level of an ejection that begins now.
func (r record) next(now time.Time, cfg Config) int {
	if r.returnedAt.IsZero() {
		return 0
	}
	forgotten := int(now.Sub(r.returnedAt) / cfg.MaxEjection)
	return max(r.level+1-forgotten, 0)
}

// stay is one ejection of one target, from its accusation to full use.
type stay struct {
	zone   fleet.Zone
	phase  Phase
	since  time.Time
	until  time.Time
	level  int
	score  float64
	reason Reason
	// trial is the evidence of the trial under way, base its yardstick.
	trial tallies
	base  [channels]float64
}

func newStay(now time.Time, cfg Config, zone fleet.Zone, level int, a accusation) *stay {
	s := &stay{zone: zone, score: a.score, reason: a.channel.reason()}
	s.eject(now, cfg, level)
	return s
}

func (s *stay) eject(now time.Time, cfg Config, level int) {
	s.level = level
	s.enter(now, Ejected, cfg.stayFor(level))
}

func (s *stay) enter(now time.Time, p Phase, d time.Duration) {
	s.phase = p
	s.since = now
	s.until = now.Add(d)
	s.trial = tallies{}
}

// aside tells whether the target's evidence belongs to the stay alone.
func (s *stay) aside() bool { return s != nil && (s.phase == Ejected || s.phase == Trial) }

// add hands in evidence from within the stay's scope.
func (s *stay) add(t tallies) {
	if s.phase != Trial {
		return
	}
	for ch := range t {
		s.trial[ch] = s.trial[ch].plus(t[ch])
	}
}

// advance moves the stay on, and tells whether it is over.
func (s *stay) advance(now time.Time, cfg Config, lim limits) (over bool) {
	expired := !now.Before(s.until)
	switch s.phase {
	case Ejected:
		if expired {
			s.enter(now, Trial, cfg.trialLimit())
		}
	case Trial:
		s.tryOut(now, cfg, lim, expired)
	case Returning:
		return expired
	}
	return false
}

// tryOut decides a trial.
func (s *stay) tryOut(now time.Time, cfg Config, lim limits, expired bool) {
	worst := s.relapse()
	switch {
	case worst >= trialRelapse, expired && worst > 0:
		s.eject(now, cfg, s.level+1)
	case expired, s.trial[failure].good >= lim.trialGood && worst <= 0:
		s.enter(now, Returning, cfg.SlowStart)
	}
}

// relapse is the stronger of the two channels' evidence against the target.
func (s *stay) relapse() float64 {
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

// verdict describes the stay to instances.
func (s *stay) verdict(now time.Time, t fleet.TargetID) Verdict {
	return Verdict{
		Target: t, Zone: s.zone, Phase: s.phase, Reason: s.reason,
		Remaining: max(s.until.Sub(now), 0), Score: int(s.score),
	}
}

// run moves a verdict on by the time since it was heard, as its aggregator
// would without further evidence. over means that nothing is left of it.
func (v Verdict) run(cfg Config, passed time.Duration) (w Verdict, over bool) {
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
