package control

import (
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

// Guards against crashes that don't count where the lease had ended, and the run with it,
// before another incarnation answered.
func TestACrashThatIsKnownAfterTheLeaseCounts(t *testing.T) {
	c := newCrasher(t)
	for !c.crashNext(time.Second) {
		must.LessEq(t, mostCrashes, c.crashed, must.Sprint("workers crashed by one task"))
	}
}
