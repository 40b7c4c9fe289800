package dispatch

import "slices"

// preparePermits plans the queries for the remaining tasks of s, reserves the resources on
// which they fit once their tickets are renewed, and returns what they wait for.
func (p *planner) preparePermits(s *Step, suitable []*Worker, left int) Reason {
	if !s.NeedsPermit {
		if s.Spec.Gang && p.reserveOrPreempt(s, suitable, left).preempted {
			return ReasonPreempting
		}
		return capacityReason(s, suitable, left)
	}
	granted, unknown := p.splitByPermit(s, suitable)
	if s.Spec.Gang {
		return p.prepareGang(s, granted, unknown, left)
	}
	if s.AwaitsResponse {
		p.reserve(s, workersWithIDs(granted, s.Renewing), left)
		return ReasonAwaitsAdviser
	}
	renew := fewestWorkersFor(s, granted, left)
	enough := totalFitCount(s, renew) >= left
	p.reserve(s, renew, left)
	switch {
	case !enough && worthQuerying(s, unknown):
		p.queryInParallel(s, p.workersToQuery(s, renew, unknown, left))
		return ReasonAwaitsAdviser
	case len(renew) > 0:
		p.query(s, renew, true)
		return ReasonAwaitsAdviser
	}
	return waitReason(s, granted, left)
}

// waitReason says why s waits although it needs no further query.
func waitReason(s *Step, granted []*Worker, left int) Reason {
	if len(granted) == 0 {
		return ReasonAllRefused
	}
	return capacityReason(s, granted, left)
}

// splitByPermit returns the workers that are known to be permitted and those of unknown
// permission.
func (p *planner) splitByPermit(s *Step, suitable []*Worker) (granted, unknown []*Worker) {
	for _, w := range suitable {
		permit, known := s.Permits[w.ID]
		switch {
		case !known:
			unknown = append(unknown, w)
		case permit.Granted:
			granted = append(granted, w)
		}
	}
	return granted, unknown
}

// fewestWorkersFor returns permitted workers on which n tasks of s fit now, those with the
// most free resources first. If n tasks don't fit, it returns all workers on which a task
// fits. A start on such a worker still needs a valid ticket.
func fewestWorkersFor(s *Step, granted []*Worker, n int) []*Worker {
	var chosen []*Worker
	fits := 0
	for w := range byFree(s, fitting(s, granted)) {
		chosen = append(chosen, w)
		fits += fitCount(s, w)
		if fits >= n {
			return chosen
		}
	}
	return chosen
}

// totalFitCount returns how many tasks of s fit on the workers now.
func totalFitCount(s *Step, workers []*Worker) int {
	total := 0
	for _, w := range workers {
		total += fitCount(s, w)
	}
	return total
}

// fitting returns the workers on which a task of s fits now.
func fitting(s *Step, workers []*Worker) []*Worker {
	var chosen []*Worker
	for _, w := range workers {
		if fitCount(s, w) > 0 {
			chosen = append(chosen, w)
		}
	}
	return chosen
}

// worthQuerying reports whether s should query workers of unknown permission: any of them
// while s has had no response from the adviser, later only if a task of s fits on one of
// them now.
func worthQuerying(s *Step, unknown []*Worker) bool {
	if len(s.Permits) == 0 {
		return len(unknown) > 0
	}
	return slices.ContainsFunc(unknown, func(w *Worker) bool { return fitCount(s, w) > 0 })
}

// totalEmptyFitCount returns how many tasks of s would fit on the workers if they ran nothing
// else.
func totalEmptyFitCount(s *Step, workers []*Worker) int {
	total := 0
	for _, w := range workers {
		total += emptyFitCount(s, w)
	}
	return total
}

// emptyFitCount returns how many tasks of s would fit on w if it ran nothing else.
func emptyFitCount(s *Step, w *Worker) int {
	n := s.Spec.Demand().FitCount(w.Capacity)
	if s.Spec.MaxPerWorker > 0 {
		n = min(n, s.Spec.MaxPerWorker)
	}
	return n
}

// workersToQuery returns the workers to query: permitted ones that the remaining tasks
// need, then unknown ones. If the step is refused everywhere so far, it names as many workers
// as the queries that are left can, those with the most free resources first.
//
// A step of dozens of tasks may be permitted on a dozen workers, most of them full. If it
// queried only a permitted worker that fits a single task, it would renew the ticket for
// that worker, start the task and query again, while unknown workers are free.
func (p *planner) workersToQuery(s *Step, renew, unknown []*Worker, left int) []*Worker {
	chosen := renew
	limit := p.limits.WorkersPerQuery
	if !p.refusedEverywhere(s) {
		fullest := fullestWorkersFor(s, unknown, limit-len(chosen), left)
		recordQueried(s, fullest, left)
		return append(chosen, fullest...)
	}
	limit *= p.queriesLeft(s)
	for w := range byFree(s, unknown) {
		if len(chosen) >= limit {
			break
		}
		chosen = append(chosen, w)
	}
	return chosen
}

// queriedRoomFactor is the multiple of a step's remaining tasks that should fit on the workers that
// it queries and that the adviser is expected to permit. The margin covers grants that differ from
// the mean, and room that other steps take before the response arrives.
const queriedRoomFactor = 6

// fullestWorkersFor returns up to n workers for a query of a step: those with the least free
// resources on which left tasks are still expected to find room.
//
// Queries about the emptiest workers would spread small tasks over all of them. No worker then has
// room for the large tasks of a gang, although a tenth of the cores is free.
func fullestWorkersFor(s *Step, unknown []*Worker, n, left int) []*Worker {
	var ordered []*Worker
	fits := 0
	for w := range byUnqueried(s, unknown) {
		ordered = append(ordered, w)
		if len(ordered) <= n {
			fits += unclaimedFitCount(s, w)
		}
	}
	first := 0
	wanted := queriedRoomFactor * float64(left) / s.expectedGrantRate()
	for last := n; last < len(ordered) && alike(s, ordered[first], ordered[last]); last++ {
		fits += unclaimedFitCount(s, ordered[last]) - unclaimedFitCount(s, ordered[first])
		if float64(fits) < wanted {
			break
		}
		first++
	}
	return ordered[first:min(first+n, len(ordered))]
}

// recordQueried records the room that left tasks of s are expected to take on the workers that it
// queries. Small steps of one decision would otherwise query the same workers, which hold a part of
// them.
func recordQueried(s *Step, queried []*Worker, left int) {
	for _, w := range queried {
		w.queriedMilliCPU += claimFactor * s.Spec.Demand().MilliCPU * int64(left) / int64(len(queried))
	}
}

// alike reports whether two workers differ for a step only in their free resources, and both have
// room for a task.
func alike(s *Step, a, b *Worker) bool {
	return a.Penalty == b.Penalty && distance(s, a) == distance(s, b) && unclaimedFitCount(s, b) > 0
}

// unclaimedFitCount returns how many more tasks of s fit on w beside what steps that query it are
// expected to take.
func unclaimedFitCount(s *Step, w *Worker) int {
	return fitCountIn(s, w, w.unqueried())
}

// queriesLeft returns how many full queries s may send now.
func (p *planner) queriesLeft(s *Step) int {
	if p.isLong(s, p.limits.WorkersPerQuery) {
		return min(p.limits.Queries, p.limits.LongQueries)
	}
	return p.limits.Queries
}

// queryInParallel sends queries about the workers in parallel. With one query at a time, a step
// that is permitted on one worker in a hundred waits ten times as long in a pool ten times as
// large.
func (p *planner) queryInParallel(s *Step, workers []*Worker) {
	for part := range slices.Chunk(workers, p.limits.WorkersPerQuery) {
		p.query(s, part, false)
	}
}

// mayQuery reports whether an adviser connection is left for a query of s about n workers.
func (p *planner) mayQuery(s *Step, n int) bool {
	return p.limits.Queries > 0 && (p.limits.LongQueries > 0 || !p.isLong(s, n))
}

// isLong reports whether the adviser takes more than Limits.LongQueryTime to respond to a
// query of s about n workers.
func (p *planner) isLong(s *Step, n int) bool {
	return p.limits.LongQueryTime > 0 && s.ResponseTime(n) > p.limits.LongQueryTime
}

// query plans a query if an adviser connection is left for it, and reports whether one is.
func (p *planner) query(s *Step, workers []*Worker, renewal bool) bool {
	if !p.mayQuery(s, len(workers)) {
		return false
	}
	p.limits.Queries--
	if p.isLong(s, len(workers)) {
		p.limits.LongQueries--
	}
	ids := make([]string, len(workers))
	for i, w := range workers {
		ids[i] = w.ID
	}
	p.plan.Queries = append(p.plan.Queries, Query{Step: s.Key, Workers: ids, Renewal: renewal})
	return true
}

// workersWithIDs returns the workers whose IDs are listed.
func workersWithIDs(workers []*Worker, ids []string) []*Worker {
	var found []*Worker
	for _, w := range workers {
		if slices.Contains(ids, w.ID) {
			found = append(found, w)
		}
	}
	return found
}
