package control

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/node"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// currentTerm returns the leader term of the cluster.
func (w *testCluster) currentTerm() *leaderTerm {
	term, err := w.c.currentLeaderTerm(context.Background())
	must.NoError(w.t, err)
	return term
}

// Guards against this failure: a task never runs again. Its start gets the response of
// another incarnation, while the worker's reports still come from the same one.
func TestMisdirectedStartIsSettled(t *testing.T) {
	w := newTestCluster(t, nil)
	w.workers.add("w1").misdirected = 1
	w.announce("w1")
	w.submit("a", oneTask)
	w.eventually("the task runs", func() bool { return w.started("w1") == 1 })
}

// Guards against this failure: a task never runs again. Its run started, and then appears
// in no report of the worker, neither as alive nor as ended.
func TestRunMissingFromReportsIsSettled(t *testing.T) {
	w := clusterWithStartedTask(t)
	w.withWorker("w1", func(f *fakeWorker) { clear(f.running) })
	w.eventually("the task runs again", func() bool { return w.started("w1") == 2 })
}

// Guards against this failure: a task never runs again. Its start is committed just after
// the leader stopped monitoring its worker, and the commit of the run's end fails.
func TestRunOnUnmonitoredWorkerIsSettled(t *testing.T) {
	w := newTestCluster(t, nil)
	w.workers.add("w1")
	w.announce("w1")
	term := w.currentTerm()
	w.log.mu.Lock()
	w.log.afterApply = func(c workflow.Command) {
		if len(c.Start) > 0 && c.Start[0].Worker == "w1" {
			term.mu.Lock()
			defer term.mu.Unlock()
			term.sessions["w1"].cancelPoll()
			delete(term.sessions, "w1")
		}
	}
	w.log.mu.Unlock()
	w.log.failEnds(node.ErrOutcomeUnknown)
	w.submit("a", oneTask)
	w.eventually("the start is committed", func() bool {
		runs := 0
		w.c.state.read(func(s *workflow.State) { runs = s.Task(task("a", 0)).Runs })
		return runs == 1
	})
	w.workers.add("w2")
	w.announce("w2")
	w.eventually("the task runs elsewhere", func() bool { return w.started("w2") == 1 })
}

// Guards against this failure: a task never runs again after a change of leader. The end
// of its first run is in a partial report, and the second run never started.
func TestLateEndKeepsLaterInheritedRun(t *testing.T) {
	w := newTestCluster(t, func(w *testCluster) {
		w1 := worker("w1")
		w.commit(&workflow.Command{Worker: &w1})
		w.commit(submission("a"))
		for range 2 {
			w.commit(&workflow.Command{Start: []workflow.Run{{Task: task("a", 0), Worker: "w1"}}})
			w.commit(&workflow.Command{Ends: &workflow.RunEnds{Worker: "w1", Ends: []workflow.RunEnd{
				{Task: task("a", 0), Number: 1, Outcome: workflow.OutcomeLost},
			}}})
		}
		f := w.workers.add("w1")
		f.running[task("a", 0)] = Running{Task: task("a", 0), Number: 1}
		f.finish(task("a", 0), workflow.OutcomeLeaseExpired)
		f.partial = true
	})
	w.eventually("the end is recorded", func() bool {
		seen := uint64(0)
		w.c.state.read(func(s *workflow.State) { seen = s.Workers["w1"].LastEnd })
		return seen == 1
	})
	w.withWorker("w1", func(f *fakeWorker) { f.partial = false })
	w.eventually("the task runs again", func() bool { return w.started("w1") == 1 })
}

// clusterWithUnmonitoredWorker returns a cluster whose log has the run of job a's task on
// worker w1, which the leader doesn't monitor.
func clusterWithUnmonitoredWorker(t *testing.T) *testCluster {
	w := newTestCluster(t, nil)
	w1 := worker("w1")
	w.workers.add("w1").running[task("a", 0)] = Running{Task: task("a", 0), Number: 1}
	w.commit(&workflow.Command{Worker: &w1})
	w.commit(submission("a"))
	w.commit(&workflow.Command{Start: []workflow.Run{{Task: task("a", 0), Worker: "w1"}}})
	return w
}

// Guards against this failure: the end of a run is never seen. Its worker is healthy and
// the leader doesn't monitor it.
func TestUnmonitoredWorkerWithRunsIsMonitoredAgain(t *testing.T) {
	w := clusterWithUnmonitoredWorker(t)
	w.eventually("the worker is monitored", func() bool { return w.currentTerm().monitors("w1") })
	w.withWorker("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	w.eventually("the job is done", func() bool {
		phase, _ := w.c.phase("a", "q")
		return phase == workflow.PhaseDone
	})
	must.Eq(t, 0, w.started("w1"))
}

// Guards against this failure: a task never runs again. Its worker is unreachable and the
// leader doesn't monitor it.
func TestRunsOnUnreachableUnmonitoredWorkerAreLost(t *testing.T) {
	w := clusterWithUnmonitoredWorker(t)
	w.withWorker("w1", func(f *fakeWorker) { f.responsesLost = true })
	w.workers.add("w2")
	w.announce("w2")
	w.eventually("the task runs elsewhere", func() bool { return w.started("w2") == 1 })
}

// Guards against this failure: a gang never runs again. No pending event will report the
// end of one member's run, and another member has ended.
func TestOrphanedGangRunIsSettledAfterAnotherMemberEnded(t *testing.T) {
	w := newTestCluster(t, nil)
	for _, id := range []string{"w1", "w2"} {
		w.workers.add(id)
		w.announce(id)
		w.eventually("the worker is ready", func() bool { return w.isReady(id) })
	}
	submitted := submission("a")
	step := oneTask
	step.Count, step.Gang = 2, true
	submitted.Submit.Steps = []workflow.Step{step}
	w.applyTogether(
		submitted,
		&workflow.Command{Start: []workflow.Run{{Task: task("a", 0), Worker: "w1"}, {Task: task("a", 1), Worker: "w2"}}},
		&workflow.Command{Ends: &workflow.RunEnds{Worker: "w1", Ends: []workflow.RunEnd{
			{Task: task("a", 0), Number: 1, Outcome: workflow.OutcomeNotStarted},
		}}},
	)
	w.eventually("both run", func() bool { return w.started("w1")+w.started("w2") == 2 })
}

func (w *testCluster) isReady(id string) bool {
	term := w.currentTerm()
	term.mu.Lock()
	defer term.mu.Unlock()
	return term.sessions[id].ready
}

// applyTogether commits commands without a decision between them.
func (w *testCluster) applyTogether(commands ...*workflow.Command) {
	w.log.mu.Lock()
	defer w.log.mu.Unlock()
	for _, c := range commands {
		data, err := c.Encode()
		must.NoError(w.t, err)
		w.log.index++
		w.log.state.Apply(w.log.index, data)
	}
}
