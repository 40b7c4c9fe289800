package control

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// Guards against one worker that ends each leader in turn: processing its reports panics. Its runs are lost with its
// lease and start on another worker, as those of a worker that doesn't respond.
func TestWorkerWhoseReportsPanicCountsAsUnresponsive(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	term, err := cluster.controller.currentLeaderTerm(t.Context())
	must.NoError(t, err)
	term.mu.Lock()
	// The next end that the worker lists makes recordUncommittedEnds panic.
	term.sessions["w1"].uncommittedEnds = nil
	term.mu.Unlock()
	cluster.withWorker("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	cluster.workers.add("w2")
	cluster.announce("w2")
	cluster.eventually("the lost run starts on another worker", func() bool { return cluster.started("w2") == 1 })
}

// Guards against a leader that hangs for good and stays the leader: processing a report panics after the ends in it were
// committed, while the lock of the leader term is held.
func TestLeaderGoesOnAfterReportThatPanicsAfterItsCommit(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	term, err := cluster.controller.currentLeaderTerm(t.Context())
	must.NoError(t, err)
	term.mu.Lock()
	// The end of the run makes recordOpenStart panic.
	session := term.sessions["w1"]
	session.worker.StartedAtMS = 1
	session.orders[task("a", 0)].openCalls = 1
	term.openStarts = nil
	term.mu.Unlock()
	cluster.withWorker("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	cluster.workers.add("w2")
	cluster.announce("w2")
	cluster.submit("b", oneTask)
	cluster.eventually("the next job starts", func() bool { return cluster.started("w1")+cluster.started("w2") == 2 })
}
