// Command clementinereel runs an instance of the proxy.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/dev"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/instance"
	"github.com/clementinereel/clementinereel/platform"
	"github.com/clementinereel/clementinereel/settings"
)

const description = `A proxy instance for targets with gray failures.

Instances take contracts and target announcements from the platform's log and
need no other service. Exit codes: 0 stopped as asked, 1 failed, 2 wrong usage
or settings.`

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// flushWait bounds the wait for the last log lines at the end.
const flushWait = 200 * time.Millisecond

var errSettings = errors.New("settings refused")

type cli struct {
	Verbosity int `short:"v" name:"v" default:"0" help:"Log level: 2 adds a line for each answered request."`

	Edge  platform.Cmd `cmd:"" help:"Run one gateway on a host that names its settings file in the environment (docs/DEPLOYMENT.md)."`
	Serve serveCmd     `cmd:"" help:"Run one instance until TERM or INT; then stop without cutting a request."`
	Dev   dev.Cmd      `cmd:"" help:"Run two instances, a platform stand-in and targets in one process on loopback, with an example contract."`
}

type serveCmd struct {
	Config string `required:"" type:"path" placeholder:"FILE" help:"JSON settings file (docs/OPERATIONS.md describes each field)."`
	Check  bool   `help:"Check the settings file and exit."`
}

// Run implements the serve command.
func (c *serveCmd) Run(ctx context.Context) error {
	s, err := settings.Load(c.Config)
	if err != nil {
		klog.ErrorS(err, "settings refused", "file", c.Config)
		return errSettings
	}
	if c.Check {
		return nil
	}
	return instance.Run(ctx, s)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var c cli
	parser := kong.Must(&c,
		kong.Name("clementinereel"),
		kong.Description(description),
		kong.BindTo(ctx, (*context.Context)(nil)))
	k, err := parser.Parse(os.Args[1:])
	if err != nil {
		parser.Errorf("%s", err)
		os.Exit(exitUsage)
	}
	setVerbosity(c.Verbosity)
	code := exitCode(k.Run())
	klog.Flush()
	eventlog.Flush(flushWait)
	os.Exit(code)
}

// setVerbosity sets klog's level by the flag that klog reads it from.
func setVerbosity(level int) {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	if err := fs.Set("v", strconv.Itoa(level)); err != nil {
		panic(err) // the flag takes any integer
	}
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errSettings):
		return exitUsage
	}
	klog.ErrorS(err, "failed")
	return exitFailed
}
