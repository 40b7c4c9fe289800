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

// minions runs a fleet of stand-in minions.
type minions struct {
	*base
	deployment deploymentFlags
	cfg        standin.MinionsConfig
	linger     time.Duration
}

func (*minions) Name() string     { return "minions" }
func (*minions) Synopsis() string { return "run stand-in minions of a service" }
func (*minions) Usage() string {
	return "minions -settings FILE -service NAME [flags]:\n  Run stand-in minions until SIGTERM. Exit 1 if a promise was broken.\n"
}

func (c *minions) SetFlags(f *flag.FlagSet) {
	c.deployment.setFlags(f)
	f.IntVar(&c.cfg.Count, "count", 50, "number of minions, spread over the data centres")
	f.StringVar(&c.cfg.Service, "service", "", "name of the service")
	f.IntVar(&c.cfg.Slots, "slots", standin.DefaultSlots, "requests that a minion takes at once")
	f.IntVar(&c.cfg.MaxConnections, "max-connections", standin.DefaultMaxConnections, "cap on connections of a minion")
	f.StringVar(&c.cfg.Prefix, "prefix", "", "beginning of the minions' ids")
	f.DurationVar(&c.cfg.Work, "work", 5*time.Millisecond, "time that a request takes")
	f.IntVar(&c.cfg.Faulty, "faulty", 0, "number of minions with the faults below")
	f.DurationVar(&c.cfg.Faults.Delay, "slow", 0, "fault: time added to each request")
	f.BoolVar(&c.cfg.Faults.Hang, "hang", false, "fault: never answer")
	f.BoolVar(&c.cfg.Faults.Fail, "fail", false, "fault: fail at once")
	f.BoolVar(&c.cfg.Faults.Truncate, "cut", false, "fault: break answers off")
	f.DurationVar(&c.linger, "linger", 4*time.Second, "how long to serve on after the leave")
}

func (c *minions) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	fleet, err := c.fleet()
	if err != nil {
		return c.usageError(err)
	}
	fleetCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return fleet.Run(fleetCtx) })
	<-ctx.Done()
	if err := fleet.Leave(fleetCtx); err != nil {
		_ = c.logger().Log("event", "leave not answered", "error", err)
	}
	time.Sleep(c.linger)
	stop()
	err = group.Wait()
	stats := fleet.Stats()
	fmt.Fprintf(c.out, "requests: %d, most at once on one minion: %d, most connections of one minion: %d\n",
		stats.Requests, stats.MaxInFlight, stats.MaxConnections)
	return c.exitStatus(fleet.Ledger(), err)
}

func (c *minions) fleet() (*standin.Minions, error) {
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
