package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/load"
)

// Row sums the runs of one fault up.
type Row struct {
	User  string
	Fault string
	// Eject tells whether setting the sick targets aside is right.
	Eject bool
	Runs  int
	// Detection gives median, and worst, in seconds; Undetected counts runs
	// in which a sick target was never left alone.
	Median     float64
	Worst      float64
	Undetected int
	// SickWork is the mean number of requests that met the sickness.
	SickWork float64
	// FalseTargets and FalsePairs are sums over the runs.
	FalseTargets int
	FalsePairs   int
	BelowFloor   int
	// Goodput is the share of operations that came back whole, by class.
	Goodput map[fleet.Class]float64
	// P50 and P99 are the medians over the runs of the latencies of the
	// sick service's class, in milliseconds.
	P50 float64
	P99 float64
	// TriesOnTop is the work that came to the service's targets on top of
	// the operations, in percent.
	TriesOnTop float64
}

// Summarize makes one row for each fault, in their order.
func Summarize(c Config, all []Result) []Row {
	var rows []Row
	for _, fault := range c.Faults {
		var runs []Result
		for _, r := range all {
			if r.Fault.Name == fault.Name {
				runs = append(runs, r)
			}
		}
		if len(runs) > 0 {
			rows = append(rows, summarize(c, runs))
		}
	}
	return rows
}

func summarize(c Config, runs []Result) Row {
	row := Row{User: c.User.Name, Fault: runs[0].Fault.Name, Eject: runs[0].Fault.Eject, Runs: len(runs), Goodput: map[fleet.Class]float64{}}
	var took, p50, p99 []float64
	tries, operations := 0, 0
	for _, r := range runs {
		for _, d := range r.Detections {
			took = append(took, d.took.Seconds())
			row.SickWork += float64(d.work) / float64(len(runs))
			if !d.detected {
				row.Undetected++
			}
		}
		row.FalseTargets += len(r.FalseTargets)
		row.FalsePairs += r.FalsePairs
		row.BelowFloor += r.BelowFloor
		cr := r.Report.Class(c.Class)
		p50, p99 = append(p50, cr.Latency.P50), append(p99, cr.Latency.P99)
		tries += r.Tries
		operations += cr.Operations
		for _, class := range fleet.Classes {
			row.Goodput[class] += r.goodput(class) / float64(len(runs))
		}
	}
	row.Median, row.Worst = median(took), worst(took)
	row.P50, row.P99 = median(p50), median(p99)
	row.TriesOnTop = 100 * (float64(tries)/float64(max(1, operations)) - 1)
	return row
}

// goodput is the share of a class's operations that came back whole.
func (r Result) goodput(c fleet.Class) float64 {
	cr := r.Report.Class(c)
	return float64(cr.Ended[load.Whole]) / float64(max(1, cr.Operations+cr.NotSent))
}

func (r Result) line() string {
	var parts []string
	for _, d := range r.Detections {
		parts = append(parts, fmt.Sprintf("detected=%v after %v, %d sick", d.detected, d.took.Round(time.Millisecond), d.work))
	}
	for _, c := range r.Report.Classes {
		parts = append(parts, fmt.Sprintf("%v %.1f%% %v", c.Class, 100*r.goodput(c.Class), c.Answers))
	}
	parts = append(parts, fmt.Sprintf("false targets %v pairs %d, ejecting instances %d, below floor %d",
		r.FalseTargets, r.FalsePairs, r.Ejecting, r.BelowFloor))
	return strings.Join(parts, "; ")
}

func median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	v = slices.Sorted(slices.Values(v))
	return v[len(v)/2]
}

func worst(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	return slices.Max(v)
}

var columns = []string{
	"user", "fault", "runs", "detection median s", "worst s", "undetected", "work sent to sick", "false targets",
	"false pairs", "below floor", "lookup %", "confirmation %", "upload %", "p50 ms", "p99 ms", "tries on top %",
}

func (r Row) cells() []string {
	return []string{
		r.User, r.Fault, strconv.Itoa(r.Runs), decimal(r.Median), decimal(r.Worst), strconv.Itoa(r.Undetected),
		decimal(r.SickWork), strconv.Itoa(r.FalseTargets), strconv.Itoa(r.FalsePairs), strconv.Itoa(r.BelowFloor),
		decimal(100 * r.Goodput[fleet.Lookup]), decimal(100 * r.Goodput[fleet.Confirmation]), decimal(100 * r.Goodput[fleet.Upload]),
		decimal(r.P50), decimal(r.P99), decimal(r.TriesOnTop),
	}
}

func decimal(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }

// WriteCSV writes the rows with a heading.
func WriteCSV(w io.Writer, rows []Row) error {
	cw := csv.NewWriter(w)
	_ = cw.Write(columns)
	for _, r := range rows {
		_ = cw.Write(r.cells())
	}
	cw.Flush()
	return errors.WithStack(cw.Error())
}

// WriteTable writes the rows as a Markdown table, aligned for reading.
func WriteTable(w io.Writer, rows []Row) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| "+strings.Join(columns, "\t| ")+"\t|")
	fmt.Fprintln(tw, strings.Repeat("|---\t", len(columns))+"|")
	for _, r := range rows {
		fmt.Fprintln(tw, "| "+strings.Join(r.cells(), "\t| ")+"\t|")
	}
	return errors.WithStack(tw.Flush())
}
