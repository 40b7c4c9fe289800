package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// planner is the working state of one decision.
type planner struct {
	now    time.Duration
	limits Limits
	// byService holds the workers of each pool. Their Free shrinks as the plan grows.
	byService map[string][]*Worker
	byID      map[string]*Worker
	// nonFull holds the workers of each pool on which the least demand of the steps fits before the plan.
	// No task fits on other workers now, since Free only shrinks.
	nonFull map[string][]*Worker
	// headroom caches the largest free amount of each resource on any worker of a pool.
	headroom map[string]workflow.Resources
	// unreservedHeadroom caches the largest amount of each resource that would be free on
	// any worker of a pool if nothing were reserved.
	unreservedHeadroom map[string]workflow.Resources
	// hasReservations says that the plan has reserved resources.
	hasReservations bool
	// fitsWithoutTicket says that the last step for which candidates was called fits on a
	// permitted worker whose ticket has expired.
	fitsWithoutTicket bool
	// reservedGangs counts the gangs of each pool that have a reservation for this decision, or for which
	// it preempts runs.
	reservedGangs map[string]int
	// stopping are the runs that the plan stops.
	stopping map[workflow.TaskKey]bool
	// preemptiblePriority is the least urgent priority of the preemptible runs of each pool.
	preemptiblePriority map[string]int
	// queryWaiters are the steps that wait for a query, in the order in which the
	// decision considered them. reservedQueries is the number of queries that are held
	// back for these steps, reservedNonInteractiveQueries and reservedLongQueries are how
	// many of the held back queries need not be interactive and may be long.
	queryWaiters                                                        []queryWaiter
	reservedQueries, reservedNonInteractiveQueries, reservedLongQueries int
	// rooms is what the limits of customers leave; customers without a limit are missing.
	rooms map[string]*customerRoom
	// speeds describes the pools with workers of different speeds.
	speeds map[string]poolSpeeds
	// dataCentres holds the data centres of each pool.
	dataCentres map[string][]string
	// outlooks holds what the steps of each queue show about the adviser's decisions.
	outlooks []queueOutlook
	// longQueryGangs counts the gangs whose queries are long.
	longQueryGangs int
	plan           Plan
}

// Decide plans starts and queries for steps on workers. Steps are considered in the order
// of lateness, priority and objective, speculative copies last. What a step takes or
// reserves isn't available to later ones. Decide changes the Free, Reserved, Serving and
// SpareRuns fields of workers and the Placed field of steps by what it plans.
func Decide(now time.Duration, steps []Step, workers []Worker, limits Limits) Plan {
	p := &planner{
		now: now, limits: limits, byService: map[string][]*Worker{}, byID: make(map[string]*Worker, len(workers)), nonFull: map[string][]*Worker{}, headroom: map[string]workflow.Resources{},
		unreservedHeadroom: map[string]workflow.Resources{}, stopping: map[workflow.TaskKey]bool{}, reservedGangs: map[string]int{}, preemptiblePriority: map[string]int{},
		rooms: newCustomerRooms(limits.CustomerRoom),
	}
	least := leastDemand(steps)
	for rank, w := range sortedByID(workers) {
		w.rank = rank
		p.recordPreemptible(w)
		p.byService[w.Service] = append(p.byService[w.Service], w)
		p.byID[w.ID] = w
		if least.Fits(w.Free) {
			p.nonFull[w.Service] = append(p.nonFull[w.Service], w)
		}
	}
	p.recordSpeeds()
	p.recordDataCentres()
	order := make([]*Step, len(steps))
	for i := range steps {
		order[i] = &steps[i]
		order[i].permitted, order[i].permittedKnown, order[i].reserving = nil, false, false
		p.recordOutlook(order[i])
		p.countLongQueryGang(order[i])
		p.setPreference(order[i])
	}
	slices.SortFunc(order, compareSteps)
	p.plan.Waiting = make([]Waiting, 0, len(steps))
	order, startingOnly := p.setAsideLimited(order)
	p.grantReservations(order)
	slices.SortFunc(order, compareSteps)
	chosen := p.selectSteps(order)
	p.holdBackQueries()
	for _, s := range chosen {
		p.planStep(s)
		if limits.Yield != nil {
			limits.Yield()
		}
	}
	p.releaseQueries()
	p.queryRoundRobin()
	for _, s := range startingOnly {
		p.startOnly(s)
	}
	return p.plan
}

// sortedByID returns the workers in the order of their IDs.
func sortedByID(workers []Worker) []*Worker {
	order := make([]*Worker, len(workers))
	for i := range workers {
		order[i] = &workers[i]
	}
	slices.SortFunc(order, func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) })
	return order
}

// leastDemand returns the least amount of each resource that a task of any of the steps occupies.
func leastDemand(steps []Step) (least workflow.Resources) {
	for i := range steps {
		demand := steps[i].Spec.Demand()
		if i == 0 {
			least = demand
		}
		least = least.Min(demand)
	}
	return least
}

// roundRobinStepDivisor is the inverse of the share of Limits.Steps that a decision chooses
// round robin instead of by urgency.
const roundRobinStepDivisor = 4

// selectSteps returns the steps that the decision considers. If there are more than
// Limits.Steps, it chooses most of them by urgency and the rest round robin from the other
// steps, so that no step waits forever behind steps that can't start.
//
// Without the bound a backlog of thousands of steps after an outage makes a decision take
// longer than tickets are valid: nothing starts, and the backlog keeps growing.
func (p *planner) selectSteps(order []*Step) []*Step {
	bound := p.limits.Steps
	if bound <= 0 || len(order) <= bound {
		return order
	}
	urgentSteps := bound - bound/roundRobinStepDivisor
	p.plan.FirstSkipped = order[urgentSteps]
	chosen := slices.Concat(order[:urgentSteps], p.selectRoundRobin(order[urgentSteps:], bound-urgentSteps))
	p.plan.BeyondBound = countWaiting(order)
	for _, s := range chosen {
		if !s.Copy {
			p.plan.BeyondBound--
		}
	}
	return chosen
}

// unqueriedDivisor is the inverse of the share of the steps chosen by selectRoundRobin that
// have had no response from the adviser yet.
const unqueriedDivisor = 4

// selectRoundRobin returns up to n of the steps that weren't chosen by urgency: up to half
// of the n hold tickets, those whose tickets expire soonest first; a quarter have had no
// response from the adviser yet and aren't unpromising; the rest are other steps without a
// query in flight. Steps of the last two groups are chosen in rotation over the decisions.
//
// Half is set aside for steps with tickets, so that the next decision uses the tickets of a
// response. Otherwise each of 900 steps beyond Limits.Steps would be considered every 3 s,
// would query, and would be considered again when its tickets of 1.5 s have expired. Hardly
// any would start on an empty pool.
func (p *planner) selectRoundRobin(lessUrgent []*Step, n int) []*Step {
	var ticketed, unqueried, others []*Step
	for _, s := range lessUrgent {
		switch {
		case p.holdsTickets(s):
			ticketed = append(ticketed, s)
		case s.AwaitsResponse:
		case s.NeedsPermit && len(s.Permits) == 0 && !p.unpromising(s):
			unqueried = append(unqueried, s)
		default:
			others = append(others, s)
		}
	}
	slices.SortStableFunc(ticketed, func(a, b *Step) int { return cmp.Compare(a.TicketsExpire, b.TicketsExpire) })
	chosen := slices.Clip(ticketed[:min(n/2, len(ticketed))])
	chosen = append(chosen, takeCircular(unqueried, n/unqueriedDivisor*p.limits.Round, n-n/unqueriedDivisor-len(chosen))...)
	// Each decision chooses at least n-n/2-n/unqueriedDivisor of the other steps. The offset
	// advances by this minimum per decision, so no step is skipped.
	return append(chosen, takeCircular(others, (n-n/2-n/unqueriedDivisor)*p.limits.Round, n-len(chosen))...)
}

// takeCircular returns up to n of the steps, beginning at index first and wrapping around.
func takeCircular(steps []*Step, first, n int) []*Step {
	var chosen []*Step
	for i := range min(n, len(steps)) {
		chosen = append(chosen, steps[(first+i)%len(steps)])
	}
	return chosen
}

// countWaiting counts the steps of an order without the speculative copies at its end, whose
// tasks already run.
func countWaiting(order []*Step) int {
	n, _ := slices.BinarySearchFunc(order, true, func(s *Step, isCopy bool) int { return compareBools(s.Copy, isCopy) })
	return n
}

// Before reports whether a decision considers a before b.
func Before(a, b *Step) bool { return compareSteps(a, b) < 0 }

// compareSteps defines the order in which a decision considers steps.
func compareSteps(a, b *Step) int {
	return cmp.Or(compareBools(a.Copy, b.Copy), cmp.Compare(a.rankedLateness(), b.rankedLateness()), cmp.Compare(a.Priority, b.Priority),
		compareBools(!a.reserving, !b.reserving), cmp.Compare(a.Due, b.Due), workflow.CompareSteps(a.Key, b.Key))
}

// rankedLateness returns the lateness by which a decision orders s. A gang that holds resources for tickets
// that are being renewed goes with the steps in time, or these would take its resources.
func (s *Step) rankedLateness() int {
	if s.reserving {
		return 0
	}
	return s.Lateness
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// countLongQueryGang adds s to longQueryGangs if it is such a gang.
func (p *planner) countLongQueryGang(s *Step) {
	if s.Spec.Gang && s.NeedsPermit && p.limits.LongQueryTime > 0 && p.isLong(s, p.limits.WorkersPerGangQuery) {
		p.longQueryGangs++
	}
}

// planStep starts what it can of s. For the remaining tasks it plans queries or records why
// they wait.
func (p *planner) planStep(s *Step) {
	p.setDataCentre(s)
	if p.unschedulable(s) {
		p.addWaiting(s, len(s.Pending), p.skipReason(s, len(s.Pending)))
		return
	}
	left := p.startPending(s)
	if left == 0 {
		return
	}
	if left = p.limitLeft(s, left); left == 0 {
		p.addWaiting(s, len(s.Pending), ReasonCustomerLimit)
		return
	}
	if p.limits.Incremental && p.unpromising(s) {
		p.addWaiting(s, left, p.skipReason(s, left))
		return
	}
	if p.blocked(s) || p.needsReservedLongQuery(s) || p.yieldsQueries(s) {
		p.queryWaiters = append(p.queryWaiters, queryWaiter{s, left, p.skipReason(s, left)})
		return
	}
	p.prepareRemaining(s, left)
}

// startPending starts what it can of s, and returns how many tasks remain.
func (p *planner) startPending(s *Step) int {
	if s.Spec.Gang {
		return p.startGang(s)
	}
	return p.startTasks(s)
}

// prepareRemaining queries or reserves what the remaining tasks of s need before they can
// start, and records why they wait.
func (p *planner) prepareRemaining(s *Step, left int) {
	suitable := filter(p.byService[s.Service], s)
	if len(suitable) == 0 {
		p.addWaiting(s, left, ReasonNoWorker)
		return
	}
	queriesBefore := len(p.plan.Queries)
	reason := p.preparePermits(s, suitable, left)
	if reason == ReasonAwaitsAdviser && !s.AwaitsResponse && len(p.plan.Queries) == queriesBefore {
		reason = ReasonNoConnection
	}
	p.addWaiting(s, left, reason)
}

// blocked reports whether nothing more can be done for s in this decision: it needs a query,
// none may be sent now, and s can't get a reservation.
//
// Without this check, while all queries or all long queries of gangs are in flight, a
// decision spends its time on hundreds of workers for each step that can't query, other
// steps start later, and the backlog keeps growing.
func (p *planner) blocked(s *Step) bool {
	mayReserve := s.Spec.Gang && (s.reserving || p.reservedGangs[s.Service] < maxReservedGangs && len(s.Permits) > 0 || len(s.Renewing) > 0 || p.holdsTickets(s))
	return s.NeedsPermit && !p.mayQuery(s, 1) && !mayReserve
}

// candidates returns the workers on which a task of s fits and a start would be accepted now.
func (p *planner) candidates(s *Step) []*Worker {
	if !s.NeedsPermit {
		return slices.DeleteFunc(filter(p.byService[s.Service], s), func(w *Worker) bool { return fitCount(s, w) <= 0 })
	}
	p.fitsWithoutTicket = false
	if s.Spec.Gang && s.TicketsExpire > 0 && !p.holdsTickets(s) {
		return nil
	}
	var usable []*Worker
	for _, w := range p.permitted(s) {
		if fitCount(s, w) <= 0 {
			continue
		}
		if p.valid(s.Permits[w.ID]) {
			usable = append(usable, w)
		} else {
			p.fitsWithoutTicket = true
		}
	}
	return usable
}

// unschedulable reports whether nothing can be done for s because its tasks fit on no worker
// and no query may be sent in advance. On a full cluster that is nearly every step: with 500
// queued steps and 48 workers this check cuts a decision to a fifth of the time.
func (p *planner) unschedulable(s *Step) bool {
	mayQueryFirst := s.NeedsPermit && len(s.Permits) == 0 && p.limits.Queries+p.reservedQueries > 0 &&
		(!p.isNonInteractive(s, 1) || p.limits.NonInteractiveQueries+p.reservedNonInteractiveQueries > 0)
	if mayQueryFirst || s.reserving || s.Spec.Gang && p.reservedGangs[s.Service] < maxReservedGangs {
		return false
	}
	return !s.Spec.Demand().Fits(p.headroomOf(s.Service))
}

// headroomOf returns the largest free amount of each resource on any worker of a pool.
func (p *planner) headroomOf(service string) workflow.Resources {
	headroom, cached := p.headroom[service]
	if cached {
		return headroom
	}
	for _, w := range p.byService[service] {
		headroom = headroom.Max(w.Free)
	}
	p.headroom[service] = headroom
	return headroom
}

// permitReason says why s waits if no worker is eligible, a query of s is in flight, s has
// had no response from the adviser, or s is refused on all queried workers. It is empty
// otherwise.
func (p *planner) permitReason(s *Step) Reason {
	switch {
	case !slices.ContainsFunc(p.byService[s.Service], func(w *Worker) bool { return eligible(s, w) }):
		return ReasonNoWorker
	case s.AwaitsResponse:
		return ReasonAwaitsAdviser
	case s.NeedsPermit && len(s.Permits) == 0:
		return ReasonNoConnection
	case s.NeedsPermit && len(s.grantedWorkers()) == 0:
		return ReasonAllRefused
	}
	return ""
}

// addWaiting records that tasks of s wait, and why.
func (p *planner) addWaiting(s *Step, tasks int, reason Reason) {
	if s.Copy {
		// The tasks already run; only their speculative copies wait.
		return
	}
	p.plan.Waiting = append(p.plan.Waiting, Waiting{Step: s.Key, Tasks: tasks, Reason: reason, Service: s.Service, Label: s.Spec.Label})
}

// mayStartOn reports whether a start of s on w would be accepted now.
func (p *planner) mayStartOn(s *Step, w *Worker) bool {
	return !s.NeedsPermit || p.valid(s.Permits[w.ID])
}

// valid reports whether a permit is granted and stays valid until a start has reached the
// worker.
func (p *planner) valid(permit Permit) bool {
	return permit.Granted && p.outlastsStart(permit.Expires)
}

// holdsTickets reports whether the ticket of s that expires last is valid until a start has
// reached the worker.
func (p *planner) holdsTickets(s *Step) bool { return p.outlastsStart(s.TicketsExpire) }

// outlastsStart reports whether a ticket that expires at the given time is valid until a
// start has reached the worker.
func (p *planner) outlastsStart(expires time.Duration) bool {
	return expires >= p.now+p.limits.TicketMargin
}

// fitCount returns how many more tasks of s fit on w.
func fitCount(s *Step, w *Worker) int { return fitCountIn(s, w, w.Free) }

// fitCountIn returns how many more tasks of s fit into the given free resources of w.
func fitCountIn(s *Step, w *Worker, free workflow.Resources) int {
	n := s.Spec.Demand().FitCount(free)
	if s.Spec.MaxPerWorker > 0 {
		n = min(n, s.Spec.MaxPerWorker-s.Placed[w.ID])
	}
	return max(min(n, MaxRunsPerWorker-w.Runs-w.plannedStarts), 0)
}

// MaxRunsPerWorker bounds the runs on a worker. Tasks that demand nothing would otherwise all start on one worker, whose
// reports would be too long, and the leader has memory for the calls and orders of each start.
const MaxRunsPerWorker = 2000

// startTasks starts as many tasks of s as possible, one by one, and returns how many remain.
func (p *planner) startTasks(s *Step) int {
	candidates := p.candidates(s)
	allowed := p.limitFitCount(s)
	for i, index := range s.Pending {
		if i == allowed {
			return len(s.Pending) - i
		}
		order := comparePreference
		if s.Suspects[index] {
			order = compareRunCount
		}
		w := best(s, candidates, order, func(w *Worker) bool { return fitCount(s, w) > 0 && w.ID != s.Avoid[index] })
		if w == nil {
			return len(s.Pending) - i
		}
		p.start(s, index, w)
	}
	return 0
}

// startGang starts all tasks of s or none, and returns how many remain.
func (p *planner) startGang(s *Step) int {
	if !p.gangFitsInPool(s) || p.limitFitCount(s) == 0 {
		return len(s.Pending)
	}
	chosen := gangWorkers(s, p.candidates(s), len(s.Pending))
	if chosen == nil {
		return len(s.Pending)
	}
	for i, index := range s.Pending {
		p.start(s, index, chosen[i])
	}
	return 0
}

// gangFitsInPool reports whether the pending tasks of a gang fit on the workers of its pool, permitted
// or not. On a full cluster few workers are in nonFull, so that this check takes much less time than
// looking up the permitted workers.
func (p *planner) gangFitsInPool(s *Step) bool {
	return fitsOn(s, p.nonFull[s.Service], len(s.Pending), fitCount)
}

// gangWorkers returns a worker for each of n tasks, nil if they don't all fit.
func gangWorkers(s *Step, usable []*Worker, n int) []*Worker {
	if s.Spec.SameRack {
		if chosen := placeInOneRack(s, usable, n); chosen != nil {
			return chosen
		}
	}
	return placeGreedily(s, usable, n)
}

// placeGreedily places n tasks on the workers with the most free resources first; nil if they don't
// all fit.
func placeGreedily(s *Step, usable []*Worker, n int) []*Worker {
	var chosen []*Worker
	for w := range byFree(s, usable) {
		for range min(fitCount(s, w), n-len(chosen)) {
			chosen = append(chosen, w)
		}
		if len(chosen) == n {
			return chosen
		}
	}
	return nil
}

// placeInOneRack places n tasks within one rack; nil if no rack holds them all.
func placeInOneRack(s *Step, usable []*Worker, n int) []*Worker {
	racks := map[string][]*Worker{}
	var names []string
	for _, w := range usable {
		if racks[w.Rack] == nil {
			names = append(names, w.Rack)
		}
		racks[w.Rack] = append(racks[w.Rack], w)
	}
	slices.Sort(names)
	for _, name := range names {
		if chosen := placeGreedily(s, racks[name], n); chosen != nil {
			return chosen
		}
	}
	return nil
}

// start plans the start of one task on w.
func (p *planner) start(s *Step, index int, w *Worker) {
	p.takeResources(w, s.Spec.Demand())
	p.takeCustomerRoom(s)
	w.plannedStarts++
	if s.Suspects[index] {
		// No other task starts alongside a crash suspect in this decision: the suspect must first
		// show whether it crashes the worker.
		p.takeResources(w, w.Free)
	}
	delete(p.unreservedHeadroom, w.Service)
	w.Serving = w.Serving || s.Spec.LatencyObjectiveMS > 0
	if s.Spec.UsesSpareCPU {
		w.SpareRuns++
	}
	if s.Spec.MaxPerWorker > 0 {
		if s.Placed == nil {
			s.Placed = map[string]int{}
		}
		s.Placed[w.ID]++
	}
	p.plan.Starts = append(p.plan.Starts, Start{
		Task:   workflow.TaskKey{StepKey: s.Key, Index: index},
		Worker: w.ID,
		Ticket: s.Permits[w.ID].Ticket,
	})
}

// takeResources makes resources of w unavailable to later steps.
func (p *planner) takeResources(w *Worker, taken workflow.Resources) {
	w.Free = w.Free.Minus(taken)
	delete(p.headroom, w.Service)
}

// reserve reserves resources for n tasks of s, as far as they fit on the workers.
func (p *planner) reserve(s *Step, workers []*Worker, n int) {
	if p.limits.Disabled.Reservation {
		return
	}
	demand := s.Spec.Demand()
	for _, w := range workers {
		count := min(fitCount(s, w), n)
		p.reserveResources(w, demand.Times(int64(count)))
		n -= count
	}
}
