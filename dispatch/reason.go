package dispatch

import (
	"slices"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// reserveResources reserves resources of w for a step that can't start yet.
func (p *planner) reserveResources(w *Worker, reserved workflow.Resources) {
	p.hasReservations = true
	w.Reserved = w.Reserved.Plus(reserved)
	p.takeResources(w, reserved)
}

// capacityReason says why s doesn't start on its permitted workers: free resources are
// lacking or reserved. A gang must fit with all its n remaining tasks, another step with
// one.
func capacityReason(s *Step, permitted []*Worker, n int) Reason {
	if !s.Spec.Gang {
		n = 1
	}
	if fitsOn(s, permitted, n, fitCountWithReserved) {
		return ReasonReserved
	}
	return ReasonNoCapacity
}

// unreservedGangReason says why a gang waits that has no reservation and can't query now.
func unreservedGangReason(s *Step, permitted []*Worker, n int) Reason {
	if fitsOn(s, permitted, n, fitCount) {
		return ReasonTicketsExpired
	}
	if fitsOn(s, permitted, n, fitCountWithReserved) {
		return ReasonReserved
	}
	return ReasonGangCannotQuery
}

// isUnreservedGangReason reports whether a reason is one of unreservedGangReason.
func isUnreservedGangReason(r Reason) bool {
	return r == ReasonTicketsExpired || r == ReasonReserved || r == ReasonGangCannotQuery
}

// fitsOn reports whether n tasks of s fit on the workers, counted by perWorker.
func fitsOn(s *Step, workers []*Worker, n int, perWorker func(*Step, *Worker) int) bool {
	for _, w := range workers {
		n -= perWorker(s, w)
		if n <= 0 {
			return true
		}
	}
	return false
}

// fitCountWithReserved returns how many more tasks of s would fit on w if nothing were reserved
// there.
func fitCountWithReserved(s *Step, w *Worker) int {
	return fitCountIn(s, w, w.Free.Plus(w.Reserved))
}

// FitCounts returns how many pending tasks of s fit into the resources that a plan has left
// free on the workers of its pool, including reserved ones: on all workers, and on those on
// which s is known to be permitted or needs no permit.
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

// permitted returns the eligible workers that s may run on: those with a granted permit, or all
// if s needs none. The list is kept for the rest of the decision.
func (p *planner) permitted(s *Step) []*Worker {
	if s.permittedKnown {
		return s.permitted
	}
	s.permittedKnown = true
	if !s.NeedsPermit {
		s.permitted = filter(p.byService[s.Service], s)
		return s.permitted
	}
	granted := s.grantedWorkers()
	s.permitted = make([]*Worker, 0, len(granted))
	for _, id := range granted {
		if w := p.byID[id]; eligible(s, w) {
			s.permitted = append(s.permitted, w)
		}
	}
	return s.permitted
}

// fitsUnreserved reports whether a task of s might fit on a worker of its pool if nothing were
// reserved there.
func (p *planner) fitsUnreserved(s *Step) bool {
	return p.hasReservations && s.Spec.Demand().Fits(p.unreservedHeadroomOf(s.Service))
}

// unreservedHeadroomOf returns the largest amount of each resource that would be free on any
// worker of a pool if nothing were reserved.
func (p *planner) unreservedHeadroomOf(service string) workflow.Resources {
	headroom, cached := p.unreservedHeadroom[service]
	if cached {
		return headroom
	}
	for _, w := range p.byService[service] {
		headroom = headroom.Max(w.Free.Plus(w.Reserved))
	}
	p.unreservedHeadroom[service] = headroom
	return headroom
}

// skipReason says why a step waits that the decision skips: its tasks fit on no worker, or it
// can't query now. On a full cluster that is nearly every step, so skipReason checks few
// workers individually.
func (p *planner) skipReason(s *Step, left int) Reason {
	reason := p.permitReason(s)
	fits := s.Spec.Demand().Fits(p.headroomOf(s.Service))
	switch {
	case reason != "":
		return reason
	case !fits && !p.fitsUnreserved(s):
		return ReasonNoCapacity
	case s.Spec.Gang && p.limits.KeepReasons && isUnreservedGangReason(s.LastReason):
		return s.LastReason
	case s.Spec.Gang:
		return unreservedGangReason(s, p.permitted(s), left)
	case !fits:
		return ReasonReserved
	case p.fitsWithoutTicket:
		return ReasonNoConnection
	case p.fitsPermittedUnreserved(s):
		return ReasonReserved
	}
	return ReasonNoCapacity
}

// fitsPermittedUnreserved reports whether a task of s, which needs permits, would fit on a
// permitted worker if nothing were reserved there.
func (p *planner) fitsPermittedUnreserved(s *Step) bool {
	if !p.hasReservations {
		return false
	}
	return slices.ContainsFunc(p.permitted(s), func(w *Worker) bool { return fitCountWithReserved(s, w) > 0 })
}
