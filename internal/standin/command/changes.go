package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/standin"
)

// changes is the subcommand that writes configuration changes at the rate of the flag
// -rate.
type changes struct {
	*base
	deployment deploymentFlags
	cfg        standin.ChangesConfig
}

func (*changes) Name() string { return "changes" }
func (*changes) Synopsis() string {
	return "change the configuration and measure how long until it is in force"
}
func (*changes) Usage() string {
	return "changes -settings FILE [flags]:\n  Write the configuration in force again, each time with a new comment, at a\n  rate. Print counts and times (in microseconds) as JSON. Exit 1 if a change\n  failed or an instance went back to an older version.\n"
}

func (c *changes) SetFlags(f *flag.FlagSet) {
	c.deployment.setFlags(f)
	f.Float64Var(&c.cfg.Rate, "rate", 1, "changes per second")
	f.IntVar(&c.cfg.Count, "count", 10, "number of changes")
	f.DurationVar(&c.cfg.PollInterval, "poll", 100*time.Millisecond, "interval at which to query the version in force on each instance; 0: never")
}

func (c *changes) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	dataCentres, s, err := c.deployment.load()
	if err != nil {
		return c.usageError(err)
	}
	c.cfg.Entries = allEntries(dataCentres)
	c.cfg.Token, err = c.deployment.token(s, func(s *settings.Settings) string { return s.Tokens.Operator })
	if err != nil {
		return c.usageError(err)
	}
	report, err := standin.RunChanges(ctx, c.cfg)
	if err != nil {
		fmt.Fprintln(c.errorOutput, err)
		return subcommands.ExitFailure
	}
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(report)
	if report.Failed > 0 || report.Reverted > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
