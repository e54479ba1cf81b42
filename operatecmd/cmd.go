package operatecmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/claim"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/reelctl"
)

// Cmd is the command `reelctl operations`.
type Cmd struct {
	List    ListCmd    `cmd:"" help:"List operations whose outcome is unknown, with what is needed to reconcile them."`
	Show    ShowCmd    `cmd:"" help:"Show what is on record of one key."`
	Settle  SettleCmd  `cmd:"" help:"Settle an unknown outcome. Repeats of the operation get the settlement from then on."`
	Tickets TicketsCmd `cmd:"" help:"List ticketed operations whose receipts show no outcome, or an unknown one."`
	Adopt   AdoptCmd   `cmd:"" help:"Accept that a partition's history is lost. Its keys may then run again."`
}

// remote says where the log is.
type remote struct {
	Platform   string        `required:"" env:"REELCTL_PLATFORM" placeholder:"URL" help:"Base URL of the platform's log, as http://10.0.0.5:7000."`
	Timeout    time.Duration `default:"15s" help:"How long to wait for the log altogether."`
	Partitions int           `default:"16" help:"The instances' setting operations.partitions."`
}

func (r remote) connect(a *reelctl.App) (context.Context, context.CancelFunc, logservice.Log) {
	ctx, cancel := context.WithTimeout(a.Context, r.Timeout)
	if a.Log != nil {
		return ctx, cancel, a.Log
	}
	return ctx, cancel, logservice.NewClient(r.Platform, 0)
}

// output is how a command prints its result.
type output struct {
	Output string `short:"o" enum:"text,json" default:"text" help:"Print text for people or json for scripts."`
}

func (o output) print(w io.Writer, v any, text func(io.Writer)) error {
	if o.Output != "json" {
		text(w)
		return nil
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.WithStack(enc.Encode(v))
}

func notKnown(err error) error {
	return &reelctl.ExitError{Code: reelctl.ExitNotKnown, Err: err}
}

func refused(format string, args ...any) error {
	return &reelctl.ExitError{Code: reelctl.ExitRefused, Err: errors.Errorf(format, args...)}
}

// Line is one operation as the commands print it.
type Line struct {
	Customer    fleet.CustomerID  `json:"customer"`
	Key         string            `json:"key"`
	State       string            `json:"state"`
	Digest      operation.Digest  `json:"digest"`
	Route       string            `json:"route,omitempty"`
	Service     fleet.ServiceID   `json:"service,omitempty"`
	Target      fleet.TargetID    `json:"target,omitempty"`
	Instance    fleet.InstanceID  `json:"instance"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Claimed     time.Time         `json:"claimed"`
	Decided     time.Time         `json:"decided,omitzero"`
	// Presumed means that the instance ended without saying what became of
	// the operation; it may not have been sent at all.
	Presumed bool `json:"presumed,omitempty"`
	// Contradicted means that the instance reported otherwise than settled.
	Contradicted bool   `json:"contradicted,omitempty"`
	Operator     string `json:"operator,omitempty"`
	Reason       string `json:"reason,omitempty"`
}

func newLine(op claim.Op) Line {
	return Line{
		Customer: op.Key.Customer, Key: op.Key.Name, State: op.State.String(), Digest: op.Digest,
		Route: op.Route, Service: op.Service, Target: op.Target,
		Instance: op.Claim.Holder.Instance, Incarnation: op.Claim.Holder.Incarnation,
		Claimed: op.Claimed, Decided: op.Decided, Presumed: op.Presumed,
		Contradicted: op.Contradicted, Operator: op.Operator, Reason: op.Reason,
	}
}

func printLines(w io.Writer, lines []Line) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "CUSTOMER\tKEY\tSTATE\tROUTE\tTARGET\tINSTANCE\tCLAIMED\tDECIDED\tDIGEST\tNOTE")
	for _, l := range lines {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.12s\t%s\n", l.Customer, l.Key, l.State, l.Route,
			orDash(string(l.Target)), l.Instance, stamp(l.Claimed), stamp(l.Decided), l.Digest, l.note())
	}
	_ = tw.Flush()
}

func (l Line) note() string {
	switch {
	case l.Contradicted:
		return "settled otherwise than it ended: settled by " + l.Operator + ": " + l.Reason
	case l.Operator != "":
		return "settled by " + l.Operator + ": " + l.Reason
	case l.Presumed:
		return "instance ended; may not have been sent"
	}
	return ""
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func stamp(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// ListCmd lists unresolved operations.
type ListCmd struct {
	remote
	output
	Customer fleet.CustomerID `help:"Only this customer's."`
}

// Run implements the command.
func (c *ListCmd) Run(a *reelctl.App) error {
	ctx, cancel, log := c.connect(a)
	defer cancel()
	lines := []Line{}
	var lost []int
	for p := range c.Partitions {
		fold, err := readFold(ctx, log, p)
		if err != nil {
			return notKnown(errors.Wrapf(err, "partition %d", p))
		}
		if !fold.Covered() {
			lost = append(lost, p)
			continue
		}
		for _, op := range fold.Unresolved(c.Customer) {
			lines = append(lines, newLine(op))
		}
	}
	if err := c.print(a.Out, lines, func(w io.Writer) { printLines(w, lines) }); err != nil {
		return err
	}
	if len(lost) > 0 {
		return notKnown(errors.Errorf("the history of partitions %v is lost: see reelctl operations adopt --help", lost))
	}
	return nil
}

// ShowCmd shows one key.
type ShowCmd struct {
	remote
	output
	Customer fleet.CustomerID `arg:"" help:"The customer."`
	Key      string           `arg:"" help:"The caller's Idempotency-Key."`
}

// Run implements the command.
func (c *ShowCmd) Run(a *reelctl.App) error {
	ctx, cancel, log := c.connect(a)
	defer cancel()
	key := operation.Key{Customer: c.Customer, Name: c.Key}
	_, op, ok, err := find(ctx, log, key, c.Partitions)
	if err != nil {
		return err
	}
	if !ok {
		return refused("nothing is on record of key %q of %s: it was never claimed, or its repeat window is over", c.Key, c.Customer)
	}
	lines := []Line{newLine(op)}
	return c.print(a.Out, lines[0], func(w io.Writer) { printLines(w, lines) })
}
