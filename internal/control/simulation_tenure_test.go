package control

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/wait"
)

const (
	// simTenureStream is the random stream of the ends of tenures.
	simTenureStream = 7
	// meanTenureInterval is the mean time between two ends of a tenure whose member still leads.
	meanTenureInterval = time.Second
)

// endTenures ends tenures whose member still leads until the faults are over, or none if tenureInterval is 0.
func (sim *simulation) endTenures(ctx context.Context) {
	if sim.tenureInterval == 0 {
		return
	}
	random := rand.New(rand.NewPCG(sim.seed, simTenureStream))
	for wait.For(ctx, randomDuration(random, 0, 2*sim.tenureInterval)) && !sim.areFaultsOver() {
		sim.endTenure()
	}
}

// endTenure ends the leader's tenure although its member still leads, as after a suspension of its machine.
func (sim *simulation) endTenure() {
	c := sim.controller()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderTerm != nil {
		sim.tenureEnds++
		c.leaderTerm.end()
	}
}

// Guards against this failure: a task runs twice. A leader begins its next tenure in the same term of the log, with the
// same fencing token. It takes runs that a worker doesn't report for never started, although starts of the earlier
// tenure are still on their way.
func TestSimulationWithTenuresThatEndAloneStartsAllPlaceableWork(t *testing.T) {
	seeds := 4
	if testing.Short() {
		seeds = 1
	}
	simulateSeeds(t, seeds, func(sim *simulation) { sim.tenureInterval = meanTenureInterval })
}
