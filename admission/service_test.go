package admission

import (
	"math/rand/v2"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

var testEpoch = time.Unix(1_700_000_000, 0)

const (
	testStep  = time.Millisecond
	testTries = 3
)

// testService simulates the gates of all instances in front of a service with
// a few slots. The service time is exponentially distributed. A request without
// a free slot is shed or, if queues is set, queued at the service.
type testService struct {
	now     time.Time
	rng     *rand.Rand
	gates   []*Gate
	weights []float64
	slots   int
	queues  bool
	mean    time.Duration
	budget  time.Duration

	busy    []testJob
	queued  []testJob
	waiting []map[Ticket]testJob
	// backingOff holds requests shed by a target until their next try.
	backingOff []testJob

	offered, done, doneLow, offeredLow, shedByTarget, late int
}

type testJob struct {
	gate     int
	low      bool
	tries    int
	start    time.Time
	until    time.Time
	deadline time.Time
}

func newTestService(seed uint64, instances, slots int, even bool) *testService {
	s := &testService{
		now: testEpoch, rng: rand.New(rand.NewPCG(seed, 0)),
		slots: slots, mean: 20 * time.Millisecond, budget: 500 * time.Millisecond,
	}
	for i := range instances {
		g := NewGate()
		s.gates = append(s.gates, g)
		s.waiting = append(s.waiting, make(map[Ticket]testJob))
		w := 0.7 / float64(instances-1)
		if i == 0 {
			w = 0.3
		}
		share := w
		if even {
			share = 1 / float64(instances)
		}
		g.SetCapacity(slots, share)
		s.weights = append(s.weights, w)
	}
	return s
}

// capacity returns the throughput of all slots in requests per second.
func (s *testService) capacity() float64 { return float64(s.slots) / s.mean.Seconds() }

func (s *testService) run(d time.Duration, rate float64) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(testStep) {
		s.finish()
		s.retryDue()
		for i := range s.gates {
			for p := s.rng.ExpFloat64(); p < rate*s.weights[i]*testStep.Seconds(); p += s.rng.ExpFloat64() {
				s.arrive(i)
			}
		}
		if s.now.Sub(testEpoch)%(50*time.Millisecond) == 0 {
			for i, g := range s.gates {
				s.handle(i, g.Tick(s.now))
			}
		}
	}
}

func (s *testService) arrive(i int) {
	j := testJob{gate: i, low: s.rng.IntN(2) == 0, deadline: s.now.Add(s.budget)}
	value := 90
	s.offered++
	if j.low {
		value = 10
		s.offeredLow++
	}
	d, events := s.gates[i].Enter(s.now, value, j.deadline)
	s.handle(i, events)
	switch d.Verdict {
	case Admitted:
		s.start(j)
	case Queued:
		s.waiting[i][d.Ticket] = j
	}
}

func (s *testService) handle(i int, events []Event) {
	for _, e := range events {
		j := s.waiting[i][e.Ticket]
		delete(s.waiting[i], e.Ticket)
		if e.Verdict == Admitted {
			s.start(j)
		}
	}
}

func (s *testService) start(j testJob) {
	j.start = s.now
	if len(s.busy) >= s.slots {
		if s.queues {
			s.queued = append(s.queued, j)
			return
		}
		s.shedByTarget++
		s.retry(j)
		return
	}
	s.begin(j)
}

// retry schedules another try of a request that a target shed, up to testTries
// tries in total.
func (s *testService) retry(j testJob) {
	s.gates[j.gate].Observe(s.now, fleet.TryShed, 0)
	j.tries++
	if j.tries >= testTries {
		s.leave(j)
		return
	}
	j.until = s.now.Add(time.Duration(s.rng.Float64() * float64(20*time.Millisecond<<j.tries)))
	s.backingOff = append(s.backingOff, j)
}

func (s *testService) retryDue() {
	due := s.backingOff
	s.backingOff = nil
	for _, j := range due {
		if j.until.After(s.now) {
			s.backingOff = append(s.backingOff, j)
			continue
		}
		s.start(j)
	}
}

func (s *testService) begin(j testJob) {
	j.until = s.now.Add(time.Duration(s.rng.ExpFloat64() * float64(s.mean)))
	s.busy = append(s.busy, j)
}

func (s *testService) finish() {
	for k := 0; k < len(s.busy); k++ {
		j := s.busy[k]
		if j.until.After(s.now) {
			continue
		}
		s.busy[k] = s.busy[len(s.busy)-1]
		s.busy = s.busy[:len(s.busy)-1]
		k--
		if len(s.queued) > 0 {
			s.begin(s.queued[0])
			s.queued = s.queued[1:]
		}
		s.complete(j)
	}
}

func (s *testService) complete(j testJob) {
	if s.now.After(j.deadline) {
		s.late++
		s.observe(j, fleet.TryTimeout)
		s.leave(j)
		return
	}
	s.done++
	if j.low {
		s.doneLow++
	}
	s.observe(j, fleet.TryOK)
	s.leave(j)
}

func (s *testService) observe(j testJob, r fleet.TryResult) {
	s.gates[j.gate].Observe(s.now, r, s.now.Sub(j.start))
}

func (s *testService) leave(j testJob) {
	s.handle(j.gate, s.gates[j.gate].Leave(s.now))
}

func (s *testService) reset() {
	s.offered, s.done, s.doneLow, s.offeredLow, s.shedByTarget, s.late = 0, 0, 0, 0, 0, 0
}
