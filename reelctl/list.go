package reelctl

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/publication"
)

// timeFormat is how times are printed, in UTC.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func table(w io.Writer, heading string, rows func(w io.Writer)) {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, heading)
	rows(tw)
	_ = tw.Flush()
}

// list prints all customers.
func (c *ShowCmd) list(a *App, view *publication.View) error {
	all := []shown{}
	for _, id := range slices.Sorted(maps.Keys(view.Contracts)) {
		all = append(all, newShown(view.Contracts[id]))
	}
	return c.print(a, all, func(w io.Writer) {
		table(w, "CUSTOMER\tREVISION\tACCEPTED\tSERVICES\tROUTES\tPUBLICATION", func(w io.Writer) {
			for _, v := range all {
				fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\t%s\n", v.Contract.Customer, v.Revision, v.Time, len(v.Contract.Services), len(v.Contract.Routes), v.ID)
			}
		})
	})
}

// HistoryCmd lists what the log keeps of a customer.
type HistoryCmd struct {
	Remote
	Output
	Customer fleet.CustomerID `arg:"" help:"Customer."`
}

// Run implements the history command.
func (c *HistoryCmd) Run(a *App) error {
	ctx, cancel, log := c.connect(a)
	defer cancel()
	s, err := readStream(ctx, log)
	if err != nil {
		return exit(ExitNotKnown, "the log did not answer: %v", err)
	}
	entries := []entry{}
	for _, e := range s.entries {
		if e.Customer == c.Customer {
			entries = append(entries, e)
		}
	}
	return c.print(a, entries, func(w io.Writer) {
		table(w, "REVISION\tTIME\tKIND\tTARGET\tVERDICT\tPUBLICATION\tREASON", func(w io.Writer) {
			for _, e := range entries {
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Offset, e.Time.UTC().Format(timeFormat), e.Kind, dash(e.Target), e.Verdict, e.ID, e.Message)
			}
		})
	})
}

func dash[T ~string](s T) T {
	if s == "" {
		return "-"
	}
	return s
}
