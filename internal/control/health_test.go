package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against this failure: a stalled worker responds to every poll and gets more and
// more tasks, none of which advances.
func TestStalledWorkerGetsNoNewTask(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	const stallMargin = 200 * time.Millisecond
	time.Sleep(stallTimeout + stallMargin)
	cluster.submit("b", oneTask)
	time.Sleep(noStartWait)
	must.Eq(t, 1, cluster.started("w1"))
	cluster.withWorker("w1", func(f *fakeWorker) {
		f.running[task("a", 0)] = Running{Task: task("a", 0), Number: 1, Percent: 50}
	})
	cluster.eventually("the worker is used again once its run advances", func() bool { return cluster.started("w1") == 2 })
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
