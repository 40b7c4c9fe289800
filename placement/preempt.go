package placement

import "sort"

// maxPreemptionCandidates bounds how many workers are compared for one
// preemption.
const maxPreemptionCandidates = 16

// preemptFor plans preemptions so that an urgent entry can start. Resources of
// tasks that are already stopping count first, so that evaluations before those
// tasks have ended preempt no further tasks. It reports whether all tasks of
// the entry will get resources.
func (p *planner) preemptFor(e *entry) bool {
	for n := p.unplannedTasks(e); n > 0; n-- {
		w, victims := p.cheapestVictims(e)
		if w == nil || p.budget == 0 {
			return false
		}
		p.planPreemption(e, w, victims)
	}
	return true
}

// unplannedTasks is how many tasks of the entry the plan does not start.
func (p *planner) unplannedTasks(e *entry) int {
	if e.plannedEval != p.evaluation {
		return e.job.Tasks
	}
	return e.job.Tasks - e.planned
}

// expectedFree returns the resources that are free on the worker once all stopping
// tasks have ended, less those that other urgent entries take in this evaluation.
func (p *planner) expectedFree(w *worker) Resources {
	if w.reservedEval == p.evaluation {
		return w.reservation.remaining
	}
	return w.free.plus(w.stopping)
}

// cheapestVictims chooses the worker on which preemption loses the least work, and
// the tasks to preempt there; none if the worker has enough expected free resources
// without preemption. The worker is nil if no preemption frees enough.
func (p *planner) cheapestVictims(e *entry) (*worker, []*placedTask) {
	var best *worker
	var victims []*placedTask
	lostWork := 0.0
	visits := 0
	for _, w := range p.cluster.byID {
		if visits >= maxPreemptionCandidates {
			break
		}
		free := p.expectedFree(w)
		if !w.schedulable() || !e.need.within(free.plus(w.preemptible)) || !e.need.within(w.Capacity) {
			continue
		}
		if e.need.within(free) {
			return w, nil
		}
		visits++
		tasks, cost, enough := p.victimsOn(w, e.need, free)
		if enough && (best == nil || cost < lostWork) {
			best, victims, lostWork = w, tasks, cost
		}
	}
	return best, victims
}

// victimsOn selects the most recently started preemptible tasks until need fits. It
// returns the tasks, the work that is lost by preempting them, in milli-core seconds, and
// whether need fits then.
func (p *planner) victimsOn(w *worker, need, free Resources) ([]*placedTask, float64, bool) {
	var preemptible []*placedTask
	for _, t := range w.tasks {
		if t.preemptible() && t.preemptedEval != p.evaluation {
			preemptible = append(preemptible, t)
		}
	}
	sort.Slice(preemptible, func(i, j int) bool {
		if !preemptible[i].Started.Equal(preemptible[j].Started) {
			return preemptible[i].Started.After(preemptible[j].Started)
		}
		return lessKey(preemptible[i], preemptible[j])
	})
	cost := 0.0
	var victims []*placedTask
	for _, t := range preemptible {
		if need.within(free) {
			break
		}
		if !reducesShortfall(t.Need, need, free) {
			continue
		}
		victims = append(victims, t)
		free = free.plus(t.Need)
		cost += p.now.Sub(t.Started).Seconds() * float64(t.Need.CPU)
	}
	return victims, cost, need.within(free)
}

// lessKey orders tasks by job and task number.
func lessKey(a, b *placedTask) bool {
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	return a.Task < b.Task
}

// reducesShortfall reports whether released contains a resource of which need
// exceeds free.
func reducesShortfall(released, need, free Resources) bool {
	return released.CPU > 0 && need.CPU > free.CPU ||
		released.Memory > 0 && need.Memory > free.Memory ||
		released.Accelerators > 0 && need.Accelerators > free.Accelerators
}

// planPreemption adds the preemptions to the plan and reserves the resources of
// the worker for the urgent entry.
func (p *planner) planPreemption(e *entry, w *worker, victims []*placedTask) {
	free := p.expectedFree(w)
	for _, t := range victims {
		// A non-idempotent task must not run again: preempting it would leave
		// its customer with a task that can never finish.
		invariant(t.Idempotent && t.Policy == Batch && !t.Urgent, "task %s/%d must not be preempted", t.Job, t.Task)
		t.preemptedEval = p.evaluation
		free = free.plus(t.Need)
		p.plan.Preemptions = append(p.plan.Preemptions, Preemption{Job: t.Job, Task: t.Task, Worker: w.ID})
		p.budget--
	}
	w.reservedEval = p.evaluation
	w.reservation = reservation{entry: e, at: p.now, remaining: free.minus(e.need)}
}
