package control

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// copySilenceTimeout is how long a worker may give no answer before its tasks count as
	// out of reach: a held look and a prompt answer.
	copySilenceTimeout = pollHold + minOverdueTime
	// copySlowFactor is how many whole runs the rest of a run on a slow worker must be
	// expected to take before a new run beside it is worth its processors. A run that
	// takes long on a sound worker would take as long elsewhere.
	copySlowFactor = 1.5
)

// copyCause is why a second run of a task is worth some idle room.
type copyCause string

const (
	copyNone         copyCause = ""
	copyUnresponsive copyCause = "the worker gives no answer"
	copyStalled      copyCause = "the run stands still"
	copySlow         copyCause = "the worker is slow"
)

// copyCauseOf returns why a run is worth a copy of its task, where its step
// allows copies. t.mu is held.
//
// Failure guarded against: a worker is cut off or turns slow, and its tasks wait
// until its lease has ended, or for as long as it takes. Where the job says that
// two runs do no harm, the second one needn't wait for proof about the first.
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
	if s.isSlow() && float64(s.expectedEnd(run, step, now).Sub(now)) > copySlowFactor*expectedRun {
		return copySlow
	}
	return copyNone
}

// addCopyCandidate takes a run in whose task is worth a copy. t.mu is held.
func (v *planInput) addCopyCandidate(t *leaderTerm, s *workflow.State, run workflow.Run, session *workerSession, now time.Time) {
	job := s.Jobs[run.Task.Job]
	spec := &job.Steps[run.Task.Step]
	if task := s.Task(run.Task); !spec.AllowsCopies() || task.Live != 1 || task.Suspect() {
		return
	}
	if _, proposed := t.proposedStarts[run.Task]; proposed {
		return
	}
	if cause := session.copyCauseOf(run, spec, now); cause != copyNone {
		v.copyCandidates[run.Task] = copyCandidate{worker: run.Worker, cause: cause}
	}
}

// copyCandidate is a run that is worth a copy.
type copyCandidate struct {
	worker string
	cause  copyCause
}

// addCopySteps adds the steps of which tasks are worth a copy. t.mu is held.
func (t *leaderTerm) addCopySteps(v *planInput, s *workflow.State, now time.Time) {
	avoid := map[workflow.StepKey]map[int]string{}
	for task, c := range v.copyCandidates {
		if avoid[task.StepKey] == nil {
			avoid[task.StepKey] = map[int]string{}
		}
		avoid[task.StepKey][task.Index] = c.worker
	}
	for key, workers := range avoid {
		job := s.Jobs[key.Job]
		pending := slices.Sorted(maps.Keys(workers))
		runsPerWorker := v.runsPerWorkerOf(t, s, key, &job.Steps[key.Step])
		step := t.dispatchStep(job, key, pending, t.acceptedAt[job.ID], objectiveOf(job), now, runsPerWorker)
		step.Copy, step.Avoid = true, workers
		v.steps = append(v.steps, step)
	}
}

// logCopies logs which of the planned starts are copies, and why.
func (t *leaderTerm) logCopies(starts []dispatch.Start, copies map[workflow.TaskKey]copyCandidate) {
	for _, start := range starts {
		if c, ok := copies[start.Task]; ok {
			t.c.cfg.Counters.Add("copies", 1)
			t.logger.Log("event", "copy", "task", start.Task, "worker", start.Worker, "beside", c.worker, "cause", c.cause)
		}
	}
}
