package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
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

// Guards against this failure: a slow worker isn't detected, a healthy one counts as slow,
// or a worker that is fast again still counts as slow.
func TestSlowWorkerIsDetectedByComparison(t *testing.T) {
	now := time.Now()
	term := &leaderTerm{logger: nopLogger{}}
	slow := &workerSession{t: term, orders: map[workflow.TaskKey]*runOrder{}}
	healthy := &workerSession{t: term, orders: map[workflow.TaskKey]*runOrder{}}
	run := func(s *workerSession, took time.Duration) {
		s.orders[task("j", 0)] = &runOrder{run: workflow.Run{Number: 1}, startedAt: now.Add(-took), estimate: time.Second}
		s.recordHealth(workflow.RunEnd{Task: task("j", 0), Number: 1, Outcome: workflow.OutcomeDone}, now)
	}
	for range 20 {
		run(healthy, 1500*time.Millisecond)
	}
	run(slow, 8*time.Second)
	run(slow, 8*time.Second)
	must.False(t, slow.isSlow(), must.Sprint("two slow runs may be chance"))
	run(slow, 8*time.Second)
	must.True(t, slow.isSlow())
	must.False(t, healthy.isSlow())
	for range 10 {
		run(slow, time.Second)
	}
	must.False(t, slow.isSlow())
}

type nopLogger struct{}

func (nopLogger) Log(...any) error { return nil }
