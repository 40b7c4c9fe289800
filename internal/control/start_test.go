package control

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// Guards against this failure: a job doesn't run to its end. The start of its task lacks
// the payload or the fencing token, or the reported end of the run doesn't complete the
// job.
func TestJobRunsToItsEnd(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	cluster.withWorker("w1", func(f *fakeWorker) {
		must.Eq(t, "payload", f.starts[0].Payload)
		must.Eq(t, uint64(fakeLogTerm), f.starts[0].Fence)
		f.finish(task("a", 0), workflow.OutcomeDone)
	})
	cluster.eventually("the job is done", func() bool { return cluster.phase("a") == workflow.PhaseDone })
}

// Guards against this failure: a worker is ordered to run a task without its payload. The
// job is cancelled, which drops the payload, between the commit of the start and the
// creation of the order.
func TestNoStartIsSentForJobCancelledDuringCommit(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1")
	cluster.announce("w1")
	cluster.log.mu.Lock()
	cluster.log.afterApply = func(c workflow.Command) {
		if len(c.Start) > 0 {
			cluster.commit(&workflow.Command{Cancel: "a"})
		}
	}
	cluster.log.mu.Unlock()
	cluster.submit("a", oneTask)
	cluster.eventually("the run is settled", func() bool {
		settled := false
		cluster.controller.state.read(func(s *workflow.State) {
			settled = s.Task(task("a", 0)).Runs == 1 && len(s.Runs["w1"]) == 0
		})
		return settled
	})
	must.Eq(t, 0, cluster.started("w1"))
}

// Guards against this failure: an urgent task starts late although its worker is idle.
// The call with its start is lost, and the second call waits for the timeout of the
// first.
func TestOverdueStartIsSentAgainConcurrently(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1").hangingStarts = 1
	cluster.announce("w1")
	start := time.Now()
	cluster.submit("a", oneTask)
	cluster.eventually("the task starts", func() bool { return cluster.started("w1") == 1 })
	must.Less(t, callTimeout, time.Since(start))
	cluster.withWorker("w1", func(f *fakeWorker) {
		must.Eq(t, 1, f.starts[0].Run.Number)
		f.finish(task("a", 0), workflow.OutcomeDone)
	})
	cluster.eventually("the job is done", func() bool { return cluster.phase("a") == workflow.PhaseDone })
	cluster.controller.state.read(func(s *workflow.State) { must.Eq(t, 1, s.Task(task("a", 0)).Runs) })
}

// Guards against this failure: tasks wait for the lease of a worker that became
// unreachable before their starts were sent. A step's tasks are assigned to one worker,
// which doesn't respond to the first starts. If the remaining starts are sent to that
// worker nevertheless, their tasks can't move to an idle worker.
func TestStartsQueuedBehindOverdueStartMoveElsewhere(t *testing.T) {
	const (
		// hangingStarts exceeds the number of starts that the leader sends to w1, so that
		// all of them hang. laterStarts is the number of starts that wait for those in
		// flight.
		hangingStarts = 1000
		laterStarts   = 4
	)
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1").hangingStarts = hangingStarts
	cluster.announce("w1")
	cluster.eventually("the worker is ready", func() bool {
		term, err := cluster.controller.currentLeaderTerm(context.Background())
		must.NoError(t, err)
		term.mu.Lock()
		defer term.mu.Unlock()
		return term.sessions["w1"] != nil && term.sessions["w1"].ready
	})
	step := oneTask
	step.Count = maxConcurrentStarts + laterStarts
	cluster.submit("a", step)
	cluster.eventually("the first starts are in flight", func() bool {
		inFlight := 0
		cluster.withWorker("w1", func(f *fakeWorker) { inFlight = hangingStarts - f.hangingStarts })
		return inFlight >= maxConcurrentStarts
	})
	cluster.workers.add("w2")
	cluster.announce("w2")
	cluster.eventually("the unsent tasks start elsewhere", func() bool { return cluster.started("w2") >= laterStarts })
}
