package dispatch

import "slices"

// preparePermits decides what to ask the adviser for the tasks of s that were not
// started, reserves room for them where that helps, and says what they wait for.
func (p *planner) preparePermits(s *Step, suitable []*Worker, left int) Reason {
	if !s.NeedsPermit {
		if s.Spec.Gang && p.reserveOrPreempt(s, suitable, left).preempted {
			return ReasonPreempting
		}
		return roomReason(s, suitable, left)
	}
	granted, unknown := p.splitByPermit(s, suitable)
	if s.Spec.Gang {
		return p.prepareGang(s, granted, unknown, left)
	}
	if s.AwaitsAnswer {
		p.reserve(s, withIDs(granted, s.Renewing), left)
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

func waitReason(s *Step, granted []*Worker, left int) Reason {
	if len(granted) == 0 {
		return ReasonAllRefused
	}
	return roomReason(s, granted, left)
}

// split separates the workers that are known to be permitted from those that
// nothing is known of.
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

// fewestWorkersFor returns permitted workers on which n tasks of s fit now, those with most
// room first, or all that have room where they don't. A start there needs a valid
// ticket.
func fewestWorkersFor(s *Step, granted []*Worker, n int) []*Worker {
	var chosen []*Worker
	room := 0
	for w := range byRoom(s, fitting(s, granted)) {
		chosen = append(chosen, w)
		room += fitCount(s, w)
		if room >= n {
			return chosen
		}
	}
	return chosen
}

// totalFitCount returns how many tasks of s the workers hold now.
func totalFitCount(s *Step, workers []*Worker) int {
	total := 0
	for _, w := range workers {
		total += fitCount(s, w)
	}
	return total
}

// fitting returns the workers on which a task of s fits now.
func fitting(s *Step, workers []*Worker) []*Worker {
	var out []*Worker
	for _, w := range workers {
		if fitCount(s, w) > 0 {
			out = append(out, w)
		}
	}
	return out
}

// worthQuerying reports whether workers of unknown permission are worth a question.
func worthQuerying(s *Step, unknown []*Worker) bool {
	if len(s.Permits) == 0 {
		return len(unknown) > 0
	}
	return slices.ContainsFunc(unknown, func(w *Worker) bool { return fitCount(s, w) > 0 })
}

// totalEmptyFitCount returns how many tasks of s the workers would hold if they ran
// nothing else.
func totalEmptyFitCount(s *Step, workers []*Worker) int {
	total := 0
	for _, w := range workers {
		total += emptyFitCount(s, w)
	}
	return total
}

// emptyFitCount returns how many tasks of s fit on w when it runs nothing else.
func emptyFitCount(s *Step, w *Worker) int {
	n := s.Spec.Demand().FitCount(w.Capacity)
	if s.Spec.MaxPerWorker > 0 {
		n = min(n, s.Spec.MaxPerWorker)
	}
	return n
}

// workersToQuery names the workers to ask about: permitted ones that the tasks left need as
// well, then unknown ones, those with room first. A step that is refused everywhere asks
// about as many again as have refused it.
//
// Load that it answers: a step of dozens of tasks that is permitted on a dozen workers,
// most of them full. Where one of these has room for one task it would ask for that
// worker's ticket, start the task and ask again, one question after the other, while
// workers that it knows nothing of are free.
func (p *planner) workersToQuery(s *Step, renew, unknown []*Worker) []*Worker {
	chosen := renew
	limit := p.limits.WorkersPerQuery
	if !anyGranted(s.Permits) {
		limit = max(limit, len(s.Permits))
	}
	for w := range byRoom(s, unknown) {
		if len(chosen) >= limit {
			break
		}
		chosen = append(chosen, w)
	}
	return chosen
}

// queryInParallel puts questions about workers side by side.
//
// Failure guarded against: a step that one worker in a hundred is permitted for asks about
// a few after the other, and waits ten times as long in a pool that is ten times as large.
func (p *planner) queryInParallel(s *Step, workers []*Worker) {
	for part := range slices.Chunk(workers, p.limits.WorkersPerQuery) {
		p.query(s, part, false)
	}
}

// mayQuery reports whether a lane is left for a question of s about n workers.
func (p *planner) mayQuery(s *Step, n int) bool {
	return p.limits.Queries > 0 && (p.limits.LongQueries > 0 || !p.isLong(s, n))
}

// isLong reports whether the adviser takes long to answer a question of s about n
// workers.
func (p *planner) isLong(s *Step, n int) bool {
	return p.limits.LongQueryTime > 0 && s.AnswerTime(n) > p.limits.LongQueryTime
}

// ask puts a question where a lane is left for it, and reports whether it does.
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

// named returns the workers whose IDs are listed.
func withIDs(workers []*Worker, ids []string) []*Worker {
	var out []*Worker
	for _, w := range workers {
		if slices.Contains(ids, w.ID) {
			out = append(out, w)
		}
	}
	return out
}
