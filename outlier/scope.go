package outlier

import (
	"math"
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
	// scopeMargin is by how much, in nats, the target must rather be sick for
	// everyone than for a few reporters or zones.
	scopeMargin = 2.0
	// ownZonePrice is how much less likely, in nats, a target is cut off from
	// its own zone than from another.
	ownZonePrice = 4.0
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
	threshold := a.judge.bar * factor
	loudest, bad := loudest(acc)
	if bad < 2 || acc.score-loudest < threshold*loudestShare {
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
		return zoneCharges(i, acc, zones, threshold*zoneShare)
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

// fewReporters is the likelihood that a few reporters alone are cut off from
// the target: each of them fails nearly all of its tries, the others none.
func (a *Aggregator) fewReporters(acc accusation) float64 {
	price := math.Log(float64(len(a.reporters)))
	sum := 0.0
	for _, s := range acc.shares {
		sum += cutOff(s, acc.base, price)
	}
	return sum
}

// someZones is the likelihood that some zones are cut off from the target.
// That is least likely of the target's own zone.
func (a *Aggregator) someZones(acc accusation, zones []share, own fleet.Zone) float64 {
	price := math.Log(float64(a.zones()))
	sum := 0.0
	for _, z := range zones {
		p := price
		if z.zone == own {
			p += ownZonePrice
		}
		sum += cutOff(z, acc.base, p)
	}
	return sum
}

// cutOff is the likelihood that one who saw the target is cut off from it,
// and so fails nearly all tries, or else saw a healthy one. It is lowered by
// a price, since any could have been the one.
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
// An ejection before everyone takes the room of those before one zone.
func (a *Aggregator) eject(now time.Time, c charge) bool {
	f := a.cases[c.index]
	current := f.stayOf(c.zone)
	if current.aside() {
		return false
	}
	for !a.spare(now, c) {
		if c.zone != "" || !a.dropZoneStay() {
			return false
		}
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

// dropZoneStay ends the zones' ejection of the target that is accused least,
// and tells whether there was one.
func (a *Aggregator) dropZoneStay() bool {
	var weakest *caseFile
	for _, f := range a.cases {
		if f.stayOf("") == nil && f.aside() && (weakest == nil || f.stays[0].score < weakest.stays[0].score) {
			weakest = f
		}
	}
	if weakest == nil {
		return false
	}
	weakest.stays = nil
	return true
}

// aside tells whether the target is set aside before anyone.
func (f *caseFile) aside() bool {
	return slices.ContainsFunc(f.stays, (*stay).aside)
}

// spare tells whether the floor leaves room for one more ejection. It counts
// the union of all zones' ejections. Instances hold the floor by themselves;
// this keeps verdicts from piling up beyond it.
func (a *Aggregator) spare(now time.Time, c charge) bool {
	joined, full := 0, 0
	for _, f := range a.cases {
		if f.target.State != fleet.Joined {
			continue
		}
		joined++
		if !f.idle(now, a.cfg) && !f.aside() {
			full++
		}
	}
	f := a.cases[c.index]
	return f.idle(now, a.cfg) || f.aside() || full > need(a.cfg.FloorPercent, joined)
}

// idle tells whether the target is draining or warming up, and so no part of
// the healthy capacity whether it is ejected or not.
func (f *caseFile) idle(now time.Time, cfg Config) bool {
	return now.Sub(f.drainingAt) < drainHold || f.warming(now, cfg)
}
