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
	DefaultPerRack   = 8
)

// WorkersConfig describes a fleet of stand-in workers.
type WorkersConfig struct {
	// Sites are the data centres over which the workers are spread in turn.
	DataCentres []DataCentre
	// Count is the number of workers in all.
	Count int
	// PerRack is the number of workers in one rack; 0 means DefaultPerRack.
	PerRack int
	// Capacity is what each worker has.
	Capacity *apiv1.Resources
	// Token is the bearer token of workers.
	Token string
	// Prefix begins the id of each worker, before the data centre and a number.
	Prefix string
	// Hold is how long a renewal may be held for commands; 0 means DefaultRenewHold.
	// No renewal asks for more than a third of the lease last granted.
	RenewHold time.Duration
	// RuntimeLow and RuntimeHigh bound the seeded factor from declared to true
	// run time; both 0 mean that declarations are exact.
	RuntimeLow, RuntimeHigh float64
	// Seed makes run times, backoffs and faults repeatable.
	Seed uint64
	// Faults is how the first Faulty workers behave at the start.
	Faults WorkerFaults
	// Faulty is the number of workers with Faults.
	Faulty int
	// Dial opens connections; nil means TCP.
	Dial rpc.Dial
	// Ledger takes the runs and checks them; nil means a new one.
	Ledger *Ledger
	// Logger takes lines for changes of state; nil means none.
	Logger log.Logger
}

// Workers is a fleet of stand-in workers in one process.
type Workers struct {
	ledger  *Ledger
	workers []*Worker
}

// NewWorkers makes a fleet. Nothing is sent before Run.
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

// place returns the site, id and rack of worker number i.
func (cfg WorkersConfig) identity(i int) (dataCentre DataCentre, id, rack string) {
	dataCentre = cfg.DataCentres[i%len(cfg.DataCentres)]
	number := i / len(cfg.DataCentres)
	id = fmt.Sprintf("%s%s-w%03d", cfg.Prefix, dataCentre.Name, number)
	rack = fmt.Sprintf("%s%s-r%02d", cfg.Prefix, dataCentre.Name, number/cfg.PerRack)
	return dataCentre, id, rack
}

// Run keeps all workers going until the context ends. Then their tasks are
// stopped as by a crash; use Leave first for an orderly end.
func (f *Workers) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, w := range f.workers {
		group.Go(func() error { return w.Run(ctx) })
	}
	return group.Wait()
}

// Leave tells the entry instances that all workers leave.
func (f *Workers) Leave(ctx context.Context) error {
	var group errgroup.Group
	for _, w := range f.workers {
		group.Go(func() error { return w.Leave(ctx) })
	}
	return group.Wait()
}

// All returns the workers, in the order of their numbers.
func (f *Workers) All() []*Worker { return f.workers }

// Ledger returns the ledger of the fleet.
func (f *Workers) Ledger() *Ledger { return f.ledger }

// Ready reports how many workers hold a lease.
func (f *Workers) Ready() int {
	ready := 0
	for _, w := range f.workers {
		if w.HoldsLease() {
			ready++
		}
	}
	return ready
}

// Running returns the number of tasks that run on all workers.
func (f *Workers) Running() int {
	running := 0
	for _, w := range f.workers {
		running += w.Running()
	}
	return running
}
