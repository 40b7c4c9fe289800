package dispatch

import "github.com/bilberryferry/bilberryferry/workflow"

// reserveRoom keeps room of a worker for a step that can't start yet.
func (p *planner) reserveRoom(w *Worker, room workflow.Resources) {
	p.hasReservations = true
	w.Reserved = w.Reserved.Plus(room)
	p.takeRoom(w, room)
}

// roomReason says what keeps a step off its permitted workers: room for the n tasks left
// of a gang, or for one task of another step.
func roomReason(s *Step, permitted []*Worker, n int) Reason {
	if !s.Spec.Gang {
		n = 1
	}
	if fitsOn(s, permitted, n, fitCountWithReserved) {
		return ReasonReserved
	}
	return ReasonNoRoom
}

// unreservedGangReason is roomReason for a gang that can't ask now.
func unreservedGangReason(s *Step, permitted []*Worker, n int) Reason {
	if fitsOn(s, permitted, n, fitCount) {
		return ReasonTicketsExpired
	}
	if fitsOn(s, permitted, n, fitCountWithReserved) {
		return ReasonReserved
	}
	return ReasonGangCannotQuery
}

// holds reports whether n tasks of s fit on workers, by what each of them holds.
func fitsOn(s *Step, workers []*Worker, n int, held func(*Step, *Worker) int) bool {
	for _, w := range workers {
		n -= held(s, w)
		if n <= 0 {
			return true
		}
	}
	return false
}

// fitCountWithReserved returns how many further tasks of s would fit on w if no room were
// kept there.
func fitCountWithReserved(s *Step, w *Worker) int {
	return fitCountIn(s, w, w.Free.Plus(w.Reserved))
}

// Pieces counts the free pieces of the size of a task of s that a plan has left on the
// workers of its pool, those that it keeps for steps included; permitted are those on
// workers that s is known to be permitted on.
func FitCounts(s *Step, workers []Worker) (all, permitted int) {
	for i := range workers {
		w := &workers[i]
		if !eligible(s, w) {
			continue
		}
		n := min(fitCountWithReserved(s, w), len(s.Pending))
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
		if w := p.byID[id]; permit.Granted && eligible(s, w) {
			list = append(list, w)
		}
	}
	return list
}

// fitsUnreserved reports whether a worker might have room for a task of s if no room were
// kept there.
func (p *planner) fitsUnreserved(s *Step) bool {
	return p.hasReservations && s.Spec.Demand().Fits(p.unreservedHeadroomOf(s.Service))
}

// unreservedHeadroomOf is the headroom of a pool if no room were kept there.
func (p *planner) unreservedHeadroomOf(service string) workflow.Resources {
	headroom, counted := p.unreservedHeadroom[service]
	if counted {
		return headroom
	}
	for _, w := range p.byService[service] {
		headroom = headroom.Max(w.Free.Plus(w.Reserved))
	}
	p.unreservedHeadroom[service] = headroom
	return headroom
}

// skipReason says what a step waits for that the decision doesn't go into: no
// worker has room for one of its tasks, or it can't ask now. On a full cluster that is
// nearly every step: few workers are looked at again.
func (p *planner) skipReason(s *Step, left int) Reason {
	reason := p.permitReason(s)
	fits := s.Spec.Demand().Fits(p.headroomOf(s.Service))
	switch {
	case reason != "":
		return reason
	case !fits && !p.fitsUnreserved(s):
		return ReasonNoRoom
	case s.Spec.Gang:
		return unreservedGangReason(s, p.permitted(s), left)
	case !fits:
		return ReasonReserved
	case p.fitsWithoutTicket:
		return ReasonNoConnection
	case p.fitsPermittedUnreserved(s):
		return ReasonReserved
	}
	return ReasonNoRoom
}

// fitsPermittedUnreserved reports whether a task of s, which needs permits, would fit on a permitted
// worker if no room were kept there.
func (p *planner) fitsPermittedUnreserved(s *Step) bool {
	if !p.hasReservations {
		return false
	}
	for id, permit := range s.Permits {
		if w := p.byID[id]; permit.Granted && eligible(s, w) && fitCountWithReserved(s, w) > 0 {
			return true
		}
	}
	return false
}
