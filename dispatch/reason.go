package dispatch

import "github.com/bilberryferry/bilberryferry/workflow"

// keepRoom keeps room of a worker for a step that can't start yet.
func (p *planner) keepRoom(w *Worker, room workflow.Resources) {
	p.keeps = true
	w.Kept = w.Kept.Plus(room)
	p.takeRoom(w, room)
}

// heldBy says what keeps a step off its permitted workers: room for the n tasks left
// of a gang, or for one task of another step.
func heldBy(s *Step, permitted []*Worker, n int) Reason {
	if !s.Spec.Gang {
		n = 1
	}
	if holds(s, permitted, n, copiesWithKept) {
		return ReasonKept
	}
	return ReasonNoRoom
}

// heldBehind is heldBy for a gang that can't ask now.
func heldBehind(s *Step, permitted []*Worker, n int) Reason {
	if holds(s, permitted, n, copies) {
		return ReasonTickets
	}
	if holds(s, permitted, n, copiesWithKept) {
		return ReasonKept
	}
	return ReasonGangs
}

// holds reports whether n tasks of s fit on workers, by what each of them holds.
func holds(s *Step, workers []*Worker, n int, held func(*Step, *Worker) int) bool {
	for _, w := range workers {
		n -= held(s, w)
		if n <= 0 {
			return true
		}
	}
	return false
}

// copiesWithKept returns how many further tasks of s would fit on w if no room were
// kept there.
func copiesWithKept(s *Step, w *Worker) int {
	return copiesIn(s, w, w.Free.Plus(w.Kept))
}

// Pieces counts the free pieces of the size of a task of s that a plan has left on the
// workers of its pool, those that it keeps for steps included; permitted are those on
// workers that s is known to be permitted on.
func Pieces(s *Step, workers []Worker) (all, permitted int) {
	for i := range workers {
		w := &workers[i]
		if !suits(s, w) {
			continue
		}
		n := min(copiesWithKept(s, w), len(s.Pending))
		all += n
		if !s.NeedsPermit || s.Permits[w.ID].Granted {
			permitted += n
		}
	}
	return all, permitted
}

// permitted returns the workers that s may run on.
func (p *planner) permitted(s *Step) []*Worker {
	if !s.NeedsPermit {
		return filter(p.byService[s.Service], s)
	}
	var list []*Worker
	for id, permit := range s.Permits {
		if w := p.byID[id]; permit.Granted && suits(s, w) {
			list = append(list, w)
		}
	}
	return list
}

// fitsUnkept reports whether a worker might have room for a task of s if no room were
// kept there.
func (p *planner) fitsUnkept(s *Step) bool {
	return p.keeps && s.Spec.Room().Fits(p.unkeptHeadroomOf(s.Service))
}

// unkeptHeadroomOf is the headroom of a pool if no room were kept there.
func (p *planner) unkeptHeadroomOf(service string) workflow.Resources {
	headroom, counted := p.unkept[service]
	if counted {
		return headroom
	}
	for _, w := range p.byService[service] {
		headroom = headroom.Max(w.Free.Plus(w.Kept))
	}
	p.unkept[service] = headroom
	return headroom
}

// reasonPassedOver says what a step waits for that the decision doesn't go into: no
// worker has room for one of its tasks, or it can't ask now. On a full cluster that is
// nearly every step: few workers are looked at again.
func (p *planner) reasonPassedOver(s *Step, left int) Reason {
	reason := p.reasonUnpermitted(s)
	fits := s.Spec.Room().Fits(p.headroomOf(s.Service))
	switch {
	case reason != "":
		return reason
	case !fits && !p.fitsUnkept(s):
		return ReasonNoRoom
	case s.Spec.Gang:
		return heldBehind(s, p.permitted(s), left)
	case !fits:
		return ReasonKept
	case p.unticketed:
		return ReasonLane
	case p.keptFrom(s):
		return ReasonKept
	}
	return ReasonNoRoom
}

// keptFrom reports whether a task of s, which needs permits, would fit on a permitted
// worker if no room were kept there.
func (p *planner) keptFrom(s *Step) bool {
	if !p.keeps {
		return false
	}
	for id, permit := range s.Permits {
		if w := p.byID[id]; permit.Granted && suits(s, w) && copiesWithKept(s, w) > 0 {
			return true
		}
	}
	return false
}
