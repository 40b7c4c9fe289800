package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// maxReservedPercent is the percentage of a pool's CPU beyond which no further gang gets a standing
// reservation. Reserved resources lie idle until the gang fits.
const maxReservedPercent = 3

// grantReservations gives standing reservations to gangs: in each pool to those that have waited longest,
// until they need maxReservedPercent of its CPU together. While the adviser has spare connections, gangs
// whose tickets are being renewed get one too. A decision considers gangs with a standing reservation
// before the other steps of their priority.
//
// Wide gangs would starve otherwise: a gang of dozens of tasks collects its resources over seconds, and
// narrow steps, which fit at once, take each resource that comes free.
func (p *planner) grantReservations(order []*Step) {
	if p.limits.Incremental || p.limits.Disabled.Reservation {
		return
	}
	candidates := slices.DeleteFunc(slices.Clone(order), func(s *Step) bool { return !s.mayReserve() })
	slices.SortStableFunc(candidates, compareReservations)
	left := map[string]int64{}
	for service := range p.byService {
		left[service] = p.milliCPUOf(service) * maxReservedPercent / 100
	}
	for _, s := range candidates {
		if left[s.Service] > 0 {
			left[s.Service] -= s.Spec.Demand().MilliCPU * int64(len(s.Pending))
			s.reserving = true
		}
	}
	if !p.adviserHasSpareConns() {
		return
	}
	for _, s := range order {
		s.reserving = s.reserving || s.Spec.Gang && len(s.Renewing) > 0
	}
}

// mayReserve reports whether s is a gang that may get a standing reservation. A late gang may not: it
// is worth less than the steps in time that its resources could serve. A gang without a response from the
// adviser has no workers to reserve.
func (s *Step) mayReserve() bool {
	return s.Spec.Gang && !s.Copy && s.Lateness == 0 && len(s.Permits) > 0
}

// compareReservations puts the gangs first that have waited longest in relation to the time that they may
// take.
func compareReservations(a, b *Step) int {
	return cmp.Compare(a.reservationTime(), b.reservationTime())
}

// reservationTime is the due time of s without its run time and the time that the stretch allows for it.
func (s *Step) reservationTime() time.Duration {
	runTime := time.Duration(s.Spec.EstimateMS) * time.Millisecond
	return s.Due - time.Duration((1+s.Stretch)*float64(runTime))
}

// milliCPUOf returns the CPU of the workers of a pool, in thousandths of a core.
func (p *planner) milliCPUOf(service string) (total int64) {
	for _, w := range p.byService[service] {
		total += w.Capacity.MilliCPU
	}
	return total
}

// adviserHasSpareConns reports whether each waiting gang could send a long query now.
func (p *planner) adviserHasSpareConns() bool { return p.longQueryGangs < p.limits.LongQueries }

// prepareReserving does what prepareGang does for a gang with a standing reservation. Unlike other gangs,
// it queries further workers while a query is in flight, and keeps its resources while no connection is
// free for the renewal of its tickets.
func (p *planner) prepareReserving(s *Step, granted, unknown []*Worker, left int) Reason {
	p.queryInParts(s, p.furtherWorkersToQuery(s, granted, unknown, left), false)
	reservation := p.reserveOrPreempt(s, granted, left)
	switch {
	case reservation.preempted:
		return ReasonPreempting
	case len(s.Renewing) == 0 && len(reservation.workers) > 0 && p.ticketsDue(s, reservation.workers, reservation.at):
		p.queryInParts(s, reservation.workers, true)
		return ReasonAwaitsAdviser
	case s.AwaitsResponse:
		return ReasonAwaitsAdviser
	}
	return waitReason(s, granted, left)
}

// furtherWorkersToQuery returns the workers that a gang queries beside those of the queries in flight. It
// returns none if the gang would fit on the workers that are permitted, or expected to be, if these ran
// little else.
func (p *planner) furtherWorkersToQuery(s *Step, granted, unknown []*Worker, left int) []*Worker {
	var queried, unqueried []*Worker
	for _, w := range unknown {
		if s.Querying[w.ID] {
			queried = append(queried, w)
		} else {
			unqueried = append(unqueried, w)
		}
	}
	grantRate := s.expectedGrantRate()
	fits := gangFits{
		free:  float64(totalFitCount(s, granted)) + grantRate*float64(totalFitCount(s, queried)),
		empty: float64(totalEmptyFitCount(s, granted)) + grantRate*float64(totalEmptyFitCount(s, queried)),
	}
	if fits.empty >= float64(minEmptyFactor*left) {
		return nil
	}
	return p.addUnknownWorkers(s, nil, fits, unqueried, left)
}

// usableAt returns the time from which w is expected to accept a start of a task that fits there at the
// given time: the ticket must be valid by then.
func (p *planner) usableAt(s *Step, w *Worker, fitsAt time.Duration) time.Duration {
	switch {
	case s.Permits[w.ID].Expires >= fitsAt+p.limits.TicketMargin:
		return fitsAt
	case slices.Contains(s.Renewing, w.ID):
		// A renewal in flight is half over on average.
		return max(fitsAt, p.now+s.ResponseTime(len(s.Renewing))/2)
	}
	return max(fitsAt, p.now+s.ResponseTime(len(s.Pending)))
}

// compareReserved orders the fits of a gang with a standing reservation: it leaves scarce fast workers to
// tight steps, and prefers workers that accept its starts the soonest, so that it keeps to those for which
// it has tickets. Other steps have no such order.
func compareReserved(s *Step, a, b expectedFit) int {
	if !s.reserving {
		return 0
	}
	return cmp.Or(compareSlowFirst(s, a.worker, b.worker), cmp.Compare(a.usableAt, b.usableAt))
}
