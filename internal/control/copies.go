package control

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// copySilence is how long a worker may give no answer before its tasks count as
	// out of reach: a held look and a prompt answer.
	copySilence = lookWait + promptAnswer
	// copyGain is how many whole runs the rest of a run on a slow worker must be
	// expected to take before a new run beside it is worth its processors. A run that
	// takes long on a sound worker would take as long elsewhere.
	copyGain = 1.5
)

// copyCause is why a second run of a task is worth some idle room.
type copyCause string

const (
	copyNone   copyCause = ""
	copySilent copyCause = "the worker gives no answer"
	copyStill  copyCause = "the run stands still"
	copySlow   copyCause = "the worker is slow"
)

// copyCauseOf returns why a run is worth a copy of its task, where its step
// allows copies. t.mu is held.
//
// Failure guarded against: a worker is cut off or turns slow, and its tasks wait
// until its lease has ended, or for as long as it takes. Where the job says that
// two runs do no harm, the second one needn't wait for proof about the first.
func (s *session) copyCauseOf(run workflow.Run, step *workflow.Step, now time.Time) copyCause {
	if s.unheard(now) {
		return copySilent
	}
	o := s.orders[run.Task]
	switch {
	case o == nil || !o.listed:
		return copyNone
	case o.progressAt.Sub(o.advancedAt) > stillAfter:
		return copyStill
	}
	whole := float64(step.EstimateMS) * float64(time.Millisecond) * max(s.t.pace.mean, 1)
	if s.slow() && float64(s.expectedEnd(run, step, now).Sub(now)) > copyGain*whole {
		return copySlow
	}
	return copyNone
}

// noteCopy takes a run in whose task is worth a copy. t.mu is held.
func (v *view) noteCopy(t *tenure, s *workflow.State, run workflow.Run, session *session, now time.Time) {
	job := s.Jobs[run.Task.Job]
	spec := &job.Steps[run.Task.Step]
	if task := s.Task(run.Task); !spec.MayCopy() || task.Live != 1 || task.Suspect() {
		return
	}
	if _, proposed := t.proposed[run.Task]; proposed {
		return
	}
	if cause := session.copyCauseOf(run, spec, now); cause != copyNone {
		v.copies[run.Task] = copyOf{worker: run.Worker, cause: cause}
	}
}

// copyOf is a run that is worth a copy.
type copyOf struct {
	worker string
	cause  copyCause
}

// gatherCopies adds the steps of which tasks are worth a copy. t.mu is held.
func (t *tenure) gatherCopies(v *view, s *workflow.State, now time.Time) {
	avoid := map[workflow.StepKey]map[int]string{}
	for task, c := range v.copies {
		if avoid[task.StepKey] == nil {
			avoid[task.StepKey] = map[int]string{}
		}
		avoid[task.StepKey][task.Index] = c.worker
	}
	for key, workers := range avoid {
		job := s.Jobs[key.Job]
		pending := slices.Sorted(maps.Keys(workers))
		placed := v.placedOf(t, s, key, &job.Steps[key.Step])
		step := t.step(job, key, pending, t.accepted[job.ID], objectiveOf(job), now, placed)
		step.Copy, step.Avoid = true, workers
		v.steps = append(v.steps, step)
	}
}

// logCopies logs which of the planned starts are copies, and why.
func (t *tenure) logCopies(starts []dispatch.Start, copies map[workflow.TaskKey]copyOf) {
	for _, start := range starts {
		if c, ok := copies[start.Task]; ok {
			t.c.cfg.Counters.Add("copies", 1)
			t.logger.Log("event", "copy", "task", start.Task, "worker", start.Worker, "beside", c.worker, "cause", c.cause)
		}
	}
}
