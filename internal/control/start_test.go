package control

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// What a user sees: a job runs and is shown as done.
// Order: handed in, started on the one worker, ends there, taken in.
func TestJobRunsToItsEnd(t *testing.T) {
	w := startedWorld(t)
	w.with("w1", func(f *fakeWorker) {
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
func TestNothingStartsOfAJobThatEndedDuringTheCommit(t *testing.T) {
	w := newWorld(t, nil)
	w.workers.add("w1")
	w.announce("w1")
	w.log.mu.Lock()
	w.log.applied = func(c workflow.Command) {
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
