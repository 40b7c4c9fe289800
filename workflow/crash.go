package workflow

// Suspicion is how much speaks for a run having crashed the worker that it ran on.
type Suspicion uint8

// Suspicions of runs that ended with their workers.
const (
	// SuspicionNone: the run hadn't begun, or had lasted for so long that the crash isn't its
	// own.
	SuspicionNone Suspicion = iota
	// SuspicionWeak: the run was there, as may have been others.
	SuspicionWeak
	// SuspicionStrong: the worker crashed right after it was told to begin the run.
	SuspicionStrong
)

const (
	// maxStrongCrashes is how many crashes right after a start a task is given up for: a rack
	// that loses power crashes under many tasks, hardly ever three times under the same.
	maxStrongCrashes = 3
	// maxCrashes is how many crashes of any kind a task is given up for: three that show it,
	// and those of the two starts that may follow them.
	maxCrashes = 5
)

// Suspect reports whether a worker has crashed under the task.
func (t *Task) Suspect() bool { return len(t.CrashedOn) > 0 }

// Held reports whether the task waits until it is known of enough workers whether they have
// crashed.
//
// Failure guarded against: workers stay away for longer than their leases. Each crash is
// known only after the task has begun on the next workers, and they crash as well.
func (t *Task) AwaitsCrashVerdict() bool {
	return t.Unresolved > 0 && len(t.CrashedOn)+t.Unresolved >= maxCrashes
}

// recordLoss takes in what the end of a run says of crashes. A run that ended with its
// worker's lease counts once it is known that the worker has crashed.
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

// countUnresolvedAsCrashes counts a crash against each task whose run had ended with the lease of a
// worker that is now taken for crashed.
func (s *State) countUnresolvedAsCrashes(worker *WorkerState) {
	unresolved := worker.Unresolved
	s.dropUnresolved(worker)
	for _, end := range unresolved {
		if job, _ := s.step(end.Task.StepKey); job != nil {
			s.recordCrash(worker.ID, job, s.Task(end.Task), end)
		}
	}
}

// dropUnresolved forgets the runs that ended with a worker's lease: it hasn't crashed.
func (s *State) dropUnresolved(worker *WorkerState) {
	for _, end := range worker.Unresolved {
		if task := s.Task(end.Task); task != nil {
			task.Unresolved--
		}
	}
	worker.Unresolved = nil
}

// recordCrash counts a crash against a task, and gives its job up where it is the task that
// crashes its workers.
//
// Failure guarded against: a task crashes each worker that starts it. Started again like
// one whose worker was lost by chance, it takes one worker after the other down, with all
// that runs there.
func (s *State) recordCrash(worker string, job *Job, task *Task, end RunEnd) {
	if job.Ended() || task.Done {
		return
	}
	task.CrashedOn = append(task.CrashedOn, worker)
	if end.Suspicion == SuspicionStrong {
		task.StrongCrashes++
	}
	if task.StrongCrashes >= maxStrongCrashes || len(task.CrashedOn) >= maxCrashes {
		crasher := end.Task
		job.Failed, job.CrashingTask = true, &crasher
		s.close(job)
	}
}
