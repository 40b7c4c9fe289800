package placement

// score rates a worker that passed the filters; higher is better. Values are
// between zero and one, so that the weights alone say what goes first.
type score struct {
	name   string
	weight float64
	rate   func(*request, *worker) float64
}

var (
	// scoreBinPacking prefers the worker that the task fills up most.
	scoreBinPacking = score{name: "pack", weight: 1, rate: rateBinPacking}
	// scoreAccelerators keeps workers with accelerators for work that needs them.
	scoreAccelerators = score{name: "spare accelerators", weight: 4, rate: rateAccelerators}
	// scoreHealth avoids workers whose last start failed.
	scoreHealth = score{name: "health", weight: 2, rate: rateHealth}
	// scoreRack spreads the tasks of a service over racks, so that the loss
	// of one rack takes as few of them as can be.
	scoreRack = score{name: "rack spread", weight: 100, rate: rateRack}
	// scoreWorker spreads the tasks of a service over the workers of a rack.
	scoreWorker = score{name: "worker spread", weight: 10, rate: rateWorker}
)

var scoresOf = map[Policy][]score{
	Service: {scoreRack, scoreWorker, scoreAccelerators, scoreHealth, scoreBinPacking},
	Batch:   {scoreAccelerators, scoreHealth, scoreBinPacking},
	Gang:    {scoreAccelerators, scoreHealth, scoreBinPacking},
}

func rateBinPacking(r *request, w *worker) float64 {
	left := w.free.minus(r.entry.need)
	return 1 - (ratio(left.CPU, w.Capacity.CPU)+ratio(left.Memory, w.Capacity.Memory))/2
}

func rateAccelerators(r *request, w *worker) float64 {
	if r.entry.need.Accelerators == 0 && w.Capacity.Accelerators > 0 {
		return 0
	}
	return 1
}

func rateHealth(_ *request, w *worker) float64 {
	if len(w.health.failures) > 0 {
		return 0
	}
	return 1
}

func rateRack(r *request, w *worker) float64 {
	if r.record == nil {
		return 1
	}
	return 1 / float64(1+r.record.racks[w.Rack])
}

func rateWorker(r *request, w *worker) float64 {
	if r.record == nil {
		return 1
	}
	return 1 / float64(1+r.record.workers[w.ID])
}

// total adds the weighted scores of the policy.
func (r *request) weightedScore(w *worker) float64 {
	sum := 0.0
	for _, s := range scoresOf[r.entry.job.Policy] {
		sum += s.weight * s.rate(r, w)
	}
	return sum
}

// candidates is how many workers with room are rated for batch and gang tasks:
// the index gives the tightest first, so more would rarely change the choice.
const maxRatedCandidates = 8

// search is the result of looking for a worker for one task.
type search struct {
	worker *worker
	// roomy says that some open worker has room, whatever the filters say.
	anyFits bool
	// reserved says that some of that room is kept by a reservation.
	reserved bool
}

// find chooses a worker for one task.
func (r *request) find() search {
	if r.cluster.opts.FirstFit {
		w := r.firstFit()
		return search{worker: w, anyFits: w != nil}
	}
	var s search
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

func (r *request) firstFit() *worker {
	for _, w := range r.cluster.byID {
		if w.schedulable() && r.entry.need.within(w.free) {
			return w
		}
	}
	return nil
}
