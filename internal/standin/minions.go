package standin

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/bilberryferry/bilberryferry/internal/rpc"
)

// Defaults of MinionsConfig.
const (
	DefaultSlots          = 8
	DefaultMaxConnections = 60
	DefaultAnnounce       = time.Second
	DefaultLeaveGrace     = 3 * time.Second
)

// MinionFaults says how a minion misbehaves. The zero value is a sound minion.
type MinionFaults struct {
	// Slow is added to the time that each request takes.
	Delay time.Duration
	// Hang leaves each request without an answer until its caller gives up.
	Hang bool
	// Fail answers each request at once with status 500.
	Fail bool
	// Cut breaks each answer off in the middle of its body.
	Truncate bool
}

// MinionsConfig describes a fleet of stand-in minions.
type MinionsConfig struct {
	// Sites are the data centres over which the minions are spread in turn.
	DataCentres []DataCentre
	// Count is the number of minions in all.
	Count int
	// Service is the name of the service whose requests they take.
	Service string
	// Slots is how many requests a minion takes at once; 0 means DefaultSlots.
	Slots int
	// MaxConnections is the cap on connections; 0 means DefaultMaxConnections.
	MaxConnections int
	// Token is the bearer token of minions.
	Token string
	// Prefix begins the id of each minion, before the data centre and a number.
	Prefix string
	// Announce is the interval of announcements; 0 means DefaultAnnounce.
	Announce time.Duration
	// LeaveGrace is for how long after its leave a minion may still get new
	// requests; 0 means DefaultLeaveGrace. Later ones are violations.
	LeaveGrace time.Duration
	// Work is the time that a request takes unless it says so itself.
	Work time.Duration
	// Faults is how the first Faulty minions behave at the start.
	Faults MinionFaults
	// Faulty is the number of minions with Faults.
	Faulty int
	// Listen opens the socket of a minion; nil means a free port of 127.0.0.1.
	Listen func() (net.Listener, error)
	// Dial opens connections; nil means TCP.
	Dial rpc.Dial
	// Ledger takes violations; nil means a new one.
	Ledger *Ledger
	// Logger takes lines for changes of state; nil means none.
	Logger log.Logger
}

// Minions is a fleet of stand-in minions in one process.
type Minions struct {
	ledger  *Ledger
	minions []*Minion
}

// NewMinions makes a fleet. Nothing listens before Run.
func NewMinions(cfg MinionsConfig) *Minions {
	cfg = cfg.withDefaults()
	fleet := &Minions{ledger: cfg.Ledger}
	nonIdempotent := newNonIdempotentSet(cfg.Ledger)
	for i := range cfg.Count {
		fleet.minions = append(fleet.minions, newMinion(cfg, i, nonIdempotent))
	}
	return fleet
}

func (cfg MinionsConfig) withDefaults() MinionsConfig {
	if cfg.Slots == 0 {
		cfg.Slots = DefaultSlots
	}
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = DefaultMaxConnections
	}
	if cfg.Announce == 0 {
		cfg.Announce = DefaultAnnounce
	}
	if cfg.LeaveGrace == 0 {
		cfg.LeaveGrace = DefaultLeaveGrace
	}
	if cfg.Listen == nil {
		cfg.Listen = func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
	}
	if cfg.Ledger == nil {
		cfg.Ledger = NewLedger()
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	return cfg
}

// place returns the site and the id of minion number i.
func (cfg MinionsConfig) identity(i int) (DataCentre, string) {
	dataCentre := cfg.DataCentres[i%len(cfg.DataCentres)]
	return dataCentre, fmt.Sprintf("%s%s-%s-m%03d", cfg.Prefix, dataCentre.Name, cfg.Service, i/len(cfg.DataCentres))
}

// Run serves and announces all minions until the context ends. Then they stop
// without a word; use Leave first for an orderly end.
func (f *Minions) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, m := range f.minions {
		group.Go(func() error { return m.Run(ctx) })
	}
	return group.Wait()
}

// Leave tells the entry instances that all minions leave. They go on serving.
func (f *Minions) Leave(ctx context.Context) error {
	var group errgroup.Group
	for _, m := range f.minions {
		group.Go(func() error { return m.Leave(ctx) })
	}
	return group.Wait()
}

// All returns the minions, in the order of their numbers.
func (f *Minions) All() []*Minion { return f.minions }

// Ledger returns the ledger of the fleet.
func (f *Minions) Ledger() *Ledger { return f.ledger }

// Ready reports how many minions have an announcement accepted by an entry
// instance.
func (f *Minions) Ready() int {
	ready := 0
	for _, m := range f.minions {
		if m.Stats().Announced > 0 {
			ready++
		}
	}
	return ready
}

// Stats sums up the counts of all minions; the maxima are those of one minion.
func (f *Minions) Stats() MinionStats {
	var sum MinionStats
	for _, m := range f.minions {
		s := m.Stats()
		sum.Requests += s.Requests
		sum.InFlight += s.InFlight
		sum.Announced += s.Announced
		sum.MaxInFlight = max(sum.MaxInFlight, s.MaxInFlight)
		sum.MaxConnections = max(sum.MaxConnections, s.MaxConnections)
	}
	return sum
}
