// Package cli implements the operators' command line. It parses arguments, calls the
// entry instances (the instances that accept client calls) and prints their responses as
// tables for people or as JSON for programs. Package fault defines the exit codes.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/google/subcommands"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/tomlfile"
)

const programName = "bilberry"

// App is one invocation of the command line.
type App struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Getenv returns the value of an environment variable.
	Getenv func(string) string
	// Now returns the wall clock time, from which relative deadlines and time spans
	// count.
	Now func() time.Time
	// IsTerminal is true when Stdout is a terminal. It enables colours and progress
	// that is updated in place.
	IsTerminal bool
	// ExtraCommands holds commands of other packages.
	ExtraCommands []subcommands.Command
}

// New returns an App that uses the process's standard streams and environment.
func New() *App {
	return &App{
		Stdin:      os.Stdin,
		Stdout:     os.Stdout,
		Stderr:     os.Stderr,
		Getenv:     os.Getenv,
		Now:        time.Now,
		IsTerminal: isTerminal(os.Stdout),
	}
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// Run executes one command line, given without the program's name, and returns the
// exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	s := newSession(a)
	// --json must apply to errors in the flags too, which are printed before all flags are
	// parsed.
	s.globals.json = slices.Contains(args, "--json")
	globalFlags := flag.NewFlagSet(programName, flag.ContinueOnError)
	s.globals.bind(globalFlags)
	globalArgs, remaining, err := parseGlobalFlags(globalFlags, args)
	if err != nil {
		return s.fail(err)
	}
	if globalArgs.help || (len(remaining) > 0 && remaining[0] == "help") {
		return s.help(remaining)
	}
	if len(remaining) == 0 {
		return s.fail(withHint(fault.New(fault.Invalid, "no command is given"), "run \"bilberry help\" for the list of commands"))
	}
	command, err := a.find(remaining[0])
	if err != nil {
		return s.fail(err)
	}
	commandFlags := flag.NewFlagSet(command.Name(), flag.ContinueOnError)
	newSession(a).bindFlags(command, commandFlags)
	parsed, err := parseArgs(commandFlags, remaining[1:])
	if err != nil {
		return s.fail(withUsageHint(err, command.Name()))
	}
	if parsed.help {
		return s.help([]string{"help", command.Name()})
	}
	return s.dispatch(ctx, globalFlags, globalArgs, command, parsed)
}

// dispatch executes a command with arguments that parseArgs has checked. It returns the
// exit code.
func (s *session) dispatch(ctx context.Context, globalFlags *flag.FlagSet, globalArgs parsedArgs, command subcommands.Command, parsed parsedArgs) int {
	args := append(globalArgs.flags, command.Name())
	args = append(args, parsed.flags...)
	args = append(args, "--")
	args = append(args, parsed.positional...)
	if err := globalFlags.Parse(args); err != nil {
		return s.fail(fault.New(fault.Invalid, "%v", err))
	}
	commander := subcommands.NewCommander(globalFlags, programName)
	commander.Output = s.app.Stdout
	commander.Error = s.app.Stderr
	commander.Register(&boundCommand{Command: command, session: s}, "")
	return int(commander.Execute(ctx))
}

// boundCommand is a command with the session in which it runs.
type boundCommand struct {
	subcommands.Command
	session *session
}

// SetFlags adds the flags of the command and of the session to f.
func (b *boundCommand) SetFlags(f *flag.FlagSet) { b.session.bindFlags(b.Command, f) }

// Execute runs the command in its session.
func (b *boundCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	builtin, ok := b.Command.(*command)
	if !ok {
		return b.Command.Execute(ctx, f)
	}
	return subcommands.ExitStatus(b.session.run(ctx, builtin, f.Args()))
}

// find returns the command that has the name, or an Invalid error that suggests a similar
// name.
func (a *App) find(name string) (subcommands.Command, error) {
	var names []string
	for _, c := range a.commands() {
		if c.Name() == name {
			return c, nil
		}
		names = append(names, c.Name())
	}
	err := fault.New(fault.Invalid, "unknown command %q", shorten(name))
	if near := tomlfile.Nearest(name, names); near != "" {
		return nil, withHint(err, fmt.Sprintf("did you mean %q?", near))
	}
	return nil, withHint(err, "run \"bilberry help\" for the list of commands")
}

// commands returns all commands, sorted by name.
func (a *App) commands() []subcommands.Command {
	var commands []subcommands.Command
	for _, c := range builtinCommands() {
		commands = append(commands, c)
	}
	commands = append(commands, a.ExtraCommands...)
	slices.SortFunc(commands, func(x, y subcommands.Command) int {
		if x.Name() < y.Name() {
			return -1
		}
		return 1
	})
	return commands
}

// builtinCommands returns new commands on each call, so that no flag value is kept
// between invocations.
func builtinCommands() []*command {
	return []*command{
		submitCommand(), statusCommand(), watchCommand(), cancelCommand(), scaleCommand(), explainCommand(),
		drainCommand(), undrainCommand(), configCommand(), quotaCommand(), workersCommand(), instancesCommand(),
		replaceInstanceCommand(), workflowCommand(), customersCommand(), waveCommand(), timelineCommand(), checkSettingsCommand(), versionCommand(), completionCommand(),
	}
}
