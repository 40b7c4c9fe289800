package control

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// workerResponseTimeout is how long a worker may go without responding before it
	// counts as unresponsive: the sum of the duration of one held poll and the shortest
	// overdue time.
	workerResponseTimeout = pollHold + minOverdueTime
	// copySlowFactor is the multiple of the expected run time that the rest of a run on a
	// slow worker must exceed before a speculative copy is worth its resources. Runs that
	// take long on a healthy worker get no such copy, because they would take as long on
	// another worker.
	copySlowFactor = 1.5
)

// copyCause is the reason why a task gets a speculative copy on idle resources.
type copyCause string

const (
	copyNone         copyCause = ""
	copyUnresponsive copyCause = "the worker is unresponsive"
	copyStalled      copyCause = "the run makes no progress"
	copySlow         copyCause = "the worker is slow"
)

// copyCauseOf returns why the task of a run should get a speculative copy, copyNone if it
// shouldn't. The caller checks that the step allows copies. t.mu must be held.
//
// Without a copy, the tasks of a worker that becomes unreachable or slow wait until its
// lease has expired, or until the slow runs end. Steps that allow copies declare that two
// concurrent runs of a task are harmless, so the second run needn't wait for the end of
// the first.
func (s *workerSession) copyCauseOf(run workflow.Run, step *workflow.Step, now time.Time) copyCause {
	if s.isUnresponsive(now) {
		return copyUnresponsive
	}
	o := s.orders[run.Task]
	switch {
	case o == nil || !o.listed:
		return copyNone
	case o.progressAt.Sub(o.advancedAt) > stallTimeout:
		return copyStalled
	}
	expectedRun := float64(step.EstimateMS) * float64(time.Millisecond) * max(s.t.pace.mean, 1)
	if s.isVerySlow() && float64(s.expectedEnd(run, step, now).Sub(now)) > copySlowFactor*expectedRun {
		return copySlow
	}
	return copyNone
}

// addCopyCandidate adds a run of a job to the copy candidates if its task should get a
// speculative copy. t.mu must be held.
func (input *planInput) addCopyCandidate(t *leaderTerm, job *workflow.Job, run workflow.Run, session *workerSession, now time.Time) {
	spec := &job.Steps[run.Task.Step]
	if !spec.AllowsCopies() {
		return
	}
	task := &job.Occurrences[run.Task.Occurrence][run.Task.Step].Tasks[run.Task.Index]
	if task.Live != 1 || task.IsCrashSuspect() {
		return
	}
	if _, proposed := t.proposedStarts[run.Task]; proposed {
		return
	}
	if cause := session.copyCauseOf(run, spec, now); cause != copyNone {
		input.copyCandidates[run.Task] = copyCandidate{worker: run.Worker, cause: cause}
	}
}

// copyCandidate is a run whose task should get a speculative copy on another worker.
type copyCandidate struct {
	worker string
	cause  copyCause
}

// addCopySteps adds steps for the tasks that should get a speculative copy to the input.
// Such a step excludes the workers of the existing runs. t.mu must be held.
func (t *leaderTerm) addCopySteps(input *planInput, s *workflow.State, now time.Time) {
	avoid := map[workflow.StepKey]map[int]string{}
	for task, c := range input.copyCandidates {
		if avoid[task.StepKey] == nil {
			avoid[task.StepKey] = map[int]string{}
		}
		avoid[task.StepKey][task.Index] = c.worker
	}
	for key, workers := range avoid {
		job := s.Jobs[key.Job]
		pending := slices.Sorted(maps.Keys(workers))
		runsPerWorker := input.runsPerWorkerOf(t, s, key, &job.Steps[key.Step])
		step := t.dispatchStep(job, key, pending, t.acceptedTime(job.ID), objectiveOf(job), now, runsPerWorker)
		step.Copy, step.Avoid = true, workers
		input.steps = append(input.steps, step)
	}
}

// logCopies logs which of the planned starts are speculative copies, and the cause of
// each.
func (t *leaderTerm) logCopies(starts []dispatch.Start, candidates map[workflow.TaskKey]copyCandidate) {
	for _, start := range starts {
		if c, ok := candidates[start.Task]; ok {
			t.c.cfg.Counters.Add("copies", 1)
			t.logger.Log("event", "copy", "task", start.Task, "worker", start.Worker, "beside", c.worker, "cause", c.cause)
		}
	}
}
