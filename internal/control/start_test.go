package control

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// What a user sees: a job runs and is shown as done.
// Order: handed in, started on the one worker, ends there, taken in.
func TestJobRunsToItsEnd(t *testing.T) {
	w := clusterWithStartedTask(t)
	w.withWorker("w1", func(f *fakeWorker) {
		must.Eq(t, "payload", f.starts[0].Payload)
		must.Eq(t, uint64(7), f.starts[0].Fence)
		f.finish(task("a", 0), workflow.OutcomeDone)
	})
	w.eventually("the job is done", func() bool { return w.phase("a") == workflow.PhaseDone })
}

// What a user sees: a worker is told to run a task without its payload.
// Order: the start of a task is committed; the job is cancelled, which drops its
// payload; then the order is made up.
// Cause: an order was sent for a job that had ended meanwhile.
func TestNoStartIsSentForJobCancelledDuringCommit(t *testing.T) {
	w := newTestCluster(t, nil)
	w.workers.add("w1")
	w.announce("w1")
	w.log.mu.Lock()
	w.log.afterApply = func(c workflow.Command) {
		if len(c.Start) > 0 {
			w.commit(&workflow.Command{Cancel: "a"})
		}
	}
	w.log.mu.Unlock()
	w.submit("a", oneTask)
	w.eventually("the run is settled", func() bool {
		settled := false
		w.c.state.read(func(s *workflow.State) {
			settled = s.Task(task("a", 0)).Runs == 1 && len(s.Runs["w1"]) == 0
		})
		return settled
	})
	must.Eq(t, 0, w.started("w1"))
}

// What a user sees: an urgent task is late though its worker is idle.
// Order: a start gets lost on its way; the next one would be carried out at once.
// Cause: the second call was made only when the first one was given up.
func TestOverdueStartIsSentAgainConcurrently(t *testing.T) {
	w := newTestCluster(t, nil)
	w.workers.add("w1").hangingStarts = 1
	w.announce("w1")
	start := time.Now()
	w.submit("a", oneTask)
	w.eventually("the task starts", func() bool { return w.started("w1") == 1 })
	must.Less(t, callTimeout, time.Since(start))
	w.withWorker("w1", func(f *fakeWorker) {
		must.Eq(t, 1, f.starts[0].Run.Number)
		f.finish(task("a", 0), workflow.OutcomeDone)
	})
	w.eventually("the job is done", func() bool { return w.phase("a") == workflow.PhaseDone })
	w.c.state.read(func(s *workflow.State) { must.Eq(t, 1, s.Task(task("a", 0)).Runs) })
}

// What a user sees: tasks wait for the lease of a worker that was cut off before they
// were sent to it.
// Order: a step's tasks are given to one worker; it falls silent; the first starts get
// no answer; the others haven't been sent; another worker is idle.
// Cause: all were sent, whatever had become of the first.
func TestStartsQueuedBehindOverdueStartMoveElsewhere(t *testing.T) {
	w := newTestCluster(t, nil)
	w.workers.add("w1").hangingStarts = 1000
	w.announce("w1")
	w.eventually("the worker is ready", func() bool {
		term, err := w.c.currentLeaderTerm(context.Background())
		must.NoError(t, err)
		term.mu.Lock()
		defer term.mu.Unlock()
		return term.sessions["w1"] != nil && term.sessions["w1"].ready
	})
	step := oneTask
	step.Count = maxConcurrentStarts + 4
	w.submit("a", step)
	w.eventually("the starts are under way", func() bool {
		hung := 0
		w.withWorker("w1", func(f *fakeWorker) { hung = 1000 - f.hangingStarts })
		return hung >= maxConcurrentStarts
	})
	w.workers.add("w2")
	w.announce("w2")
	w.eventually("what wasn't sent starts elsewhere", func() bool { return w.started("w2") >= 4 })
}
