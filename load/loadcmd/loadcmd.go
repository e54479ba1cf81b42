package loadcmd

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/load"
)

// ErrBroken tells that a promise to the callers was broken: a wrong answer,
// work that ran twice, or work that ran though its caller was told that it
// did not.
var ErrBroken = errors.New("a promise to the callers was broken: see wrong, doubled and falsely told not run")

// Cmd is the command line of `reelctl load`.
type Cmd struct {
	Instance []string  `help:"Base URL of an instance, as http://127.0.0.1:8080. Repeat for more." placeholder:"URL"`
	Weight   []float64 `help:"Shares of the instances, in their order. Default: equal."`
	Ready    []string  `help:"Base URLs of the instances' admin listeners, in their order: instances are used only while /readyz answers 200." placeholder:"URL"`
	Target   []string  `help:"Base URL of an emulated target: asked at the end which operations it ran. Repeat for more." placeholder:"URL"`
	Route    string    `help:"Where requests go: through the fleet, directly to the targets, or both interleaved to measure what the fleet adds." enum:"fleet,direct,both" default:"fleet"`
	Host     string    `help:"Host header of the requests, which selects the customer."`

	LookupRate  float64 `help:"Lookups a second." placeholder:"N"`
	LookupPath  string  `help:"Path of lookups." default:"/"`
	ConfirmRate float64 `help:"Confirmations a second." placeholder:"N"`
	ConfirmPath string  `help:"Path of confirmations." default:"/"`
	Tickets     bool    `help:"Name confirmations by operation tickets in place of idempotency keys."`
	UploadRate  float64 `help:"Uploads a second." placeholder:"N"`
	UploadPath  string  `help:"Path of uploads." default:"/"`
	UploadBytes int     `help:"Size of an upload, in bytes." default:"262144"`

	UploadTime time.Duration `help:"Time over which an upload's body is sent." default:"0s"`
	Timeout    time.Duration `help:"Time that a caller waits for one answer." default:"30s"`
	Patience   time.Duration `help:"Time after which a caller asks again, under the same key and through another instance. 0: only after the timeout." default:"0s"`
	Repeats    int           `help:"How often a caller asks again." default:"0"`

	Duration      time.Duration `help:"How long operations begin, at most 1h." default:"10s"`
	MaxOperations int           `help:"Bound on the operations of the run." default:"1000000"`
	MaxInFlight   int           `help:"Bound on the operations under way; further ones are not sent, which the report counts." default:"512"`
	Poisson       bool          `help:"Exponential times between operations in place of equal ones."`
	Seed          uint64        `help:"Seed of schedule, routes and bodies." default:"1"`
	AllowRemote   bool          `help:"Allow addresses other than loopback."`
	Output        string        `help:"Format of the report." enum:"text,json,csv" default:"text" short:"o"`

	// Out receives the report. Default: standard output.
	Out io.Writer `kong:"-"`
}

// Help is the text that --help shows below the summary.
func (c *Cmd) Help() string {
	return `Sends an open-loop load of lookups, confirmations and uploads and reports, by
class, how operations ended and the latency from their intended start. It counts
wrong, truncated, lost and, with --target, doubled answers. Answers are checked
against what an emulated target says, so the targets behind the fleet have to be
emulated ones.

Example, against "clementinereel dev":

  reelctl load --instance http://127.0.0.1:8080 --host quotes.example \
    --lookup-rate 100 --lookup-path /prices --duration 10s

Exit codes: 0 the load ran and all promises held; 1 it could not run, or a promise
was broken, which is said; 2 wrong usage.`
}

// Run sends the load and prints the report. It returns ErrBroken if a
// promise was broken.
func (c *Cmd) Run(ctx context.Context) error {
	rep, err := load.Run(ctx, c.options())
	if err != nil {
		return err
	}
	out := c.Out
	if out == nil {
		out = os.Stdout
	}
	if err := rep.Print(out, c.Output); err != nil {
		return err
	}
	if rep.Broken() {
		return ErrBroken
	}
	return nil
}

func (c *Cmd) options() load.Options {
	return load.Options{
		Instances:     c.Instance,
		Weights:       c.Weight,
		Ready:         c.Ready,
		Targets:       c.Target,
		Route:         load.Route(c.Route),
		Host:          c.Host,
		Mix:           c.mix(),
		Duration:      c.Duration,
		MaxOperations: c.MaxOperations,
		MaxInFlight:   c.MaxInFlight,
		Poisson:       c.Poisson,
		Seed:          c.Seed,
		AllowRemote:   c.AllowRemote,
	}
}

// mix lists the classes that were given a rate.
func (c *Cmd) mix() []load.Stream {
	all := []load.Stream{
		{Class: fleet.Lookup, Path: c.LookupPath, Rate: c.LookupRate},
		{Class: fleet.Confirmation, Path: c.ConfirmPath, Rate: c.ConfirmRate, Tickets: c.Tickets},
		{Class: fleet.Upload, Path: c.UploadPath, Rate: c.UploadRate, BodyBytes: c.UploadBytes, BodyTime: c.UploadTime},
	}
	var mix []load.Stream
	for _, s := range all {
		if s.Rate <= 0 {
			continue
		}
		s.Timeout, s.Patience, s.Repeats = c.Timeout, c.Patience, c.Repeats
		mix = append(mix, s)
	}
	return mix
}
