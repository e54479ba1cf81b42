package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// prefix stands before each metric's name.
const prefix = "clementinereel_"

var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// ServeHTTP answers with all metrics in the Prometheus text format 0.0.4.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	r.Write(w)
}

// Write prints all metrics in the Prometheus text format, sorted by name.
func (r *Registry) Write(w io.Writer) {
	r.captureProcess()
	all := make(map[string]any)
	r.reg.Each(func(name string, m any) { all[name] = m })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	lastBase := ""
	for _, name := range names {
		base, labels := split(name)
		if base != lastBase {
			fmt.Fprintf(w, "# TYPE %s%s %s\n", prefix, base, kind(all[name]))
			lastBase = base
		}
		writeMetric(w, base, labels, all[name])
	}
}

// split parts `base{labels}` into base and the labels without braces. Dots,
// which packages use to group their metrics, become underscores.
func split(name string) (base, labels string) {
	base, rest, _ := strings.Cut(name, "{")
	base = strings.ReplaceAll(base, ".", "_")
	return base, strings.TrimSuffix(rest, "}")
}

func kind(m any) string {
	switch m.(type) {
	case metrics.Counter:
		return "counter"
	case metrics.Histogram:
		return "summary"
	}
	return "gauge"
}

func writeMetric(w io.Writer, base, labels string, m any) {
	switch m := m.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "%s%s%s %d\n", prefix, base, braces(labels), m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "%s%s%s %d\n", prefix, base, braces(labels), m.Value())
	case metrics.Histogram:
		writeSummary(w, base, labels, m)
	}
}

func writeSummary(w io.Writer, base, labels string, h metrics.Histogram) {
	values := h.Percentiles(quantiles)
	for i, q := range quantiles {
		l := fmt.Sprintf("quantile=\"%g\"", q)
		if labels != "" {
			l = labels + "," + l
		}
		fmt.Fprintf(w, "%s%s%s %g\n", prefix, base, braces(l), seconds(values[i]))
	}
	fmt.Fprintf(w, "%s%s_sum%s %g\n", prefix, base, braces(labels), seconds(float64(h.Sum())))
	fmt.Fprintf(w, "%s%s_count%s %d\n", prefix, base, braces(labels), h.Count())
}

func braces(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
}

func seconds(nanos float64) float64 { return nanos / float64(time.Second) }
