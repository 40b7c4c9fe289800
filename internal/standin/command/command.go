// Package command is the command line of bilberry-standin.
package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/google/subcommands"

	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/standin"
)

// Main runs the subcommand named by the arguments and returns the exit code: 0 on
// success, 1 after a failure or a violation, 2 for a usage error.
func Main(args []string, out, errorOutput io.Writer) int {
	flags := flag.NewFlagSet("bilberry-standin", flag.ContinueOnError)
	flags.SetOutput(errorOutput)
	commander := subcommands.NewCommander(flags, "bilberry-standin")
	commander.Output = out
	commander.Error = errorOutput
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	base := &base{out: out, errorOutput: errorOutput}
	commander.Register(&workers{base: base}, "")
	commander.Register(&minions{base: base}, "")
	commander.Register(&callers{base: base}, "")
	commander.Register(&jobs{base: base}, "")
	commander.Register(&measureCommand{base: base}, "")
	commander.Register(&changes{base: base}, "")
	commander.Register(&fit{base: base}, "")
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(commander.Execute(ctx))
}

// base holds the outputs that the subcommands share.
type base struct {
	out         io.Writer
	errorOutput io.Writer
}

// logger returns a logger that writes to the error output.
func (b *base) logger() log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(b.errorOutput))
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}

// newLedger returns a ledger that prints each violation as it is found.
func (b *base) newLedger() *standin.Ledger {
	ledger := standin.NewLedger()
	ledger.OnViolation(func(v standin.Violation) {
		fmt.Fprintf(b.errorOutput, "VIOLATION %s\n", v)
	})
	return ledger
}

// exitStatus prints the error of a run, or else the number of its violations, and returns
// the exit status: a failure after an error or a violation. A cancelled context doesn't
// count as an error.
func (b *base) exitStatus(ledger *standin.Ledger, err error) subcommands.ExitStatus {
	if err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(b.errorOutput, err)
		return subcommands.ExitFailure
	}
	violations := ledger.Violations()
	fmt.Fprintf(b.out, "violations: %d\n", len(violations))
	if len(violations) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// usageError prints an error in the arguments and returns the exit status of usage errors.
func (b *base) usageError(err error) subcommands.ExitStatus {
	fmt.Fprintln(b.errorOutput, err)
	return subcommands.ExitUsageError
}

// deploymentFlags are the flags that name the entry instances and the token file.
type deploymentFlags struct {
	settings   string
	dataCentre string
	// entries holds the addresses of entry instances, comma-separated.
	entries   string
	tokenFile string
}

func (d *deploymentFlags) setFlags(f *flag.FlagSet) {
	f.StringVar(&d.settings, "settings", "", "settings `file` of the deployment")
	f.StringVar(&d.dataCentre, "data-centre", "", "only this data centre; empty: all in the settings")
	f.StringVar(&d.entries, "entries", "", "entry `addresses` instead of those in the settings, comma-separated")
	f.StringVar(&d.tokenFile, "token-file", "", "token `file` instead of that in the settings")
}

// load returns the data centres with their entry addresses. It also returns the
// settings, unless -entries names the addresses.
func (d *deploymentFlags) load() ([]standin.DataCentre, *settings.Settings, error) {
	if d.entries != "" {
		dataCentre := standin.DataCentre{Name: d.dataCentre, Entries: strings.Split(d.entries, ",")}
		return []standin.DataCentre{dataCentre}, nil, nil
	}
	if d.settings == "" {
		return nil, nil, errors.New("flag -settings or -entries is missing")
	}
	s, err := settings.Read(d.settings)
	if err != nil {
		return nil, nil, err
	}
	dataCentres := dataCentresOf(s, d.dataCentre)
	if len(dataCentres) == 0 {
		return nil, nil, errors.Newf("the settings name no instance in data centre %q", d.dataCentre)
	}
	return dataCentres, s, nil
}

// dataCentresOf returns the data centres with their entry addresses. If only isn't empty,
// it returns only the data centre with that name.
func dataCentresOf(s *settings.Settings, only string) []standin.DataCentre {
	var dataCentres []standin.DataCentre
	for _, name := range s.DataCentres() {
		if only != "" && name != only {
			continue
		}
		dataCentre := standin.DataCentre{Name: name}
		for _, instance := range s.InDataCentre(name) {
			dataCentre.Entries = append(dataCentre.Entries, instance.Entry)
		}
		dataCentres = append(dataCentres, dataCentre)
	}
	return dataCentres
}

// allEntries returns the entry addresses of all data centres.
func allEntries(dataCentres []standin.DataCentre) []string {
	var entries []string
	for _, dataCentre := range dataCentres {
		entries = append(entries, dataCentre.Entries...)
	}
	return entries
}

// token reads the token from the file named by -token-file, or else from the file whose
// path choose returns from the settings.
func (d *deploymentFlags) token(s *settings.Settings, choose func(*settings.Settings) string) (string, error) {
	switch {
	case d.tokenFile != "":
		return settings.ReadToken(d.tokenFile)
	case s != nil:
		return settings.ReadToken(choose(s))
	default:
		return "", errors.New("flag -token-file is missing; -entries requires it")
	}
}

// customerTokenFile returns the path of the token file of a customer, or of the first
// customer if name is empty. It returns "" for an unknown name.
func customerTokenFile(s *settings.Settings, name string) string {
	for _, c := range s.Tokens.Customers {
		if name == "" || c.Name == name {
			return c.File
		}
	}
	return ""
}
