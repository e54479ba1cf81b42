package outlier

import (
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// loudestShare is the part of the threshold that an accusation must
	// reach without the reporter who adds most to it.
	loudestShare = 0.25
	// zoneShare is the part of the threshold that a zone's own evidence must
	// reach for a verdict before that zone alone.
	zoneShare = 0.5
	// dissent is the log-likelihood below which a zone's evidence says that
	// the target is well.
	dissent = -2.0
)

// charge is an accusation that an aggregator may act on.
type charge struct {
	index      int
	zone       fleet.Zone
	accusation accusation
}

// accuse ejects the targets that the pooled evidence accuses, the strongest
// accusation first, as far as the floor allows.
func (a *Aggregator) accuse(now time.Time) bool {
	hot, crowded := a.judge.crowd()
	if len(hot) == 0 || crowded {
		return false
	}
	var charges []charge
	for i, r := range a.judge.rows {
		if r.target.State != fleet.Joined || r.aside {
			continue
		}
		factor := 1.0
		if a.cases[i].returning() {
			factor = returnedFactor
		}
		if acc, ok := a.judge.accuse(now, r, hot, factor); ok {
			charges = append(charges, a.charges(i, acc, factor)...)
		}
	}
	slices.SortStableFunc(charges, compareCharges)
	changed := false
	for _, c := range charges {
		changed = a.eject(now, c) || changed
	}
	return changed
}

func compareCharges(x, y charge) int {
	switch {
	case x.accusation.score > y.accusation.score:
		return -1
	case x.accusation.score < y.accusation.score:
		return 1
	}
	return 0
}

func (f *caseFile) returning() bool {
	for _, s := range f.stays {
		if s.phase == Returning {
			return true
		}
	}
	return false
}

// charges finds before whom a target is accused.
func (a *Aggregator) charges(i int, acc accusation, factor float64) []charge {
	threshold := a.lim.threshold * factor
	loudest, bad := loudest(acc)
	if bad < 2 || acc.score-loudest < threshold*loudestShare {
		return nil
	}
	zones := byZone(acc)
	accusing, dissenting := 0, false
	for _, z := range zones {
		score := likelihood(z.tally, acc.base, acc.excess)
		if score > 0 && z.tally.bad > 0 {
			accusing++
		}
		dissenting = dissenting || score < dissent
	}
	if !dissenting && (accusing > 1 || a.zones() == 1) {
		return []charge{{index: i, accusation: acc}}
	}
	return zoneCharges(i, acc, zones, threshold*zoneShare)
}

func zoneCharges(i int, acc accusation, zones []share, least float64) []charge {
	var charges []charge
	for _, z := range zones {
		if likelihood(z.tally, acc.base, acc.excess) >= least {
			charges = append(charges, charge{index: i, zone: z.zone, accusation: acc})
		}
	}
	return charges
}

// loudest returns the greatest part that one reporter has in an accusation,
// and how many reporters saw bad tries.
func loudest(acc accusation) (most float64, bad int) {
	for _, s := range acc.shares {
		most = max(most, likelihood(s.tally, acc.base, acc.excess))
		if s.tally.bad > 0 {
			bad++
		}
	}
	return most, bad
}

// byZone sums an accusation's shares by zone, in the order of the zones.
func byZone(acc accusation) []share {
	var zones []share
	for _, s := range acc.shares {
		i := slices.IndexFunc(zones, func(z share) bool { return z.zone == s.zone })
		if i < 0 {
			zones = append(zones, s)
			continue
		}
		zones[i].tally = zones[i].tally.plus(s.tally)
	}
	slices.SortFunc(zones, func(x, y share) int {
		if x.zone < y.zone {
			return -1
		}
		return 1
	})
	return zones
}

// zones counts the zones that reporters are in.
func (a *Aggregator) zones() int {
	set := map[fleet.Zone]bool{}
	for _, r := range a.reporters {
		set[r.zone] = true
	}
	return len(set)
}

// eject opens an ejection unless one holds already or the floor forbids it.
func (a *Aggregator) eject(now time.Time, c charge) bool {
	f := a.cases[c.index]
	current := f.stayOf(c.zone)
	if current.aside() || !a.spare(now, c) {
		return false
	}
	level := f.records[c.zone].next(now, a.cfg)
	if current != nil {
		level = current.level + 1
	}
	s := newStay(now, a.cfg, c.zone, level, c.accusation)
	s.base = a.judge.bases(a.judge.rows[c.index])
	f.stays = slices.DeleteFunc(f.stays, func(o *stay) bool { return c.zone == "" || o.zone == c.zone || o.zone == "" })
	f.stays = append(f.stays, s)
	a.judge.mark(a.judge.rows[c.index], c.zone == "")
	return true
}

// spare tells whether the floor leaves room for one more ejection before the
// charge's zone. Instances hold the floor by themselves; this keeps verdicts
// from piling up beyond it.
func (a *Aggregator) spare(now time.Time, c charge) bool {
	joined, full := 0, 0
	for _, f := range a.cases {
		if f.target.State != fleet.Joined {
			continue
		}
		joined++
		if !f.idle(now, a.cfg) && !f.stayOf(c.zone).aside() {
			full++
		}
	}
	return a.cases[c.index].idle(now, a.cfg) || full > need(a.cfg.FloorPercent, joined)
}

// idle tells whether the target is draining or warming up, and so no part of
// the healthy capacity whether it is ejected or not.
func (f *caseFile) idle(now time.Time, cfg Config) bool {
	return now.Sub(f.drainingAt) < drainHold || f.warming(now, cfg)
}
