package workflow

import "slices"

// Suspicion is how likely it is that a run crashed the worker that it ran on.
type Suspicion uint8

// Suspicions of runs that ended with their workers.
const (
	// SuspicionNone: the run hadn't started, or had run for too long to count as the cause
	// of the crash.
	SuspicionNone Suspicion = iota
	// SuspicionWeak: the run was on the worker when it crashed, as other runs may have been.
	SuspicionWeak
	// SuspicionStrong: the worker crashed right after it was told to start the run.
	SuspicionStrong
)

const (
	// maxStrongCrashes is how many crashes right after a start fail the job of a task. A
	// rack that loses power crashes under many tasks, but hardly ever three times under
	// the same task.
	maxStrongCrashes = 3
	// maxCrashes is how many crashes of any suspicion fail the job of a task. Three
	// crashes show the task to be the cause; the limit leaves room for two more, by
	// starts that may follow before the three crashes are known.
	maxCrashes = 5
)

// IsCrashSuspect reports whether a worker has crashed under the task.
func (t *Task) IsCrashSuspect() bool { return len(t.CrashedOn) > 0 }

// AwaitsCrashOutcome reports whether the task must not start yet: its crashes and its
// unresolved runs together reach maxCrashes. Otherwise, while workers are unreachable for
// longer than their leases, the task would start on further workers and crash them before its
// earlier crashes are known.
func (t *Task) AwaitsCrashOutcome() bool {
	return t.Unresolved > 0 && len(t.CrashedOn)+t.Unresolved >= maxCrashes
}

// recordLoss records that a run ended with a crash or with the lease of its worker. A run
// that ended with the lease of its worker counts only once it is known that the worker has
// crashed.
func (s *State) recordLoss(worker string, job *Job, task *Task, end RunEnd) {
	switch {
	case end.Suspicion == SuspicionNone:
	case end.Outcome == OutcomeCrashed:
		s.recordCrash(worker, job, task, end)
	case end.Outcome == OutcomeLost && s.Workers[worker] != nil:
		state := s.Workers[worker]
		state.Unresolved = append(state.Unresolved, RunEnd{Task: end.Task, Number: end.Number, Suspicion: end.Suspicion})
		task.Unresolved++
	}
}

// countUnresolvedAsCrashes counts a crash against each task whose run ended with the lease of a
// worker that now counts as crashed.
func (s *State) countUnresolvedAsCrashes(worker *WorkerState) {
	unresolved := worker.Unresolved
	s.dropUnresolved(worker)
	for _, end := range unresolved {
		if task := s.Task(end.Task); task != nil {
			s.recordCrash(worker.ID, s.Jobs[end.Task.Job], task, end)
		}
	}
}

// dropUnresolved removes the runs that ended with the lease of a worker and counts no crash.
func (s *State) dropUnresolved(worker *WorkerState) {
	for _, end := range worker.Unresolved {
		if task := s.Task(end.Task); task != nil {
			task.Unresolved--
		}
	}
	worker.Unresolved = nil
}

// forgetUnresolved forgets the unresolved runs of deleted jobs.
func (s *State) forgetUnresolved(jobs map[string]bool) {
	for _, worker := range s.Workers {
		worker.Unresolved = slices.DeleteFunc(worker.Unresolved, func(end RunEnd) bool { return jobs[end.Task.Job] })
	}
}

// recordCrash counts a crash against a task and fails its job once the task counts as the
// cause. A task that crashes each worker would otherwise be started again and again, and take
// down one worker after the other with all other runs there.
func (s *State) recordCrash(worker string, job *Job, task *Task, end RunEnd) {
	if job.Ended() || task.Done {
		return
	}
	task.CrashedOn = append(task.CrashedOn, worker)
	if end.Suspicion == SuspicionStrong {
		task.StrongCrashes++
	}
	if task.StrongCrashes >= maxStrongCrashes || len(task.CrashedOn) >= maxCrashes {
		crashingTask := end.Task
		job.Failed, job.CrashingTask = true, &crashingTask
		s.closeJob(job)
	}
}
