package control

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/node"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// currentRunCounts makes the leader count the runs, and returns the counts.
func (cluster *testCluster) currentRunCounts() runCounts {
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(cluster.t, err)
	term.mu.Lock()
	defer term.mu.Unlock()
	cluster.controller.state.read(func(s *workflow.State) { term.countRuns(s, time.Now()) })
	return term.runCounts
}

// Guards against this failure: a run that is in the log but in no report of its worker,
// and that no pending event will end, isn't counted as unaccounted for.
func TestOrphanedRunIsCountedAsUnaccounted(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	cluster.eventually("the run is reported", func() bool { c := cluster.currentRunCounts(); return c.alive == 1 && c.unaccounted == 0 })
	cluster.withWorker("w1", func(f *fakeWorker) { clear(f.running) })
	cluster.eventually("no report shows the run", func() bool { c := cluster.currentRunCounts(); return c.unaccounted == 1 && c.longestUnaccounted > 0 })
}

// Guards against this failure: a run on an unresponsive worker is counted as unaccounted
// for, and stopped, although the expiry of its lease will end it.
func TestRunOnUnresponsiveWorkerIsAccountedFor(t *testing.T) {
	cluster := clusterWithInheritedRun(t, func(f *fakeWorker) { f.responsesLost = true })
	c := cluster.currentRunCounts()
	must.Eq(t, 1, c.alive)
	must.Eq(t, 0, c.unaccounted)
}

// Guards against this failure: a run whose stop was acknowledged is counted as unaccounted
// for while the poll that will settle it is held.
func TestRunWithAcknowledgedStopIsAccountedFor(t *testing.T) {
	now := time.Now()
	run := workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}
	o := &runOrder{run: run, stopSentAt: now.Add(-time.Minute), stopAckedAt: now.Add(-time.Second)}
	s := &workerSession{ready: true, orders: map[workflow.TaskKey]*runOrder{run.Task: o}, fullReportSentAt: now.Add(-2 * time.Second)}
	must.True(t, s.accountsFor(run, now))
	s.fullReportSentAt = now
	must.False(t, s.accountsFor(run, now))
}

// Guards against this failure: ended runs are considered orphaned and stopped. The log
// accepts no command for a while, so that their ends are reported repeatedly and not
// committed.
func TestRunWhoseEndIsNotCommittedIsAccountedFor(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	cluster.eventually("the run is reported", func() bool { return cluster.currentRunCounts().unaccounted == 0 })
	var refusals []error
	const failedProposals = 1000
	for range failedProposals {
		refusals = append(refusals, node.ErrOutcomeUnknown)
	}
	cluster.log.failEnds(refusals...)
	cluster.withWorker("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	const watchedPolls = 20
	for range watchedPolls {
		time.Sleep(fakePollHold)
		must.Eq(t, 0, cluster.currentRunCounts().unaccounted)
	}
	cluster.log.failEnds()
	cluster.eventually("the job is done", func() bool { return cluster.phase("a") == workflow.PhaseDone })
}

// Guards against this failure: a worker never gets a task again. It has an unanswered
// order whose run isn't in the log, for example because the run was lost while the order
// was created.
func TestOrderWithoutRunInLogIsDropped(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	term := cluster.currentTerm()
	term.mu.Lock()
	s := term.sessions["w1"]
	s.orders[task("b", 0)] = &runOrder{run: workflow.Run{Task: task("b", 0), Number: 1, Worker: "w1"}, unanswered: true, abandoned: true}
	term.mu.Unlock()
	cluster.eventually("the order is dropped", func() bool {
		term.mu.Lock()
		defer term.mu.Unlock()
		return s.orders[task("b", 0)] == nil && s.orders[task("a", 0)] != nil
	})
}

// Guards against this failure: an orphaned run is stopped only every other second, and
// counted as orphaned each time. Its stop is lost, but the run counts as accounted for
// after each stop sent.
func TestOrphanedRunIsUnaccountedUntilStopIsAcknowledged(t *testing.T) {
	now := time.Now()
	run := workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}
	o := &runOrder{run: run, orphaned: true, stopSentAt: now}
	s := &workerSession{ready: true, orders: map[workflow.TaskKey]*runOrder{run.Task: o}, fullReportSentAt: now.Add(-time.Second)}
	must.False(t, s.accountsFor(run, now))
	o.stopAckedAt = now
	must.True(t, s.accountsFor(run, now))
}
