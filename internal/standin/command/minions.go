package command

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/standin"
)

// minions is the subcommand that runs a fleet of stand-in minions.
type minions struct {
	*base
	deployment deploymentFlags
	cfg        standin.MinionsConfig
	// linger is how long the minions continue to serve after leaving.
	linger time.Duration
}

func (*minions) Name() string     { return "minions" }
func (*minions) Synopsis() string { return "run stand-in minions of a service" }
func (*minions) Usage() string {
	return "minions -settings FILE -service NAME [flags]:\n  Run stand-in minions until SIGTERM. Exit 1 after a violation.\n"
}

func (c *minions) SetFlags(f *flag.FlagSet) {
	c.deployment.setFlags(f)
	f.IntVar(&c.cfg.Count, "count", 50, "number of minions, assigned to the data centres in round robin")
	f.StringVar(&c.cfg.Service, "service", "", "name of the service")
	f.IntVar(&c.cfg.Slots, "slots", standin.DefaultSlots, "requests that a minion serves at a time")
	f.IntVar(&c.cfg.MaxConnections, "max-connections", standin.DefaultMaxConnections, "limit of open connections of a minion")
	f.StringVar(&c.cfg.Prefix, "prefix", "", "prefix of the minions' ids")
	f.DurationVar(&c.cfg.Work, "work", 5*time.Millisecond, "service time of a request")
	f.IntVar(&c.cfg.FaultyCount, "faulty", 0, "number of minions with the faults that other flags name")
	f.DurationVar(&c.cfg.Faults.Delay, "slow", 0, "fault: time added to each request")
	f.BoolVar(&c.cfg.Faults.Hang, "hang", false, "fault: send no response")
	f.BoolVar(&c.cfg.Faults.Fail, "fail", false, "fault: respond immediately with status 500")
	f.BoolVar(&c.cfg.Faults.Truncate, "cut", false, "fault: truncate responses")
	f.DurationVar(&c.linger, "linger", 4*time.Second, "how long to continue to serve after leaving")
}

func (c *minions) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	fleet, err := c.newMinions()
	if err != nil {
		return c.usageError(err)
	}
	fleetCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return fleet.Run(fleetCtx) })
	<-ctx.Done()
	if err := fleet.Leave(fleetCtx); err != nil {
		_ = c.logger().Log("event", "leave not acknowledged", "error", err)
	}
	time.Sleep(c.linger)
	stop()
	err = group.Wait()
	stats := fleet.Stats()
	fmt.Fprintf(c.out, "requests: %d, most in flight on one minion: %d, most connections of one minion: %d\n",
		stats.Requests, stats.MaxInFlight, stats.MaxConnections)
	return c.exitStatus(fleet.Ledger(), err)
}

func (c *minions) newMinions() (*standin.Minions, error) {
	if c.cfg.Service == "" {
		return nil, errNoService
	}
	dataCentres, s, err := c.deployment.load()
	if err != nil {
		return nil, err
	}
	token, err := c.deployment.token(s, func(s *settings.Settings) string { return s.Tokens.Minion })
	if err != nil {
		return nil, err
	}
	cfg := c.cfg
	cfg.DataCentres = dataCentres
	cfg.Token = token
	cfg.Ledger = c.newLedger()
	cfg.Logger = c.logger()
	return standin.NewMinions(cfg), nil
}
