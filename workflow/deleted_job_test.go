package workflow

import (
	"testing"

	"github.com/shoenig/test/must"
)

// deleteAndSubmitAgain cancels and deletes job j and submits another job under its ID.
func (s *State) deleteAndSubmitAgain(steps ...Step) SubmitResult {
	s.Apply(5, &Command{Cancel: "j"})
	s.Apply(6, &Command{DeleteJobs: []string{"j"}})
	return s.Apply(7, &Command{Submit: &Submission{ID: "j", Queue: "q", Steps: steps}}).Submit
}

// Guards against the end of every member that applies the end of a run whose job was deleted meanwhile and
// whose ID belongs to a job with fewer tasks.
func TestEndOfRunAfterItsJobWasReplacedIsApplied(t *testing.T) {
	s := newState(t, smallStep(2))
	runs := s.startRuns("w1", key(0, 0), key(0, 1))
	s.deleteAndSubmitAgain(smallStep(1))
	s.finishRun(runs[1], OutcomeDone)
	s.finishRun(runs[0], OutcomeDone)
	must.MapEmpty(t, s.Runs["w1"])
}

// Guards against members that decide differently about a worker: one that restored a snapshot lacked the
// demand of runs whose job was deleted.
func TestRunOfDeletedJobOccupiesItsWorkerAfterRestore(t *testing.T) {
	s := newOwnedState(t, smallStep(2))
	s.startRuns("w1", key(0, 0))
	s.Apply(5, &Command{Cancel: "j"})
	s.Apply(6, &Command{DeleteJobs: []string{"j"}})
	restored := s.restored(t)
	want, _ := s.Used("w1")
	used, _ := restored.Used("w1")
	must.Eq(t, want, used)
	must.Eq(t, s.CustomerUsage(), restored.CustomerUsage())
}

// Guards against a task that never starts, or counts as done without a run, because a run of a deleted job
// with the same ID ended.
func TestJobWithLiveRunIsNotDeleted(t *testing.T) {
	s := newState(t, smallStep(1))
	old := s.startRuns("w1", key(0, 0))[0]
	must.Eq(t, SubmitKnown, s.deleteAndSubmitAgain(smallStep(1)))
	s.finishRun(old, OutcomeDone)
	must.Eq(t, SubmitAccepted, s.deleteAndSubmitAgain(smallStep(1)))
	must.Eq(t, Task{}, *s.Task(key(0, 0)))
	must.SliceLen(t, 1, s.startRuns("w2", key(0, 0)))
}

// Guards against the end of every member when a worker turns out to have crashed under a task whose job was
// deleted meanwhile and whose ID belongs to a job with fewer tasks.
func TestCrashOfWorkerAfterJobWasReplacedIsApplied(t *testing.T) {
	for name, command := range map[string]*Command{
		"crashed":     {GoneWorker: "w1", Crashed: true},
		"unmonitored": {Ends: &RunEnds{Worker: "w1", Unmonitored: true}},
		"returned":    {Ends: &RunEnds{Worker: "w1", Returned: true}},
	} {
		s := newState(t, smallStep(2))
		for _, run := range s.startRuns("w1", key(0, 0), key(0, 1)) {
			end := RunEnd{Task: run.Task, Number: run.Number, Outcome: OutcomeLost, Suspicion: SuspicionStrong}
			s.Apply(4, &Command{Ends: &RunEnds{Worker: "w1", Ends: []RunEnd{end}}})
		}
		s.deleteAndSubmitAgain(smallStep(1))
		s.Apply(8, command)
		must.Eq(t, Task{}, *s.Task(key(0, 0)), must.Sprint(name))
	}
}

// Guards against a member that ends at each start: its snapshot has a run of a deleted job, and the job that
// has the ID now has fewer steps.
func TestSnapshotWithRunOfReplacedJobIsRestored(t *testing.T) {
	s := newState(t, smallStep(1), smallStep(2))
	runs := s.startRuns("w1", key(1, 0), key(1, 1))
	must.SliceLen(t, 2, runs)
	delete(s.Jobs, "j")
	s.Apply(7, &Command{Submit: &Submission{ID: "j", Queue: "q", Steps: []Step{smallStep(1)}}})
	restored := s.restored(t)
	restored.finishRun(runs[0], OutcomeDone)
	restored.Apply(8, &Command{GoneWorker: "w1", Crashed: true})
	must.Eq(t, Task{}, *restored.Task(key(0, 0)))
	must.MapEmpty(t, restored.Runs["w1"])
}
