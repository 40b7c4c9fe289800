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
		p.queryInParallel(s, p.workersToQuery(s, renew, unknown))
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
	n := min(s.Spec.Demand().FitCount(w.Capacity), MaxRunsPerWorker)
	if s.Spec.MaxPerWorker > 0 {
		n = min(n, s.Spec.MaxPerWorker)
	}
	return n
}

// workersToQuery returns the workers to query: permitted ones that the remaining tasks
// need, then unknown ones, those with the most free resources first. If the step is refused
// everywhere so far, it names as many workers as the queries that are left can.
//
// A step of dozens of tasks may be permitted on a dozen workers, most of them full. If it
// queried only a permitted worker that fits a single task, it would renew the ticket for
// that worker, start the task and query again, while unknown workers are free.
func (p *planner) workersToQuery(s *Step, renew, unknown []*Worker) []*Worker {
	chosen := renew
	limit := p.limits.WorkersPerQuery
	if p.refusedEverywhere(s) {
		limit *= p.queriesLeft(s)
	}
	for w := range byFree(s, unknown) {
		if len(chosen) >= limit {
			break
		}
		chosen = append(chosen, w)
	}
	return chosen
}

// queriesLeft returns how many full queries s may send now.
func (p *planner) queriesLeft(s *Step) int { return p.queriesFor(s, p.limits.WorkersPerQuery) }

// queryInParallel sends queries about the workers in parallel. With one query at a time, a step
// that is permitted on one worker in a hundred waits ten times as long in a pool ten times as
// large.
func (p *planner) queryInParallel(s *Step, workers []*Worker) {
	for part := range slices.Chunk(workers, p.limits.WorkersPerQuery) {
		p.query(s, part, false)
	}
}

// mayQuery reports whether an adviser connection is left for a query of s about n workers.
func (p *planner) mayQuery(s *Step, n int) bool { return p.queriesFor(s, n) > 0 }

// queriesFor returns how many queries of s about n workers may be sent now.
func (p *planner) queriesFor(s *Step, n int) int {
	queries, nonInteractive, long := p.limits.Queries, p.limits.NonInteractiveQueries, p.limits.LongQueries
	if s.reserving {
		// The resources that the gang holds lie idle until its tickets arrive.
		queries, nonInteractive, long = queries+p.reservedQueries, nonInteractive+p.reservedNonInteractiveQueries, long+p.reservedLongQueries
	}
	left := queries
	if p.isNonInteractive(s, n) {
		left = min(left, nonInteractive)
	}
	if p.isLong(s, n) {
		left = min(left, long)
	}
	return left
}

// isNonInteractive reports whether the adviser takes more than Limits.InteractiveQueryTime to
// respond to a query of s about n workers.
func (p *planner) isNonInteractive(s *Step, n int) bool {
	return p.limits.InteractiveQueryTime > 0 && s.ResponseTime(n) > p.limits.InteractiveQueryTime
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
	if p.isNonInteractive(s, len(workers)) {
		p.limits.NonInteractiveQueries--
	}
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
