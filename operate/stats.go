package operate

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/claim"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/telemetry"
)

// sampleSize is the number of values that a histogram retains.
const sampleSize = 1028

// stats contains the metrics of the service.
type stats struct {
	reg        metrics.Registry
	claimTime  metrics.Histogram
	appends    metrics.Counter
	entries    metrics.Counter
	failures   metrics.Counter
	unresolved metrics.Gauge
}

func newStats(reg metrics.Registry) *stats {
	return &stats{
		reg: reg,
		claimTime: metrics.GetOrRegisterHistogram("operation_claim_seconds", reg,
			metrics.NewExpDecaySample(sampleSize, 0.015)),
		appends:    metrics.GetOrRegisterCounter("operation_appends", reg),
		entries:    metrics.GetOrRegisterCounter("operation_appended_entries", reg),
		failures:   metrics.GetOrRegisterCounter("operation_append_failures", reg),
		unresolved: metrics.GetOrRegisterGauge("operations_unresolved", reg),
	}
}

// count adds one to the counter of a labelled name.
func (s *stats) count(base string, labels ...telemetry.Label) {
	metrics.GetOrRegisterCounter(telemetry.Name(base, labels...), s.reg).Inc(1)
}

// outcome counts an answer by its outcome.
func (s *stats) outcome(a operation.Answer) {
	replayed := "no"
	if a.Replayed {
		replayed = "yes"
	}
	s.count("operation_answers", telemetry.Label{Key: "outcome", Value: a.Outcome.String()},
		telemetry.Label{Key: "replayed", Value: replayed})
}

func (s *stats) claimed(v claim.Verdict, took time.Duration) {
	s.claimTime.Update(took.Nanoseconds())
	s.count("operation_claims", telemetry.Label{Key: "verdict", Value: v.String()})
}

func (s *stats) appended(entries int, err error) {
	s.appends.Inc(1)
	s.entries.Inc(int64(entries))
	if err != nil {
		s.failures.Inc(1)
	}
}

func (s *stats) surveys(result string) {
	s.count("operation_surveys", telemetry.Label{Key: "result", Value: result})
}

// setUnresolved sets the number of unresolved outcomes and logs its changes.
func (s *stats) setUnresolved(n int) {
	if before := s.unresolved.Value(); before != int64(n) {
		klog.InfoS("unresolved operations", "count", n, "before", before)
	}
	s.unresolved.Update(int64(n))
}

// Counts returns the number of keyed operations that run at this instance, and
// of unresolved outcomes in the partitions for which it ranks first.
func (s *Service) Counts() (running, unresolved int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.flights), int(s.stats.unresolved.Value())
}
