package control

import (
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
func (x *simulation) runWithFaults() []string {
	start := time.Now()
	next := start.Add(randomDuration(x.random, 0, x.params.faultInterval))
	for time.Since(start) < x.params.faultPeriod {
		time.Sleep(simTick)
		x.submitLoad(time.Since(start))
		if time.Now().After(next) {
			x.injectFault()
			next = time.Now().Add(randomDuration(x.random, 0, 2*x.params.faultInterval))
		}
		if found := x.invariantViolations(); len(found) > 0 {
			return found
		}
	}
	return nil
}

// submitLoad submits the jobs of one tick, at the given age of the simulation. Each tick
// adds to the budgets of work and of adviser time in proportion to the load, and to the
// latter at least as at a load of 1. Jobs are submitted while both budgets are positive.
func (x *simulation) submitLoad(age time.Duration) {
	load := x.params.load
	if age >= x.params.burstAt && age < x.params.burstAt+x.params.burstFor {
		load = max(load, x.params.burst)
	}
	tick := float64(simTick / time.Millisecond)
	x.workBudget += load * tick * float64(x.params.workers) * float64(x.params.capacity.MilliCPU)
	x.adviserBudget += max(load, 1) * tick * float64(x.params.adviserConns)
	for x.workBudget > 0 && x.adviserBudget > 0 {
		queue, steps := &x.params.queues[x.random.IntN(len(x.params.queues))], x.params.drawJob(x.random)
		x.workBudget -= workOf(steps)
		for i := range steps {
			x.adviserBudget -= float64(x.params.adviserTime(queue, &steps[i]) / time.Millisecond)
		}
		x.submit(queue, steps)
	}
}

const (
	// faultKinds is the number of kinds that injectFault draws from. Some kinds are the same
	// fault, which is more frequent that way.
	faultKinds = 15
	// slowLogFault, delayedLogFault and the kinds that injectFault does not name are faults
	// of the log.
	slowLogFault    = 8
	delayedLogFault = 9
	// minFaultDuration bounds the duration of faults from below.
	minFaultDuration = 30 * time.Millisecond
)

// injectFault injects one random fault.
func (x *simulation) injectFault() {
	kind := x.random.IntN(faultKinds)
	duration := randomDuration(x.random, minFaultDuration, maxFaultDuration)
	until := time.Now().Add(duration)
	x.lines.logf("injected fault %d for %v", kind, duration)
	switch kind {
	case 0, 1:
		x.crashOne()
	case 2:
		x.disconnectSome(until)
	case 3:
		x.changeSome(func(w *simWorker) { w.refusingUntil = until })
	case 4, 5:
		x.changeSome(func(w *simWorker) { w.partialReportsUntil = until })
	case 6, 7:
		x.changeLeader()
	case 12:
		x.adviser.disconnect(fmt.Sprint("instance", x.random.IntN(x.params.adviserConns)), until)
	case 14:
		// The workers are unreachable for about the time of a lease: their runs continue,
		// or the lease expires.
		lease := x.params.lease
		x.disconnectSome(time.Now().Add(randomDuration(x.random, lease*2/5, lease*13/10)))
	case 13:
		if x.params.shrinks {
			x.shrinkSome()
		}
	default:
		x.injectLogFault(kind, until)
	}
}

// injectLogFault makes the log slow, delayed or full for a time.
func (x *simulation) injectLogFault(kind int, until time.Time) {
	x.store.mu.Lock()
	defer x.store.mu.Unlock()
	switch kind {
	case slowLogFault:
		x.store.slowUntil = until
	case delayedLogFault:
		x.store.delayedUntil = until
	default:
		x.store.fullUntil = until
	}
}

// changeSome calls change with each worker with a probability of 1/3.
func (x *simulation) changeSome(change func(*simWorker)) {
	x.workers.mu.Lock()
	defer x.workers.mu.Unlock()
	for _, w := range x.workers.all {
		if oneIn(x.random, 3) {
			change(w)
		}
	}
}

// disconnectSome makes one worker unreachable, or about a third of them.
func (x *simulation) disconnectSome(until time.Time) {
	if oneIn(x.random, 2) {
		x.changeSome(func(w *simWorker) { w.unreachableUntil = until })
		return
	}
	x.workers.mu.Lock()
	defer x.workers.mu.Unlock()
	x.workers.all[x.random.IntN(len(x.workers.all))].unreachableUntil = until
}

// neverReturnsOneIn is the inverse of the probability that a crashed worker never
// returns.
const neverReturnsOneIn = 2

// crashOne crashes a worker, which returns as another incarnation or never.
func (x *simulation) crashOne() {
	downtime, returns := randomDuration(x.random, 50*time.Millisecond, 4*time.Second), !oneIn(x.random, neverReturnsOneIn)
	x.workers.mu.Lock()
	defer x.workers.mu.Unlock()
	w := x.workers.all[x.random.IntN(len(x.workers.all))]
	if w.gone {
		return
	}
	x.workers.crash(w)
	if returns {
		x.workers.scheduleReturn(w, downtime)
	}
}
