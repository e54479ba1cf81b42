package telemetry

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// sampleSize is how many recent durations a histogram keeps.
	sampleSize = 1028
	// maxCustomers is how many customers have metrics of their own at one
	// instance, those that came first; the others share those of Others.
	maxCustomers = 500
)

// Others stands for the customers without metrics of their own.
const Others fleet.CustomerID = "(others)"

// Label is one label of a metric.
type Label struct{ Key, Value string }

// Name builds a metric's name with its labels.
func Name(base string, labels ...Label) string {
	if len(labels) == 0 {
		return base
	}
	var b strings.Builder
	b.WriteString(base)
	b.WriteByte('{')
	for i, l := range labels {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(l.Key)
		b.WriteString(`="`)
		b.WriteString(escaper.Replace(l.Value))
		b.WriteByte('"')
	}
	b.WriteByte('}')
	return b.String()
}

var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Registry holds an instance's metrics.
type Registry struct {
	reg       metrics.Registry
	durations sync.Map // requestKey -> metrics.Histogram
	customers sync.Map // fleet.CustomerID -> struct{}
	admitted  atomic.Int64
}

type requestKey struct {
	customer fleet.CustomerID
	class    fleet.Class
	outcome  string
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{reg: metrics.NewRegistry()}
}

// Counter returns the counter of a name, made at its first use.
func (r *Registry) Counter(name string, labels ...Label) metrics.Counter {
	return metrics.GetOrRegisterCounter(Name(name, labels...), r.reg)
}

// Gauge returns the gauge of a name, made at its first use.
func (r *Registry) Gauge(name string, labels ...Label) metrics.Gauge {
	return metrics.GetOrRegisterGauge(Name(name, labels...), r.reg)
}

// Customer returns the customer as metrics name it: itself or Others.
func (r *Registry) Customer(c fleet.CustomerID) fleet.CustomerID {
	if _, ok := r.customers.Load(c); ok {
		return c
	}
	if r.admitted.Load() >= maxCustomers {
		return Others
	}
	if _, ok := r.customers.LoadOrStore(c, struct{}{}); !ok {
		r.admitted.Add(1)
	}
	return c
}

// Request records one answered request: its duration by customer, class and
// outcome, where the outcome is the answer's status class as "2xx".
func (r *Registry) Request(c fleet.CustomerID, class fleet.Class, status int, d time.Duration) {
	key := requestKey{customer: r.Customer(c), class: class, outcome: statusClass(status)}
	h, ok := r.durations.Load(key)
	if !ok {
		h, _ = r.durations.LoadOrStore(key, r.newDuration(key))
	}
	h.(metrics.Histogram).Update(int64(d))
}

func (r *Registry) newDuration(key requestKey) metrics.Histogram {
	name := Name("request_duration_seconds",
		Label{"customer", string(key.customer)},
		Label{"class", key.class.String()},
		Label{"status", key.outcome})
	return metrics.GetOrRegisterHistogram(name, r.reg, &window{})
}

func statusClass(status int) string {
	switch status / 100 {
	case 2:
		return "2xx"
	case 3:
		return "3xx"
	case 4:
		return "4xx"
	}
	return "5xx"
}

// Metrics returns the underlying registry, for packages that bring metrics
// of their own.
func (r *Registry) Metrics() metrics.Registry { return r.reg }
