package dev

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/bilberryferry/bilberryferry/fault"
)

// command is the dev subcommand of the command bilberry.
type command struct {
	stay    bool
	verbose bool
}

// Command returns the dev subcommand.
func Command() subcommands.Command { return new(command) }

func (*command) Name() string { return "dev" }
func (*command) Synopsis() string {
	return "run both example deployments in this process with their sample work"
}
func (*command) Usage() string {
	return `dev [--stay] [--verbose]

Runs both example deployments in one process over loopback sockets, with
stand-in workers and minions, submits their sample work and requests, and
prints the results. Exits with 0 only if all accepted work met its deadlines.

Example:
  bilberry dev --stay

`
}

func (c *command) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.stay, "stay", false, "keep the deployments running after the sample work, until Ctrl-C")
	f.BoolVar(&c.verbose, "verbose", false, "print the daemons' logs")
}

func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "bilberry dev: unexpected argument %q\nnext: bilberry help dev\n", f.Arg(0))
		return subcommands.ExitStatus(fault.Invalid.ExitCode())
	}
	var logs io.Writer = io.Discard
	if c.verbose {
		logs = os.Stderr
	}
	passed, err := Run(ctx, os.Stdout, logs, FullSize(), c.stay)
	if err != nil {
		fmt.Fprintf(os.Stderr, "bilberry dev: %v\n", err)
		return subcommands.ExitFailure
	}
	if !passed {
		return subcommands.ExitStatus(fault.Failed.ExitCode())
	}
	return subcommands.ExitSuccess
}
