package control

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/node"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// newQuickRestartSimulation returns a simulation without load or faults whose only worker keeps
// its name when it restarts.
func newQuickRestartSimulation(t *testing.T) *simulation {
	sim := newSimulation(t, 1)
	*sim.params = simParams{
		workers: 1, capacity: workflow.Resources{MilliCPU: 8000, MemoryMB: 64_000}, adviserConns: 1, permittedShare: 1,
		lease: 6 * time.Second, keepsWorkerNames: true,
		queues: []workflow.Queue{{Name: "q", Host: simHost, Prefix: "/q/", Policy: workflow.Policy{Service: "s", MaxAttempts: 5, Stretch: 3, ObjectiveMS: 1000}}},
	}
	return sim
}

// start starts the simulation's workers, heartbeats and leader, and returns a function that ends
// all of them.
func (sim *simulation) start() (stop func()) {
	sim.configure()
	for i := range sim.params.workers {
		sim.workers.add(fmt.Sprint("w", i), 1)
	}
	sim.startLeader()
	ctx, cancel := context.WithCancel(context.Background())
	go sim.workers.runTasks(ctx)
	go sim.sendHeartbeats(ctx)
	time.Sleep(simStartupTime)
	return func() {
		cancel()
		sim.stop()
		time.Sleep(2 * commitTimeout)
	}
}

// endsAcknowledgedInAdvance restarts the worker of a simulation at a moment after its first run
// has ended. It returns how many ends the successor is told to be acknowledged before it has listed them.
func endsAcknowledgedInAdvance(sim *simulation, moment, downtime time.Duration) (ends uint64) {
	defer sim.start()()
	sim.submit(&sim.params.queues[0], []workflow.Step{{Count: 6, Need: workflow.Resources{MilliCPU: 2000, MemoryMB: 10}, EstimateMS: 200}})
	first := sim.workers.current["w0"]
	for ended := 0; ended == 0; {
		time.Sleep(time.Millisecond)
		sim.workers.mu.Lock()
		ended = len(first.ended)
		sim.workers.mu.Unlock()
	}
	time.Sleep(moment)
	sim.workers.mu.Lock()
	sim.workers.crash(first)
	sim.workers.scheduleReturn(first, downtime)
	sim.workers.mu.Unlock()
	for range 2000 {
		time.Sleep(time.Millisecond)
		sim.workers.mu.Lock()
		if successor := sim.workers.current["w0"]; successor != nil && successor.highestPolledEnd > uint64(len(successor.ended)) {
			ends = max(ends, successor.highestPolledEnd-uint64(len(successor.ended)))
		}
		sim.workers.mu.Unlock()
	}
	return ends
}

// Guards against this failure: a task starts again after it was done. A worker restarts within
// the pause between a report and the next poll, and that poll acknowledges its predecessor's
// ends to it. Its own first ends then count as acknowledged before the leader has seen them.
func TestQuickRestartGetsNoAcknowledgementOfPredecessor(t *testing.T) {
	for moment := time.Duration(0); moment < 600*time.Millisecond; moment += 15 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			must.Eq(t, 0, endsAcknowledgedInAdvance(newQuickRestartSimulation(t), moment, 50*time.Millisecond), must.Sprint(moment))
		})
	}
}

// Guards against the same failure where calls take long: the worker restarts while the poll that
// acknowledges its predecessor's ends is on its way.
func TestQuickRestartDuringPollGetsNoAcknowledgementOfPredecessor(t *testing.T) {
	for _, c := range []struct{ callDelay, downtime time.Duration }{
		{30 * time.Millisecond, 20 * time.Millisecond},
		{100 * time.Millisecond, 20 * time.Millisecond},
		{100 * time.Millisecond, 50 * time.Millisecond},
	} {
		inAdvance, rightly, moments := 0, 0, 0
		for moment := time.Duration(0); moment < 600*time.Millisecond; moment += 15 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				sim := newQuickRestartSimulation(t)
				sim.params.callDelay = c.callDelay
				moments++
				if endsAcknowledgedInAdvance(sim, moment, c.downtime) > 0 {
					inAdvance++
				}
				if slices.ContainsFunc(sim.workers.incarnations, func(w *simWorker) bool { return w.acknowledged > 0 }) {
					rightly++
				}
			})
		}
		must.Eq(t, moments, rightly)
		must.Eq(t, 0, inAdvance, must.Sprintf("of %d moments, %v one way, worker back after %v", moments, c.callDelay, c.downtime))
	}
}

// Guards against this failure: a task starts again after it was done. A worker lists the end of
// its run while the log refuses commands, and restarts before the end is committed. The leader
// knows that the task is done and must not count its run as lost with the worker.
func TestReportedEndSurvivesRestartBeforeItsCommit(t *testing.T) {
	cluster := clusterWithIncarnation(t)
	// The log refuses commands for longer than the worker lives.
	refusals := make([]error, 1000)
	for i := range refusals {
		refusals[i] = node.ErrOutcomeUnknown
	}
	cluster.log.failEnds(refusals...)
	cluster.withWorker("n1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	term := cluster.currentTerm()
	cluster.eventually("the leader has seen the end", func() bool {
		term.mu.Lock()
		defer term.mu.Unlock()
		s := term.sessions["n1"]
		return s != nil && s.isEndKnown(workflow.Run{Task: task("a", 0), Number: 1})
	})
	cluster.restart("n1", "n2")
	cluster.announceIncarnation("n2", 2)
	cluster.log.failEnds()
	cluster.eventually("the job is done", func() bool { return cluster.phase("a") == workflow.PhaseDone })
	must.Eq(t, 0, cluster.started("n2"))
}
