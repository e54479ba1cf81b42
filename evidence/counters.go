package evidence

import (
	"github.com/rcrowley/go-metrics"

	"github.com/clementinereel/clementinereel/outlier"
)

// counters are the package's metrics, registered with the prefix "evidence.".
// With a nil registry they are not exported.
type counters struct {
	sent, lost, folded, unknown, malformed, announced metrics.Counter
	ejected, returned, givenBack                      metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("evidence."+name, r)
	}
	return &counters{
		sent: counter("reports.sent"), lost: counter("reports.lost"), folded: counter("reports.folded"),
		unknown: counter("services.unknown"), malformed: counter("malformed"), announced: counter("announcements"),
		ejected: counter("targets.ejected"), returned: counter("targets.returned"), givenBack: counter("targets.givenback"),
	}
}

// countChange counts a target that was ejected, given back by the floor, or
// returned to use.
func (c *counters) countChange(e outlier.Event) {
	switch {
	case e.After.GivenBack && !e.Before.GivenBack:
		c.givenBack.Inc(1)
	case e.After.Phase == outlier.Ejected && e.Before.Phase != outlier.Ejected:
		c.ejected.Inc(1)
	case e.After.Phase == outlier.InUse && e.Before.Phase == outlier.Returning:
		c.returned.Inc(1)
	}
}
