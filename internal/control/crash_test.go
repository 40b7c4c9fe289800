package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// maxCrashes is how many workers one task may crash: three, and two more that had
// received a start of the task before the third crash was known.
const maxCrashes = 5

// crashingTask is a cluster in which the only task of job a crashes each worker that
// starts it. Another worker is added after each crash.
type crashingTask struct {
	cluster *testCluster
	crashed int
}

// currentWorker returns the worker that is up.
func (c *crashingTask) currentWorker() string { return fmt.Sprint("w", c.crashed+1) }

func newCrashingTask(t *testing.T) *crashingTask {
	c := &crashingTask{cluster: newTestCluster(t, nil)}
	c.cluster.workers.add(c.currentWorker())
	c.cluster.announce(c.currentWorker())
	c.cluster.submit("a", oneTask)
	return c
}

// crashNext waits until the job has failed or its task has started once more, and reports
// whether the job has failed. If the task has started, crashNext crashes its worker; the
// leader can detect the crash only after detectableAfter.
func (c *crashingTask) crashNext(detectableAfter time.Duration) (failed bool) {
	worker := c.currentWorker()
	c.cluster.eventually("the task starts or its job fails", func() bool {
		failed = c.cluster.phase("a") == workflow.PhaseFailed
		return failed || c.cluster.started(worker) > 0
	})
	if failed {
		return true
	}
	c.crashed++
	c.cluster.withWorker(worker, func(f *fakeWorker) { f.responsesLost = true })
	c.cluster.workers.add(c.currentWorker())
	c.cluster.announce(c.currentWorker())
	time.AfterFunc(detectableAfter, func() { c.cluster.withWorker(worker, func(f *fakeWorker) { f.superseded = true }) })
	return false
}

// Guards against this failure: a task crashes one worker after another without end.
func TestJobFailsWhenItsTaskKeepsCrashingWorkers(t *testing.T) {
	c := newCrashingTask(t)
	for !c.crashNext(0) {
		must.LessEq(t, maxCrashes, c.crashed, must.Sprint("workers crashed by one task"))
	}
}

// Guards against this failure: a job fails because its task crashed workers, and its owner
// can't find out why.
func TestExplainNamesWorkersThatTaskCrashed(t *testing.T) {
	c := newCrashingTask(t)
	for !c.crashNext(0) {
	}
	reply, err := c.cluster.controller.Explain(context.Background(), &ExplainCall{Address: JobAddress{Host: "h", Path: "/q/a", ID: "a"}})
	must.NoError(t, err)
	must.Eq(t, []TaskCrashes{{Task: 0, Workers: []string{"w1", "w2", "w3"}, GivenUp: true}}, reply.Steps[0].Crashes)
}

// Guards against this failure: a task crashes workers without end, because a crash
// doesn't count if the lease of the crashed worker expired before another incarnation
// responded at its address.
func TestCrashDetectedAfterLeaseExpiryCounts(t *testing.T) {
	c := newCrashingTask(t)
	for !c.crashNext(time.Second) {
		must.LessEq(t, maxCrashes, c.crashed, must.Sprint("workers crashed by one task"))
	}
}

// Guards against this failure: a task that crashes its workers also ends other runs on
// the worker, because the worker gets other tasks before it has responded for the whole
// probation period after the start of that task.
func TestWorkerWithNewCrashSuspectGetsNoOtherTask(t *testing.T) {
	now := time.Now()
	o := &runOrder{run: workflow.Run{Task: task("a", 0), Number: 2, Worker: "w1"}, crashSuspect: true}
	s := &workerSession{orders: map[workflow.TaskKey]*runOrder{o.run.Task: o}, clockAt: now}
	must.True(t, s.onProbation(), must.Sprint("no response to its start yet"))
	o.startedAt = now
	must.True(t, s.onProbation())
	s.clockAt = now.Add(probationPeriod)
	must.False(t, s.onProbation())
	o.crashSuspect, s.clockAt = false, now
	must.False(t, s.onProbation())
}

// Guards against this failure: a job fails because of crashes that its long-running task
// didn't cause, or a job whose task does crash its workers doesn't fail.
func TestSuspicionDependsOnRunAgeAndKind(t *testing.T) {
	now := time.Now()
	run := workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}
	for name, c := range map[string]struct {
		o    runOrder
		want workflow.Suspicion
	}{
		"never sent":                        {runOrder{}, workflow.SuspicionNone},
		"no response":                       {runOrder{unanswered: true}, workflow.SuspicionStrong},
		"just started":                      {runOrder{startedAt: now.Add(-strongSuspicionMaxAge)}, workflow.SuspicionStrong},
		"started a while ago":               {runOrder{startedAt: now.Add(-2 * strongSuspicionMaxAge)}, workflow.SuspicionWeak},
		"started long ago":                  {runOrder{startedAt: now.Add(-2 * noSuspicionMinAge)}, workflow.SuspicionWeak},
		"being stopped":                     {runOrder{startedAt: now, stopSentAt: now}, workflow.SuspicionWeak},
		"long-running, just started":        {runOrder{startedAt: now, longRunning: true}, workflow.SuspicionStrong},
		"long-running, started a while ago": {runOrder{startedAt: now.Add(-2 * strongSuspicionMaxAge), longRunning: true}, workflow.SuspicionWeak},
		"long-running, started long ago":    {runOrder{startedAt: now.Add(-2 * noSuspicionMinAge), longRunning: true}, workflow.SuspicionNone},
		"long-running, reported long ago":   {runOrder{listed: true, firstListedAt: now.Add(-2 * noSuspicionMinAge), longRunning: true}, workflow.SuspicionNone},
	} {
		o := c.o
		o.run = run
		s := &workerSession{orders: map[workflow.TaskKey]*runOrder{run.Task: &o}, respondedAt: now}
		must.Eq(t, c.want, s.suspicion(run), must.Sprint(name))
	}
	must.Eq(t, workflow.SuspicionWeak, (&workerSession{}).suspicion(run), must.Sprint("ordered by an earlier leader"))
}

// Guards against this failure: a rack loses power, and the jobs on its workers fail as if
// their tasks had caused the crash. Most of these tasks had been running for a while, and
// none has crashed a worker before.
func TestTasksRunAgainAfterPowerLossOfRack(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1")
	cluster.announce("w1")
	const jobs = 8
	for i := range jobs {
		cluster.submit(fmt.Sprint("j", i), oneTask)
	}
	cluster.eventually("all tasks run", func() bool { return cluster.started("w1") == jobs })
	cluster.workers.add("w2")
	cluster.withWorker("w1", func(f *fakeWorker) { f.superseded = true })
	cluster.announce("w2")
	cluster.eventually("all tasks run again", func() bool { return cluster.started("w2") == jobs })
	for i := range jobs {
		must.NotEq(t, workflow.PhaseFailed, cluster.phase(fmt.Sprint("j", i)))
	}
}
