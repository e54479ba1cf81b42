package evidence

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/outlier"
)

// Service is the detection of one service at this instance. Start, Done,
// Record and Snapshot are for the request path; they never wait for a tick.
type Service struct {
	id       fleet.ServiceID
	detector *outlier.Detector
	snapshot atomic.Pointer[outlier.Snapshot]

	// mu guards all calls to the detector but those of the request path, and
	// the aggregator.
	mu         sync.Mutex
	cfg        outlier.Config
	targets    []fleet.Target
	aggregator *outlier.Aggregator
	// announced is the Number of the verdicts that were announced last.
	announced int64
}

// Start tells that a try at a target begins. Done must be called with the
// returned Try, once.
func (s *Service) Start(t fleet.TargetID, now time.Time) outlier.Try {
	return s.detector.Start(t, now)
}

// Done tells how a try ended and how long it took.
func (s *Service) Done(t outlier.Try, r fleet.TryResult, latency time.Duration) {
	s.detector.Done(t, r, latency)
}

// Record tells how a try ended that Start was not called for.
func (s *Service) Record(t fleet.TargetID, r fleet.TryResult, latency time.Duration) {
	s.detector.Record(t, r, latency)
}

// Snapshot returns what the last tick found. It does not change and is never
// nil.
func (s *Service) Snapshot() *outlier.Snapshot { return s.snapshot.Load() }

// set applies a contract and announcements.
func (s *Service) set(now time.Time, cfg outlier.Config, targets []fleet.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg, s.targets = cfg, targets
	s.detector.SetConfig(cfg)
	s.detector.SetTargets(now, targets)
	if s.aggregator != nil {
		s.aggregator.SetConfig(cfg)
		s.aggregator.SetTargets(targets)
	}
	s.snapshot.Store(s.detector.Tick(now).Snapshot)
}

// detect runs the detector. The report, if any, is for the aggregator.
func (s *Service) detect(now time.Time, aggregator fleet.InstanceID, routine time.Duration) outlier.Output {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.ReportTo(aggregator)
	s.detector.SetRoutine(routine)
	out := s.detector.Tick(now)
	s.snapshot.Store(out.Snapshot)
	return out
}

// apply takes in verdicts.
func (s *Service) apply(now time.Time, v outlier.Verdicts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.ApplyVerdicts(now, v)
}

// fold takes in a report of any instance, this one included.
func (s *Service) fold(now time.Time, self fleet.InstanceID, r outlier.Report) outlier.Verdicts {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aggregator == nil {
		s.aggregator = outlier.NewAggregator(s.cfg, self)
		s.aggregator.SetTargets(s.targets)
	}
	return s.aggregator.Fold(now, r)
}

// aggregate runs the aggregator, if there is one. It returns whom to tell of
// the verdicts if they changed.
func (s *Service) aggregate(now time.Time) (outlier.Verdicts, []fleet.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aggregator == nil {
		return outlier.Verdicts{}, nil
	}
	if s.aggregator.Unused(now) {
		s.aggregator = nil
		return outlier.Verdicts{}, nil
	}
	v := s.aggregator.Tick(now)
	if v.Number == s.announced {
		return v, nil
	}
	s.announced = v.Number
	return v, s.aggregator.Reporters()
}
