package workflow

import "github.com/bilberryferry/bilberryferry/customer"

// workerLoad is the demand of the runs that may be alive on a worker, by task and in total.
// It is updated with each start and end, so that decisions needn't sum up the runs.
type workerLoad struct {
	used    Resources
	demands map[TaskKey]runDemand
	// changes counts the starts and ends of runs.
	changes uint64
}

// runDemand is what a run occupies on its worker, and what it counts against the limit of its
// customer. It is kept with the run, because the job may be deleted before the run ends.
type runDemand struct {
	onWorker   Resources
	customer   string
	ofCustomer Resources
}

// CustomerUsage returns what the runs that may be alive use, by customer. The caller must not change
// it.
func (s *State) CustomerUsage() customer.Usage { return s.usage }

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
		load = &workerLoad{demands: map[TaskKey]runDemand{}}
		s.loads[run.Worker] = load
	}
	load.changes++
	job, _ := s.step(run.Task.StepKey)
	if job == nil {
		return
	}
	spec := &job.Steps[run.Task.Step]
	demand := runDemand{onWorker: spec.Demand(), customer: job.Customer, ofCustomer: spec.CustomerDemand()}
	load.demands[run.Task] = demand
	load.used = load.used.Plus(demand.onWorker)
	s.usage.Add(demand.customer, demand.ofCustomer)
	if spec.MaxPerWorker > 0 {
		s.countPlaced(run.Task.StepKey, run.Worker, 1)
	}
}

// removeRun records that a run is no longer alive.
func (s *State) removeRun(run Run) {
	delete(s.Runs[run.Worker], run.Task)
	load := s.loads[run.Worker]
	load.changes++
	demand := load.demands[run.Task]
	load.used = load.used.Minus(demand.onWorker)
	s.usage.Remove(demand.customer, demand.ofCustomer)
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
