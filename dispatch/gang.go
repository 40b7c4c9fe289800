package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// maxReservedGangs is how many gangs of a pool without a standing reservation get, if they don't fit
// now, a reservation of resources that runs are expected to release. Resources reserved for more gangs
// would lie idle while runs outlast their expected ends.
//
// Dozens of gangs may wait among hundreds of workers whose runs end much earlier or later than
// expected. With reservations for many of them a large part of the cores is always free, and
// most gangs are late.
const maxReservedGangs = 1

// prepareGang handles a gang that couldn't start: it renews the tickets where the gang fits
// now, or else reserves resources, preempts runs or queries more workers. It returns what the
// gang waits for.
func (p *planner) prepareGang(s *Step, granted, unknown []*Worker, left int) Reason {
	if s.reserving {
		return p.prepareReserving(s, granted, unknown, left)
	}
	if totalFitCount(s, granted) >= left {
		return p.renewGangTickets(s, granted, left)
	}
	reservation := p.reserveOrPreempt(s, granted, left)
	switch {
	case reservation.preempted:
		return ReasonPreempting
	case s.AwaitsResponse:
		p.claimQueried(s, granted, unknown, left)
		return ReasonAwaitsAdviser
	case p.gangShouldQueryMore(s, granted, unknown, left, reservation):
		chosen := p.gangWorkersToQuery(s, granted, unknown, left)
		claim(s, chosen, left)
		p.queryInParts(s, chosen, false)
		return ReasonAwaitsAdviser
	case len(reservation.workers) > 0 && p.ticketsDue(s, reservation.workers, reservation.at):
		p.queryInParts(s, reservation.workers, true)
		return ReasonAwaitsAdviser
	}
	return waitReason(s, granted, left)
}

// renewGangTickets reserves the resources on which a gang fits now until its tickets arrive. It
// queries more workers than the gang needs, since steps that precede it may take some of the
// resources meanwhile.
func (p *planner) renewGangTickets(s *Step, granted []*Worker, left int) Reason {
	if len(s.Renewing) > 0 {
		p.hold(s, fewestWorkersFor(s, workersWithIDs(granted, s.Renewing), left), left)
		return ReasonAwaitsAdviser
	}
	if !p.queryInParts(s, fewestWorkersFor(s, granted, int(wantedFreeFactor*float64(left))), true) {
		// A reservation without a query would leave the resources idle.
		return ReasonNoConnection
	}
	p.hold(s, fewestWorkersFor(s, granted, left), left)
	return ReasonAwaitsAdviser
}

// hold reserves resources on workers for a gang whose tickets are being renewed, and earmarks them:
// steps before the gang would otherwise take them until the tickets arrive, and it renews in vain.
func (p *planner) hold(s *Step, workers []*Worker, left int) {
	p.reserve(s, workers, left)
	p.earmark(workers)
}

// gangShouldQueryMore reports whether a gang queries workers of unknown permission. It does
// in four cases:
//
//   - The gang would hardly fit on its permitted workers even if these ran nothing else.
//   - Workers of unknown permission have free resources, and the gang either waits long for
//     its reservation or has none and is known to be permitted on few workers.
//   - The gang is likely to fit now if it queries workers of unknown permission.
//   - Workers of unknown permission have free resources, and the adviser has connections to spare. The
//     resources that are free on permitted workers may be reserved for other gangs.
func (p *planner) gangShouldQueryMore(s *Step, granted, unknown []*Worker, left int, reservation gangReservation) bool {
	if len(unknown) == 0 {
		return false
	}
	empty := totalEmptyFitCount(s, granted)
	if len(s.Permits) == 0 || empty < minEmptyFactor*left {
		return true
	}
	longWait := reservation.waitsLong(p.now) || !reservation.reserved && empty < wantedEmptyFactor*left
	return (longWait || p.adviserHasSpareConns()) && worthQuerying(s, unknown) || likelyFits(s, granted, unknown, left)
}

// likelyFits reports whether the gang fits into the free resources of the permitted workers
// and the share of the free resources on unknown workers that the grant rate suggests. It
// is false while no rate is known.
func likelyFits(s *Step, granted, unknown []*Worker, left int) bool {
	if s.GrantRate == 0 {
		return false
	}
	expected := float64(totalFitCount(s, granted)) + s.GrantRate*float64(totalFitCount(s, unknown))
	return expected >= float64(left)
}

const (
	// minEmptyFactor is the multiple of a gang's remaining tasks that must fit on the
	// permitted workers if these ran nothing else; otherwise the gang queries more
	// workers. The factor exceeds 1 because other steps run on these workers too.
	minEmptyFactor = 2
	// wantedEmptyFactor is the multiple of a gang's remaining tasks that should fit on
	// the permitted workers if these ran nothing else; otherwise the gang queries more
	// workers as long as workers of unknown permission have free resources. A query
	// occupies an adviser connection for a second, but without it a gang that is known to
	// be permitted on few workers waits for these workers while others are free.
	wantedEmptyFactor = 8
	// wantedFreeFactor is the multiple of a gang's remaining tasks that should fit into
	// the free resources of the workers that the gang queries, as far as the mean grant
	// rate predicts. The margin covers grants that differ from the mean, and resources
	// that other steps take before the response arrives.
	wantedFreeFactor = 2.5
	// claimFactor is the multiple of the room that a gang is expected to take on each worker
	// that it queries and that later gangs leave to it.
	claimFactor = 2
	// maxGangQueries bounds the queries that a gang sends in parallel. Each occupies an adviser
	// connection for half a second and more.
	maxGangQueries = 6
)

// gangWorkersToQuery returns the workers that a gang queries: permitted ones on which it
// fits, then unknown ones, those with the most unclaimed free resources first, until the
// workers expected to be permitted hold the gang.
//
// If a gang of dozens of tasks is permitted on a quarter of hundreds of workers, and a
// quarter of the workers is free, few workers of one query are both permitted and free. A
// gang that sends its queries one by one never finds enough permitted workers free at the
// same time.
func (p *planner) gangWorkersToQuery(s *Step, granted, unknown []*Worker, left int) []*Worker {
	chosen := fewestWorkersFor(s, granted, left)
	fits := gangFits{free: float64(totalFitCount(s, chosen)), empty: float64(totalEmptyFitCount(s, granted))}
	return p.addUnknownWorkers(s, chosen, fits, unknown, left)
}

// gangFits is how many tasks of a gang are expected to fit on workers now, and if these ran nothing else.
type gangFits struct{ free, empty float64 }

// addUnknownWorkers adds workers of unknown permission to those that a gang queries, until the gang is
// expected to fit. fits counts what fits on the workers that are known or queried already.
func (p *planner) addUnknownWorkers(s *Step, chosen []*Worker, fits gangFits, unknown []*Worker, left int) []*Worker {
	grantRate := s.expectedGrantRate()
	for w := range byUnclaimed(s, unknown) {
		n := fitCount(s, w)
		enough := fits.empty >= float64(wantedEmptyFactor*left) && (n == 0 || fits.free >= wantedFreeFactor*float64(left))
		if len(chosen) >= maxGangQueries*p.limits.WorkersPerGangQuery || len(chosen) >= p.limits.WorkersPerGangQuery && enough {
			break
		}
		chosen = append(chosen, w)
		fits.free += grantRate * float64(n)
		fits.empty += grantRate * float64(emptyFitCount(s, w))
	}
	return chosen
}

// claimQueried claims room for a gang whose query is in flight: on the workers that it would
// query now, which are about those that it has queried. It does nothing while no other gang
// can query.
func (p *planner) claimQueried(s *Step, granted, unknown []*Worker, left int) {
	if len(s.Renewing) == 0 && len(unknown) > 0 && p.mayQuery(s, p.limits.WorkersPerGangQuery) {
		claim(s, p.gangWorkersToQuery(s, granted, unknown, left), left)
	}
}

// claim records the room that a gang is expected to take on the workers that it queries.
//
// Gangs that are submitted together would otherwise query the same workers. These hold a
// part of the gangs, and the others would have to query again.
func claim(s *Step, queried []*Worker, left int) {
	demand := s.Spec.Demand()
	for _, w := range queried {
		w.claimedMilliCPU += claimFactor * demand.MilliCPU * int64(left) / int64(len(queried))
	}
}

// queryInParts splits a query into parts of equal length, sends them in parallel and reports
// whether any was sent.
func (p *planner) queryInParts(s *Step, workers []*Worker, renewal bool) (sent bool) {
	if len(workers) == 0 {
		return false
	}
	parts := (len(workers) + p.limits.WorkersPerGangQuery - 1) / p.limits.WorkersPerGangQuery
	for part := range slices.Chunk(workers, (len(workers)+parts-1)/parts) {
		sent = p.query(s, part, renewal) || sent
	}
	return sent
}

// ticketsDue reports whether the tickets for the chosen workers must be queried now to be valid
// when the gang fits. A later query would leave the resources idle for as long as the adviser
// takes, half a second and more.
func (p *planner) ticketsDue(s *Step, chosen []*Worker, when time.Duration) bool {
	responseAt := p.now + s.ResponseTime(len(chosen))
	if responseAt+p.limits.TicketMargin < when {
		return false
	}
	for _, w := range chosen {
		if s.Permits[w.ID].Expires < max(responseAt, when)+p.limits.TicketMargin {
			return true
		}
	}
	return false
}

// expectedFit is the time from which one more task is expected to fit on a worker. For a gang with a
// standing reservation, usableAt is the time from which the worker is expected to accept its start.
type expectedFit struct {
	at, usableAt time.Duration
	worker       *Worker
}

// earmarkLeadTime is how long before a gang's expected fit its workers are earmarked, so
// that other steps avoid them.
const earmarkLeadTime = time.Second

// gangReservation describes the resources that a gang waits for.
type gangReservation struct {
	// preempted says that other runs are being stopped for the gang.
	preempted bool
	// reserved says that the gang may get a reservation. workers are the workers on which
	// the gang is expected to fit, and at is the time from which it fits. workers and at
	// are zero if the fit can't be predicted or runs are being stopped.
	reserved bool
	workers  []*Worker
	at       time.Duration
}

// waitsLong reports whether the gang has a reservation and isn't expected to fit soon.
func (r gangReservation) waitsLong(now time.Duration) bool {
	return r.reserved && (r.at == 0 || r.at > now+minPreemptWait)
}

// reserveOrPreempt reserves resources that runs will release for a gang that doesn't fit
// now, or preempts less urgent runs if the gang would wait long for the resources. At
// most maxReservedGangs gangs of a pool reserve or preempt. Preempting for all waiting
// gangs would start more of them, but cost the leader more than is gained: a hundred
// stops and restarts a second.
func (p *planner) reserveOrPreempt(s *Step, workers []*Worker, n int) gangReservation {
	mayPreempt := p.reservedGangs[s.Service] < maxReservedGangs
	if !mayPreempt && !s.reserving {
		return gangReservation{}
	}
	fits := p.expectedGangFits(s, workers, n)
	soon := fits != nil && lastFit(fits) <= p.now+minPreemptWait
	if mayPreempt && !soon && p.preemptForGang(s, workers, n) {
		p.reservedGangs[s.Service]++
		return gangReservation{reserved: true, preempted: true}
	}
	if fits == nil {
		return gangReservation{reserved: true}
	}
	p.reservedGangs[s.Service]++
	chosen, when := p.reserveExpected(s, fits)
	return gangReservation{reserved: true, workers: chosen, at: when}
}

// reserveExpected reserves the resources of expected fits for a gang and returns the workers
// and the time of the last fit. Without the reservation small tasks take resources as they come
// free, and the gang never finds enough at once.
func (p *planner) reserveExpected(s *Step, fits []expectedFit) ([]*Worker, time.Duration) {
	var chosen []*Worker
	for _, fit := range fits {
		if !p.limits.Disabled.Reservation {
			p.reserveResources(fit.worker, s.Spec.Demand())
		}
		if !slices.Contains(chosen, fit.worker) {
			chosen = append(chosen, fit.worker)
		}
	}
	at := lastFit(fits)
	if s.reserving || at <= p.now+earmarkLeadTime {
		p.earmark(chosen)
	}
	return chosen, at
}

// lastFit returns the time from which all of the tasks fit.
func lastFit(fits []expectedFit) (last time.Duration) {
	for _, fit := range fits {
		last = max(last, fit.at)
	}
	return last
}

// expectedGangFits lists when and where each of n tasks of s will fit, the soonest first, or in the order
// of compareReserved; nil if that is unknown for one of them.
func (p *planner) expectedGangFits(s *Step, workers []*Worker, n int) []expectedFit {
	var fits []expectedFit
	for _, w := range workers {
		fits = append(fits, p.expectedFits(s, w, n)...)
	}
	if len(fits) < n {
		return nil
	}
	slices.SortStableFunc(fits, func(a, b expectedFit) int {
		if order := cmp.Or(compareReserved(s, a, b), cmp.Compare(a.at, b.at)); order != 0 {
			return order
		}
		return cmp.Or(a.worker.Penalty-b.worker.Penalty, compareFastFirst(s, a.worker, b.worker))
	})
	return fits[:n]
}

// expectedFits lists when each of up to n tasks of s will fit on w.
func (p *planner) expectedFits(s *Step, w *Worker, n int) []expectedFit {
	var fits []expectedFit
	scratch := *w
	add := func(at time.Duration) {
		fit := expectedFit{at: at, worker: w}
		if s.reserving {
			fit.usableAt = p.usableAt(s, w, at)
		}
		for len(fits) < min(fitCount(s, &scratch), n) {
			fits = append(fits, fit)
		}
	}
	add(p.now)
	for _, r := range w.Releases {
		if len(fits) >= n {
			break
		}
		scratch.Free = scratch.Free.Plus(r.Resources)
		add(max(r.At, p.now))
	}
	return fits
}
