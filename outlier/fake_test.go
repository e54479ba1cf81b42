package outlier

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// fakeFleet drives detectors and one aggregator on a fake clock. It simulates
// callers with a given rate, targets that respond by a schedule, and report loss.
type fakeFleet struct {
	cfg        Config
	targets    []fleet.Target
	detectors  []*Detector
	zones      []fleet.Zone
	aggregator *Aggregator
	rng        *rand.Rand
	now        time.Time
	start      time.Time
	rate       float64
	// answer returns the result and latency of a try that starts now.
	answer  func(zone fleet.Zone, instance, target int, at time.Duration) (fleet.TryResult, time.Duration)
	deliver func(from int) bool
	pushed  int64
	open    tries
	events  []Event
	// started counts the tries started at each target, firstFailed is the time
	// of the first failure on any instance, lastStart that of the last try.
	started     []int
	firstFailed []time.Duration
	lastStart   []time.Duration
	reports     int
	ejected     map[fleet.TargetID]bool
}

type openTryEnd struct {
	at       time.Time
	instance int
	target   int
	try      Try
	res      fleet.TryResult
	latency  time.Duration
}

type tries []openTryEnd

func (t tries) Len() int           { return len(t) }
func (t tries) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t tries) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *tries) Push(x any)        { *t = append(*t, x.(openTryEnd)) }
func (t *tries) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

const (
	fakeTick    = 50 * time.Millisecond
	fakeLatency = 50 * time.Millisecond
	fakeTimeout = 800 * time.Millisecond
)

var epoch = time.Unix(1_800_000_000, 0)

func testTargets(n int) []fleet.Target {
	ts := make([]fleet.Target, n)
	for i := range ts {
		ts[i] = fleet.Target{
			ID: fleet.TargetID(fmt.Sprintf("t%02d", i)), Service: "c/s",
			Zone: testZone(i), State: fleet.Joined, Since: epoch.Add(-time.Hour),
		}
	}
	return ts
}

func testZone(i int) fleet.Zone { return fleet.Zone(fmt.Sprintf("z%d", i%3)) }

func newFakeFleet(cfg Config, instances, targets int, rate float64, seed uint64) *fakeFleet {
	f := &fakeFleet{
		cfg: cfg, targets: testTargets(targets), rng: rand.New(rand.NewPCG(seed, 1)),
		now: epoch, start: epoch, rate: rate,
		answer: func(fleet.Zone, int, int, time.Duration) (fleet.TryResult, time.Duration) {
			return fleet.TryOK, 0
		},
		deliver:     func(int) bool { return true },
		started:     make([]int, targets),
		firstFailed: make([]time.Duration, targets),
		lastStart:   make([]time.Duration, targets),
		ejected:     map[fleet.TargetID]bool{},
	}
	f.aggregator = NewAggregator(cfg, "agg")
	f.aggregator.SetTargets(f.targets)
	for i := range instances {
		d := NewDetector(cfg, fleet.InstanceID(fmt.Sprintf("i%02d", i)), testZone(i))
		d.SetTargets(epoch, f.targets)
		f.detectors = append(f.detectors, d)
		f.zones = append(f.zones, testZone(i))
	}
	return f
}

// usual returns a lognormal service time around fakeLatency.
func (f *fakeFleet) usual() time.Duration {
	return time.Duration(float64(fakeLatency) * math.Exp(0.4*f.rng.NormFloat64()))
}

func (f *fakeFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.callers()
		f.now = f.now.Add(fakeTick)
		f.finish()
		f.tick()
	}
}

// callers starts the tries of one tick.
func (f *fakeFleet) callers() {
	for n := f.poisson(f.rate * fakeTick.Seconds()); n > 0; n-- {
		i := f.rng.IntN(len(f.detectors))
		at := f.now.Add(time.Duration(f.rng.Int64N(int64(fakeTick))))
		t := f.pick(i)
		if t < 0 {
			continue
		}
		res, latency := f.answer(f.zones[i], i, t, at.Sub(f.start))
		if latency == 0 {
			latency = f.usual()
		}
		f.started[t]++
		f.lastStart[t] = at.Sub(f.start)
		try := f.detectors[i].Start(f.targets[t].ID, at)
		heap.Push(&f.open, openTryEnd{at.Add(latency), i, t, try, res, latency})
	}
}

func (f *fakeFleet) poisson(mean float64) int {
	n, p := 0, f.rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= f.rng.Float64()
	}
	return n
}

func (f *fakeFleet) pick(i int) int {
	s, sum := f.detectors[i].snapshot, 0.0
	for _, t := range f.targets {
		sum += s.Weight(t.ID)
	}
	at := f.rng.Float64() * sum
	for j, t := range f.targets {
		if at -= s.Weight(t.ID); at < 0 {
			return j
		}
	}
	return -1
}

func (f *fakeFleet) finish() {
	for len(f.open) > 0 && !f.open[0].at.After(f.now) {
		e := heap.Pop(&f.open).(openTryEnd)
		f.detectors[e.instance].Done(e.try, e.res, e.latency)
		if e.res.Failed() && f.firstFailed[e.target] == 0 {
			f.firstFailed[e.target] = e.at.Sub(f.start)
		}
	}
}

func (f *fakeFleet) tick() {
	for i, d := range f.detectors {
		out := d.Tick(f.now)
		for _, e := range out.Events {
			f.events = append(f.events, e)
			if e.After.Phase == Ejected {
				f.ejected[e.Target] = true
			}
		}
		if out.Report != nil && f.deliver(i) {
			f.reports++
			d.ApplyVerdicts(f.now, f.aggregator.Fold(f.now, *out.Report))
		}
	}
	v := f.aggregator.Tick(f.now)
	if v.Number == f.pushed {
		return
	}
	f.pushed = v.Number
	for i, d := range f.detectors {
		if f.deliver(i) {
			d.ApplyVerdicts(f.now, v)
		}
	}
}
