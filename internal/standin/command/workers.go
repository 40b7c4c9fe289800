package command

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/standin"
	"github.com/bilberryferry/bilberryferry/internal/units"
)

// leaveTimeout bounds the graceful shutdown of a fleet.
const leaveTimeout = 5 * time.Second

// capacityFlags are the flags that set the capacity of each worker.
type capacityFlags struct {
	cpu, memory  string
	accelerators int64
}

func (c *capacityFlags) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.cpu, "cpu", "64", "cores of each worker")
	f.StringVar(&c.memory, "memory", "256GiB", "memory of each worker")
	f.Int64Var(&c.accelerators, "accelerators", 0, "accelerators of each worker")
}

func (c *capacityFlags) resources() (*apiv1.Resources, error) {
	cpu, err := units.ParseCores(c.cpu)
	if err != nil {
		return nil, err
	}
	memory, err := units.ParseMiB(c.memory)
	if err != nil {
		return nil, err
	}
	return &apiv1.Resources{CpuMilli: cpu, MemoryMib: memory, Accelerators: c.accelerators}, nil
}

// newWorkers returns a fleet of workers with cfg, completed by the data centres, token and
// capacity from the flags and the settings.
func (b *base) newWorkers(cfg standin.WorkersConfig, deployment *deploymentFlags, capacity *capacityFlags) (*standin.Workers, error) {
	dataCentres, s, err := deployment.load()
	if err != nil {
		return nil, err
	}
	cfg.DataCentres = dataCentres
	cfg.Token, err = deployment.token(s, func(s *settings.Settings) string { return s.Tokens.Worker })
	if err != nil {
		return nil, err
	}
	if cfg.Capacity, err = capacity.resources(); err != nil {
		return nil, err
	}
	if cfg.Ledger == nil {
		cfg.Ledger = b.newLedger()
	}
	cfg.Logger = b.logger()
	return standin.NewWorkers(cfg), nil
}

// workers is the subcommand that runs a fleet of stand-in workers.
type workers struct {
	*base
	deployment deploymentFlags
	capacity   capacityFlags
	cfg        standin.WorkersConfig
	// pauseEvery is the interval at which a random worker is paused; 0 means never.
	pauseEvery time.Duration
	// pauseFor is the duration of each pause.
	pauseFor time.Duration
	// restartEvery is the interval at which a random worker restarts; 0 means never.
	restartEvery time.Duration
}

func (*workers) Name() string     { return "workers" }
func (*workers) Synopsis() string { return "run stand-in workers and check their runs" }
func (*workers) Usage() string {
	return "workers -settings FILE [flags]:\n  Run stand-in workers until SIGTERM. Exit 1 after a violation.\n"
}

func (c *workers) SetFlags(f *flag.FlagSet) {
	c.deployment.setFlags(f)
	c.capacity.setFlags(f)
	f.IntVar(&c.cfg.Count, "count", 50, "number of workers, assigned to the data centres in round robin")
	f.IntVar(&c.cfg.PerRack, "per-rack", standin.DefaultPerRack, "workers in a rack")
	f.StringVar(&c.cfg.Prefix, "prefix", "", "prefix of the workers' ids")
	f.DurationVar(&c.cfg.RenewHold, "hold", standin.DefaultRenewHold, "how long an entry instance may hold a renewal for commands")
	f.Float64Var(&c.cfg.RuntimeLow, "runtime-low", 1, "smallest ratio of true to declared run time")
	f.Float64Var(&c.cfg.RuntimeHigh, "runtime-high", 1, "largest ratio of true to declared run time")
	f.Uint64Var(&c.cfg.Seed, "seed", 1, "seed of run times and faults")
	f.IntVar(&c.cfg.FaultyCount, "faulty", 0, "number of workers with the faults that other flags name")
	f.BoolVar(&c.cfg.Faults.FailAll, "fail-all", false, "fault: fail every task")
	f.Float64Var(&c.cfg.Faults.LoseResponses, "lose-answers", 0, "fault: share of responses that are lost")
	f.BoolVar(&c.cfg.Faults.DuplicateReports, "double-reports", false, "fault: send each report twice")
	f.DurationVar(&c.cfg.Faults.ReportDelay, "report-delay", 0, "fault: delay of each report")
	f.DurationVar(&c.pauseEvery, "pause-every", 0, "fault: pause a random worker at this interval")
	f.DurationVar(&c.pauseFor, "pause-for", 10*time.Second, "duration of a pause")
	f.DurationVar(&c.restartEvery, "restart-every", 0, "fault: restart a random worker at this interval")
}

func (c *workers) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	fleet, err := c.newWorkers(c.cfg, &c.deployment, &c.capacity)
	if err != nil {
		return c.usageError(err)
	}
	fleetCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return fleet.Run(fleetCtx) })
	go c.injectFaults(fleetCtx, fleet)
	<-ctx.Done()
	c.leave(fleet)
	stop()
	err = group.Wait()
	fmt.Fprintf(c.out, "starts: %d\n", fleet.Ledger().Starts())
	return c.exitStatus(fleet.Ledger(), err)
}

// leave shuts a fleet of workers down gracefully within leaveTimeout.
func (b *base) leave(fleet *standin.Workers) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := fleet.Leave(ctx); err != nil {
		_ = b.logger().Log("event", "leave not acknowledged", "error", err)
	}
}

// faultStream is the second word of the seed of the random choice of workers to pause and
// restart. The first word is the flag -seed.
const faultStream = 1

// injectFaults pauses and restarts random workers at the intervals that the flags set.
func (c *workers) injectFaults(ctx context.Context, fleet *standin.Workers) {
	pause := newTick(c.pauseEvery)
	restart := newTick(c.restartEvery)
	random := rand.New(rand.NewPCG(c.cfg.Seed, faultStream))
	for {
		select {
		case <-pause:
			worker := fleet.All()[random.IntN(len(fleet.All()))]
			worker.Pause()
			time.AfterFunc(c.pauseFor, worker.Resume)
		case <-restart:
			fleet.All()[random.IntN(len(fleet.All()))].Restart(nil)
		case <-ctx.Done():
			return
		}
	}
}

// newTick returns a channel that ticks at an interval. If the interval is 0, the channel
// is nil and never ticks.
func newTick(interval time.Duration) <-chan time.Time {
	if interval <= 0 {
		return nil
	}
	return time.Tick(interval)
}
