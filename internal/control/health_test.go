package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// What a user sees: jobs vanish into one worker that looks healthy.
// Order: a worker's tasks stand still; it answers every look; it is given more.
// Cause: only silence and failures counted against a worker.
func TestStalledWorkerGetsNoNewTask(t *testing.T) {
	w := clusterWithStartedTask(t)
	time.Sleep(stallTimeout + 200*time.Millisecond)
	w.submit("b", oneTask)
	time.Sleep(100 * time.Millisecond)
	must.Eq(t, 1, w.started("w1"))
	w.withWorker("w1", func(f *fakeWorker) {
		f.running[task("a", 0)] = Running{Task: task("a", 0), Number: 1, Percent: 50}
	})
	w.eventually("the worker is used again when it goes on", func() bool { return w.started("w1") == 2 })
}

// What a user sees: a task hangs for as long as its worker does.
// Order: a task stands still for seconds; another worker has room.
func TestStalledTaskIsRestartedElsewhere(t *testing.T) {
	w := clusterWithStartedTask(t)
	w.workers.add("w2")
	w.announce("w2")
	w.eventually("it runs elsewhere", func() bool { return w.started("w2") == 1 })
	w.withWorker("w1", func(f *fakeWorker) { must.MapEmpty(t, f.running) })
}

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
	must.False(t, slow.isSlow(), must.Sprint("two runs may be chance"))
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
