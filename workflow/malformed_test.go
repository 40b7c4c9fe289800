package workflow

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against the end of every member that applies a start or an end of a task that can't exist.
func TestCommandsForImpossibleTasksAreIgnored(t *testing.T) {
	for _, step := range []StepKey{{"j", -1, 0}, {"j", 0, -1}, {"j", 1, 0}, {"j", 0, 1}, {"k", 0, 0}, {"j", 0, 0}} {
		for _, index := range []int{-1, 1, math.MaxInt, math.MinInt} {
			s := newState(t, smallStep(1))
			run := Run{Task: TaskKey{step, index}, Number: 1, Worker: "w1"}
			must.SliceEmpty(t, s.Apply(1, &Command{Start: []Run{run}}).Started, must.Sprint(run.Task))
			s.finishRun(run, OutcomeDone)
			must.Eq(t, Task{}, *s.Task(key(0, 0)), must.Sprint(run.Task))
		}
	}
}

// Guards against the end of every member that applies a job without tasks, with fewer than none, with more
// than fit its memory, or with a step that waits for one that doesn't exist.
func TestInvalidSubmissionIsRefused(t *testing.T) {
	dependent := smallStep(1)
	dependent.DependsOn = []int{7}
	itself := smallStep(1)
	itself.DependsOn = []int{0}
	for name, submission := range map[string]Submission{
		"no tasks":                   {Steps: []Step{smallStep(0)}},
		"fewer than no tasks":        {Steps: []Step{smallStep(-1)}},
		"too many tasks":             {Steps: []Step{smallStep(math.MaxInt)}},
		"too many occurrences":       {Steps: []Step{smallStep(1)}, Schedule: Schedule{Times: math.MaxInt}},
		"too many, each empty":       {Schedule: Schedule{Times: math.MaxInt}},
		"fewer than no occurrences":  {Steps: []Step{smallStep(1)}, Schedule: Schedule{Times: -1}},
		"a dependency out of range":  {Steps: []Step{dependent}},
		"a step that waits for self": {Steps: []Step{itself}},
	} {
		submission.ID = "invalid"
		s := newState(t, smallStep(1))
		must.Eq(t, SubmitInvalid, s.Apply(1, &Command{Submit: &submission}).Submit, must.Sprint(name))
		must.Nil(t, s.Jobs["invalid"], must.Sprint(name))
		s.Apply(2, &Command{Start: []Run{{Task: TaskKey{StepKey: StepKey{Job: "invalid"}}, Worker: "w1"}}})
		must.MapEmpty(t, s.Runs["w1"], must.Sprint(name))
	}
}

// Guards against a gang that starts one member twice and another one never.
func TestGangWithRepeatedMemberDoesNotStart(t *testing.T) {
	gang := smallStep(2)
	gang.Gang = true
	s := newState(t, gang)
	must.SliceEmpty(t, s.startRuns("w1", key(0, 0), key(0, 0)))
	must.SliceLen(t, 2, s.startRuns("w1", key(0, 0), key(0, 1)))
}

// Guards against members that disagree on whether a job without steps is open.
func TestJobWithoutStepsIsNeverOpen(t *testing.T) {
	s := newState(t)
	must.MapEmpty(t, s.OpenJobs())
	must.Eq(t, s.canonical(t), s.restored(t).canonical(t))
}
