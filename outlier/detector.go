package outlier

import (
	"math"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// minMedianSamples is the minimum number of good tries for a median.
	minMedianSamples = 30
	// medianInterval and halveInterval are the intervals at which the median
	// latency is recomputed and its samples are halved.
	medianInterval = time.Second
	halveInterval  = 10 * time.Second
	// pooledRateTTL is how long rates received from an aggregator are used.
	pooledRateTTL = 10 * time.Second
)

// Detector evaluates the targets of one service as seen from one instance and
// combines the result with the aggregators' verdicts. Start, Done and Record are
// safe for concurrent use; all other methods must be called from one goroutine.
type Detector struct {
	cfg  Config
	lim  limits
	self fleet.InstanceID
	zone fleet.Zone

	rec      recorder
	service  fleet.ServiceID
	judge    *judge
	targets  []*targetState
	received map[fleet.InstanceID]*receivedVerdicts
	out      outbox

	snapshot *Snapshot
	suspect  bool
	// active means that the passage of time alone may change the result.
	active bool

	pooledMedian time.Duration
	pooledAt     time.Time
	medianAt     time.Time
	halvedAt     time.Time
}

// targetState is a detector's state of one target, apart from the evidence.
type targetState struct {
	target  fleet.Target
	counter *counter
	// ejection is the instance's own ejection, if any; record is the history of
	// its ejections.
	ejection *ejection
	record   record
	// pooled is the strictest verdict of an aggregator, if any.
	pooled *Verdict
	// ejectedElsewhere means that the target is ejected for another zone.
	ejectedElsewhere bool
	// startedAt, coldAt and drainingAt are when the target joined and when
	// it last reported being cold or draining.
	startedAt, coldAt, drainingAt time.Time
	// shedAt is when the target last shed load.
	shedAt time.Time
	sent   sentCounts
}

// receivedVerdicts holds the latest verdicts from one aggregator.
type receivedVerdicts struct {
	at       time.Time
	verdicts Verdicts
}

// Output is the result of a tick of a detector.
type Output struct {
	// Snapshot is what the request path should use from now on.
	Snapshot *Snapshot
	// Report is for the service's aggregator; nil: nothing to send.
	Report *Report
	// Events are the changes of targets' states since the last tick.
	Events []Event
	// Suspect means that so many targets look unhealthy from this instance
	// that its own network is the likely cause. It then ejects nothing on its
	// own evidence.
	Suspect bool
}

// NewDetector returns a detector without targets.
func NewDetector(cfg Config, self fleet.InstanceID, zone fleet.Zone) *Detector {
	lim := cfg.limits()
	d := &Detector{
		cfg: cfg, lim: lim, self: self, zone: zone,
		judge:    newJudge(lim.threshold, lim.settle),
		received: map[fleet.InstanceID]*receivedVerdicts{},
	}
	d.rec.slowAfter.Store(math.MaxInt64)
	return d
}

// SetConfig applies a revised contract.
func (d *Detector) SetConfig(cfg Config) {
	d.cfg, d.lim = cfg, cfg.limits()
	d.judge.threshold, d.judge.settle = d.lim.threshold, d.lim.settle
	d.active = true
}

// SetTargets replaces the announced targets of the service.
func (d *Detector) SetTargets(now time.Time, ts []fleet.Target) {
	d.rec.setTargets(ts)
	d.judge.setTargets(ts)
	old := map[fleet.TargetID]*targetState{}
	for _, s := range d.targets {
		old[s.target.ID] = s
	}
	d.targets = d.targets[:0:0]
	for _, r := range d.judge.rows {
		s := old[r.target.ID]
		if s == nil {
			s = &targetState{}
		}
		if !s.target.Since.Equal(r.target.Since) {
			s.startedAt = earlier(r.target.Since, now)
		}
		s.target = r.target
		s.counter = d.rec.counter(r.target.ID)
		d.targets = append(d.targets, s)
		d.service = r.target.Service
	}
	d.active = true
}

// earlier returns the earlier time. It guards against timestamps from a log
// whose clock is ahead.
func earlier(a, b time.Time) time.Time {
	if a.After(b) {
		return b
	}
	return a
}

// Start records the start of a try at a target. Done must be called exactly once
// with the returned Try. A try that stays open for too long counts as evidence
// before Done.
func (d *Detector) Start(t fleet.TargetID, now time.Time) Try { return d.rec.start(t, now) }

// Done records the result and latency of a try; do not Record it as well.
func (d *Detector) Done(t Try, r fleet.TryResult, latency time.Duration) {
	d.rec.done(t, r, latency)
}

// Record records the result of a try that Start was not called for.
func (d *Detector) Record(t fleet.TargetID, r fleet.TryResult, latency time.Duration) {
	if c := d.rec.counter(t); c != nil {
		d.rec.record(c, r, latency, false)
	}
}

// Tick processes the tries recorded since the last tick and returns the result.
// It should be called every 50 to 100 ms; it is cheap while a service is idle
// and healthy.
func (d *Detector) Tick(now time.Time) Output {
	d.rec.scan(now)
	dirty := d.rec.dirty.Swap(false)
	if !dirty && !d.active && !d.out.due(now) {
		return Output{Snapshot: d.snapshot, Suspect: d.suspect}
	}
	d.measure(now)
	if now.Sub(d.pooledAt) > pooledRateTTL {
		d.judge.pooled = [channels]float64{}
	}
	d.mergeVerdicts(now)
	if dirty {
		d.collect(now)
	}
	d.judge.step(now)
	d.accuse(now)
	was := d.active
	d.advance(now)
	var events []Event
	if was || d.active {
		events = d.publish(now)
	}
	return Output{Snapshot: d.snapshot, Report: d.report(now), Events: events, Suspect: d.suspect}
}

// measure recomputes the median latency and the limit for slow tries.
func (d *Detector) measure(now time.Time) {
	if now.Sub(d.medianAt) < medianInterval {
		return
	}
	d.medianAt = now
	median, samples := d.rec.latencies.median()
	d.out.median, d.out.samples = median, samples
	if d.pooledMedian > 0 {
		median, samples = d.pooledMedian, minMedianSamples
	}
	if samples >= minMedianSamples {
		d.rec.slowAfter.Store(int64(slowLimit(median)))
		d.judge.median = median
	}
	if now.Sub(d.halvedAt) >= halveInterval {
		d.halvedAt = now
		d.rec.latencies.halve()
	}
}

func slowLimit(median time.Duration) time.Duration {
	return max(time.Duration(slowFactor*float64(median)), median+slowSlack)
}

// collect drains the counters into the reports and the evidence of each target.
func (d *Detector) collect(now time.Time) {
	for i, s := range d.targets {
		c := s.counter.drain()
		if c == (Counts{}) {
			continue
		}
		d.out.add(s, c)
		if c.Cold > 0 {
			s.coldAt = now
		}
		if c.Draining > 0 {
			s.drainingAt = now
		}
		if c.Shed > 0 {
			s.shedAt = now
		}
		switch {
		case s.ejection.excluded():
			s.ejection.add(c.tallies())
		case s.pooledExcluded():
		default:
			d.judge.add(i, observation{source: source{zone: d.zone}, tallies: c.tallies()})
		}
	}
}

func (s *targetState) pooledExcluded() bool {
	return s.pooled != nil && s.pooled.Phase != Returning
}

// accuse ejects, for this instance only, the targets accused by its own
// evidence.
func (d *Detector) accuse(now time.Time) {
	hot, crowded := d.judge.suspects()
	d.suspect = crowded
	if len(hot) == 0 || crowded {
		return
	}
	for i, s := range d.targets {
		r := d.judge.rows[i]
		if s.target.State != fleet.Joined || s.ejection.excluded() || s.pooledExcluded() {
			continue
		}
		factor := 1.0
		if s.ejection != nil {
			factor = returnedFactor
		}
		if a, ok := d.judge.accuse(now, r, hot, factor); ok {
			d.eject(now, s, a)
			s.ejection.base = d.judge.bases(r)
			d.judge.setExcluded(r, true)
		}
	}
}

func (d *Detector) eject(now time.Time, s *targetState, a accusation) {
	level := s.record.next(now, d.cfg)
	if s.ejection != nil {
		level = s.ejection.level + 1
	}
	s.ejection = newEjection(now, d.cfg, d.zone, level, a)
}

// advance updates the phases of the instance's own ejections.
func (d *Detector) advance(now time.Time) {
	d.active = d.suspect || len(d.received) > 0
	for i, s := range d.targets {
		r := d.judge.rows[i]
		if s.ejection != nil && s.ejection.advance(now, d.cfg, d.lim) {
			s.record = record{level: s.ejection.level, returnedAt: now}
			s.ejection = nil
		}
		d.judge.setExcluded(r, s.ejection.excluded() || s.pooledExcluded())
		r.warming = d.warming(s, now)
		r.muted = r.warming || s.ejection != nil || s.pooled != nil || now.Sub(s.shedAt) < busyTTL
		d.active = d.active || r.muted || !s.drainingAt.IsZero()
	}
	d.active = d.active || d.judge.undecided()
}

// warming reports whether the target joined or was cold within a slow start.
func (d *Detector) warming(s *targetState, now time.Time) bool {
	return now.Sub(s.warmingSince()) < d.cfg.SlowStart
}

func (s *targetState) warmingSince() time.Time { return later(s.coldAt, s.startedAt) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
