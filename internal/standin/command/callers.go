package command

import (
	"context"
	"encoding/json"
	"flag"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/standin"
)

var errNoService = errors.New("flag -service is missing")

// callers is the subcommand that sends a load of requests to a service.
type callers struct {
	*base
	deployment deploymentFlags
	cfg        standin.CallersConfig
	customer   string
}

func (*callers) Name() string     { return "callers" }
func (*callers) Synopsis() string { return "send a seeded load of requests and check each response" }
func (*callers) Usage() string {
	return "callers -settings FILE -service NAME [flags]:\n  Send requests at a rate, print counts and latencies (in microseconds) as JSON.\n  Exit 1 if a response was wrong.\n"
}

func (c *callers) SetFlags(f *flag.FlagSet) {
	c.deployment.setFlags(f)
	f.StringVar(&c.customer, "customer", "", "customer whose token is sent; empty: the first in the settings")
	f.StringVar(&c.cfg.Service, "service", "", "name of the service")
	f.BoolVar(&c.cfg.Direct, "direct", false, "the -entries are addresses of minions")
	f.Float64Var(&c.cfg.Rate, "rate", standin.DefaultCallRate, "mean requests per second")
	f.IntVar(&c.cfg.Count, "count", 0, "number of requests after which to end; 0 means no bound")
	f.DurationVar(&c.cfg.Duration, "duration", 10*time.Second, "time after which to end; 0 means no bound")
	f.DurationVar(&c.cfg.Deadline, "deadline", standin.DefaultDeadline, "time from the scheduled send of a request to its deadline")
	f.Float64Var(&c.cfg.NonIdempotentShare, "once", 0, "share of non-idempotent requests")
	f.IntVar(&c.cfg.Size, "size", standin.DefaultResponseSize, "bytes of filler in each response")
	f.IntVar(&c.cfg.BodySize, "body", 0, "bytes in the body of each request")
	f.DurationVar(&c.cfg.Work, "work", 0, "service time of a request; 0 leaves it to the minion")
	f.BoolVar(&c.cfg.Resend, "resend", true, "send idempotent requests again when the connection breaks")
	f.Uint64Var(&c.cfg.Seed, "seed", 1, "seed of send times and entry addresses")
}

func (c *callers) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	load, err := c.newCallers()
	if err != nil {
		return c.usageError(err)
	}
	err = load.Run(ctx)
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(load.Report())
	return c.exitStatus(load.Ledger(), err)
}

func (c *callers) newCallers() (*standin.Callers, error) {
	if c.cfg.Service == "" && !c.cfg.Direct {
		return nil, errNoService
	}
	dataCentres, s, err := c.deployment.load()
	if err != nil {
		return nil, err
	}
	cfg := c.cfg
	cfg.Entries = allEntries(dataCentres)
	if !cfg.Direct {
		cfg.Token, err = c.deployment.token(s, func(s *settings.Settings) string { return customerTokenFile(s, c.customer) })
		if err != nil {
			return nil, err
		}
	}
	cfg.Ledger = c.newLedger()
	cfg.Logger = c.logger()
	return standin.NewCallers(cfg), nil
}
