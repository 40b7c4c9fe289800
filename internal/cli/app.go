// Package cli is the operators' command line: it reads arguments, calls the
// entry instances and shows what they answer, as tables for people or as JSON
// for programs. Exit codes come from the table of package fault.
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
	// Getenv reads the environment.
	Getenv func(string) string
	// Now reads the wall clock, for relative deadlines and time spans.
	Now func() time.Time
	// Terminal says that Stdout is a terminal: colours and live progress.
	Terminal bool
	// Extra are commands that other packages add.
	Extra []subcommands.Command
}

// New returns an App on the process's own streams.
func New() *App {
	return &App{
		Stdin:    os.Stdin,
		Stdout:   os.Stdout,
		Stderr:   os.Stderr,
		Getenv:   os.Getenv,
		Now:      time.Now,
		Terminal: isTerminal(os.Stdout),
	}
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// Run carries out one command line, the program's name left out, and returns
// the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	s := newSession(a)
	// Errors that are found while the flags are read are JSON too.
	s.globals.json = slices.Contains(args, "--json")
	top := flag.NewFlagSet(programName, flag.ContinueOnError)
	s.globals.bind(top)
	global, remaining, err := parseGlobalFlags(top, args)
	if err != nil {
		return s.fail(err)
	}
	if global.help || (len(remaining) > 0 && remaining[0] == "help") {
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
	return s.dispatch(ctx, top, global, command, parsed)
}

// dispatch hands arguments that have been checked already to the commander.
func (s *session) dispatch(ctx context.Context, top *flag.FlagSet, global parsedArgs, command subcommands.Command, parsed parsedArgs) int {
	args := append(global.flags, command.Name())
	args = append(args, parsed.flags...)
	args = append(args, "--")
	args = append(args, parsed.positional...)
	if err := top.Parse(args); err != nil {
		return s.fail(fault.New(fault.Invalid, "%v", err))
	}
	commander := subcommands.NewCommander(top, programName)
	commander.Output = s.app.Stdout
	commander.Error = s.app.Stderr
	commander.Register(&boundCommand{Command: command, session: s}, "")
	return int(commander.Execute(ctx))
}

// bound is a command with the session that it runs in.
type boundCommand struct {
	subcommands.Command
	session *session
}

func (b *boundCommand) SetFlags(f *flag.FlagSet) { b.session.bindFlags(b.Command, f) }

func (b *boundCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	builtin, ok := b.Command.(*command)
	if !ok {
		return b.Command.Execute(ctx, f)
	}
	return subcommands.ExitStatus(b.session.run(ctx, builtin, f.Args()))
}

// find returns a command by name.
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

// commands returns all commands, by name.
func (a *App) commands() []subcommands.Command {
	var all []subcommands.Command
	for _, c := range builtinCommands() {
		all = append(all, c)
	}
	all = append(all, a.Extra...)
	slices.SortFunc(all, func(x, y subcommands.Command) int {
		if x.Name() < y.Name() {
			return -1
		}
		return 1
	})
	return all
}

// builtinCommands makes the commands anew, so that no flag outlives an invocation.
func builtinCommands() []*command {
	return []*command{
		submitCommand(), statusCommand(), watchCommand(), cancelCommand(), scaleCommand(), explainCommand(),
		drainCommand(), undrainCommand(), configCommand(), quotaCommand(), workersCommand(), instancesCommand(),
		replaceInstanceCommand(), workflowCommand(), waveCommand(), timelineCommand(), checkSettingsCommand(), versionCommand(), completionCommand(),
	}
}
