package control

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// What a user sees: a report whose copies are allowed is late by the lease of a
// worker that was cut off.
// Order: its task starts; the worker is cut off; another worker is idle; the copy
// there ends; the first worker comes back.
// Cause: the second run waited for proof that the first one is over.
func TestSpeculativeTaskIsCopiedBeforeLeaseExpires(t *testing.T) {
	w := newTestCluster(t, nil)
	w.workers.add("w1")
	w.announce("w1")
	step := oneTask
	step.Speculative, step.Count = true, 2
	w.submit("a", step)
	w.eventually("the tasks start", func() bool { return w.started("w1") == 2 })
	term, err := w.c.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	term.mu.Lock()
	term.sessions["w1"].leaseEnd = time.Now().Add(time.Hour)
	term.mu.Unlock()
	w.withWorker("w1", func(f *fakeWorker) { f.answersLost = true })
	w.workers.add("w2")
	w.announce("w2")
	w.eventually("the copies run", func() bool { return w.started("w2") == 2 })
	w.withWorker("w2", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	w.withWorker("w1", func(f *fakeWorker) { f.answersLost = false })
	w.eventually("the run beside the copy that ended is stopped", func() bool {
		stopped := 0
		w.withWorker("w1", func(f *fakeWorker) { stopped = f.stopped[task("a", 0)] })
		return stopped == 1
	})
	must.Eq(t, workflow.PhaseActive, w.phase("a"))
	w.withWorker("w1", func(f *fakeWorker) { must.MapContainsKey(t, f.running, task("a", 1)) })
}

// What a user sees: a task begins again after it was done.
// Order: a copy's start is being committed; the other run's end is; the start is
// sent.
// Cause: only the job's end was looked at.
func TestCopyOfDoneTaskIsNotSent(t *testing.T) {
	w := newTestCluster(t, nil)
	w.workers.add("w1")
	w.announce("w1")
	step := oneTask
	step.Count, step.Speculative = 2, true
	w.submit("a", step)
	w.eventually("the tasks start", func() bool { return w.started("w1") == 2 })
	term, err := w.c.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	copied := workflow.Run{Task: task("a", 0), Number: 2, Worker: "w2"}
	o, _, _ := term.newOrder(copied, "")
	must.NotNil(t, o)
	w.withWorker("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	w.eventually("it is done", func() bool {
		done := false
		w.c.state.read(func(s *workflow.State) { done = s.Task(task("a", 0)).Done })
		return done
	})
	o, _, _ = term.newOrder(copied, "")
	must.Nil(t, o)
}

// What a user sees: two tasks of a step on one worker, though it allows one.
// Order: a task of the step stands still and is worth a copy; another one waits to
// start; one decision places both on the same idle worker.
// Cause: the step and the copies of its tasks were counted apart.
func TestMaxPerWorkerCountsCopiesAndPendingTasks(t *testing.T) {
	w := newTestCluster(t, nil)
	w.workers.add("w1")
	w.announce("w1")
	step := oneTask
	step.Count, step.Speculative, step.MaxPerWorker = 2, true, 1
	w.submit("a", step)
	w.eventually("a task starts", func() bool { return w.started("w1") == 1 })
	term, err := w.c.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	key := task("a", 0).StepKey
	v := &planInput{runsPerWorker: map[workflow.StepKey]map[string]int{}, copyCandidates: map[workflow.TaskKey]copyCandidate{task("a", 0): {worker: "w1"}}}
	term.mu.Lock()
	defer term.mu.Unlock()
	w.c.state.read(func(s *workflow.State) {
		term.gatherSteps(v, s, s.Jobs["a"], time.Now())
		term.addCopySteps(v, s, time.Now())
	})
	must.SliceLen(t, 2, v.steps)
	v.steps[0].Placed["w2"]++
	must.Eq(t, 1, v.steps[1].Placed["w2"])
	must.Eq(t, map[string]int{"w1": 1}, func() (placed map[string]int) {
		w.c.state.read(func(s *workflow.State) { placed = s.Placed(key) })
		return placed
	}())
}

// What a user sees: reports cost twice the room that they need.
// Order: a worker reports an end; the next look at it begins after a pause and is held
// for its whole time; the last answer is older than a held look takes.
// Cause: the time since the last answer counted, not that since the look was sent.
func TestWorkerIsUnresponsiveOnlyAfterPollDeadline(t *testing.T) {
	now := time.Now()
	s := &workerSession{t: &leaderTerm{started: now.Add(-time.Hour)}, answeredAt: now.Add(-copySilenceTimeout - maxPollPauseAfterEnds)}
	run, step := workflow.Run{Task: task("a", 0)}, oneTask
	s.pollDue = now.Add(time.Millisecond)
	must.Eq(t, copyNone, s.copyCauseOf(run, &step, now))
	s.pollDue = now.Add(-time.Millisecond)
	must.Eq(t, copyUnresponsive, s.copyCauseOf(run, &step, now))
}
