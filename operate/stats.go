package operate

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/claim"
	"github.com/clementinereel/clementinereel/operation"
)

// sampleSize is how many values a histogram keeps.
const sampleSize = 1028

// stats counts what the service does.
type stats struct {
	reg        metrics.Registry
	claimTime  metrics.Histogram
	batch      metrics.Histogram
	appends    metrics.Counter
	failures   metrics.Counter
	refusals   metrics.Counter
	unresolved metrics.Gauge
}

func newStats(reg metrics.Registry) *stats {
	sample := func() metrics.Sample { return metrics.NewExpDecaySample(sampleSize, 0.015) }
	return &stats{
		reg:        reg,
		claimTime:  metrics.GetOrRegisterHistogram("operations.claim.micros", reg, sample()),
		batch:      metrics.GetOrRegisterHistogram("operations.append.entries", reg, sample()),
		appends:    metrics.GetOrRegisterCounter("operations.appends", reg),
		failures:   metrics.GetOrRegisterCounter("operations.append.failures", reg),
		refusals:   metrics.GetOrRegisterCounter("operations.claim.refused", reg),
		unresolved: metrics.GetOrRegisterGauge("operations.unresolved", reg),
	}
}

// outcome counts an answer by its outcome.
func (s *stats) outcome(a operation.Answer) {
	name := "operations.answers." + a.Outcome.String()
	if a.Replayed {
		name += ".replayed"
	}
	metrics.GetOrRegisterCounter(name, s.reg).Inc(1)
}

func (s *stats) claimed(v claim.Verdict, took time.Duration) {
	s.claimTime.Update(took.Microseconds())
	metrics.GetOrRegisterCounter("operations.claims."+v.String(), s.reg).Inc(1)
}

func (s *stats) appended(entries int, err error) {
	s.appends.Inc(1)
	s.batch.Update(int64(entries))
	if err != nil {
		s.failures.Inc(1)
	}
}

func (s *stats) refused() { s.refusals.Inc(1) }

func (s *stats) surveys(result string) {
	metrics.GetOrRegisterCounter("operations.surveys."+result, s.reg).Inc(1)
}

// setUnresolved notes the depth of unresolved outcomes and logs its changes.
func (s *stats) setUnresolved(n int) {
	if before := s.unresolved.Value(); before != int64(n) {
		klog.InfoS("unresolved operations", "count", n, "before", before)
	}
	s.unresolved.Update(int64(n))
}
