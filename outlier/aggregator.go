package outlier

import (
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Aggregator pools the evidence of all instances about one service. It
// must be used from one goroutine.
type Aggregator struct {
	cfg  Config
	lim  limits
	self fleet.InstanceID

	service   fleet.ServiceID
	judge     *judge
	cases     []*targetCase
	reporters map[fleet.InstanceID]*reporter
	// lastReporter is the number given to the newest reporter.
	lastReporter int
	// number identifies the verdicts in force; it grows with each change.
	number int64
	median time.Duration
	rates  [channels]float64
	// reportedAt is when the last report arrived.
	reportedAt time.Time
	// dirty means that counts were applied since the last tick, selfReported
	// that a target newly reported being cold or draining.
	dirty, selfReported bool
	// active means that the passage of time alone may change the result.
	active bool
}

// targetCase is an aggregator's state of one target, apart from the evidence.
type targetCase struct {
	target fleet.Target
	// ejections holds the current ejections: one fleet-wide, or one per zone.
	ejections []*ejection
	records   map[fleet.Zone]record
	coldAt    time.Time
	// drainingAt is when the target last reported that it is draining.
	drainingAt time.Time
	// shedAt is when the target last shed load.
	shedAt time.Time
}

// reporter is an aggregator's state of one reporting instance.
type reporter struct {
	source
	// lastContact is when the last report arrived, lastApplied when the last new
	// one did.
	lastContact, lastApplied time.Time

	session int64
	seq     uint64
	// joinedLate means that the session began before this aggregator received
	// its reports: the first counts of a target are a baseline, not evidence.
	joinedLate bool
	counts     map[fleet.TargetID]Counts
	median     time.Duration
	samples    uint32
}

// NewAggregator returns an aggregator without targets or reports.
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
	old := map[fleet.TargetID]*targetCase{}
	for _, c := range a.cases {
		old[c.target.ID] = c
	}
	a.cases = a.cases[:0:0]
	for _, r := range a.judge.rows {
		c := old[r.target.ID]
		if c == nil {
			c = &targetCase{records: map[fleet.Zone]record{}}
		}
		c.target = r.target
		a.cases = append(a.cases, c)
		a.service = r.target.Service
	}
}

// Fold applies a report and returns the verdicts in force. Duplicate reports and
// those older than the last one have no effect.
func (a *Aggregator) Fold(now time.Time, r Report) Verdicts {
	a.reportedAt = now
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

// reporter returns the state of the sender and starts a session if it is new.
func (a *Aggregator) reporter(now time.Time, r Report) *reporter {
	rep := a.reporters[r.From]
	if rep == nil {
		a.lastReporter++
		rep = &reporter{source: source{reporter: a.lastReporter, zone: r.Zone}}
		a.reporters[r.From] = rep
	}
	rep.lastContact = now
	rep.zone = r.Zone
	if r.Session > rep.session {
		rep.session, rep.seq = r.Session, 0
		rep.joinedLate = r.Acked > 0
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
		if !had && rep.joinedLate {
			continue
		}
		a.foldTarget(now, i, rep, t.Counts.minus(last), r.Suspect)
	}
	rep.lastApplied = now
	a.dirty = true
}

func (a *Aggregator) foldTarget(now time.Time, i int, from *reporter, c Counts, suspect bool) {
	file := a.cases[i]
	if c.Cold > 0 {
		a.selfReported = a.selfReported || now.Sub(file.coldAt) > selfReportInterval
		file.coldAt = now
	}
	if c.Draining > 0 {
		a.selfReported = a.selfReported || now.Sub(file.drainingAt) > selfReportInterval
		file.drainingAt = now
	}
	if c.Shed > 0 {
		file.shedAt = now
	}
	if suspect {
		return
	}
	if s := file.ejectionFor(from.zone); s.excluded() {
		s.add(c.tallies())
		return
	}
	a.judge.add(i, observation{source: from.source, since: from.lastApplied, tallies: c.tallies()})
}

// ejectionFor returns the ejection in force for a zone, or nil.
func (f *targetCase) ejectionFor(z fleet.Zone) *ejection {
	for _, s := range f.ejections {
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
		for _, s := range f.ejections {
			v.Entries = append(v.Entries, s.verdict(now, f.target.ID))
		}
		v.Entries = f.appendSelfReported(v.Entries, now, a.cfg)
	}
	return v
}

// appendSelfReported appends the states reported by the target itself.
func (f *targetCase) appendSelfReported(vs []Verdict, now time.Time, cfg Config) []Verdict {
	if left := cfg.SlowStart - now.Sub(f.coldAt); left > 0 {
		vs = append(vs, Verdict{Target: f.target.ID, Phase: Warming, Remaining: left})
	}
	if left := drainTTL - now.Sub(f.drainingAt); left > 0 {
		vs = append(vs, Verdict{Target: f.target.ID, Phase: Draining, Remaining: left})
	}
	return vs
}

// Tick evaluates the targets with the reports since the last tick and returns the
// verdicts in force. Whenever their Number changes, they should be sent to every
// reporter.
func (a *Aggregator) Tick(now time.Time) Verdicts {
	if !a.dirty && !a.active {
		return a.Verdicts(now)
	}
	a.expireReporters(now)
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
	changed = a.accuse(now) || a.selfReported || changed
	a.selfReported = false
	if changed {
		a.number = max(now.UnixNano(), a.number+1)
	}
	v := a.Verdicts(now)
	a.active = len(v.Entries) > 0 || a.judge.undecided()
	return v
}

func (f *targetCase) muted(now time.Time, cfg Config) bool {
	return f.returning() || f.warming(now, cfg) || now.Sub(f.shedAt) < busyTTL
}

// warming reports whether the target joined or was cold within a slow start.
func (f *targetCase) warming(now time.Time, cfg Config) bool {
	return now.Sub(f.target.Since) < cfg.SlowStart || now.Sub(f.coldAt) < cfg.SlowStart
}

func (a *Aggregator) expireReporters(now time.Time) {
	for id, r := range a.reporters {
		if now.Sub(r.lastContact) > reporterTTL {
			delete(a.reporters, id)
		}
	}
}

// Unused reports whether no instance has reported for so long that the aggregator
// may be removed.
func (a *Aggregator) Unused(now time.Time) bool { return now.Sub(a.reportedAt) > reporterTTL }

// Reporters returns the instances that have reported recently, sorted.
func (a *Aggregator) Reporters() []fleet.InstanceID {
	ids := make([]fleet.InstanceID, 0, len(a.reporters))
	for id := range a.reporters {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// medianLatency returns the median of the reporters' medians, weighted by their
// samples, or 0 with too few samples.
func (a *Aggregator) medianLatency() time.Duration {
	medians := make([]*reporter, 0, len(a.reporters))
	total := uint64(0)
	for _, r := range a.reporters {
		if r.samples > 0 {
			medians = append(medians, r)
			total += uint64(r.samples)
		}
	}
	if total < minMedianSamples {
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

// advance updates the phases of the ejections and reports whether any changed.
func (a *Aggregator) advance(now time.Time) bool {
	changed := false
	for i, f := range a.cases {
		kept := f.ejections[:0]
		for _, s := range f.ejections {
			phase, level := s.phase, s.level
			if s.advance(now, a.cfg, a.lim) {
				f.records[s.zone] = record{level: s.level, returnedAt: now}
				changed = true
				continue
			}
			changed = changed || s.phase != phase || s.level != level
			kept = append(kept, s)
		}
		f.ejections = kept
		a.judge.setExcluded(a.judge.rows[i], f.ejectionFor("").excluded())
	}
	return changed
}
