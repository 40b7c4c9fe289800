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

// Main runs the subcommand named by the arguments and returns the exit code:
// 0, or 1 when it failed or a violation was found, or 2 for wrong usage.
func Main(args []string, out, problems io.Writer) int {
	flags := flag.NewFlagSet("bilberry-standin", flag.ContinueOnError)
	flags.SetOutput(problems)
	commander := subcommands.NewCommander(flags, "bilberry-standin")
	commander.Output = out
	commander.Error = problems
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	base := &base{out: out, problems: problems}
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

// base is what the subcommands share.
type base struct {
	out      io.Writer
	problems io.Writer
}

func (b *base) logger() log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(b.problems))
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}

// newLedger returns a ledger that prints each violation as it is found.
func (b *base) newLedger() *standin.Ledger {
	ledger := standin.NewLedger()
	ledger.OnViolation(func(v standin.Violation) {
		fmt.Fprintf(b.problems, "VIOLATION %s\n", v)
	})
	return ledger
}

// end turns the error and the violations of a run into the exit status.
func (b *base) end(ledger *standin.Ledger, err error) subcommands.ExitStatus {
	if err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(b.problems, err)
		return subcommands.ExitFailure
	}
	violations := ledger.Violations()
	fmt.Fprintf(b.out, "violations: %d\n", len(violations))
	if len(violations) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (b *base) wrong(err error) subcommands.ExitStatus {
	fmt.Fprintln(b.problems, err)
	return subcommands.ExitUsageError
}

// target is which entry instances a subcommand speaks to, and with which token.
type target struct {
	settings   string
	dataCentre string
	entries    string
	tokenFile  string
}

func (t *target) setFlags(f *flag.FlagSet) {
	f.StringVar(&t.settings, "settings", "", "settings `file` of the deployment")
	f.StringVar(&t.dataCentre, "data-centre", "", "only this data centre; empty: all of the settings")
	f.StringVar(&t.entries, "entries", "", "entry `addresses` in place of those of the settings, comma-separated")
	f.StringVar(&t.tokenFile, "token-file", "", "token `file` in place of that of the settings")
}

// load returns the sites, and the settings where a file is named.
func (t *target) load() ([]standin.Site, *settings.Settings, error) {
	if t.entries != "" {
		site := standin.Site{DataCentre: t.dataCentre, Entries: strings.Split(t.entries, ",")}
		return []standin.Site{site}, nil, nil
	}
	if t.settings == "" {
		return nil, nil, errors.New("either -settings or -entries is needed")
	}
	s, err := settings.Read(t.settings)
	if err != nil {
		return nil, nil, err
	}
	sites := sitesOf(s, t.dataCentre)
	if len(sites) == 0 {
		return nil, nil, errors.Newf("no instance is in data centre %q", t.dataCentre)
	}
	return sites, s, nil
}

// sitesOf returns the data centres with their entry addresses, or only one.
func sitesOf(s *settings.Settings, only string) []standin.Site {
	var sites []standin.Site
	for _, name := range s.DataCentres() {
		if only != "" && name != only {
			continue
		}
		site := standin.Site{DataCentre: name}
		for _, instance := range s.InDataCentre(name) {
			site.Entries = append(site.Entries, instance.Entry)
		}
		sites = append(sites, site)
	}
	return sites
}

// entriesOf returns all entry addresses of the sites.
func entriesOf(sites []standin.Site) []string {
	var entries []string
	for _, site := range sites {
		entries = append(entries, site.Entries...)
	}
	return entries
}

// token reads the token file of the flag, else the one of the settings.
func (t *target) token(s *settings.Settings, choose func(*settings.Settings) string) (string, error) {
	switch {
	case t.tokenFile != "":
		return settings.ReadToken(t.tokenFile)
	case s != nil:
		return settings.ReadToken(choose(s))
	default:
		return "", errors.New("-token-file is needed with -entries")
	}
}

// customerFile returns the token file of a customer, the first one for "".
func customerFile(s *settings.Settings, name string) string {
	for _, c := range s.Tokens.Customers {
		if name == "" || c.Name == name {
			return c.File
		}
	}
	return ""
}
