package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/wait"
)

const (
	// simLeaveStream is the random stream of planned shutdowns.
	simLeaveStream = 6
	// meanLeaveInterval is the mean time between two planned shutdowns, frequentLeaveInterval that
	// where workers shut down all the time.
	meanLeaveInterval     = time.Second
	frequentLeaveInterval = 100 * time.Millisecond
	// minDrainTime and maxDrainTime bound the time from the start of a drain to the announcement of
	// the shutdown. Many runs outlast it.
	minDrainTime = 100 * time.Millisecond
	maxDrainTime = 1200 * time.Millisecond
	// confirmationTimeout is how long a worker waits for the confirmation of its shutdown.
	confirmationTimeout = time.Second
	// maxUnconfirmedTime bounds how long a worker without a confirmation runs on.
	maxUnconfirmedTime = 5 * time.Second
	// cutLeaveOneIn is the inverse of the probability that nothing reaches a worker that shuts down.
	cutLeaveOneIn = 2
	// maxLeaveDowntime bounds the time until the next incarnation of a worker that has shut down.
	maxLeaveDowntime = 3 * time.Second
)

// leaveWorkers makes workers drain and shut down until the faults are over, or none if leaveInterval is 0. The
// confirmation of some shutdowns is lost in a partition; these workers run on for a while.
func (sim *simulation) leaveWorkers(ctx context.Context) {
	if sim.leaveInterval == 0 {
		return
	}
	random := rand.New(rand.NewPCG(sim.seed, simLeaveStream))
	for wait.For(ctx, randomDuration(random, 0, 2*sim.leaveInterval)) && !sim.areFaultsOver() {
		plan := drawLeave(random)
		if w := sim.workers.drainRandom(random); w != nil {
			go sim.leave(ctx, w, plan)
		}
	}
}

// simLeave is a planned shutdown.
type simLeave struct {
	// drainTime ends with the announcement, downtime with the next incarnation.
	drainTime, downtime time.Duration
	// A cut begins cutBefore the announcement and lasts until the worker ends, unconfirmedTime after the last try.
	cut                        bool
	cutBefore, unconfirmedTime time.Duration
}

func drawLeave(random *rand.Rand) simLeave {
	return simLeave{
		drainTime: randomDuration(random, minDrainTime, maxDrainTime), downtime: randomDuration(random, minFaultDuration, maxLeaveDowntime),
		cut: oneIn(random, cutLeaveOneIn), cutBefore: randomDuration(random, 0, minDrainTime), unconfirmedTime: randomDuration(random, 0, maxUnconfirmedTime),
	}
}

// drainRandom makes a worker drain, and returns it, or nil if the drawn one has crashed or drains already.
func (ws *simWorkers) drainRandom(random *rand.Rand) *simWorker {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w := ws.incarnations[random.IntN(len(ws.incarnations))]
	if w.crashed || w.Draining {
		return nil
	}
	w.Draining = true
	return w
}

// leave shuts a draining worker down as planned.
func (sim *simulation) leave(ctx context.Context, w *simWorker, plan simLeave) {
	wait.For(ctx, plan.drainTime-plan.cutBefore)
	if plan.cut {
		sim.workers.cutOff(w, time.Now().Add(plan.cutBefore+confirmationTimeout+maxUnconfirmedTime))
	}
	wait.For(ctx, plan.cutBefore)
	confirmed := sim.announceLeave(ctx, w) && !plan.cut
	if !confirmed {
		wait.For(ctx, plan.unconfirmedTime)
	}
	sim.eventLog.logf("worker %s shuts down, confirmed: %t", w.ID, confirmed)
	sim.workers.shutDown(w, plan.downtime)
}

// announceLeave announces the shutdown of a worker until it is confirmed or confirmationTimeout has passed.
func (sim *simulation) announceLeave(ctx context.Context, w *simWorker) (confirmed bool) {
	ctx, cancel := context.WithTimeout(ctx, confirmationTimeout)
	defer cancel()
	for ctx.Err() == nil {
		reply, err := sim.controller().Leave(ctx, &LeaveCall{Worker: w.ID, Name: w.Name})
		if err == nil && !reply.RunsEnding {
			return true
		}
		wait.For(ctx, simTick)
	}
	return false
}

// cutOff keeps all calls from a worker until a time.
func (ws *simWorkers) cutOff(w *simWorker, until time.Time) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w.unreachableUntil = later(w.unreachableUntil, until)
}

// shutDown ends a worker, unless it has crashed, and starts its next incarnation after a downtime.
func (ws *simWorkers) shutDown(w *simWorker, downtime time.Duration) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if w.crashed {
		return
	}
	ws.end(w)
	ws.shutdowns++
	ws.scheduleReturn(w, downtime)
}
