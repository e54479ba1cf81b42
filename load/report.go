package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/clementinereel/clementinereel/fleet"
)

// Bounds and precision of the latency histograms, in microseconds.
const (
	minLatency = 1
	maxLatency = int64(10 * time.Minute / time.Microsecond)
	digits     = 3
)

// tally is what came of one class on one side.
type tally struct {
	operations int
	asks       int
	notSent    int
	verdicts   map[Verdict]int
	answers    map[string]int
	examples   map[string]string
	wrong      int
	truncated  int
	latency    *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		verdicts: map[Verdict]int{},
		answers:  map[string]int{},
		examples: map[string]string{},
		latency:  hdrhistogram.New(minLatency, maxLatency, digits),
	}
}

func (t *tally) add(o outcome) {
	t.operations++
	t.verdicts[o.verdict]++
	for _, a := range o.asks {
		t.asks++
		t.answers[a.detail.kind]++
		if a.detail.text != "" && t.examples[a.detail.kind] == "" {
			t.examples[a.detail.kind] = a.answered.Format(time.RFC3339Nano) + " " + a.detail.text
		}
		switch a.verdict {
		case Wrong:
			t.wrong++
		case Truncated:
			t.truncated++
		}
	}
	if o.verdict == Whole {
		us := min(max(int64(o.latency/time.Microsecond), minLatency), maxLatency)
		_ = t.latency.RecordValue(us)
	}
}

// Latency gives quantiles in milliseconds, from the intended start to the
// whole answer; operations without one are not in it.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// ClassReport is what came of one class on one side.
type ClassReport struct {
	Route Route       `json:"route"`
	Class fleet.Class `json:"class"`
	// Operations is how many were begun, Asks how many requests they took.
	Operations int `json:"operations"`
	Asks       int `json:"asks"`
	// NotSent counts operations that were not begun, since too many were
	// under way; Operations leaves them out.
	NotSent int `json:"not_sent"`
	// Goodput is the number of whole answers a second.
	Goodput float64 `json:"goodput_per_second"`
	// Ended counts operations by how they ended.
	Ended map[Verdict]int `json:"ended"`
	// Wrong and Truncated count asks, those of operations that another ask
	// ended well included.
	Wrong     int `json:"wrong"`
	Truncated int `json:"truncated"`
	// Answers counts asks by status and type of problem.
	Answers map[string]int `json:"answers"`
	// Examples has, for kinds of answers that were not whole, when the first
	// one came and what it said.
	Examples map[string]string `json:"examples,omitempty"`
	Latency  Latency           `json:"latency"`
}

// Comparison is the latency that the fleet adds to one class.
type Comparison struct {
	Class fleet.Class `json:"class"`
	// AddedP50 and AddedP99 are differences of quantiles in milliseconds.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	// RatioP50 and RatioP99 are the quantiles' ratios to the direct way.
	RatioP50 float64 `json:"ratio_p50"`
	RatioP99 float64 `json:"ratio_p99"`
}

// Report is what came of a run.
type Report struct {
	Seconds float64       `json:"seconds"`
	Classes []ClassReport `json:"classes"`
	// Added is filled in if the run went both ways.
	Added []Comparison `json:"added,omitempty"`
	// Audit is filled in if the targets are known.
	Audit *Audit `json:"audit,omitempty"`
}

// Broken tells whether a promise to the callers was broken.
func (r *Report) Broken() bool {
	for _, c := range r.Classes {
		if c.Wrong > 0 {
			return true
		}
	}
	return r.Audit != nil && r.Audit.Broken()
}

// Class returns the report of a class on the way through the fleet.
func (r *Report) Class(c fleet.Class) ClassReport {
	return r.find(ThroughFleet, c)
}

func (r *Report) find(route Route, c fleet.Class) ClassReport {
	for _, cr := range r.Classes {
		if cr.Route == route && cr.Class == c {
			return cr
		}
	}
	return ClassReport{Route: route, Class: c}
}

// report sums the tallies up.
func (r *run) report(took time.Duration) *Report {
	rep := &Report{Seconds: took.Seconds()}
	for key, t := range r.tallies {
		rep.Classes = append(rep.Classes, t.report(key, r.opts.Duration))
	}
	slices.SortFunc(rep.Classes, func(a, b ClassReport) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Route, b.Route))
	})
	if r.opts.Route == Both {
		rep.compare()
	}
	return rep
}

func (t *tally) report(key tallyKey, d time.Duration) ClassReport {
	return ClassReport{
		Route:      key.side,
		Class:      key.class,
		Operations: t.operations,
		Asks:       t.asks,
		NotSent:    t.notSent,
		Goodput:    float64(t.verdicts[Whole]) / d.Seconds(),
		Ended:      t.verdicts,
		Wrong:      t.wrong,
		Truncated:  t.truncated,
		Answers:    t.answers,
		Examples:   t.examples,
		Latency: Latency{
			P50:  t.quantile(50),
			P90:  t.quantile(90),
			P99:  t.quantile(99),
			P999: t.quantile(99.9),
			Max:  float64(t.latency.Max()) / 1000,
		},
	}
}

func (t *tally) quantile(percent float64) float64 {
	return float64(t.latency.ValueAtQuantile(percent)) / 1000
}

func (r *Report) compare() {
	for _, c := range fleet.Classes {
		via, direct := r.find(ThroughFleet, c), r.find(Direct, c)
		if via.Operations == 0 || direct.Operations == 0 {
			continue
		}
		v, d := via.Latency, direct.Latency
		r.Added = append(r.Added, Comparison{
			Class:    c,
			AddedP50: v.P50 - d.P50,
			AddedP99: v.P99 - d.P99,
			RatioP50: ratio(v.P50, d.P50),
			RatioP99: ratio(v.P99, d.P99),
		})
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
