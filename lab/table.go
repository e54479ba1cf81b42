package lab

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"
)

// column is one column of the table and of the CSV file.
type column struct {
	name  string
	value func(c Cell) string
}

var columns = []column{
	{"service", func(c Cell) string { return string(c.Service.ID()) }},
	{"class", func(c Cell) string { return c.Service.Class.String() }},
	{"load%", func(c Cell) string { return fmt.Sprintf("%.0f", 100*c.Load) }},
	{"fault", func(c Cell) string { return c.Fault.Name }},
	{"policy", func(c Cell) string { return c.Policy }},
	{"found", func(c Cell) string { return fmt.Sprintf("%d/%d", len(c.Detected), c.Sick) }},
	{"median_s", func(c Cell) string { return seconds(c, c.Detection(0.5)) }},
	{"p95_s", func(c Cell) string { return seconds(c, c.Detection(0.95)) }},
	{"worst_s", func(c Cell) string { return seconds(c, c.Detection(1)) }},
	{"each_s", func(c Cell) string { return seconds(c, c.FirstSight(0.5)) }},
	{"false/h", func(c Cell) string { return fmt.Sprintf("%.2f", c.FalsePerHour()) }},
	{"false_n", func(c Cell) string { return strconv.Itoa(c.FalseEjections) }},
	{"sick_tries/run", func(c Cell) string { return fmt.Sprintf("%.1f", float64(c.SickTries)/float64(c.Runs)) }},
	{"goodput%", func(c Cell) string { return fmt.Sprintf("%.1f", 100*c.Goodput()) }},
	{"retries%", func(c Cell) string { return fmt.Sprintf("%.2f", 100*c.RetryShare()) }},
	{"below_floor_s", func(c Cell) string { return fmt.Sprintf("%.1f", c.BelowFloor.Seconds()) }},
	{"union_below_s", func(c Cell) string { return fmt.Sprintf("%.1f", c.UnionBelowFloor.Seconds()) }},
	{"msgs/s", func(c Cell) string {
		return fmt.Sprintf("%.1f", float64(c.Messages)/float64(c.Instances)/c.Length.Seconds())
	}},
	{"bytes/s", func(c Cell) string { return fmt.Sprintf("%.0f", c.BytesPerSecond()) }},
}

// seconds prints a detection time of the cell, or "-" where nothing was to be
// detected and "never" where it was not.
func seconds(c Cell, d time.Duration) string {
	if c.Sick == 0 {
		return "-"
	}
	if d == Undetected {
		return "never"
	}
	return strconv.FormatFloat(d.Round(10*time.Millisecond).Seconds(), 'f', 2, 64)
}

// WriteTable prints the cells as a table for people.
func WriteTable(w io.Writer, cells []Cell) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	writeRow(tw, func(c column) string { return c.name })
	for _, cell := range cells {
		writeRow(tw, func(c column) string { return c.value(cell) })
	}
	return tw.Flush()
}

func writeRow(w io.Writer, text func(column) string) {
	for _, c := range columns {
		fmt.Fprint(w, text(c), "\t")
	}
	fmt.Fprintln(w)
}

// WriteCSV writes the cells as a CSV file with a header.
func WriteCSV(w io.Writer, cells []Cell) error {
	cw := csv.NewWriter(w)
	rows := [][]string{row(func(c column) string { return c.name })}
	for _, cell := range cells {
		rows = append(rows, row(func(c column) string { return c.value(cell) }))
	}
	return cw.WriteAll(rows)
}

func row(text func(column) string) []string {
	var out []string
	for _, c := range columns {
		out = append(out, text(c))
	}
	return out
}
