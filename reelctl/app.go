package reelctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/logservice"
)

// Exit codes of all commands.
const (
	ExitOK = 0
	// ExitRefused means that the change or the document was refused.
	ExitRefused = 1
	// ExitUsage means wrong arguments.
	ExitUsage = 2
	// ExitConflict means that another publication came first.
	ExitConflict = 3
	// ExitNotKnown means that the log or an instance did not answer: what
	// was asked is not known, or a change was not made or not confirmed.
	ExitNotKnown = 4
)

// ExitHelp documents the exit codes, for a help text.
const ExitHelp = "Exit codes: 0 done; 1 refused or invalid; 2 wrong usage; 3 conflict: another publication came first; " +
	"4 not known yet: the log or an instance did not answer."

// ExitError ends the program with a code. The command has printed the reason,
// unless Err is set.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("exit code %d", e.Code)
	}
	return e.Err.Error()
}

// Unwrap returns the reason.
func (e *ExitError) Unwrap() error { return e.Err }

func exit(code int, format string, args ...any) error {
	return &ExitError{Code: code, Err: errors.Errorf(format, args...)}
}

// ExitCode returns the exit code that an error of a command stands for.
func ExitCode(err error) int {
	var e *ExitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &e):
		return e.Code
	}
	return ExitRefused
}

// Reason returns what is still to be printed of a command's error, or nil.
func Reason(err error) error {
	var e *ExitError
	if errors.As(err, &e) {
		return e.Err
	}
	return err
}

// App is what the commands work with.
type App struct {
	Context context.Context
	Out     io.Writer
	// Log, if set, is used in place of the platform's URL.
	Log logservice.Log
}

// Output is how a command prints its result.
type Output struct {
	Output string `short:"o" enum:"text,json" default:"text" help:"Print text for people or json for scripts."`
}

// print writes the JSON of v or the text.
func (o Output) print(a *App, v any, text func(io.Writer)) error {
	if o.Output != "json" {
		text(a.Out)
		return nil
	}
	enc := json.NewEncoder(a.Out)
	enc.SetIndent("", "  ")
	return errors.WithStack(enc.Encode(v))
}

// Remote says where the platform is.
type Remote struct {
	Platform string        `required:"" env:"REELCTL_PLATFORM" placeholder:"URL" help:"Base URL of the platform's log and list, as http://10.0.0.5:7000."`
	Timeout  time.Duration `default:"15s" help:"How long to wait for the log or the instances altogether."`
}

// connect returns the log and a context that ends at the timeout.
func (r Remote) connect(a *App) (context.Context, context.CancelFunc, logservice.Log) {
	ctx, cancel := context.WithTimeout(a.Context, r.Timeout)
	if a.Log != nil {
		return ctx, cancel, a.Log
	}
	return ctx, cancel, logservice.NewClient(r.Platform, 0)
}

// Commands are the commands on contracts and targets.
type Commands struct {
	Check   CheckCmd   `cmd:"" help:"Check a contract file offline. Prints each wrong field with what would be right."`
	Publish PublishCmd `cmd:"" help:"Publish a customer's first contract, or ask what became of a publication by its --id."`
	Revise  ReviseCmd  `cmd:"" help:"Replace the contract in force. Of two operators who revise the same revision exactly one is accepted."`
	Show    ShowCmd    `cmd:"" help:"Show the contract in force for a customer, or all customers."`
	History HistoryCmd `cmd:"" help:"List a customer's publications and announcements that the log still keeps, refused ones included."`
	Target  TargetCmd  `cmd:"" help:"Announce that a target joins, leaves or stops; list targets."`
	Content ContentCmd `cmd:"" help:"List requests that are refused because they crash targets; lift one."`
	Quota   QuotaCmd   `cmd:"" help:"List the quotas of tenants as an instance applies them."`
	Waiting WaitingCmd `cmd:"" help:"List the requests that wait for an attempt at an instance, and the services that reject requests."`
	Advice  AdviceCmd  `cmd:"" help:"List what targets say of themselves: that they leave, turn requests away for a time or name a rate; lift it."`
	Status  StatusCmd  `cmd:"" help:"Ask instances for the revisions in force, ejected targets and unsettled operations."`
}
