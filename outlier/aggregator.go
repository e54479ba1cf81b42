package outlier

import (
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Aggregator pools the evidence of all instances about one service. It
// belongs to one goroutine.
type Aggregator struct {
	cfg  Config
	lim  limits
	self fleet.InstanceID

	service   fleet.ServiceID
	judge     *judge
	cases     []*caseFile
	reporters map[fleet.InstanceID]*reporter
	// numbered is how many reporters were ever known, to tell them apart.
	numbered int
	// number identifies the verdicts in force; it grows with each change.
	number int64
	median time.Duration
	rates  [channels]float64
	// folded is when the last report came.
	folded time.Time
	// dirty means that something was folded since the last tick, and told
	// that a target which had not lately said so is cold or draining.
	dirty, told bool
	// active means that the passing of time alone may change something.
	active bool
}

// caseFile is what an aggregator keeps for one target beside the evidence.
type caseFile struct {
	target fleet.Target
	// stays are the ejections under way: one for everyone, or one a zone.
	stays   []*stay
	records map[fleet.Zone]record
	coldAt  time.Time
	// drainingAt is when the target last said that it is draining.
	drainingAt time.Time
	// shedAt is when the target last shed load.
	shedAt time.Time
}

// reporter is what an aggregator knows of one reporting instance.
type reporter struct {
	source
	// heard is when the last call came, folded the last report not known.
	heard, folded time.Time

	session int64
	seq     uint64
	// based means that the session began before this aggregator knew of it:
	// the first counts of a target are a starting point and no evidence.
	based   bool
	counts  map[fleet.TargetID]Counts
	median  time.Duration
	samples uint32
}

// NewAggregator returns an aggregator that has heard of nothing.
func NewAggregator(cfg Config, self fleet.InstanceID) *Aggregator {
	lim := cfg.limits()
	a := &Aggregator{
		cfg: cfg, lim: lim, self: self,
		judge:     newJudge(lim.threshold, lim.settle),
		reporters: map[fleet.InstanceID]*reporter{},
	}
	a.judge.lagging = true
	return a
}

// SetConfig applies a revised contract.
func (a *Aggregator) SetConfig(cfg Config) {
	a.cfg, a.lim = cfg, cfg.limits()
	a.judge.threshold, a.judge.settle = a.lim.threshold, a.lim.settle
	a.active = true
}

// SetTargets replaces the announced targets of the service.
func (a *Aggregator) SetTargets(ts []fleet.Target) {
	a.judge.setTargets(ts)
	old := map[fleet.TargetID]*caseFile{}
	for _, c := range a.cases {
		old[c.target.ID] = c
	}
	a.cases = a.cases[:0:0]
	for _, r := range a.judge.rows {
		c := old[r.target.ID]
		if c == nil {
			c = &caseFile{records: map[fleet.Zone]record{}}
		}
		c.target = r.target
		a.cases = append(a.cases, c)
		a.service = r.target.Service
	}
}

// Fold takes in a report and answers with the verdicts in force. A report
// that comes twice, or after a later one, changes nothing.
func (a *Aggregator) Fold(now time.Time, r Report) Verdicts {
	a.folded = now
	rep := a.reporter(now, r)
	if r.Session == rep.session && r.Seq > rep.seq {
		rep.seq = r.Seq
		rep.median, rep.samples = r.Median, r.Samples
		a.foldCounts(now, rep, r)
	}
	v := a.Verdicts(now)
	v.Session, v.Ack = rep.session, rep.seq
	return v
}

// reporter finds the sender, and opens its session if it is a new one.
func (a *Aggregator) reporter(now time.Time, r Report) *reporter {
	rep := a.reporters[r.From]
	if rep == nil {
		a.numbered++
		rep = &reporter{source: source{reporter: a.numbered, zone: r.Zone}}
		a.reporters[r.From] = rep
	}
	rep.heard = now
	rep.zone = r.Zone
	if r.Session > rep.session {
		rep.session, rep.seq = r.Session, 0
		rep.based = r.Acked > 0
		rep.counts = make(map[fleet.TargetID]Counts, len(r.Targets))
	}
	return rep
}

func (a *Aggregator) foldCounts(now time.Time, rep *reporter, r Report) {
	for _, t := range r.Targets {
		i, known := a.judge.index[t.Target]
		if !known {
			continue
		}
		last, had := rep.counts[t.Target]
		rep.counts[t.Target] = t.Counts
		if !had && rep.based {
			continue
		}
		a.foldTarget(now, i, rep, t.Counts.minus(last), r.Suspect)
	}
	rep.folded = now
	a.dirty = true
}

func (a *Aggregator) foldTarget(now time.Time, i int, from *reporter, c Counts, suspect bool) {
	file := a.cases[i]
	if c.Cold > 0 {
		a.told = a.told || now.Sub(file.coldAt) > toldInterval
		file.coldAt = now
	}
	if c.Draining > 0 {
		a.told = a.told || now.Sub(file.drainingAt) > toldInterval
		file.drainingAt = now
	}
	if c.Shed > 0 {
		file.shedAt = now
	}
	if suspect {
		return
	}
	if s := file.stayOf(from.zone); s.aside() {
		s.add(c.tallies())
		return
	}
	a.judge.add(i, seen{source: from.source, since: from.folded, tallies: c.tallies()})
}

// stayOf returns the ejection that holds for a zone, or nil.
func (f *caseFile) stayOf(z fleet.Zone) *stay {
	for _, s := range f.stays {
		if s.zone == "" || s.zone == z {
			return s
		}
	}
	return nil
}

// Verdicts returns the verdicts in force. Their Number changes only when a
// target's phase does.
func (a *Aggregator) Verdicts(now time.Time) Verdicts {
	v := Verdicts{Service: a.service, From: a.self, Number: a.number, Median: a.median}
	v.FailureRate, v.SlowRate = a.rates[failure], a.rates[slowness]
	for _, f := range a.cases {
		for _, s := range f.stays {
			v.Entries = append(v.Entries, s.verdict(now, f.target.ID))
		}
		v.Entries = f.appendTold(v.Entries, now, a.cfg)
	}
	return v
}

// appendTold adds what the target said of itself.
func (f *caseFile) appendTold(vs []Verdict, now time.Time, cfg Config) []Verdict {
	if left := cfg.SlowStart - now.Sub(f.coldAt); left > 0 {
		vs = append(vs, Verdict{Target: f.target.ID, Phase: Warming, Remaining: left})
	}
	if left := drainHold - now.Sub(f.drainingAt); left > 0 {
		vs = append(vs, Verdict{Target: f.target.ID, Phase: Draining, Remaining: left})
	}
	return vs
}

// Tick judges the targets by what was folded since the last tick. It returns
// the verdicts in force; whenever their Number differs from the last one,
// every reporter should be sent them.
func (a *Aggregator) Tick(now time.Time) Verdicts {
	if !a.dirty && !a.active {
		return a.Verdicts(now)
	}
	a.forgetReporters(now)
	for i, f := range a.cases {
		a.judge.rows[i].muted = f.muted(now, a.cfg)
		a.judge.rows[i].warming = f.warming(now, a.cfg)
	}
	if a.dirty {
		a.median = a.medianLatency()
		a.judge.median = a.median
		a.dirty = false
	}
	a.judge.step(now)
	a.rates = a.judge.rates()
	changed := a.advance(now)
	changed = a.accuse(now) || a.told || changed
	a.told = false
	if changed {
		a.number = max(now.UnixNano(), a.number+1)
	}
	v := a.Verdicts(now)
	a.active = len(v.Entries) > 0 || a.judge.undecided()
	return v
}

func (f *caseFile) muted(now time.Time, cfg Config) bool {
	return f.returning() || f.warming(now, cfg) || now.Sub(f.shedAt) < busyHold
}

// warming tells whether the target joined or was cold within a slow start.
func (f *caseFile) warming(now time.Time, cfg Config) bool {
	return now.Sub(f.target.Since) < cfg.SlowStart || now.Sub(f.coldAt) < cfg.SlowStart
}

func (a *Aggregator) forgetReporters(now time.Time) {
	for id, r := range a.reporters {
		if now.Sub(r.heard) > reporterKept {
			delete(a.reporters, id)
		}
	}
}

// Unused tells whether no instance has reported for so long that the
// aggregator may be dropped.
func (a *Aggregator) Unused(now time.Time) bool { return now.Sub(a.folded) > reporterKept }

// Reporters lists the instances that reported lately.
func (a *Aggregator) Reporters() []fleet.InstanceID {
	ids := make([]fleet.InstanceID, 0, len(a.reporters))
	for id := range a.reporters {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// medianLatency is the median of the reporters' medians by their samples.
func (a *Aggregator) medianLatency() time.Duration {
	medians := make([]*reporter, 0, len(a.reporters))
	total := uint64(0)
	for _, r := range a.reporters {
		if r.samples > 0 {
			medians = append(medians, r)
			total += uint64(r.samples)
		}
	}
	if total < medianSamples {
		return 0
	}
	slices.SortFunc(medians, func(x, y *reporter) int { return int(x.median - y.median) })
	passed := uint64(0)
	for _, r := range medians {
		if passed += uint64(r.samples); passed*2 >= total {
			return r.median
		}
	}
	return 0
}

// advance moves the ejections on and tells whether any changed its phase.
func (a *Aggregator) advance(now time.Time) bool {
	changed := false
	for i, f := range a.cases {
		kept := f.stays[:0]
		for _, s := range f.stays {
			phase, level := s.phase, s.level
			if s.advance(now, a.cfg, a.lim) {
				f.records[s.zone] = record{level: s.level, returnedAt: now}
				changed = true
				continue
			}
			changed = changed || s.phase != phase || s.level != level
			kept = append(kept, s)
		}
		f.stays = kept
		a.judge.mark(a.judge.rows[i], f.stayOf("").aside())
	}
	return changed
}
