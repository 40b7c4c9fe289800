package workflow

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// smallStep returns a step whose tasks need one core each.
func smallStep(count int) Step {
	return Step{Count: count, Need: Resources{MilliCPU: 1000, MemoryMB: 10}, EstimateMS: 100}
}

// newState returns a state with the workers w1 and w2 of eight cores each, and a job j that
// fails after two failed runs of a task.
func newState(t testing.TB, steps ...Step) *State {
	s := NewState()
	for _, id := range []string{"w1", "w2"} {
		s.Apply(1, &Command{Worker: &Worker{ID: id, Service: "s", Address: id, Capacity: Resources{MilliCPU: 8000, MemoryMB: 800}}})
	}
	result := s.Apply(2, &Command{Submit: &Submission{ID: "j", Queue: "q", Payload: "p", Steps: steps, Policy: Policy{MaxAttempts: 2}}})
	must.Eq(t, SubmitAccepted, result.Submit)
	return s
}

// key returns the key of a task of job j.
func key(step, index int) TaskKey {
	return TaskKey{StepKey: StepKey{Job: "j", Step: step}, Index: index}
}

// startRuns commits starts of the tasks on a worker and returns the runs that the state
// allows.
func (s *State) startRuns(worker string, keys ...TaskKey) []Run {
	var runs []Run
	for _, k := range keys {
		runs = append(runs, Run{Task: k, Worker: worker})
	}
	return s.Apply(3, &Command{Start: runs}).Started
}

// finishRun applies the end of a run.
func (s *State) finishRun(run Run, outcome Outcome) {
	s.Apply(4, &Command{Ends: &RunEnds{Worker: run.Worker, Ends: []RunEnd{{Task: run.Task, Number: run.Number, Outcome: outcome}}}})
}

// Guards against a repeated submission that is accepted as a second job.
func TestSubmissionIsIdempotent(t *testing.T) {
	s := newState(t, smallStep(1))
	again := Submission{ID: "j", Queue: "q", Steps: []Step{smallStep(1)}}
	must.Eq(t, SubmitKnown, s.Apply(5, &Command{Submit: &again}).Submit)
	again.Queue = "other"
	must.Eq(t, SubmitConflict, s.Apply(6, &Command{Submit: &again}).Submit)
}

func TestStepWaitsForTheStepsItDependsOn(t *testing.T) {
	second := smallStep(1)
	second.DependsOn = []int{0}
	s := newState(t, smallStep(2), second)
	must.SliceEmpty(t, s.startRuns("w1", key(1, 0)))
	for _, run := range s.startRuns("w1", key(0, 0), key(0, 1)) {
		must.SliceEmpty(t, s.startRuns("w2", key(1, 0)))
		s.finishRun(run, OutcomeDone)
	}
	must.SliceLen(t, 1, s.startRuns("w2", key(1, 0)))
}

// Guards against a task that runs twice: a second decision, made from an older snapshot,
// starts a task on another worker although its first run hasn't ended, and the start isn't
// checked again when it is applied.
func TestNoSecondRunWhileFirstMayBeAlive(t *testing.T) {
	s := newState(t, smallStep(2))
	first := s.startRuns("w1", key(0, 0))
	must.SliceLen(t, 1, first)
	must.SliceEmpty(t, s.startRuns("w2", key(0, 0)))
	s.finishRun(first[0], OutcomeDone)
	must.SliceEmpty(t, s.startRuns("w2", key(0, 0)), must.Sprint("the task is done, though its job isn't"))
	s.finishRun(s.startRuns("w2", key(0, 1))[0], OutcomeDone)
	must.Eq(t, PhaseDone, s.Jobs["j"].Phase())
}

// Guards against a speculative task that waits for an unreachable worker instead of getting
// a copy elsewhere. Also guards against two runs on one worker, a third run, and a failure
// of the first run that counts after the copy has finished the task.
func TestTaskHasAtMostOneCopyOnAnotherWorker(t *testing.T) {
	step := smallStep(2)
	step.Speculative = true
	s := newState(t, step)
	first := s.startRuns("w1", key(0, 0))[0]
	must.SliceEmpty(t, s.startRuns("w1", key(0, 0)), must.Sprint("a copy on the same worker"))
	second := s.startRuns("w2", key(0, 0))
	must.SliceLen(t, 1, second)
	must.Eq(t, 2, second[0].Number)
	s.Apply(5, &Command{Worker: &Worker{ID: "w3", Service: "s"}})
	must.SliceEmpty(t, s.startRuns("w3", key(0, 0)), must.Sprint("a third run"))
	s.finishRun(second[0], OutcomeDone)
	must.SliceEmpty(t, s.startRuns("w2", key(0, 0)), must.Sprint("the task is done"))
	s.finishRun(first, OutcomeFailed)
	must.Eq(t, 0, s.Task(key(0, 0)).Failures, must.Sprint("a failure after the task is done doesn't count"))
	must.Eq(t, 1, s.Jobs["j"].Unfinished)
}

// Guards against a task that ends twice: its run is lost because the lease of the worker
// expired, the task runs again, and then the first worker returns and reports the end of the
// lost run.
func TestEndOfLostRunIsIgnored(t *testing.T) {
	s := newState(t, smallStep(1))
	first := s.startRuns("w1", key(0, 0))[0]
	s.finishRun(first, OutcomeLost)
	second := s.startRuns("w1", key(0, 0))[0]
	must.Eq(t, 2, second.Number)
	s.finishRun(first, OutcomeDone)
	must.Eq(t, PhasePending, s.Jobs["j"].Phase())
	s.finishRun(second, OutcomeDone)
	must.Eq(t, PhaseDone, s.Jobs["j"].Phase())
}

// Guards against a job that fails because its runs were stopped, lost or never started.
func TestOnlyFailedRunsCountAsAttempts(t *testing.T) {
	s := newState(t, smallStep(1))
	for _, outcome := range []Outcome{OutcomeStopped, OutcomeLeaseExpired, OutcomeLost, OutcomeNotStarted, OutcomeFailed} {
		s.finishRun(s.startRuns("w1", key(0, 0))[0], outcome)
		must.Eq(t, PhaseActive, s.Jobs["j"].Phase(), must.Sprint(outcome))
	}
	s.finishRun(s.startRuns("w1", key(0, 0))[0], OutcomeFailed)
	must.Eq(t, PhaseFailed, s.Jobs["j"].Phase())
	must.SliceEmpty(t, s.startRuns("w1", key(0, 0)))
}

// Guards against a gang that starts in part, or that starts again while a member may be
// alive; and against a failed run of a gang that counts once for each member.
func TestGangStartsWholeAndEndsOnce(t *testing.T) {
	gang := smallStep(2)
	gang.Gang = true
	s := newState(t, gang)
	must.SliceEmpty(t, s.startRuns("w1", key(0, 0)))
	runs := s.startRuns("w1", key(0, 0), key(0, 1))
	must.SliceLen(t, 2, runs)
	must.Eq(t, runs[0].Number, runs[1].Number)
	s.finishRun(runs[0], OutcomeFailed)
	must.SliceEmpty(t, s.startRuns("w2", key(0, 0), key(0, 1)), must.Sprint("a member of the gang may still be alive"))
	s.finishRun(runs[1], OutcomeFailed)
	must.Eq(t, 1, s.Jobs["j"].Occurrences[0][0].GangFailures)
	runs = s.startRuns("w2", key(0, 0), key(0, 1))
	must.Eq(t, 2, runs[0].Number)
	s.finishRun(runs[0], OutcomeDone)
	must.Eq(t, PhaseDone, s.Jobs["j"].Phase())
}

// Guards against a long-running task that stays down, and whose job fails, once its runs
// have failed as often as the job's attempt limit.
func TestLongRunningTaskRestartsAfterAnyEnd(t *testing.T) {
	longRunning := smallStep(1)
	longRunning.LongRunning = true
	s := newState(t, longRunning)
	for range 4 {
		s.finishRun(s.startRuns("w1", key(0, 0))[0], OutcomeFailed)
	}
	must.Eq(t, PhaseActive, s.Jobs["j"].Phase())
	must.True(t, s.Apply(9, &Command{Cancel: "j"}).Found)
	must.Eq(t, PhaseCancelled, s.Jobs["j"].Phase())
}

// Guards against a cancelled job that is shown as done: its last task ends after the
// cancellation, and the count of unfinished tasks reaches zero.
func TestCancelledJobStaysCancelled(t *testing.T) {
	s := newState(t, smallStep(1))
	run := s.startRuns("w1", key(0, 0))[0]
	s.Apply(5, &Command{Cancel: "j"})
	s.finishRun(run, OutcomeDone)
	must.Eq(t, PhaseCancelled, s.Jobs["j"].Phase())
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	s := NewState()
	for _, version := range []uint64{3, 7, 7, 5} {
		s.Apply(version, &Command{Configuration: &Document{Version: version, Source: []byte(fmt.Sprint(version))}})
	}
	must.Eq(t, uint64(7), s.Configuration.Version)
	must.Eq(t, "7", string(s.Configuration.Source))
}

func TestResolveUsesLongestPrefix(t *testing.T) {
	d := Document{Queues: []Queue{{Name: "a", Host: "h", Prefix: "/x/"}, {Name: "b", Host: "h", Prefix: "/x/y/"}}}
	queue, rest, ok := d.Resolve("h", "/x/y/1")
	must.True(t, ok)
	must.Eq(t, "b", queue.Name)
	must.Eq(t, "1", rest)
	_, _, ok = d.Resolve("other", "/x/1")
	must.False(t, ok)
}

// Guards against counters of live runs and unfinished tasks that differ from the runs and
// tasks in the state after random commands and restored snapshots.
func TestCountersMatchAfterRandomCommands(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gang := smallStep(2)
		gang.Gang = true
		dependent := smallStep(1)
		dependent.DependsOn = []int{0}
		copied := smallStep(1)
		copied.Speculative = true
		s := newState(t, smallStep(2), gang, dependent, copied)
		var live []Run
		for range rapid.IntRange(1, 60).Draw(rt, "commands") {
			worker := rapid.SampledFrom([]string{"w1", "w2"}).Draw(rt, "worker")
			switch rapid.IntRange(0, 5).Draw(rt, "what") {
			case 0, 1:
				step := rapid.IntRange(0, 3).Draw(rt, "step")
				keys := []TaskKey{key(step, 0)}
				if step < 2 {
					keys = append(keys, key(step, 1))
				}
				live = append(live, s.startRuns(worker, keys...)...)
			case 2, 3:
				if len(live) > 0 {
					run := rapid.SampledFrom(live).Draw(rt, "run")
					s.finishRun(run, Outcome(rapid.IntRange(1, 8).Draw(rt, "outcome")))
				}
			case 4:
				s.Apply(9, &Command{GoneWorker: worker})
				s.Apply(9, &Command{Worker: &Worker{ID: worker + "'", Service: "s"}})
			case 5:
				encoded, err := s.Snapshot()
				must.NoError(t, err)
				s, err = Restore(encoded)
				must.NoError(t, err)
			}
			s.checkCounts(rt)
		}
	})
}

// checkCounts compares the counters of live runs and unfinished tasks with the runs and
// tasks in the state.
func (s *State) checkCounts(t *rapid.T) {
	live := map[TaskKey]int{}
	for worker, runs := range s.Runs {
		for task, run := range runs {
			if run.Worker != worker || s.Workers[worker].Gone {
				t.Fatalf("run %v is listed under worker %s", run, worker)
			}
			live[task]++
		}
	}
	for id, job := range s.Jobs {
		unfinished := 0
		for occurrence, steps := range job.Occurrences {
			for i := range steps {
				for index, task := range steps[i].Tasks {
					k := TaskKey{StepKey{id, occurrence, i}, index}
					maxLive := 1
					if job.Steps[i].Speculative {
						maxLive = 2
					}
					if task.Live != live[k] || task.Live > maxLive || task.Live < 0 {
						t.Fatalf("task %s counts %d live runs, the state lists %d", k, task.Live, live[k])
					}
					if !task.Done {
						unfinished++
					}
				}
			}
		}
		if unfinished != job.Unfinished {
			t.Fatalf("job %s counts %d unfinished tasks, it has %d", id, job.Unfinished, unfinished)
		}
	}
}

// Guards against a job that counts as active once the start of a run is committed, although
// the worker may never start the run: the queue then reports no waiting jobs. A job becomes
// active only with the end of a run that proves that the worker started it.
func TestJobIsPendingUntilAnEndProvesAStart(t *testing.T) {
	s := newState(t, smallStep(1))
	for _, outcome := range []Outcome{OutcomeNotStarted, OutcomeLost} {
		s.finishRun(s.startRuns("w1", key(0, 0))[0], outcome)
		must.Eq(t, PhasePending, s.Jobs["j"].Phase(), must.Sprint(outcome))
	}
	s.finishRun(s.startRuns("w1", key(0, 0))[0], OutcomeStopped)
	must.Eq(t, PhaseActive, s.Jobs["j"].Phase())
}

// Guards against used resources and per-worker counts that aren't updated when runs start
// or end, or are lost in a snapshot.
func TestUsedResourcesFollowRuns(t *testing.T) {
	s := NewState()
	worker := Worker{ID: "w", Service: "s", Capacity: Resources{MilliCPU: 10}}
	s.Apply(1, &Command{Worker: &worker})
	step := Step{Count: 2, Need: Resources{MilliCPU: 3}, EstimateMS: 1, MaxPerWorker: 2}
	s.Apply(2, &Command{Submit: &Submission{ID: "a", Queue: "q", Steps: []Step{step}}})
	key := StepKey{Job: "a"}
	run := func(index int) Run { return Run{Task: TaskKey{StepKey: key, Index: index}, Worker: "w", Number: 1} }
	check := func(s *State, cpu int64, runs int) {
		used, _ := s.Used("w")
		must.Eq(t, cpu, used.MilliCPU)
		must.Eq(t, runs, s.Placed(key)["w"])
	}
	s.Apply(3, &Command{Start: []Run{run(0), run(1)}})
	check(s, 6, 2)
	encoded, err := s.Snapshot()
	must.NoError(t, err)
	restored, err := Restore(encoded)
	must.NoError(t, err)
	check(restored, 6, 2)
	_, before := s.Used("w")
	end := RunEnd{Task: run(0).Task, Number: 1, Outcome: OutcomeDone}
	s.Apply(4, &Command{Ends: &RunEnds{Worker: "w", Ends: []RunEnd{end, end}}})
	check(s, 3, 1)
	_, after := s.Used("w")
	must.NotEq(t, before, after)
	s.Apply(5, &Command{GoneWorker: "w"})
	check(s, 0, 0)
}
