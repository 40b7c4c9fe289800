package placement

import "time"

// overdueRemaining is the shortest remaining run time that is assumed for a running task,
// in particular for one that has exceeded its high estimate.
const overdueRemaining = 30 * time.Second

// placeGang starts all tasks of a gang or none, and reports whether it did.
// Holding resources for a part of a gang could deadlock two gangs, each holding
// resources that the other needs.
func (p *planner) placeGang(e *entry) bool {
	tasks := p.remaining(e)
	if tasks > p.budget && len(p.plan.Starts) > 0 {
		// Leave the gang to the next evaluation, which has its whole budget. A
		// gang larger than the budget gets an evaluation of its own.
		p.budget = 0
		return false
	}
	if !e.subqueue.customer.allows(e.need.times(int64(tasks))) {
		return false
	}
	if !p.hasSlotsFor(e, tasks) {
		p.cluster.queue.block(e.subqueue.shapeState)
		return false
	}
	if e.subqueue.shapeState.findsOnlyReserved(p.evaluation, e.runtime.high) {
		return false
	}
	r := p.request(e)
	chosen := make([]*worker, 0, tasks)
	for len(chosen) < tasks {
		s := r.findWorker()
		if s.worker == nil {
			if s.reserved {
				e.subqueue.shapeState.recordReservedMiss(p.evaluation, e.runtime.high)
			}
			break
		}
		p.cluster.occupy(s.worker, e.need)
		chosen = append(chosen, s.worker)
	}
	for _, w := range chosen {
		p.cluster.release(w, e.need)
	}
	if len(chosen) < tasks {
		return false
	}
	p.budget = max(p.budget, tasks)
	for _, w := range chosen {
		p.start(e, w)
	}
	return true
}

// hasSlotsFor reports whether the given number of tasks of the entry fit now. It
// stops counting once it has found enough workers.
func (p *planner) hasSlotsFor(e *entry, tasks int) bool {
	found := 0
	p.cluster.free.ascend(e.need, func(w *worker) bool {
		found += w.free.fitCount(e.need, tasks)
		return found < tasks
	})
	return found >= tasks
}

// forecast predicts when the entry can start. It assumes that running tasks release their
// resources in the order of their expected ends, until the entry fits. It leaves out
// workers with the reservation of another entry. It returns nil if the entry does not fit
// even without the running tasks.
func (p *planner) forecast(e *entry) *forecast {
	p.cluster.forecasts++
	f := &forecast{at: p.now, tasksLeft: 1}
	if e.job.Policy == Gang {
		f.tasksLeft = p.remaining(e)
	}
	p.cluster.free.ascend(e.need, func(w *worker) bool {
		p.addCandidate(f, e, w)
		return f.tasksLeft > 0
	})
	p.cluster.byExpectedEnd.Scan(func(t *placedTask) bool {
		if f.tasksLeft == 0 {
			return false
		}
		onWorker := p.cluster.workerForecastOf(t.worker)
		onWorker.released = onWorker.released.plus(t.Need)
		if p.addCandidate(f, e, t.worker) {
			f.at = laterOf(t.expectedEnd, p.now.Add(overdueRemaining))
		}
		return true
	})
	if f.tasksLeft > 0 {
		return nil
	}
	return f
}
