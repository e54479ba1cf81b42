package load

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Formats in which a Report can be printed.
const (
	Text = "text"
	JSON = "json"
	CSV  = "csv"
)

// Print writes the report in one of the formats.
func (r *Report) Print(w io.Writer, format string) error {
	switch format {
	case Text, "":
		return r.printText(w)
	case JSON:
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return errors.WithStack(enc.Encode(r))
	case CSV:
		return r.printCSV(w)
	}
	return errors.Errorf("format %q: want text, json or csv", format)
}

// columns are the table's columns, in order.
var columns = []string{
	"class", "route", "operations", "not sent", "asks", "whole/s", "whole", "not-run", "unknown", "limited",
	"unavailable", "refused", "failed", "lost", "wrong", "truncated", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms",
}

func (c ClassReport) row() []string {
	row := []string{c.Class.String(), string(c.Route), strconv.Itoa(c.Operations), strconv.Itoa(c.NotSent), strconv.Itoa(c.Asks), decimal(c.Goodput)}
	for _, v := range []Verdict{Whole, NotRun, Unknown, Limited, Unavailable, Refused, Failed, Lost} {
		row = append(row, strconv.Itoa(c.Ended[v]))
	}
	row = append(row, strconv.Itoa(c.Wrong), strconv.Itoa(c.Truncated))
	l := c.Latency
	for _, v := range []float64{l.P50, l.P90, l.P99, l.P999, l.Max} {
		row = append(row, decimal(v))
	}
	return row
}

func decimal(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }

func (r *Report) printCSV(w io.Writer) error {
	cw := csv.NewWriter(w)
	_ = cw.Write(columns)
	for _, c := range r.Classes {
		_ = cw.Write(c.row())
	}
	cw.Flush()
	return errors.WithStack(cw.Error())
}

func (r *Report) printText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	r.printTable(tw)
	if err := tw.Flush(); err != nil {
		return errors.WithStack(err)
	}
	r.printAnswers(w)
	for _, a := range r.Added {
		fmt.Fprintf(w, "%v: the fleet adds %.2f ms at p50 (x%.2f) and %.2f ms at p99 (x%.2f)\n",
			a.Class, a.AddedP50, a.RatioP50, a.AddedP99, a.RatioP99)
	}
	if a := r.Audit; a != nil {
		fmt.Fprintf(w, "audit of %d operations: doubled %d, falsely told not run %d, unknown that ran %d, unknown that did not %d\n",
			a.Keys, a.Doubled, a.FalseNotRun, a.UnknownRan, a.UnknownNotRun)
	}
	return nil
}

// printTable writes one row for each quantity and one column for each class,
// which stays narrow.
func (r *Report) printTable(w io.Writer) {
	rows := make([][]string, len(columns))
	for i, name := range columns {
		rows[i] = []string{name}
	}
	for _, c := range r.Classes {
		for i, cell := range c.row() {
			rows[i] = append(rows[i], cell)
		}
	}
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t")+"\t")
	}
}

func (r *Report) printAnswers(w io.Writer) {
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%v (%s) answers:", c.Class, c.Route)
		for _, detail := range slices.Sorted(maps.Keys(c.Answers)) {
			fmt.Fprintf(w, " %s: %d;", detail, c.Answers[detail])
		}
		fmt.Fprintln(w)
	}
}
