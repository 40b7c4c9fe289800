package control

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// Guards against delaying a task that allows copies until the lease of its unreachable
// worker has expired: a copy must run on an idle worker immediately, and once the copy
// has ended the other run must be stopped when its worker is reachable again.
func TestSpeculativeTaskIsCopiedBeforeLeaseExpires(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1")
	cluster.announce("w1")
	step := oneTask
	step.Speculative, step.Count = true, 2
	cluster.submit("a", step)
	cluster.eventually("the tasks start", func() bool { return cluster.started("w1") == 2 })
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	term.mu.Lock()
	term.sessions["w1"].leaseEnd = time.Now().Add(time.Hour)
	term.mu.Unlock()
	cluster.withWorker("w1", func(f *fakeWorker) { f.responsesLost = true })
	cluster.workers.add("w2")
	cluster.announce("w2")
	cluster.eventually("the copies run", func() bool { return cluster.started("w2") == 2 })
	cluster.withWorker("w2", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	cluster.withWorker("w1", func(f *fakeWorker) { f.responsesLost = false })
	cluster.eventually("the first run of the task whose copy ended is stopped", func() bool {
		stopped := 0
		cluster.withWorker("w1", func(f *fakeWorker) { stopped = f.stopped[task("a", 0)] })
		return stopped == 1
	})
	must.Eq(t, workflow.PhaseActive, cluster.phase("a"))
	cluster.withWorker("w1", func(f *fakeWorker) { must.MapContainsKey(t, f.running, task("a", 1)) })
}

// Guards against restarting a done task: the end of its first run is committed while the
// start of its copy is being committed. Another task keeps the job active, so the state
// of the task itself must be checked.
func TestCopyOfDoneTaskIsNotSent(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1")
	cluster.announce("w1")
	step := oneTask
	step.Count, step.Speculative = 2, true
	cluster.submit("a", step)
	cluster.eventually("the tasks start", func() bool { return cluster.started("w1") == 2 })
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	copied := workflow.Run{Task: task("a", 0), Number: 2, Worker: "w2"}
	o, _, _ := term.newOrder(copied, "")
	must.NotNil(t, o)
	cluster.withWorker("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	cluster.eventually("the task is done", func() bool {
		done := false
		cluster.controller.state.read(func(s *workflow.State) { done = s.Task(task("a", 0)).Done })
		return done
	})
	o, _, _ = term.newOrder(copied, "")
	must.Nil(t, o)
}

// Guards against exceeding MaxPerWorker: a stalled task of a step gets a copy while
// another task of the step is pending, and one decision could place both on the same idle
// worker if it counted the step and its copies separately.
func TestMaxPerWorkerCountsCopiesAndPendingTasks(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1")
	cluster.announce("w1")
	step := oneTask
	step.Count, step.Speculative, step.MaxPerWorker = 2, true, 1
	cluster.submit("a", step)
	cluster.eventually("a task starts", func() bool { return cluster.started("w1") == 1 })
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	key := task("a", 0).StepKey
	input := &planInput{runsPerWorker: map[workflow.StepKey]map[string]int{}, copyCandidates: map[workflow.TaskKey]copyCandidate{task("a", 0): {worker: "w1"}}}
	term.mu.Lock()
	defer term.mu.Unlock()
	cluster.controller.state.read(func(s *workflow.State) {
		term.gatherSteps(input, s, s.Jobs["a"], time.Now())
		term.addCopySteps(input, s, time.Now())
	})
	must.SliceLen(t, 2, input.steps)
	input.steps[0].Placed["w2"]++
	must.Eq(t, 1, input.steps[1].Placed["w2"])
	must.Eq(t, map[string]int{"w1": 1}, func() (placed map[string]int) {
		cluster.controller.state.read(func(s *workflow.State) { placed = s.Placed(key) })
		return placed
	}())
}

// Guards against needless copies: after a report of an end the next poll starts after a
// pause and may be held for its full time, so the last response can be older than the
// hold of a poll. A worker must not count as unresponsive before the deadline of its
// poll.
func TestWorkerIsUnresponsiveOnlyAfterPollDeadline(t *testing.T) {
	now := time.Now()
	s := &workerSession{t: &leaderTerm{started: now.Add(-time.Hour)}, respondedAt: now.Add(-workerResponseTimeout - maxPollPauseAfterEnds)}
	run, step := workflow.Run{Task: task("a", 0)}, oneTask
	s.pollDue = now.Add(time.Millisecond)
	must.Eq(t, copyNone, s.copyCauseOf(run, &step, now))
	s.pollDue = now.Add(-time.Millisecond)
	must.Eq(t, copyUnresponsive, s.copyCauseOf(run, &step, now))
}
