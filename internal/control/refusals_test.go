package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// refusalTestTime is how long TestRefusedStartsAreNotRepeatedWithoutPause waits.
	refusalTestTime = 2 * time.Second
	// maxRefusedStarts is how many starts of one task a worker may refuse in that time: callers and workers
	// bear a few.
	maxRefusedStarts = 10
)

// Guards against a worker that gets the same start, which it refuses, hundreds of times a second.
func TestRefusedStartsAreNotRepeatedWithoutPause(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1").needsTicket = true
	cluster.announce("w1")
	cluster.submit("a", oneTask)
	time.Sleep(refusalTestTime)
	cluster.withWorker("w1", func(w *fakeWorker) {
		must.Positive(t, w.unticketed)
		must.LessEq(t, maxRefusedStarts, w.unticketed)
		w.needsTicket = false
	})
	cluster.eventually("the task starts", func() bool { return cluster.started("w1") == 1 })
}

// Guards against a task that waits for a worker which refuses it while another one has room.
func TestTaskStartsOnAnotherWorkerWhileOneRefusesIt(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1").needsTicket = true
	cluster.workers.add("w2")
	cluster.announce("w1")
	cluster.announce("w2")
	cluster.submit("a", workflow.Step{Count: 10, Need: workflow.Resources{MilliCPU: 2000, MemoryMB: 10}, EstimateMS: 50})
	for n := 5; n <= 10; n += 5 {
		cluster.eventually("the tasks start", func() bool { return cluster.started("w2") == n })
		cluster.withWorker("w2", func(w *fakeWorker) {
			for task := range w.running {
				w.finish(task, workflow.OutcomeDone)
			}
		})
	}
	cluster.withWorker("w1", func(w *fakeWorker) { must.SliceEmpty(t, w.starts) })
}

// Guards against pauses that never end, or that a single refusal causes.
func TestPauseAfterRefusalsIsBounded(t *testing.T) {
	now := time.Now()
	r := stepRefusals{}
	r.add("w1", now)
	must.MapEmpty(t, r.paused(now))
	longest := time.Duration(0)
	for range 100 {
		r.add("w1", now)
		until := r["w1"].until
		longest = max(longest, until.Sub(now))
		must.MapContainsKey(t, r.paused(now), "w1")
		must.MapEmpty(t, r.paused(until))
		// Further refusals of starts that were sent at the same time change nothing.
		r.add("w1", now)
		must.Eq(t, until, r["w1"].until)
		now = until
	}
	must.Eq(t, maxRefusalPause, longest)
}
