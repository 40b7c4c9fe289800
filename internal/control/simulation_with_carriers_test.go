package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/carrier"
	"github.com/bilberryferry/bilberryferry/internal/control"
)

// Checks the same as TestSimulationStartsAllPlaceableWork where the leader's orders reach the
// workers through carriers that end, freeze, are cut off and are slow, where workers are idle for
// longer than a lease between bursts of wide steps, and where they restart quickly.
//
// Guards against this failure: a run starts elsewhere although its first start is carried out,
// because a carrier failed with that start or with the poll of its worker.
func TestSimulationWithCarriersStartsAllPlaceableWork(t *testing.T) {
	control.SimulateWithCarriers(t, defaultCarrierSeeds, func(cfg control.SimCarriersConfig) control.SimCarriers {
		return newCarrierNetwork(cfg)
	})
}

const (
	// defaultCarrierSeeds is how many seeds the simulation with carriers runs.
	defaultCarrierSeeds = 6
	// leaderAddress is the address of the leaders, which aren't carriers.
	leaderAddress = "own"
	// minCarriers and maxCarriers bound the number of carriers.
	minCarriers, maxCarriers = 2, 4
	// minCarrierFault and maxCarrierFault bound the duration of a fault of a carrier.
	minCarrierFault, maxCarrierFault = 20 * time.Millisecond, 2500 * time.Millisecond
	// minDrain and maxDrain bound how long a carrier that ends orderly carries out what it holds.
	minDrain, maxDrain = 10 * time.Millisecond, 300 * time.Millisecond
	// maxOverlappingFaults bounds the faults that are injected at once.
	maxOverlappingFaults = 3
)

// carrierNetwork holds the simulated carriers, and is the leaders' transport to them.
type carrierNetwork struct {
	cfg   control.SimCarriersConfig
	names []string

	mu         sync.Mutex
	instances  map[string]*carrierInstance
	lastEnd    map[string]time.Time
	faultsOver bool
}

func newCarrierNetwork(cfg control.SimCarriersConfig) *carrierNetwork {
	n := &carrierNetwork{cfg: cfg, instances: map[string]*carrierInstance{}, lastEnd: map[string]time.Time{}}
	for i := range minCarriers + cfg.Random.IntN(maxCarriers-minCarriers+1) {
		name := fmt.Sprint("carrier-", i)
		n.names = append(n.names, name)
		n.instances[name] = n.newInstance(name)
	}
	return n
}

// NewPath returns a forwarder that sends everything that a carrier can take through carriers.
func (n *carrierNetwork) NewPath() (control.Workers, func(context.Context, uint64)) {
	members := append([]string{leaderAddress}, n.names...)
	forwarder := carrier.NewForwarder(carrier.ForwarderConfig{
		OwnAddress: leaderAddress, Members: func() []string { return members }, Transport: n, DirectWorkers: n.cfg.Workers,
		ApplyHeartbeats: func([]control.BufferedHeartbeat) {}, MaxDirectCallsPerSecond: -1, Logger: n.cfg.Logger, Counters: noCounters{}, Clock: virtualClock,
	})
	return forwarder, forwarder.Lead
}

// virtualEpoch is the start of virtual time.
var virtualEpoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// virtualClock is the steady clock of all machines, which have been up for an hour at the start of virtual time.
func virtualClock() time.Duration { return time.Hour + time.Since(virtualEpoch) }

// instance returns the running incarnation of a carrier, nil if there is none.
func (n *carrierNetwork) instance(name string) *carrierInstance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.instances[name]
}

// EndedSince reports whether the carrier that an error names has ended since a time.
func (n *carrierNetwork) EndedSince(err error, since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range n.names {
		if !n.lastEnd[name].Before(since) && strings.Contains(err.Error(), name) {
			return true
		}
	}
	return false
}

// carrierFault is a kind of fault of a carrier.
type carrierFault uint8

const (
	// faultKill ends a carrier without a word, faultShutdown ends it orderly.
	faultKill carrierFault = iota
	faultShutdown
	// faultFreeze stops a carrier for a time.
	faultFreeze
	// faultCutFromLeader and faultCutFromWorkers drop the messages on one side of a carrier.
	faultCutFromLeader
	faultCutFromWorkers
	// faultSlow delays each order within a carrier.
	faultSlow

	carrierFaultCount
)

func (f carrierFault) String() string {
	return [carrierFaultCount]string{"kill", "shutdown", "freeze", "cut from leader", "cut from workers", "slow"}[f]
}

// drawnFaults are the faults that InjectFault draws from. Only a freeze lets orders wait for seconds.
var drawnFaults = []carrierFault{faultKill, faultShutdown, faultFreeze, faultFreeze, faultCutFromLeader, faultCutFromWorkers, faultSlow}

// InjectFault injects some faults of drawn carriers, at once.
func (n *carrierNetwork) InjectFault() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.faultsOver {
		return
	}
	for range 1 + n.cfg.Random.IntN(maxOverlappingFaults) {
		name := n.names[n.cfg.Random.IntN(len(n.names))]
		kind := drawnFaults[n.cfg.Random.IntN(len(drawnFaults))]
		duration := randomDuration(n.cfg.Random, minCarrierFault, maxCarrierFault)
		drain := randomDuration(n.cfg.Random, minDrain, maxDrain)
		if instance := n.instances[name]; instance != nil {
			n.cfg.Logf("fault of %s: %s for %v", name, kind, duration)
			n.inject(instance, kind, duration, drain)
		}
	}
}

// KillPoller ends, without a word, the carrier that polls a worker.
func (n *carrierNetwork) KillPoller(worker string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	downtime := randomDuration(n.cfg.Random, minCarrierFault, maxCarrierFault)
	for _, name := range n.names {
		if instance := n.instances[name]; instance != nil && instance.isPolling(worker) && !n.faultsOver {
			n.cfg.Logf("fault of %s: %s for %v", name, faultKill, downtime)
			n.end(instance, downtime)
		}
	}
}

// inject injects a fault of a carrier. n.mu must be held.
func (n *carrierNetwork) inject(c *carrierInstance, kind carrierFault, duration, drain time.Duration) {
	until := time.Now().Add(duration)
	switch kind {
	case faultKill:
		n.end(c, duration)
	case faultShutdown:
		c.stopListening()
		time.AfterFunc(drain, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.end(c, duration)
		})
	default:
		c.setFault(kind, until)
	}
}

// end ends an incarnation of a carrier, and starts the next one after a downtime. n.mu must be held.
func (n *carrierNetwork) end(c *carrierInstance, downtime time.Duration) {
	if n.instances[c.name] != c {
		return
	}
	n.cfg.Counts.AddHeldOrders(c.kill())
	n.lastEnd[c.name] = time.Now()
	n.instances[c.name] = nil
	time.AfterFunc(downtime, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.instances[c.name] == nil {
			n.instances[c.name] = n.newInstance(c.name)
		}
	})
}

// EndFaults ends all faults. Carriers that are down come back.
func (n *carrierNetwork) EndFaults() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faultsOver = true
	for _, name := range n.names {
		if n.instances[name] == nil {
			n.instances[name] = n.newInstance(name)
		}
		n.instances[name].endFaults()
	}
}

// randomDuration draws a duration between low and high.
func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Float64()*float64(high-low))
}

// noCounters discards all counts.
type noCounters struct{}

func (noCounters) Add(string, int64)                           {}
func (noCounters) Set(string, int64)                           {}
func (noCounters) Observe(string, time.Duration)               {}
func (noCounters) SetByLabel(string, string, map[string]int64) {}
