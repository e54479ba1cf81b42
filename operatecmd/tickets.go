package operatecmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operate"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/reelctl"
)

// TicketsCmd lists ticketed operations without a known outcome.
type TicketsCmd struct {
	remote
	output
	Customer fleet.CustomerID `help:"Only this customer's."`
}

// Run implements the command.
func (c *TicketsCmd) Run(a *reelctl.App) error {
	ctx, cancel, log := c.connect(a)
	defer cancel()
	all, err := readReceipts(ctx, log)
	if err != nil {
		return notKnown(err)
	}
	open := slices.DeleteFunc(all, func(r operate.Receipt) bool {
		ended := r.State != operation.Dispatched.String() && r.State != operation.Unknown.String()
		return ended || c.Customer != "" && c.Customer != r.Customer
	})
	return c.print(a.Out, open, func(w io.Writer) { printReceipts(w, open) })
}

// readReceipts returns the last receipt of each ticket, in the order of the
// first ones. Receipts that the log no longer keeps are left out.
func readReceipts(ctx context.Context, log logservice.Log) ([]operate.Receipt, error) {
	list := []operate.Receipt{}
	at := map[string]int{}
	for from := logservice.Offset(0); ; {
		b, err := log.Read(ctx, operate.ReceiptStream, from, readLimit, 0)
		if errors.Is(err, logservice.ErrExpired) {
			from = b.First
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, r := range b.Records {
			from = r.Offset + 1
			var batch []operate.Receipt
			if err := json.Unmarshal(r.Data, &batch); err != nil {
				return nil, errors.Wrapf(err, "receipts at offset %d", r.Offset)
			}
			for _, receipt := range batch {
				list = latest(list, at, receipt)
			}
		}
		if from >= b.Next {
			return list, nil
		}
	}
}

// latest puts a receipt in the place of the ticket's earlier one.
func latest(list []operate.Receipt, at map[string]int, r operate.Receipt) []operate.Receipt {
	if i, ok := at[r.Ticket]; ok {
		list[i] = r
		return list
	}
	at[r.Ticket] = len(list)
	return append(list, r)
}

func printReceipts(w io.Writer, list []operate.Receipt) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "CUSTOMER\tSTATE\tROUTE\tTARGET\tHOME\tAT\tDIGEST\tTICKET")
	for _, r := range list {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%.12s\t%s\n", r.Customer, r.State, r.Route,
			orDash(string(r.Target)), r.Home.Instance, stamp(r.At), r.Digest, r.Ticket)
	}
	_ = tw.Flush()
}
