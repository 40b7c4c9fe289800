package workflow

// workerLoad is the demand of the runs that may be alive on a worker, by task and in total.
// It is updated with each start and end, so that decisions needn't sum up the runs.
type workerLoad struct {
	used    Resources
	demands map[TaskKey]Resources
	// changes counts the starts and ends of runs.
	changes uint64
}

// Used returns the resources occupied by the runs that may be alive on a worker, and a
// counter that changes whenever a run starts or ends there.
func (s *State) Used(worker string) (used Resources, changes uint64) {
	load := s.loads[worker]
	if load == nil {
		return Resources{}, 0
	}
	return load.used, load.changes
}

// Placed returns how many runs of a step may be alive on each worker, by worker ID, if the
// step has a MaxPerWorker; nil for other steps. The caller must not change the map.
func (s *State) Placed(step StepKey) map[string]int { return s.placed[step] }

// addRun records that a run may be alive.
func (s *State) addRun(run Run) {
	runs := s.Runs[run.Worker]
	if runs == nil {
		runs = map[TaskKey]Run{}
		s.Runs[run.Worker] = runs
	}
	runs[run.Task] = run
	load := s.loads[run.Worker]
	if load == nil {
		load = &workerLoad{demands: map[TaskKey]Resources{}}
		s.loads[run.Worker] = load
	}
	load.changes++
	job := s.Jobs[run.Task.Job]
	if job == nil {
		return
	}
	spec := &job.Steps[run.Task.Step]
	load.demands[run.Task] = spec.Demand()
	load.used = load.used.Plus(spec.Demand())
	if spec.MaxPerWorker > 0 {
		s.countPlaced(run.Task.StepKey, run.Worker, 1)
	}
}

// removeRun records that a run is no longer alive.
func (s *State) removeRun(run Run) {
	delete(s.Runs[run.Worker], run.Task)
	load := s.loads[run.Worker]
	load.changes++
	load.used = load.used.Minus(load.demands[run.Task])
	delete(load.demands, run.Task)
	if s.placed[run.Task.StepKey] != nil {
		s.countPlaced(run.Task.StepKey, run.Worker, -1)
	}
}

// countPlaced adds n to the count of runs of a step on a worker.
func (s *State) countPlaced(step StepKey, worker string, n int) {
	counts := s.placed[step]
	if counts == nil {
		counts = map[string]int{}
		s.placed[step] = counts
	}
	counts[worker] += n
	if counts[worker] == 0 {
		delete(counts, worker)
	}
	if len(counts) == 0 {
		delete(s.placed, step)
	}
}
