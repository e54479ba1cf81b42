// Command reelctl is the operators' command line.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/clementinereel/clementinereel/explain"
	"github.com/clementinereel/clementinereel/load/loadcmd"
	"github.com/clementinereel/clementinereel/losses"
	"github.com/clementinereel/clementinereel/operatecmd"
	"github.com/clementinereel/clementinereel/reelctl"
)

const description = `Publish contracts, announce targets and see what the fleet does.

A change is accepted or refused by the order of the platform's log. If the log
does not answer in time, the command says what is not known and prints the id
with which to ask again.

` + reelctl.ExitHelp

type cli struct {
	reelctl.Commands
	Operations operatecmd.Cmd `cmd:"" help:"List and settle operations whose outcome is unknown."`
	Explain    explain.Cmd    `cmd:"" help:"Say from instances' log files why a request ended as it did."`
	Losses     losses.Cmd     `cmd:"" help:"Sum up from instances' log files where and why requests were lost."`
	Load       loadcmd.Cmd    `cmd:"" help:"Send an open-loop load and report latency and wrong, truncated, doubled and lost answers."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var c cli
	parser := kong.Must(&c, kong.Name("reelctl"), kong.Description(description),
		kong.BindTo(ctx, (*context.Context)(nil)))
	k, err := parser.Parse(os.Args[1:])
	if err != nil {
		parser.Errorf("%s", err)
		os.Exit(reelctl.ExitUsage)
	}
	err = k.Run(&reelctl.App{Context: ctx, Out: os.Stdout})
	if e := reelctl.Reason(err); e != nil {
		fmt.Fprintf(os.Stderr, "reelctl: %v\n", e)
	}
	os.Exit(reelctl.ExitCode(err))
}
