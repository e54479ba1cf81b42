package outlier

import (
	"math"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// medianSamples is how many good tries a median is taken from at least.
	medianSamples = 30
	// medianInterval and halveInterval are how often the latency yardstick
	// is renewed and how often the samples behind it are halved.
	medianInterval = time.Second
	halveInterval  = 10 * time.Second
	// pooledKept is how long the rates heard from an aggregator are used.
	pooledKept = 10 * time.Second
)

// Detector judges the targets of one service as seen from one instance, and
// joins to it what aggregators say. Start, Done and Record may be called from
// anywhere at any time; all other methods belong to one goroutine.
type Detector struct {
	cfg  Config
	lim  limits
	self fleet.InstanceID
	zone fleet.Zone

	rec     recorder
	service fleet.ServiceID
	judge   *judge
	seats   []*seat
	held    map[fleet.InstanceID]*heldVerdicts
	out     outbox

	snapshot *Snapshot
	suspect  bool
	// active means that the passing of time alone may change something.
	active bool

	pooledMedian time.Duration
	pooledAt     time.Time
	medianAt     time.Time
	halvedAt     time.Time
}

// seat is what a detector keeps for one target beside the evidence.
type seat struct {
	target  fleet.Target
	counter *counter
	// stay is the instance's own ejection, if any; record remembers it.
	stay   *stay
	record record
	// pooled is the strictest verdict of an aggregator, if any.
	pooled *Verdict
	// elsewhere means that another zone is told not to use the target.
	elsewhere bool
	// startedAt, coldAt and drainingAt are when the target joined and when
	// it last said that it is cold or draining.
	startedAt, coldAt, drainingAt time.Time
	// shedAt is when the target last shed load.
	shedAt time.Time
	sent   sentCounts
}

// heldVerdicts are the last verdicts heard from one aggregator.
type heldVerdicts struct {
	at       time.Time
	verdicts Verdicts
}

// Output is what a tick of a detector hands out.
type Output struct {
	// Snapshot is what the request path should use from now on.
	Snapshot *Snapshot
	// Report is for the service's aggregator; nil: nothing worth sending.
	Report *Report
	// Events are the changes of targets' states since the last tick.
	Events []Event
	// Suspect means that so many targets look sick from this instance that
	// it blames its own network. It ejects nothing by its own evidence then.
	Suspect bool
}

// NewDetector returns a detector without targets.
func NewDetector(cfg Config, self fleet.InstanceID, zone fleet.Zone) *Detector {
	lim := cfg.limits()
	d := &Detector{
		cfg: cfg, lim: lim, self: self, zone: zone,
		judge: newJudge(lim.threshold, lim.settle),
		held:  map[fleet.InstanceID]*heldVerdicts{},
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
	old := map[fleet.TargetID]*seat{}
	for _, s := range d.seats {
		old[s.target.ID] = s
	}
	d.seats = d.seats[:0:0]
	for _, r := range d.judge.rows {
		s := old[r.target.ID]
		if s == nil {
			s = &seat{}
		}
		if !s.target.Since.Equal(r.target.Since) {
			s.startedAt = earlier(r.target.Since, now)
		}
		s.target = r.target
		s.counter = d.rec.counter(r.target.ID)
		d.seats = append(d.seats, s)
		d.service = r.target.Service
	}
	d.active = true
}

// earlier guards against a log whose clock is ahead.
func earlier(a, b time.Time) time.Time {
	if a.After(b) {
		return b
	}
	return a
}

// Start tells that a try at a target begins. Done must be called with the
// returned Try, once. Between the two, a try that stays open for too long is
// already evidence.
func (d *Detector) Start(t fleet.TargetID, now time.Time) Try { return d.rec.start(t, now) }

// Done tells how a try ended and how long it took; do not Record it as well.
func (d *Detector) Done(t Try, r fleet.TryResult, latency time.Duration) {
	d.rec.done(t, r, latency)
}

// Record tells how a try ended that Start was not called for.
func (d *Detector) Record(t fleet.TargetID, r fleet.TryResult, latency time.Duration) {
	if c := d.rec.counter(t); c != nil {
		d.rec.record(c, r, latency, false)
	}
}

// Tick folds what was recorded since the last tick and returns what follows.
// It should be called every 50 to 100 ms; it costs next to nothing while a
// service is idle and well.
func (d *Detector) Tick(now time.Time) Output {
	d.rec.scan(now)
	dirty := d.rec.dirty.Swap(false)
	if !dirty && !d.active && !d.out.due(now) {
		return Output{Snapshot: d.snapshot, Suspect: d.suspect}
	}
	d.measure(now)
	if now.Sub(d.pooledAt) > pooledKept {
		d.judge.pooled = [channels]float64{}
	}
	d.joinVerdicts(now)
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

// measure renews the yardstick of latency.
func (d *Detector) measure(now time.Time) {
	if now.Sub(d.medianAt) < medianInterval {
		return
	}
	d.medianAt = now
	median, samples := d.rec.latencies.median()
	d.out.median, d.out.samples = median, samples
	if d.pooledMedian > 0 {
		median, samples = d.pooledMedian, medianSamples
	}
	if samples >= medianSamples {
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

// collect drains the counters and hands the evidence where it belongs.
func (d *Detector) collect(now time.Time) {
	for i, s := range d.seats {
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
		case s.stay.aside():
			s.stay.add(c.tallies())
		case s.pooledAside():
		default:
			d.judge.add(i, seen{source: source{zone: d.zone}, tallies: c.tallies()})
		}
	}
}

func (s *seat) pooledAside() bool {
	return s.pooled != nil && s.pooled.Phase != Returning
}

// accuse ejects, for this instance alone, the targets that its own evidence
// accuses.
func (d *Detector) accuse(now time.Time) {
	hot, crowded := d.judge.crowd()
	d.suspect = crowded
	if len(hot) == 0 || crowded {
		return
	}
	for i, s := range d.seats {
		r := d.judge.rows[i]
		if s.target.State != fleet.Joined || s.stay.aside() || s.pooledAside() {
			continue
		}
		factor := 1.0
		if s.stay != nil {
			factor = returnedFactor
		}
		if a, ok := d.judge.accuse(now, r, hot, factor); ok {
			d.eject(now, s, a)
			s.stay.base = d.judge.bases(r)
			d.judge.mark(r, true)
		}
	}
}

func (d *Detector) eject(now time.Time, s *seat, a accusation) {
	level := s.record.next(now, d.cfg)
	if s.stay != nil {
		level = s.stay.level + 1
	}
	s.stay = newStay(now, d.cfg, d.zone, level, a)
}

// advance moves the instance's own ejections on.
func (d *Detector) advance(now time.Time) {
	d.active = d.suspect || len(d.held) > 0
	for i, s := range d.seats {
		r := d.judge.rows[i]
		if s.stay != nil && s.stay.advance(now, d.cfg, d.lim) {
			s.record = record{level: s.stay.level, returnedAt: now}
			s.stay = nil
		}
		d.judge.mark(r, s.stay.aside() || s.pooledAside())
		r.warming = d.warming(s, now)
		r.muted = r.warming || s.stay != nil || s.pooled != nil || now.Sub(s.shedAt) < busyHold
		d.active = d.active || r.muted || !s.drainingAt.IsZero()
	}
	d.active = d.active || d.judge.undecided()
}

// warming tells whether the target joined or was cold within a slow start.
func (d *Detector) warming(s *seat, now time.Time) bool {
	return now.Sub(s.warmFrom()) < d.cfg.SlowStart
}

func (s *seat) warmFrom() time.Time { return later(s.coldAt, s.startedAt) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
