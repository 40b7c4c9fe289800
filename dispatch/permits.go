package dispatch

import "slices"

// seekPermits decides what to ask the adviser for the tasks of s that were not
// started, reserves room for them where that helps, and says what they wait for.
func (p *planner) seekPermits(s *Step, suitable []*Worker, left int) Reason {
	if !s.NeedsPermit {
		if s.Spec.Gang && p.roomForGang(s, suitable, left).preempted {
			return ReasonYielding
		}
		return heldBy(s, suitable, left)
	}
	granted, unknown := p.split(s, suitable)
	if s.Spec.Gang {
		return p.seekForGang(s, granted, unknown, left)
	}
	if s.Asking {
		p.reserve(s, named(granted, s.Renewing), left)
		return ReasonPermit
	}
	renew := roomFor(s, granted, left)
	enough := freeRoom(s, renew) >= left
	p.reserve(s, renew, left)
	switch {
	case !enough && wantsMore(s, unknown):
		p.askSideBySide(s, p.toLearn(s, renew, unknown))
		return ReasonPermit
	case len(renew) > 0:
		p.ask(s, renew, true)
		return ReasonPermit
	}
	return reasonFor(s, granted, left)
}

func reasonFor(s *Step, granted []*Worker, left int) Reason {
	if len(granted) == 0 {
		return ReasonRefused
	}
	return heldBy(s, granted, left)
}

// split separates the workers that are known to be permitted from those that
// nothing is known of.
func (p *planner) split(s *Step, suitable []*Worker) (granted, unknown []*Worker) {
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

// roomFor returns permitted workers on which n tasks of s fit now, those with most
// room first, or all that have room where they don't. A start there needs a valid
// ticket.
func roomFor(s *Step, granted []*Worker, n int) []*Worker {
	var chosen []*Worker
	room := 0
	for w := range byRoom(s, withRoom(s, granted)) {
		chosen = append(chosen, w)
		room += copies(s, w)
		if room >= n {
			return chosen
		}
	}
	return chosen
}

// freeRoom returns how many tasks of s the workers hold now.
func freeRoom(s *Step, workers []*Worker) int {
	total := 0
	for _, w := range workers {
		total += copies(s, w)
	}
	return total
}

// withRoom returns the workers on which a task of s fits now.
func withRoom(s *Step, workers []*Worker) []*Worker {
	var out []*Worker
	for _, w := range workers {
		if copies(s, w) > 0 {
			out = append(out, w)
		}
	}
	return out
}

// wantsMore reports whether workers of unknown permission are worth a question.
func wantsMore(s *Step, unknown []*Worker) bool {
	if len(s.Permits) == 0 {
		return len(unknown) > 0
	}
	return slices.ContainsFunc(unknown, func(w *Worker) bool { return copies(s, w) > 0 })
}

// emptyRoom returns how many tasks of s the workers would hold if they ran
// nothing else.
func emptyRoom(s *Step, workers []*Worker) int {
	total := 0
	for _, w := range workers {
		total += emptyCopies(s, w)
	}
	return total
}

// emptyCopies returns how many tasks of s fit on w when it runs nothing else.
func emptyCopies(s *Step, w *Worker) int {
	n := s.Spec.Room().Copies(w.Capacity)
	if s.Spec.MaxPerWorker > 0 {
		n = min(n, s.Spec.MaxPerWorker)
	}
	return n
}

// toLearn names the workers to ask about: permitted ones that the tasks left need as
// well, then unknown ones, those with room first. A step that is refused everywhere asks
// about as many again as have refused it.
//
// Load that it answers: a step of dozens of tasks that is permitted on a dozen workers,
// most of them full. Where one of these has room for one task it would ask for that
// worker's ticket, start the task and ask again, one question after the other, while
// workers that it knows nothing of are free.
func (p *planner) toLearn(s *Step, renew, unknown []*Worker) []*Worker {
	ask := renew
	most := p.limits.AskWorkers
	if !anyGranted(s.Permits) {
		most = max(most, len(s.Permits))
	}
	for w := range byRoom(s, unknown) {
		if len(ask) >= most {
			break
		}
		ask = append(ask, w)
	}
	return ask
}

// askSideBySide puts questions about workers side by side.
//
// Failure guarded against: a step that one worker in a hundred is permitted for asks about
// a few after the other, and waits ten times as long in a pool that is ten times as large.
func (p *planner) askSideBySide(s *Step, workers []*Worker) {
	for part := range slices.Chunk(workers, p.limits.AskWorkers) {
		p.ask(s, part, false)
	}
}

// mayAsk reports whether a lane is left for a question of s about n workers.
func (p *planner) mayAsk(s *Step, n int) bool {
	return p.limits.Asks > 0 && (p.limits.LongAsks > 0 || !p.isLong(s, n))
}

// isLong reports whether the adviser takes long to answer a question of s about n
// workers.
func (p *planner) isLong(s *Step, n int) bool {
	return p.limits.LongAsk > 0 && s.AskTime(n) > p.limits.LongAsk
}

// ask puts a question where a lane is left for it, and reports whether it does.
func (p *planner) ask(s *Step, workers []*Worker, renewal bool) bool {
	if !p.mayAsk(s, len(workers)) {
		return false
	}
	p.limits.Asks--
	if p.isLong(s, len(workers)) {
		p.limits.LongAsks--
	}
	ids := make([]string, len(workers))
	for i, w := range workers {
		ids[i] = w.ID
	}
	p.plan.Asks = append(p.plan.Asks, Ask{Step: s.Key, Workers: ids, Renewal: renewal})
	return true
}

// named returns the workers whose IDs are listed.
func named(workers []*Worker, ids []string) []*Worker {
	var out []*Worker
	for _, w := range workers {
		if slices.Contains(ids, w.ID) {
			out = append(out, w)
		}
	}
	return out
}
