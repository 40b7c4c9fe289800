package workflow

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// crashSequence lets workers crash one after the other under the first task of a job.
type crashSequence struct {
	t       *testing.T
	state   *State
	workers int
}

// newCrashSequence returns a crashSequence for a job of the given steps.
func newCrashSequence(t *testing.T, steps ...Step) *crashSequence {
	return &crashSequence{t: t, state: newState(t, steps...)}
}

// startOnNewWorker starts the task on a new worker.
func (c *crashSequence) startOnNewWorker() Run {
	c.workers++
	id := fmt.Sprint("c", c.workers)
	c.state.Apply(10, &Command{Worker: &Worker{ID: id, Service: "s", Address: id, Capacity: Resources{MilliCPU: 8000, MemoryMB: 800}}})
	runs := c.state.startRuns(id, key(0, 0))
	must.SliceLen(c.t, 1, runs)
	return runs[0]
}

// end reports the end of a run, with its outcome and suspicion.
func (c *crashSequence) end(run Run, outcome Outcome, suspicion Suspicion) {
	c.state.Apply(11, &Command{Ends: &RunEnds{Worker: run.Worker, Ends: []RunEnd{
		{Task: run.Task, Number: run.Number, Outcome: outcome, Suspicion: suspicion},
	}}})
}

// failed reports whether the job has failed.
func (c *crashSequence) failed() bool { return c.state.Jobs["j"].Phase() == PhaseFailed }

// Guards against a task that crashes one worker after the other without end.
func TestJobFailsAfterRepeatedWorkerCrashes(t *testing.T) {
	for suspicion, limit := range map[Suspicion]int{SuspicionStrong: maxStrongCrashes, SuspicionWeak: maxCrashes} {
		c := newCrashSequence(t, smallStep(2))
		for n := 1; n <= limit; n++ {
			must.False(t, c.failed())
			c.end(c.startOnNewWorker(), OutcomeCrashed, suspicion)
		}
		must.True(t, c.failed())
		must.Eq(t, key(0, 0), *c.state.Jobs["j"].CrashingTask)
	}
}

// Guards against a job that fails although its task crashed no worker: its workers were
// unreachable for longer than their leases, or the task had not started there.
func TestLossesWithoutCrashDoNotFailJob(t *testing.T) {
	c := newCrashSequence(t, smallStep(1))
	for range 2 * maxCrashes {
		run := c.startOnNewWorker()
		c.end(run, OutcomeLost, SuspicionStrong)
		c.state.Apply(12, &Command{Ends: &RunEnds{Worker: run.Worker, Returned: true}})
		c.state.Apply(13, &Command{GoneWorker: run.Worker, Crashed: true})
		c.end(c.startOnNewWorker(), OutcomeCrashed, SuspicionNone)
	}
	must.False(t, c.failed())
	must.False(t, c.state.Task(key(0, 0)).IsCrashSuspect())
}

// Guards against a snapshot that omits crashes already counted, or unresolved runs: runs that
// ended with the lease of a worker that may later turn out to have crashed.
func TestCrashCountsSurviveSnapshot(t *testing.T) {
	c := newCrashSequence(t, smallStep(1))
	c.end(c.startOnNewWorker(), OutcomeCrashed, SuspicionStrong)
	var unresolved []Run
	for range maxStrongCrashes - 1 {
		run := c.startOnNewWorker()
		c.end(run, OutcomeLost, SuspicionStrong)
		unresolved = append(unresolved, run)
	}
	encoded, err := c.state.Snapshot()
	must.NoError(t, err)
	c.state, err = Restore(encoded)
	must.NoError(t, err)
	for _, run := range unresolved {
		must.False(t, c.failed())
		c.state.Apply(12, &Command{GoneWorker: run.Worker, Crashed: true})
	}
	must.True(t, c.failed())
}

// Guards against a long-running task that is restarted without end although it crashes its
// workers some seconds after each start.
func TestJobOfLongRunningTaskFailsAfterWeakCrashes(t *testing.T) {
	step := smallStep(1)
	step.LongRunning = true
	c := newCrashSequence(t, step)
	for range maxCrashes {
		must.False(t, c.failed())
		c.end(c.startOnNewWorker(), OutcomeCrashed, SuspicionWeak)
	}
	must.True(t, c.failed())
}

// Guards against a speculative copy that lets a task crash two workers at a time.
func TestCrashSuspectGetsNoCopy(t *testing.T) {
	step := smallStep(1)
	step.Speculative = true
	c := newCrashSequence(t, step)
	c.startOnNewWorker()
	c.end(c.startOnNewWorker(), OutcomeCrashed, SuspicionWeak)
	must.SliceEmpty(t, c.state.startRuns("w1", key(0, 0)))
}

// Guards against a task that crashes further workers while it isn't known yet whether its
// earlier workers have crashed.
func TestTaskWaitsForUnresolvedCrashes(t *testing.T) {
	c := newCrashSequence(t, smallStep(1))
	var runs []Run
	for range maxCrashes {
		run := c.startOnNewWorker()
		c.end(run, OutcomeLost, SuspicionWeak)
		runs = append(runs, run)
	}
	must.SliceEmpty(t, c.state.startRuns("w1", key(0, 0)))
	c.state.Apply(12, &Command{Ends: &RunEnds{Worker: runs[0].Worker, Returned: true}})
	must.SliceLen(t, 1, c.state.startRuns("w1", key(0, 0)))
	c.end(Run{Task: key(0, 0), Number: maxCrashes + 1, Worker: "w1"}, OutcomeCrashed, SuspicionWeak)
	for _, run := range runs[1:] {
		must.False(t, c.failed())
		c.state.Apply(13, &Command{Ends: &RunEnds{Worker: run.Worker, Unmonitored: true}})
	}
	must.True(t, c.failed())
}
