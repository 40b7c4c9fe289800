package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/google/subcommands"
)

// command is one subcommand of ours.
type command struct {
	name     string
	synopsis string
	// usage shows the arguments behind the name.
	usage string
	// about explains what the synopsis leaves open.
	description string
	example     string
	flags       func(*flag.FlagSet)
	run         func(ctx context.Context, s *session, args []string) error
}

// Name, Synopsis, Usage, SetFlags and Execute make command a subcommands.Command.
func (c *command) Name() string     { return c.name }
func (c *command) Synopsis() string { return c.synopsis }

func (c *command) Usage() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s\n\n%s.\n", programName, c.name, c.usage, c.synopsis)
	if c.description != "" {
		fmt.Fprintf(&b, "%s\n", c.description)
	}
	fmt.Fprintf(&b, "\nExample:\n  %s\n", strings.ReplaceAll(c.example, "\n", "\n  "))
	return b.String()
}

func (c *command) SetFlags(f *flag.FlagSet) {
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute is never reached: bound runs the command in its session.
func (c *command) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return subcommands.ExitFailure
}

// prepare sets a command's own flags and, for ours, the global ones too, so
// that they may stand before or behind the command.
func (s *session) bindFlags(c subcommands.Command, f *flag.FlagSet) {
	c.SetFlags(f)
	if _, ok := c.(*command); ok {
		s.globals.bind(f)
	}
}

// help prints the help of the program, or of the command named behind "help".
func (s *session) help(args []string) int {
	out := s.app.Stdout
	if len(args) < 2 {
		s.overview(out)
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

func (s *session) overview(out io.Writer) {
	fmt.Fprintf(out, "Usage: %s [global flags] command [flags] [arguments]\n\nCommands:\n", programName)
	for _, c := range s.app.commands() {
		fmt.Fprintf(out, "  %-17s %s\n", c.Name(), c.Synopsis())
	}
	global := flag.NewFlagSet(programName, flag.ContinueOnError)
	newSession(s.app).globals.bind(global)
	printFlags(out, "Global flags", global)
	fmt.Fprintf(out, "\nRun \"%s help command\" for one command, with an example.\n", programName)
}

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
