package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/google/subcommands"
)

// command is one subcommand of this package.
type command struct {
	name     string
	synopsis string
	// usage shows the arguments after the name.
	usage string
	// description explains details that the synopsis leaves out.
	description string
	example     string
	flags       func(*flag.FlagSet)
	run         func(ctx context.Context, s *session, args []string) error
}

// Name returns the name of the command.
func (c *command) Name() string { return c.name }

// Synopsis returns a one-line description.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the help text without the flags.
func (c *command) Usage() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s\n\n%s.\n", programName, c.name, c.usage, c.synopsis)
	if c.description != "" {
		fmt.Fprintf(&b, "%s\n", c.description)
	}
	fmt.Fprintf(&b, "\nExample:\n  %s\n", strings.ReplaceAll(c.example, "\n", "\n  "))
	return b.String()
}

// SetFlags adds the command's own flags to f.
func (c *command) SetFlags(f *flag.FlagSet) {
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command and returns a failure. It is never called, because
// boundCommand.Execute runs the command in its session.
func (c *command) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return subcommands.ExitFailure
}

// bindFlags adds a command's own flags to f. For commands of this package it adds the
// global flags too, so that these may come before or after the command's name.
func (s *session) bindFlags(c subcommands.Command, f *flag.FlagSet) {
	c.SetFlags(f)
	if _, ok := c.(*command); ok {
		s.globals.bind(f)
	}
}

// help prints the help of the program, or of the command whose name follows "help",
// and returns the exit code.
func (s *session) help(args []string) int {
	out := s.app.Stdout
	if len(args) < 2 {
		s.printOverview(out)
		return 0
	}
	c, err := s.app.find(args[1])
	if err != nil {
		return s.fail(err)
	}
	fmt.Fprintf(out, "Usage: %s", c.Usage())
	flags := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	c.SetFlags(flags)
	printFlags(out, "Flags", flags)
	if _, ok := c.(*command); ok {
		fmt.Fprintf(out, "\nGlobal flags: see \"%s help\".\n", programName)
	}
	return 0
}

// printOverview prints the commands and the global flags.
func (s *session) printOverview(out io.Writer) {
	fmt.Fprintf(out, "Usage: %s [global flags] command [flags] [arguments]\n\nCommands:\n", programName)
	for _, c := range s.app.commands() {
		fmt.Fprintf(out, "  %-17s %s\n", c.Name(), c.Synopsis())
	}
	globalFlags := flag.NewFlagSet(programName, flag.ContinueOnError)
	newSession(s.app).globals.bind(globalFlags)
	printFlags(out, "Global flags", globalFlags)
	fmt.Fprintf(out, "\nRun \"%s help command\" for one command, with an example.\n", programName)
}

// printFlags prints the flags of a set under a title.
func printFlags(out io.Writer, title string, set *flag.FlagSet) {
	first := true
	set.VisitAll(func(f *flag.Flag) {
		if first {
			fmt.Fprintf(out, "\n%s:\n", title)
			first = false
		}
		value, usage := flag.UnquoteUsage(f)
		name := "--" + f.Name
		if value != "" {
			name += " " + value
		}
		fmt.Fprintf(out, "  %-24s %s", name, usage)
		if f.DefValue != "" && f.DefValue != "false" && f.DefValue != "0" {
			fmt.Fprintf(out, " (default %s)", f.DefValue)
		}
		fmt.Fprintln(out)
	})
}
