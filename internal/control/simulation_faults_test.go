package control

import (
	"context"
	"fmt"
	"time"
)

// simTick is the time between two submissions of the simulated load.
const simTick = 25 * time.Millisecond

// maxFaultDuration bounds a fault of the log, of an instance, or of a worker that stays
// up.
const maxFaultDuration = 1500 * time.Millisecond

// runWithFaults submits load and injects faults, and returns the violations found
// meanwhile, nil for none.
func (sim *simulation) runWithFaults() []string {
	start := time.Now()
	nextFaultAt := start.Add(randomDuration(sim.random, 0, sim.params.faultInterval))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go sim.disturb(ctx, start)
	for time.Since(start) < sim.params.faultPeriod {
		time.Sleep(simTick)
		sim.submitLoad(time.Since(start))
		if time.Now().After(nextFaultAt) {
			sim.injectFault()
			nextFaultAt = time.Now().Add(randomDuration(sim.random, 0, 2*sim.params.faultInterval))
		}
		if found := sim.invariantViolations(); len(found) > 0 {
			return found
		}
	}
	return nil
}

// submitLoad submits the jobs of one tick, at the given age of the simulation. Each tick
// adds to the budgets of work and of adviser time in proportion to the load. For the
// adviser time, the load counts as at least 1. Jobs are submitted while both budgets are
// positive.
func (sim *simulation) submitLoad(age time.Duration) {
	if sim.carriers != nil && !sim.phases.isBurst(age) {
		return
	}
	load := sim.params.load
	if age >= sim.params.burstStart && age < sim.params.burstStart+sim.params.burstDuration {
		load = max(load, sim.params.burst)
	}
	tick := float64(simTick / time.Millisecond)
	sim.workBudget += load * tick * float64(sim.params.workers) * float64(sim.params.capacity.MilliCPU)
	sim.adviserBudget += max(load, 1) * tick * float64(sim.params.adviserConns)
	for sim.workBudget > 0 && sim.adviserBudget > 0 {
		queue, steps := &sim.params.queues[sim.random.IntN(len(sim.params.queues))], sim.params.drawJob(sim.random)
		sim.workBudget -= workOf(steps)
		for i := range steps {
			sim.adviserBudget -= float64(sim.params.adviserTime(queue, &steps[i]) / time.Millisecond)
		}
		sim.submit(queue, steps)
	}
}

const (
	// faultKinds is the number of kinds that injectFault draws from with equal
	// probability. Faults with two kinds are twice as likely as those with one.
	faultKinds = 15
	// The kinds without a case in injectFault are faults of the log: slowLogFault makes
	// commits slow, delayedLogFault keeps the log from confirming the leadership, and the
	// remaining kinds make the log refuse commands because it is full.
	slowLogFault    = 8
	delayedLogFault = 9
	// minFaultDuration bounds the duration of faults from below.
	minFaultDuration = 30 * time.Millisecond
)

// injectFault injects one random fault.
func (sim *simulation) injectFault() {
	kind := sim.random.IntN(faultKinds)
	duration := randomDuration(sim.random, minFaultDuration, maxFaultDuration)
	until := time.Now().Add(duration)
	sim.eventLog.logf("injected fault %d for %v", kind, duration)
	switch kind {
	case 0, 1:
		sim.crashRandomWorker()
	case 2:
		sim.disconnectRandomWorkers(until)
	case 3:
		sim.changeRandomWorkers(func(w *simWorker) { w.refusingUntil = until })
	case 4, 5:
		sim.changeRandomWorkers(func(w *simWorker) { w.partialReportsUntil = until })
	case 6, 7:
		sim.changeLeader()
	case 12:
		sim.adviser.disconnect(fmt.Sprint("instance", sim.random.IntN(sim.params.adviserConns)), until)
	case 14:
		// The workers are unreachable for about the time of a lease: their runs continue,
		// or the lease expires.
		lease := sim.params.lease
		sim.disconnectRandomWorkers(time.Now().Add(randomDuration(sim.random, lease*2/5, lease*13/10)))
	case 13:
		if sim.params.capacityShrinks {
			sim.shrinkRandomWorkers()
		}
	default:
		sim.injectLogFault(kind, until)
	}
}

// injectLogFault makes the log slow, delayed or full for a time.
func (sim *simulation) injectLogFault(kind int, until time.Time) {
	sim.store.mu.Lock()
	defer sim.store.mu.Unlock()
	switch kind {
	case slowLogFault:
		sim.store.slowUntil = until
	case delayedLogFault:
		sim.store.delayedUntil = until
	default:
		sim.store.fullUntil = until
	}
}

// changeRandomWorkers calls change with each worker with a probability of 1/3.
func (sim *simulation) changeRandomWorkers(change func(*simWorker)) {
	sim.workers.mu.Lock()
	defer sim.workers.mu.Unlock()
	for _, w := range sim.workers.incarnations {
		if oneIn(sim.random, 3) {
			change(w)
		}
	}
}

// disconnectRandomWorkers makes one worker unreachable, or about a third of them.
func (sim *simulation) disconnectRandomWorkers(until time.Time) {
	if oneIn(sim.random, 2) {
		sim.changeRandomWorkers(func(w *simWorker) { w.unreachableUntil = until })
		return
	}
	sim.workers.mu.Lock()
	defer sim.workers.mu.Unlock()
	sim.workers.incarnations[sim.random.IntN(len(sim.workers.incarnations))].unreachableUntil = until
}

// neverReturnsOneIn is the inverse of the probability that a crashed worker never
// returns.
const neverReturnsOneIn = 2

// crashRandomWorker crashes a worker, which returns as another incarnation or never.
func (sim *simulation) crashRandomWorker() {
	downtime, returns := randomDuration(sim.random, 50*time.Millisecond, 4*time.Second), !oneIn(sim.random, neverReturnsOneIn)
	sim.workers.mu.Lock()
	defer sim.workers.mu.Unlock()
	w := sim.workers.incarnations[sim.random.IntN(len(sim.workers.incarnations))]
	if w.crashed {
		return
	}
	sim.workers.crash(w)
	if returns {
		sim.workers.scheduleReturn(w, downtime)
	}
}
