package control

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/node"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// currentTerm returns the leader term of the cluster.
func (cluster *testCluster) currentTerm() *leaderTerm {
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(cluster.t, err)
	return term
}

// Guards against this failure: a task never runs again. Its start gets the response of
// another incarnation, while the worker's reports still come from the incarnation that
// the leader monitors.
func TestMisdirectedStartIsSettled(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1").misdirectedStarts = 1
	cluster.announce("w1")
	cluster.submit("a", oneTask)
	cluster.eventually("the task runs", func() bool { return cluster.started("w1") == 1 })
}

// Guards against this failure: a task never runs again. Its run started, and then appears
// in no report of the worker, neither as alive nor as ended.
func TestRunMissingFromReportsIsSettled(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	cluster.withWorker("w1", func(f *fakeWorker) { clear(f.running) })
	cluster.eventually("the task runs again", func() bool { return cluster.started("w1") == 2 })
}

// Guards against this failure: a run waits for a second until it is claimed. Its worker has
// acknowledged its stop at the moment at which the next poll is sent, and neither the report nor any
// later event counts as the one that settles it.
func TestPollSentAtTheAcknowledgementOfAStopSettlesTheRun(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	term := cluster.currentTerm()
	term.mu.Lock()
	defer term.mu.Unlock()
	s, now := term.sessions["w1"], time.Now()
	s.orders[task("a", 0)].stopAckedAt = now
	must.SliceLen(t, 1, s.neverStarted(Report{}, nil, now))
	must.SliceEmpty(t, s.neverStarted(Report{}, nil, now.Add(-time.Nanosecond)))
}

// Guards against this failure: a task never runs again. Its start is committed just after
// the leader stopped monitoring its worker, and the commit of the run's end fails.
func TestRunOnUnmonitoredWorkerIsSettled(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1")
	cluster.announce("w1")
	term := cluster.currentTerm()
	cluster.log.mu.Lock()
	cluster.log.afterApply = func(c workflow.Command) {
		if len(c.Start) > 0 && c.Start[0].Worker == "w1" {
			term.mu.Lock()
			defer term.mu.Unlock()
			term.sessions["w1"].cancelPoll()
			delete(term.sessions, "w1")
		}
	}
	cluster.log.mu.Unlock()
	cluster.log.failEnds(node.ErrOutcomeUnknown)
	cluster.submit("a", oneTask)
	cluster.eventually("the start is committed", func() bool {
		runs := 0
		cluster.controller.state.read(func(s *workflow.State) { runs = s.Task(task("a", 0)).Runs })
		return runs == 1
	})
	cluster.workers.add("w2")
	cluster.announce("w2")
	cluster.eventually("the task runs elsewhere", func() bool { return cluster.started("w2") == 1 })
}

// Guards against this failure: a task never runs again after a change of leader. The end
// of its first run is in a partial report, and the second run never started.
func TestLateEndKeepsLaterInheritedRun(t *testing.T) {
	cluster := newTestCluster(t, func(cluster *testCluster) {
		w1 := worker("w1")
		cluster.commit(&workflow.Command{Worker: &w1})
		cluster.commit(submission("a"))
		for range 2 {
			cluster.commit(&workflow.Command{Start: []workflow.Run{{Task: task("a", 0), Worker: "w1"}}})
			cluster.commit(&workflow.Command{Ends: &workflow.RunEnds{Worker: "w1", Ends: []workflow.RunEnd{
				{Task: task("a", 0), Number: 1, Outcome: workflow.OutcomeLost},
			}}})
		}
		f := cluster.workers.add("w1")
		f.running[task("a", 0)] = Running{Task: task("a", 0), Number: 1}
		f.finish(task("a", 0), workflow.OutcomeLeaseExpired)
		f.partial = true
	})
	cluster.eventually("the end is recorded", func() bool {
		seen := uint64(0)
		cluster.controller.state.read(func(s *workflow.State) { seen = s.Workers["w1"].LastEnd })
		return seen == 1
	})
	cluster.withWorker("w1", func(f *fakeWorker) { f.partial = false })
	cluster.eventually("the task runs again", func() bool { return cluster.started("w1") == 1 })
}

// clusterWithUnmonitoredWorker returns a cluster whose log has the run of job a's task on
// worker w1, which the leader doesn't monitor.
func clusterWithUnmonitoredWorker(t *testing.T) *testCluster {
	cluster := newTestCluster(t, nil)
	w1 := worker("w1")
	cluster.workers.add("w1").running[task("a", 0)] = Running{Task: task("a", 0), Number: 1}
	cluster.commit(&workflow.Command{Worker: &w1})
	cluster.commit(submission("a"))
	cluster.commit(&workflow.Command{Start: []workflow.Run{{Task: task("a", 0), Worker: "w1"}}})
	return cluster
}

// Guards against this failure: the end of a run is never seen. Its worker is healthy and
// the leader doesn't monitor it.
func TestUnmonitoredWorkerWithRunsIsMonitoredAgain(t *testing.T) {
	cluster := clusterWithUnmonitoredWorker(t)
	cluster.eventually("the worker is monitored", func() bool { return cluster.currentTerm().monitors("w1") })
	cluster.withWorker("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	cluster.eventually("the job is done", func() bool {
		phase, _ := cluster.controller.phase(&target{queue: workflow.Queue{Host: "q"}, id: "a"})
		return phase == workflow.PhaseDone
	})
	must.Eq(t, 0, cluster.started("w1"))
}

// Guards against this failure: a task never runs again. Its worker is unreachable and the
// leader doesn't monitor it.
func TestRunsOnUnreachableUnmonitoredWorkerAreLost(t *testing.T) {
	cluster := clusterWithUnmonitoredWorker(t)
	cluster.withWorker("w1", func(f *fakeWorker) { f.responsesLost = true })
	cluster.workers.add("w2")
	cluster.announce("w2")
	cluster.eventually("the task runs elsewhere", func() bool { return cluster.started("w2") == 1 })
}

// Guards against this failure: a gang never runs again. No pending event will report the
// end of one member's run, and another member has ended.
func TestOrphanedGangRunIsSettledAfterAnotherMemberEnded(t *testing.T) {
	cluster := newTestCluster(t, nil)
	for _, id := range []string{"w1", "w2"} {
		cluster.workers.add(id)
		cluster.announce(id)
		cluster.eventually("the worker is ready", func() bool { return cluster.isReady(id) })
	}
	submitted := submission("a")
	step := oneTask
	step.Count, step.Gang = 2, true
	submitted.Submit.Steps = []workflow.Step{step}
	cluster.applyTogether(
		submitted,
		&workflow.Command{Start: []workflow.Run{{Task: task("a", 0), Worker: "w1"}, {Task: task("a", 1), Worker: "w2"}}},
		&workflow.Command{Ends: &workflow.RunEnds{Worker: "w1", Ends: []workflow.RunEnd{
			{Task: task("a", 0), Number: 1, Outcome: workflow.OutcomeNotStarted},
		}}},
	)
	cluster.eventually("both members run", func() bool { return cluster.started("w1")+cluster.started("w2") == 2 })
}

func (cluster *testCluster) isReady(id string) bool {
	term := cluster.currentTerm()
	term.mu.Lock()
	defer term.mu.Unlock()
	return term.sessions[id].ready
}

// applyTogether commits commands without a decision between them.
func (cluster *testCluster) applyTogether(commands ...*workflow.Command) {
	cluster.log.mu.Lock()
	defer cluster.log.mu.Unlock()
	for _, c := range commands {
		encoded, err := c.Encode()
		must.NoError(cluster.t, err)
		cluster.log.index++
		cluster.log.state.Apply(cluster.log.index, encoded)
	}
}

// Guards against this failure: a worker gets more than fits. Its next incarnation carries out a start that was meant
// for it, the leader stops the run, which the log doesn't have there, and the stop takes its time.
func TestWorkerWithUnknownRunGetsNoTask(t *testing.T) {
	cluster := newTestCluster(t, nil)
	unknown := task("unknown", 0)
	cluster.workers.add("w1")
	cluster.announce("w1")
	cluster.eventually("the worker is ready", func() bool { return cluster.isReady("w1") })
	cluster.withWorker("w1", func(f *fakeWorker) {
		f.running[unknown] = Running{Task: unknown, Number: 1}
		f.slowStops = true
	})
	cluster.eventually("the unknown run is stopped", func() bool {
		stopped := false
		cluster.withWorker("w1", func(f *fakeWorker) { stopped = f.stopped[unknown] == 1 })
		return stopped
	})
	cluster.submit("a", oneTask)
	time.Sleep(noStartWait)
	must.Eq(t, 0, cluster.started("w1"))
	cluster.withWorker("w1", func(f *fakeWorker) { f.finish(unknown, workflow.OutcomeStopped) })
	cluster.eventually("the task starts", func() bool { return cluster.started("w1") == 1 })
}
