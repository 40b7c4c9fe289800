package standin

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
)

// Defaults of WorkersConfig.
const (
	DefaultRenewHold = 3 * time.Second
	DefaultPerRack   = 8 // workers in one rack
)

// WorkersConfig describes a fleet of stand-in workers.
type WorkersConfig struct {
	// DataCentres are the data centres to which the workers are assigned in round robin.
	DataCentres []DataCentre
	// Count is the total number of workers.
	Count int
	// PerRack is the number of workers in one rack; 0 means DefaultPerRack.
	PerRack int
	// Capacity is the resources of each worker.
	Capacity *apiv1.Resources
	// Token is the bearer token of workers.
	Token string
	// Prefix is the start of each worker's id; the data centre and a number follow it.
	Prefix string
	// RenewHold is how long an entry instance may delay the response to a renewal to
	// wait for commands; 0 means DefaultRenewHold. A worker shortens this time to a third
	// of its last lease.
	RenewHold time.Duration
	// RuntimeLow and RuntimeHigh bound the random ratio of true to declared run
	// time; if RuntimeHigh is 0, both are 1 and the declared run time is the true one.
	RuntimeLow, RuntimeHigh float64
	// Seed makes run times, backoffs and faults repeatable.
	Seed uint64
	// Faults are the faults that the first FaultyCount workers inject from the start.
	Faults WorkerFaults
	// FaultyCount is the number of workers that inject Faults.
	FaultyCount int
	// Dial opens connections; nil means TCP.
	Dial rpc.Dial
	// Ledger records and checks the runs; nil means a new one.
	Ledger *Ledger
	// Logger receives the log lines; nil means none.
	Logger log.Logger
}

// Workers is a fleet of stand-in workers in one process.
type Workers struct {
	ledger  *Ledger
	workers []*Worker
}

// NewWorkers returns a fleet of workers that send nothing before Run.
func NewWorkers(cfg WorkersConfig) *Workers {
	cfg = cfg.withDefaults()
	fleet := &Workers{ledger: cfg.Ledger}
	for i := range cfg.Count {
		fleet.workers = append(fleet.workers, newWorker(cfg, i))
	}
	return fleet
}

func (cfg WorkersConfig) withDefaults() WorkersConfig {
	if cfg.PerRack == 0 {
		cfg.PerRack = DefaultPerRack
	}
	if cfg.RenewHold == 0 {
		cfg.RenewHold = DefaultRenewHold
	}
	if cfg.RuntimeHigh == 0 {
		cfg.RuntimeLow, cfg.RuntimeHigh = 1, 1
	}
	if cfg.Ledger == nil {
		cfg.Ledger = NewLedger()
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	return cfg
}

// identity returns the data centre, id and rack of worker number i.
func (cfg WorkersConfig) identity(i int) (dataCentre DataCentre, id, rack string) {
	dataCentre = cfg.DataCentres[i%len(cfg.DataCentres)]
	indexInDataCentre := i / len(cfg.DataCentres)
	id = fmt.Sprintf("%s%s-w%03d", cfg.Prefix, dataCentre.Name, indexInDataCentre)
	rack = fmt.Sprintf("%s%s-r%02d", cfg.Prefix, dataCentre.Name, indexInDataCentre/cfg.PerRack)
	return dataCentre, id, rack
}

// Run runs all workers until the context ends or all have left. At the end of the
// context, tasks end as in a crash; call Leave first for a graceful shutdown. The error is
// always nil.
func (f *Workers) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, w := range f.workers {
		group.Go(func() error { return w.Run(ctx) })
	}
	return group.Wait()
}

// Leave shuts all workers down gracefully and returns the first error.
func (f *Workers) Leave(ctx context.Context) error {
	var group errgroup.Group
	for _, w := range f.workers {
		group.Go(func() error { return w.Leave(ctx) })
	}
	return group.Wait()
}

// All returns the workers by number.
func (f *Workers) All() []*Worker { return f.workers }

// Ledger returns the ledger of the fleet.
func (f *Workers) Ledger() *Ledger { return f.ledger }

// Ready returns the number of workers that hold a lease.
func (f *Workers) Ready() int {
	ready := 0
	for _, w := range f.workers {
		if w.HoldsLease() {
			ready++
		}
	}
	return ready
}

// Running returns the number of running tasks on all workers.
func (f *Workers) Running() int {
	running := 0
	for _, w := range f.workers {
		running += w.Running()
	}
	return running
}
