package outlier

import (
	"math"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// minShareWithoutTop is the fraction of the threshold that an accusation must
	// reach without the reporter that contributes most to it.
	minShareWithoutTop = 0.25
	// minZoneShare is the fraction of the threshold that a zone's own evidence
	// must reach for a verdict limited to that zone.
	minZoneShare = 0.5
	// scopeMargin is by how much, in nats, an unhealthy target must be likelier
	// than a few reporters or zones being cut off from it.
	scopeMargin = 2.0
	// ownZonePenalty is how much less likely, in nats, a target is cut off from
	// its own zone than from another.
	ownZonePenalty = 4.0
)

// charge is an accusation for one scope; an empty zone means fleet-wide.
type charge struct {
	index      int
	zone       fleet.Zone
	accusation accusation
}

// accuse ejects the targets accused by the pooled evidence, strongest accusation
// first, as far as the floor permits. It reports whether any was ejected.
func (a *Aggregator) accuse(now time.Time) bool {
	hot, crowded := a.judge.suspects()
	if len(hot) == 0 || crowded {
		return false
	}
	var charges []charge
	for i, r := range a.judge.rows {
		if r.target.State != fleet.Joined || r.excluded {
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

func (f *targetCase) returning() bool {
	for _, s := range f.ejections {
		if s.phase == Returning {
			return true
		}
	}
	return false
}

// charges returns the scopes for which a target is accused.
func (a *Aggregator) charges(i int, acc accusation, factor float64) []charge {
	threshold := a.judge.adjustedThreshold * factor
	top, bad := topReporter(acc)
	if bad < 2 || acc.score-top < threshold*minShareWithoutTop {
		return nil
	}
	zones := byZone(acc)
	everyone := likelihoodOf(acc.shares, acc.base, acc.excess)
	few := a.fewReporters(acc)
	some := a.someZones(acc, zones, a.cases[i].target.Zone)
	switch {
	case everyone > few+scopeMargin && (everyone > some+scopeMargin || a.zones() == 1):
		return []charge{{index: i, accusation: acc}}
	case some > few:
		return zoneCharges(i, acc, zones, threshold*minZoneShare)
	}
	return nil
}

func likelihoodOf(shares []share, base, excess float64) float64 {
	sum := 0.0
	for _, s := range shares {
		sum += likelihood(s.tally, base, excess)
	}
	return sum
}

// fewReporters returns the log-likelihood ratio that only a few reporters are cut
// off from the target: nearly all of their tries fail, and none of the others'.
func (a *Aggregator) fewReporters(acc accusation) float64 {
	price := math.Log(float64(len(a.reporters)))
	sum := 0.0
	for _, s := range acc.shares {
		sum += cutOff(s, acc.base, price)
	}
	return sum
}

// someZones returns the log-likelihood ratio that some zones are cut off from the
// target. This is least likely for the target's own zone.
func (a *Aggregator) someZones(acc accusation, zones []share, own fleet.Zone) float64 {
	price := math.Log(float64(a.zones()))
	sum := 0.0
	for _, z := range zones {
		p := price
		if z.zone == own {
			p += ownZonePenalty
		}
		sum += cutOff(z, acc.base, p)
	}
	return sum
}

// cutOff returns the log-likelihood ratio that an observer is cut off from the
// target, so that nearly all of its tries fail, or 0 if a healthy target is
// likelier. price corrects for the number of observers that could be cut off.
func cutOff(s share, base, price float64) float64 {
	return max(likelihood(s.tally, base, excesses[len(excesses)-1])-price, 0)
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

// topReporter returns the largest contribution of one reporter to an accusation,
// and the number of reporters with bad tries.
func topReporter(acc accusation) (most float64, bad int) {
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

// eject starts an ejection unless one is in force already or the floor forbids
// it. A fleet-wide ejection displaces ejections limited to zones. It reports
// whether it started one.
func (a *Aggregator) eject(now time.Time, c charge) bool {
	f := a.cases[c.index]
	current := f.ejectionFor(c.zone)
	if current.excluded() {
		return false
	}
	for !a.floorPermits(now, c) {
		if c.zone != "" || !a.dropZoneEjection() {
			return false
		}
	}
	level := f.records[c.zone].next(now, a.cfg)
	if current != nil {
		level = current.level + 1
	}
	s := newEjection(now, a.cfg, c.zone, level, c.accusation)
	s.base = a.judge.bases(a.judge.rows[c.index])
	f.ejections = slices.DeleteFunc(f.ejections, func(o *ejection) bool { return c.zone == "" || o.zone == c.zone || o.zone == "" })
	f.ejections = append(f.ejections, s)
	a.judge.setExcluded(a.judge.rows[c.index], c.zone == "")
	return true
}

// dropZoneEjection ends the zone-limited ejections of the target with the weakest
// accusation, and reports whether there were any.
func (a *Aggregator) dropZoneEjection() bool {
	var weakest *targetCase
	for _, f := range a.cases {
		if f.ejectionFor("") == nil && f.excluded() && (weakest == nil || f.ejections[0].score < weakest.ejections[0].score) {
			weakest = f
		}
	}
	if weakest == nil {
		return false
	}
	weakest.ejections = nil
	return true
}

// excluded reports whether the target is ejected or on trial in any scope.
func (f *targetCase) excluded() bool {
	return slices.ContainsFunc(f.ejections, (*ejection).excluded)
}

// floorPermits reports whether the floor permits one more ejection. It counts the
// union of all zones' ejections. Instances enforce the floor themselves; this
// check prevents verdicts from accumulating beyond it.
func (a *Aggregator) floorPermits(now time.Time, c charge) bool {
	joined, full := 0, 0
	for _, f := range a.cases {
		if f.target.State != fleet.Joined {
			continue
		}
		joined++
		if !f.unavailable(now, a.cfg) && !f.excluded() {
			full++
		}
	}
	f := a.cases[c.index]
	return f.unavailable(now, a.cfg) || f.excluded() || full > minFullTargets(a.cfg.FloorPercent, joined)
}

// unavailable reports whether the target is draining or warming up and therefore
// not part of the healthy capacity, ejected or not.
func (f *targetCase) unavailable(now time.Time, cfg Config) bool {
	return now.Sub(f.drainingAt) < drainTTL || f.warming(now, cfg)
}
