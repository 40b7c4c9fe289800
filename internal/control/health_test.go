package control

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// stallMargin is how much longer than stallTimeout a test waits for a worker to count as stalled.
const stallMargin = 200 * time.Millisecond

// Guards against this failure: a stalled worker responds to every poll and gets more and
// more tasks, none of which advances.
func TestStalledWorkerGetsNoNewTask(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	time.Sleep(stallTimeout + stallMargin)
	cluster.submit("b", oneTask)
	time.Sleep(noStartWait)
	must.Eq(t, 1, cluster.started("w1"))
	cluster.withWorker("w1", func(f *fakeWorker) {
		f.running[task("a", 0)] = Running{Task: task("a", 0), Number: 1, Percent: 50}
	})
	cluster.eventually("the worker is used again once its run advances", func() bool { return cluster.started("w1") == 2 })
}

// Guards against this failure: no task starts on workers that each run a task which lasts, because
// the percentage of such a task stays at 100.
func TestWorkerWhoseRunsCannotAdvanceGetsNewTasks(t *testing.T) {
	longRunning := oneTask
	longRunning.LongRunning = true
	for _, c := range []struct {
		name           string
		step           workflow.Step
		percent, share int
	}{
		{"long-running", longRunning, completePercent, fullShare},
		{"done", oneTask, completePercent, fullShare},
		{"paused", oneTask, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			cluster := newTestCluster(t, nil)
			cluster.workers.add("w1")
			cluster.announce("w1")
			cluster.submit("a", c.step)
			cluster.eventually("the task starts", func() bool { return cluster.started("w1") == 1 })
			cluster.withWorker("w1", func(f *fakeWorker) {
				f.running[task("a", 0)] = Running{Task: task("a", 0), Number: 1, Percent: c.percent}
			})
			cluster.setShare("w1", task("a", 0), c.share)
			time.Sleep(stallTimeout + stallMargin)
			cluster.submit("b", oneTask)
			cluster.eventually("the next task starts on the worker", func() bool { return cluster.started("w1") == 2 })
		})
	}
}

// Guards against this failure: a stalled worker gets more tasks because a task that lasts runs beside
// the run that doesn't advance.
func TestStalledWorkerWithLongRunningTaskGetsNoNewTask(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	longRunning := oneTask
	longRunning.LongRunning = true
	cluster.submit("service", longRunning)
	cluster.eventually("the long-running task starts", func() bool { return cluster.started("w1") == 2 })
	cluster.withWorker("w1", func(f *fakeWorker) {
		f.running[task("service", 0)] = Running{Task: task("service", 0), Number: 1, Percent: completePercent}
	})
	time.Sleep(2*stallTimeout + stallMargin)
	cluster.submit("b", oneTask)
	time.Sleep(noStartWait)
	must.Eq(t, 2, cluster.started("w1"))
}

// Guards against this failure: a task makes no progress for seconds and isn't restarted
// although another worker has free resources.
func TestStalledTaskIsRestartedElsewhere(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	cluster.workers.add("w2")
	cluster.announce("w2")
	cluster.eventually("the task runs elsewhere", func() bool { return cluster.started("w2") == 1 })
	cluster.withWorker("w1", func(f *fakeWorker) { must.MapEmpty(t, f.running) })
}

// setShare sets the CPU share of a run that its worker has acknowledged.
func (cluster *testCluster) setShare(worker string, task workflow.TaskKey, share int) {
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(cluster.t, err)
	term.mu.Lock()
	defer term.mu.Unlock()
	term.sessions[worker].orders[task].share = share
}
