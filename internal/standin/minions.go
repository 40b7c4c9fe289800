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
	DefaultSlots            = 8  // requests in flight at one minion
	DefaultMaxConnections   = 60 // open connections of one minion
	DefaultAnnounceInterval = time.Second
	DefaultLeaveGrace       = 3 * time.Second
)

// MinionFaults are the faults that a minion injects. The zero value injects none.
type MinionFaults struct {
	// Delay is added to the service time of each request.
	Delay time.Duration
	// Hang sends no response to any request, which stays in flight until its caller
	// disconnects.
	Hang bool
	// Fail responds to each request immediately with status 500.
	Fail bool
	// Truncate breaks the connection after half of each response.
	Truncate bool
}

// MinionsConfig describes a fleet of stand-in minions.
type MinionsConfig struct {
	// DataCentres are the data centres to which the minions are assigned in round robin.
	DataCentres []DataCentre
	// Count is the total number of minions.
	Count int
	// Service is the name of the service whose requests the minions serve.
	Service string
	// Slots is how many requests one minion serves at a time; 0 means DefaultSlots.
	Slots int
	// MaxConnections bounds the open connections of one minion; 0 means
	// DefaultMaxConnections.
	MaxConnections int
	// Token is the bearer token of minions.
	Token string
	// Prefix is the start of each minion's id; the data centre, the service and a
	// number follow it.
	Prefix string
	// AnnounceInterval is the interval of announcements; 0 means DefaultAnnounceInterval.
	AnnounceInterval time.Duration
	// LeaveGrace is how long after its Leave a minion may still receive new requests; 0
	// means DefaultLeaveGrace. Later requests are violations.
	LeaveGrace time.Duration
	// Work is the service time of requests that specify no service time.
	Work time.Duration
	// Faults are the faults that the first FaultyCount minions inject from the start.
	Faults MinionFaults
	// FaultyCount is the number of minions that inject Faults.
	FaultyCount int
	// Listen opens the listener of a minion; nil means a free port of 127.0.0.1.
	Listen func() (net.Listener, error)
	// Dial opens connections; nil means TCP.
	Dial rpc.Dial
	// Ledger records violations; nil means a new one.
	Ledger *Ledger
	// Logger receives the log lines; nil means none.
	Logger log.Logger
}

// Minions is a fleet of stand-in minions in one process.
type Minions struct {
	ledger  *Ledger
	minions []*Minion
}

// NewMinions returns a fleet of minions that don't listen before Run.
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
	if cfg.AnnounceInterval == 0 {
		cfg.AnnounceInterval = DefaultAnnounceInterval
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

// identity returns the data centre and the id of minion number i.
func (cfg MinionsConfig) identity(i int) (DataCentre, string) {
	dataCentre := cfg.DataCentres[i%len(cfg.DataCentres)]
	return dataCentre, fmt.Sprintf("%s%s-%s-m%03d", cfg.Prefix, dataCentre.Name, cfg.Service, i/len(cfg.DataCentres))
}

// Run runs all minions until the context ends. At the end, the entry instances aren't
// notified; call Leave first for a graceful shutdown. Run returns the first error of a
// minion, which ends the others.
func (f *Minions) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, m := range f.minions {
		group.Go(func() error { return m.Run(ctx) })
	}
	return group.Wait()
}

// Leave tells the entry instances that all minions leave. The minions continue to serve
// requests. Leave returns the first error.
func (f *Minions) Leave(ctx context.Context) error {
	var group errgroup.Group
	for _, m := range f.minions {
		group.Go(func() error { return m.Leave(ctx) })
	}
	return group.Wait()
}

// All returns the minions by number.
func (f *Minions) All() []*Minion { return f.minions }

// Ledger returns the ledger of the fleet.
func (f *Minions) Ledger() *Ledger { return f.ledger }

// Ready returns the number of minions that have announced themselves successfully to at
// least one entry instance.
func (f *Minions) Ready() int {
	ready := 0
	for _, m := range f.minions {
		if m.Stats().Announced > 0 {
			ready++
		}
	}
	return ready
}

// Stats returns the sums of the minions' counts, and the largest MaxInFlight and
// MaxConnections of any one minion.
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
