package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// mostCrashes is how many workers one task may crash: three, and two more starts.
const mostCrashes = 5

// crasher lets the one task of job a crash each worker that starts it, and brings another
// incarnation of the worker back.
type crasher struct {
	w       *world
	crashed int
}

// present is the worker whose turn it is.
func (c *crasher) present() string { return fmt.Sprint("w", c.crashed+1) }

func newCrasher(t *testing.T) *crasher {
	c := &crasher{w: newWorld(t, nil)}
	c.w.workers.add(c.present())
	c.w.announce(c.present())
	c.w.submit("a", oneTask)
	return c
}

// crashNext waits until the job has failed, which it reports, or its task has started once
// more, and lets the worker crash then. The crash is known only after a time.
func (c *crasher) crashNext(knownAfter time.Duration) (failed bool) {
	worker := c.present()
	c.w.eventually("the task starts or its job fails", func() bool {
		failed = c.w.phase("a") == workflow.PhaseFailed
		return failed || c.w.started(worker) > 0
	})
	if failed {
		return true
	}
	c.crashed++
	c.w.with(worker, func(f *fakeWorker) { f.cut = true })
	c.w.workers.add(c.present())
	c.w.announce(c.present())
	time.AfterFunc(knownAfter, func() { c.w.with(worker, func(f *fakeWorker) { f.replaced = true }) })
	return false
}

// Guards against a task that takes one worker after the other down, without end.
func TestATaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	c := newCrasher(t)
	for !c.crashNext(0) {
		must.LessEq(t, mostCrashes, c.crashed, must.Sprint("workers crashed by one task"))
	}
}

// Guards against a job that fails for no reason that its owner could see.
func TestExplainNamesTheWorkersThatCrashedUnderATask(t *testing.T) {
	c := newCrasher(t)
	for !c.crashNext(0) {
	}
	reply, err := c.w.c.Explain(context.Background(), &ExplainCall{Place: Place{Host: "h", Path: "/q/a"}})
	must.NoError(t, err)
	must.Eq(t, []TaskCrashes{{Task: 0, Workers: []string{"w1", "w2", "w3"}, GivenUp: true}}, reply.Steps[0].Crashes)
}

// Guards against crashes that don't count where the lease had ended, and the run with it,
// before another incarnation answered.
func TestACrashThatIsKnownAfterTheLeaseCounts(t *testing.T) {
	c := newCrasher(t)
	for !c.crashNext(time.Second) {
		must.LessEq(t, mostCrashes, c.crashed, must.Sprint("workers crashed by one task"))
	}
}

// Guards against what is placed beside a task that crashes its workers: the worker gets
// nothing else until it has answered for a while under the run.
func TestAWorkerWithASuspectRunGetsNothingElseAtFirst(t *testing.T) {
	now := time.Now()
	o := &order{run: workflow.Run{Task: task("a", 0), Number: 2, Worker: "w1"}, suspect: true}
	s := &session{orders: map[workflow.TaskKey]*order{o.run.Task: o}, clockAt: now}
	must.True(t, s.onProbation(), must.Sprint("its start has no answer"))
	o.startedAt = now
	must.True(t, s.onProbation())
	s.clockAt = now.Add(probation)
	must.False(t, s.onProbation())
	o.suspect, s.clockAt = false, now
	must.False(t, s.onProbation())
}

// Guards against a task that lasts and is given up for crashes that weren't its own, and one
// that crashes its workers and isn't.
func TestHowMuchSpeaksForARunHavingCrashedItsWorker(t *testing.T) {
	now := time.Now()
	run := workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}
	for name, c := range map[string]struct {
		o    order
		want workflow.Suspicion
	}{
		"never sent":             {order{}, workflow.SuspicionNone},
		"no answer":              {order{unanswered: true}, workflow.SuspicionStrong},
		"just begun":             {order{startedAt: now.Add(-strongAge)}, workflow.SuspicionStrong},
		"begun a while ago":      {order{startedAt: now.Add(-2 * strongAge)}, workflow.SuspicionWeak},
		"begun long ago":         {order{startedAt: now.Add(-2 * settledAge)}, workflow.SuspicionWeak},
		"being stopped":          {order{startedAt: now, stopSent: now}, workflow.SuspicionWeak},
		"lasts, just begun":      {order{startedAt: now, lasts: true}, workflow.SuspicionStrong},
		"lasts, a while ago":     {order{startedAt: now.Add(-2 * strongAge), lasts: true}, workflow.SuspicionWeak},
		"lasts, long ago":        {order{startedAt: now.Add(-2 * settledAge), lasts: true}, workflow.SuspicionNone},
		"lasts, listed long ago": {order{listed: true, firstAt: now.Add(-2 * settledAge), lasts: true}, workflow.SuspicionNone},
	} {
		o := c.o
		o.run = run
		s := &session{orders: map[workflow.TaskKey]*order{run.Task: &o}, answeredAt: now}
		must.Eq(t, c.want, s.suspicion(run), must.Sprint(name))
	}
	must.Eq(t, workflow.SuspicionWeak, (&session{}).suspicion(run), must.Sprint("ordered by an earlier leader"))
}

// Guards against a rack that loses power and takes the jobs of its workers with it: most
// of their tasks were there for a while, and none has crashed a worker before.
func TestTasksOfARackThatLosesPowerRunAgain(t *testing.T) {
	w := newWorld(t, nil)
	w.workers.add("w1")
	w.announce("w1")
	for i := range 8 {
		w.submit(fmt.Sprint("j", i), oneTask)
	}
	w.eventually("all tasks run", func() bool { return w.started("w1") == 8 })
	w.workers.add("w2")
	w.with("w1", func(f *fakeWorker) { f.replaced = true })
	w.announce("w2")
	w.eventually("all tasks run again", func() bool { return w.started("w2") == 8 })
	for i := range 8 {
		must.NotEq(t, workflow.PhaseFailed, w.phase(fmt.Sprint("j", i)))
	}
}
