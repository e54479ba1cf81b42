package evidence

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/outlier"
)

// Service runs the detector of one service and, while reports arrive at this
// instance, its aggregator. Start, Done, Record and Snapshot are for the
// request path and never block on a tick.
type Service struct {
	id       fleet.ServiceID
	detector *outlier.Detector
	snapshot atomic.Pointer[outlier.Snapshot]

	// mu guards the fields below and all calls to the detector except those of
	// the request path.
	mu         sync.Mutex
	cfg        outlier.Config
	targets    []fleet.Target
	aggregator *outlier.Aggregator
	// lastAnnounced is the Number of the last announced verdicts.
	lastAnnounced int64
}

// Start records the start of a try at a target. Done must be called exactly
// once with the returned Try.
func (s *Service) Start(t fleet.TargetID, now time.Time) outlier.Try {
	return s.detector.Start(t, now)
}

// Done records the result and latency of a try.
func (s *Service) Done(t outlier.Try, r fleet.TryResult, latency time.Duration) {
	s.detector.Done(t, r, latency)
}

// Record records the result and latency of a try without a call to Start.
func (s *Service) Record(t fleet.TargetID, r fleet.TryResult, latency time.Duration) {
	s.detector.Record(t, r, latency)
}

// Snapshot returns the immutable result of the last tick or change of
// configuration. It is never nil.
func (s *Service) Snapshot() *outlier.Snapshot { return s.snapshot.Load() }

// set applies the configuration and the targets of the service.
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

// detect runs the detector once. The report in the output, if any, is for the
// aggregator; routine is the interval between routine reports.
func (s *Service) detect(now time.Time, aggregator fleet.InstanceID, routine time.Duration) outlier.Output {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.ReportTo(aggregator)
	s.detector.SetRoutine(routine)
	out := s.detector.Tick(now)
	s.snapshot.Store(out.Snapshot)
	return out
}

// apply passes verdicts to the detector.
func (s *Service) apply(now time.Time, v outlier.Verdicts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.ApplyVerdicts(now, v)
}

// addReport adds a report of any instance, including this one, to the
// aggregator, which it creates if needed. It returns the current verdicts.
func (s *Service) addReport(now time.Time, self fleet.InstanceID, r outlier.Report) outlier.Verdicts {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aggregator == nil {
		s.aggregator = outlier.NewAggregator(s.cfg, self)
		s.aggregator.SetTargets(s.targets)
	}
	return s.aggregator.Fold(now, r)
}

// aggregate runs the aggregator, if there is one, and drops it when it is no
// longer used. If the verdicts changed, it also returns the instances to
// announce them to.
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
	if v.Number == s.lastAnnounced {
		return v, nil
	}
	s.lastAnnounced = v.Number
	return v, s.aggregator.Reporters()
}
