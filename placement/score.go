package placement

// score rates a worker that passed the filters; higher is better. Every rate is
// between 0 and 1, so the weights alone decide which score dominates.
type score struct {
	name   string
	weight float64
	rate   func(*request, *worker) float64
}

var (
	// scoreBinPacking prefers the worker with the fewest free resources after the task is
	// placed.
	scoreBinPacking = score{name: "pack", weight: 1, rate: rateBinPacking}
	// scoreAccelerators keeps workers with accelerators for tasks that need
	// them.
	scoreAccelerators = score{name: "spare accelerators", weight: 4, rate: rateAccelerators}
	// scoreHealth avoids workers with failures since their last success.
	scoreHealth = score{name: "health", weight: 2, rate: rateHealth}
	// scoreRack spreads the tasks of a service over racks, to limit how many
	// are lost with one rack.
	scoreRack = score{name: "rack spread", weight: 100, rate: rateRack}
	// scoreWorker spreads the tasks of a service over the workers of a rack.
	scoreWorker = score{name: "worker spread", weight: 10, rate: rateWorker}
)

// scoresOf lists the scores that apply to each policy.
var scoresOf = map[Policy][]score{
	Service: {scoreRack, scoreWorker, scoreAccelerators, scoreHealth, scoreBinPacking},
	Batch:   {scoreAccelerators, scoreHealth, scoreBinPacking},
	Gang:    {scoreAccelerators, scoreHealth, scoreBinPacking},
}

// rateBinPacking is 1 minus the mean fraction of CPU and memory that the task leaves free
// on the worker.
func rateBinPacking(r *request, w *worker) float64 {
	left := w.free.minus(r.entry.need)
	return 1 - (ratio(left.CPU, w.Capacity.CPU)+ratio(left.Memory, w.Capacity.Memory))/2
}

// rateAccelerators is 0 for a worker with accelerators if the task needs none.
func rateAccelerators(r *request, w *worker) float64 {
	if r.entry.need.Accelerators == 0 && w.Capacity.Accelerators > 0 {
		return 0
	}
	return 1
}

// rateHealth is 0 for a worker with failures since its last success.
func rateHealth(_ *request, w *worker) float64 {
	if len(w.health.failures) > 0 {
		return 0
	}
	return 1
}

// rateRack is 1 for a rack without tasks of the job and decreases with the number of
// tasks of the job in the rack.
func rateRack(r *request, w *worker) float64 {
	if r.record == nil {
		return 1
	}
	return 1 / float64(1+r.record.racks[w.Rack])
}

// rateWorker is 1 for a worker without tasks of the job and decreases with the number of
// tasks of the job on the worker.
func rateWorker(r *request, w *worker) float64 {
	if r.record == nil {
		return 1
	}
	return 1 / float64(1+r.record.workers[w.ID])
}

// weightedScore returns the weighted sum of the scores of the job's policy.
func (r *request) weightedScore(w *worker) float64 {
	sum := 0.0
	for _, s := range scoresOf[r.entry.job.Policy] {
		sum += s.weight * s.rate(r, w)
	}
	return sum
}

// maxRatedCandidates is how many fitting workers are rated for a batch or gang task. The
// index returns the tightest fit first, so further candidates rarely change the choice.
const maxRatedCandidates = 8

// searchResult is the result of the search for a worker for one task.
type searchResult struct {
	worker *worker
	// anyFits is set if the task fits on some schedulable worker, even if a filter
	// rejects that worker.
	anyFits bool
	// reserved is set if a worker on which the task fits was rejected because of a
	// reservation.
	reserved bool
}

// findWorker chooses a worker for one task: among the tightest fits that no filter
// rejects, the one with the highest weighted score. With Options.FirstFit it is the
// first worker by ID on which the task fits.
func (r *request) findWorker() searchResult {
	if r.cluster.opts.FirstFit {
		w := r.firstFit()
		return searchResult{worker: w, anyFits: w != nil}
	}
	var s searchResult
	limit := maxRatedCandidates
	if r.entry.job.Policy == Service {
		limit = len(r.cluster.byID)
	}
	best, seen := 0.0, 0
	r.cluster.free.ascend(r.entry.need, func(w *worker) bool {
		s.anyFits = true
		if rejectFailedHere(r, w) {
			return true
		}
		if rejectReserved(r, w) {
			s.reserved = true
			return true
		}
		if rated := r.weightedScore(w); s.worker == nil || rated > best {
			s.worker, best = w, rated
		}
		seen++
		return seen < limit
	})
	return s
}

// firstFit returns the first worker by ID on which the task fits, or nil.
func (r *request) firstFit() *worker {
	for _, w := range r.cluster.byID {
		if w.schedulable() && r.entry.need.within(w.free) {
			return w
		}
	}
	return nil
}
