package dispatch

import "slices"

// seekPermits decides what to ask the adviser for the tasks of s that were not
// started, reserves room for them where that helps, and says what they wait for.
func (p *planner) seekPermits(s *Step, suitable []*Worker, left int) Reason {
	if !s.NeedsPermit {
		p.reserveForGang(s, suitable, left)
		return ReasonNoRoom
	}
	granted, unknown := p.split(s, suitable)
	if s.Asking {
		p.reserve(s, named(granted, s.Renewing), left)
		return ReasonPermit
	}
	if renew := p.toRenew(s, granted, left); renew != nil {
		p.reserve(s, renew, left)
		if !p.ask(s, renew, true) {
			return ReasonPermit
		}
		return ReasonPermit
	}
	if len(unknown) > 0 && p.wantsMore(s, granted, unknown, left) {
		p.ask(s, p.toLearn(s, granted, unknown, left), false)
		return ReasonPermit
	}
	p.reserveForGang(s, granted, left)
	if len(granted) == 0 {
		return ReasonRefused
	}
	return ReasonNoRoom
}

// split separates the workers that are known to be permitted from those that
// nothing is known of.
func (p *planner) split(s *Step, suitable []*Worker) (granted, unknown []*Worker) {
	for _, w := range byRoom(s, suitable) {
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

// toRenew returns permitted workers with room for the tasks left whose tickets
// have ended: for a gang all or none, otherwise as many as there are.
func (p *planner) toRenew(s *Step, granted []*Worker, left int) []*Worker {
	var renew []*Worker
	room := 0
	for _, w := range granted {
		n := copies(s, w)
		if n == 0 {
			continue
		}
		renew = append(renew, w)
		room += n
		if room >= left {
			return renew
		}
	}
	if s.Spec.Gang {
		return nil
	}
	return renew
}

// wantsMore reports whether workers of unknown permission are worth a question.
func (p *planner) wantsMore(s *Step, granted, unknown []*Worker, left int) bool {
	if len(s.Permits) == 0 {
		return true
	}
	if s.Spec.Gang {
		return emptyRoom(s, granted) < 2*left
	}
	return slices.ContainsFunc(unknown, func(w *Worker) bool { return copies(s, w) > 0 })
}

// emptyRoom returns how many tasks of s the workers would hold if they ran
// nothing else.
func emptyRoom(s *Step, workers []*Worker) int {
	total := 0
	for _, w := range workers {
		n := s.Spec.Room().Copies(w.Capacity)
		if s.Spec.MaxPerWorker > 0 {
			n = min(n, s.Spec.MaxPerWorker)
		}
		total += n
	}
	return total
}

// toLearn names the workers of a question: permitted ones that the tasks left
// need as well, then unknown ones, those with room first.
func (p *planner) toLearn(s *Step, granted, unknown []*Worker, left int) []*Worker {
	var ask []*Worker
	room := 0
	for _, w := range granted {
		if n := copies(s, w); n > 0 && room < left {
			ask = append(ask, w)
			room += n
		}
	}
	for _, w := range unknown {
		if len(ask) >= p.limits.AskWorkers {
			break
		}
		ask = append(ask, w)
	}
	return ask
}

func (p *planner) ask(s *Step, workers []*Worker, renewal bool) bool {
	if p.limits.Asks == 0 {
		return false
	}
	p.limits.Asks--
	ids := make([]string, len(workers))
	for i, w := range workers {
		ids[i] = w.ID
	}
	p.plan.Asks = append(p.plan.Asks, Ask{Step: s.Key, Workers: ids, Renewal: renewal})
	return true
}

// reserveForGang keeps the room on the workers that a waiting gang needs fewest
// of. Without it, small tasks take each piece of room as it comes free, and the
// gang never finds enough at once.
func (p *planner) reserveForGang(s *Step, workers []*Worker, left int) {
	if !s.Spec.Gang {
		return
	}
	room := s.Spec.Room()
	for _, w := range byRoom(s, workers) {
		if left <= 0 {
			return
		}
		n := min(room.Copies(w.Capacity), left)
		taken := room.Times(int64(n))
		w.Free = w.Free.Minus(taken)
		left -= n
	}
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
