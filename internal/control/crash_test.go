package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// maxCrashes is how many workers one task may crash: three, and two more starts.
const maxCrashes = 5

// crasher lets the one task of job a crash each worker that starts it, and brings another
// incarnation of the worker back.
type crashingTask struct {
	w       *testCluster
	crashed int
}

// present is the worker whose turn it is.
func (c *crashingTask) currentWorker() string { return fmt.Sprint("w", c.crashed+1) }

func newCrashingTask(t *testing.T) *crashingTask {
	c := &crashingTask{w: newTestCluster(t, nil)}
	c.w.workers.add(c.currentWorker())
	c.w.announce(c.currentWorker())
	c.w.submit("a", oneTask)
	return c
}

// crashNext waits until the job has failed, which it reports, or its task has started once
// more, and lets the worker crash then. The crash is known only after a time.
func (c *crashingTask) crashNext(knownAfter time.Duration) (failed bool) {
	worker := c.currentWorker()
	c.w.eventually("the task starts or its job fails", func() bool {
		failed = c.w.phase("a") == workflow.PhaseFailed
		return failed || c.w.started(worker) > 0
	})
	if failed {
		return true
	}
	c.crashed++
	c.w.withWorker(worker, func(f *fakeWorker) { f.answersLost = true })
	c.w.workers.add(c.currentWorker())
	c.w.announce(c.currentWorker())
	time.AfterFunc(knownAfter, func() { c.w.withWorker(worker, func(f *fakeWorker) { f.superseded = true }) })
	return false
}

// Guards against a task that takes one worker after the other down, without end.
func TestJobFailsWhenItsTaskKeepsCrashingWorkers(t *testing.T) {
	c := newCrashingTask(t)
	for !c.crashNext(0) {
		must.LessEq(t, maxCrashes, c.crashed, must.Sprint("workers crashed by one task"))
	}
}

// Guards against a job that fails for no reason that its owner could see.
func TestExplainNamesWorkersThatTaskCrashed(t *testing.T) {
	c := newCrashingTask(t)
	for !c.crashNext(0) {
	}
	reply, err := c.w.c.Explain(context.Background(), &ExplainCall{Address: JobAddress{Host: "h", Path: "/q/a"}})
	must.NoError(t, err)
	must.Eq(t, []TaskCrashes{{Task: 0, Workers: []string{"w1", "w2", "w3"}, GivenUp: true}}, reply.Steps[0].Crashes)
}

// Guards against crashes that don't count where the lease had ended, and the run with it,
// before another incarnation answered.
func TestCrashDetectedAfterLeaseExpiryCounts(t *testing.T) {
	c := newCrashingTask(t)
	for !c.crashNext(time.Second) {
		must.LessEq(t, maxCrashes, c.crashed, must.Sprint("workers crashed by one task"))
	}
}

// Guards against what is placed beside a task that crashes its workers: the worker gets
// nothing else until it has answered for a while under the run.
func TestWorkerWithNewCrashSuspectGetsNoOtherTask(t *testing.T) {
	now := time.Now()
	o := &runOrder{run: workflow.Run{Task: task("a", 0), Number: 2, Worker: "w1"}, crashSuspect: true}
	s := &workerSession{orders: map[workflow.TaskKey]*runOrder{o.run.Task: o}, clockAt: now}
	must.True(t, s.onProbation(), must.Sprint("its start has no answer"))
	o.startedAt = now
	must.True(t, s.onProbation())
	s.clockAt = now.Add(probationPeriod)
	must.False(t, s.onProbation())
	o.crashSuspect, s.clockAt = false, now
	must.False(t, s.onProbation())
}

// Guards against a task that lasts and is given up for crashes that weren't its own, and one
// that crashes its workers and isn't.
func TestCrashSuspicionOfRun(t *testing.T) {
	now := time.Now()
	run := workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}
	for name, c := range map[string]struct {
		o    runOrder
		want workflow.Suspicion
	}{
		"never sent":             {runOrder{}, workflow.SuspicionNone},
		"no answer":              {runOrder{unanswered: true}, workflow.SuspicionStrong},
		"just begun":             {runOrder{startedAt: now.Add(-strongSuspicionMaxAge)}, workflow.SuspicionStrong},
		"begun a while ago":      {runOrder{startedAt: now.Add(-2 * strongSuspicionMaxAge)}, workflow.SuspicionWeak},
		"begun long ago":         {runOrder{startedAt: now.Add(-2 * noSuspicionMinAge)}, workflow.SuspicionWeak},
		"being stopped":          {runOrder{startedAt: now, stopSent: now}, workflow.SuspicionWeak},
		"lasts, just begun":      {runOrder{startedAt: now, longRunning: true}, workflow.SuspicionStrong},
		"lasts, a while ago":     {runOrder{startedAt: now.Add(-2 * strongSuspicionMaxAge), longRunning: true}, workflow.SuspicionWeak},
		"lasts, long ago":        {runOrder{startedAt: now.Add(-2 * noSuspicionMinAge), longRunning: true}, workflow.SuspicionNone},
		"lasts, listed long ago": {runOrder{listed: true, firstAt: now.Add(-2 * noSuspicionMinAge), longRunning: true}, workflow.SuspicionNone},
	} {
		o := c.o
		o.run = run
		s := &workerSession{orders: map[workflow.TaskKey]*runOrder{run.Task: &o}, answeredAt: now}
		must.Eq(t, c.want, s.suspicion(run), must.Sprint(name))
	}
	must.Eq(t, workflow.SuspicionWeak, (&workerSession{}).suspicion(run), must.Sprint("ordered by an earlier leader"))
}

// Guards against a rack that loses power and takes the jobs of its workers with it: most
// of their tasks were there for a while, and none has crashed a worker before.
func TestTasksRunAgainAfterPowerLossOfRack(t *testing.T) {
	w := newTestCluster(t, nil)
	w.workers.add("w1")
	w.announce("w1")
	for i := range 8 {
		w.submit(fmt.Sprint("j", i), oneTask)
	}
	w.eventually("all tasks run", func() bool { return w.started("w1") == 8 })
	w.workers.add("w2")
	w.withWorker("w1", func(f *fakeWorker) { f.superseded = true })
	w.announce("w2")
	w.eventually("all tasks run again", func() bool { return w.started("w2") == 8 })
	for i := range 8 {
		must.NotEq(t, workflow.PhaseFailed, w.phase(fmt.Sprint("j", i)))
	}
}
