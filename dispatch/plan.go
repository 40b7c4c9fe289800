package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// planner is the working copy of one decision.
type planner struct {
	now    time.Duration
	limits Limits
	// byService holds the workers of a pool; their Free shrinks as the plan grows.
	byService map[string][]*Worker
	byID      map[string]*Worker
	// headroom is the largest free room of a pool's workers in each resource; a pool
	// that isn't in it has to be counted anew.
	headroom map[string]workflow.Resources
	// unkept is the same if no room were kept for others.
	unreservedHeadroom map[string]workflow.Resources
	// keeps says that room is kept for others at all.
	hasReservations bool
	// unticketed says that the step that was looked at last has room on a permitted
	// worker whose ticket has ended.
	fitsWithoutTicket bool
	// reserved counts the gangs of a pool that room is kept for.
	reservedGangs map[string]int
	// stopping are the runs that the plan stops.
	stopping map[workflow.TaskKey]bool
	// yielding is the least urgent priority of a pool's runs that may be stopped.
	preemptiblePriority map[string]int
	// unasked are the steps that wait for a question, in order; reservedQueries of the questions, of
	// which reservedLongQueries may be long, are kept back for them.
	queryWaiters                         []queryWaiter
	reservedQueries, reservedLongQueries int
	plan                                 Plan
}

// Decide plans starts and questions for steps on workers. Steps are taken in
// order of lateness, priority and objective, copies last; what a step takes or
// reserves is gone for those after it. The workers' Free is changed.
func Decide(now time.Duration, steps []Step, workers []Worker, limits Limits) Plan {
	p := &planner{
		now: now, limits: limits, byService: map[string][]*Worker{}, byID: make(map[string]*Worker, len(workers)), headroom: map[string]workflow.Resources{},
		unreservedHeadroom: map[string]workflow.Resources{}, stopping: map[workflow.TaskKey]bool{}, reservedGangs: map[string]int{}, preemptiblePriority: map[string]int{},
	}
	for rank, w := range sortedByID(workers) {
		w.rank = rank
		p.recordPreemptible(w)
		p.byService[w.Service] = append(p.byService[w.Service], w)
		p.byID[w.ID] = w
	}
	order := make([]*Step, len(steps))
	for i := range steps {
		order[i] = &steps[i]
	}
	slices.SortFunc(order, compareSteps)
	p.plan.Waiting = make([]Waiting, 0, len(steps))
	chosen := p.selectSteps(order)
	p.reservedQueries, p.reservedLongQueries = p.roundRobinPart(p.limits.Queries), p.roundRobinPart(p.limits.LongQueries)
	p.limits.Queries -= p.reservedQueries
	p.limits.LongQueries -= p.reservedLongQueries
	for _, s := range chosen {
		p.planStep(s)
	}
	p.limits.Queries += p.reservedQueries
	p.limits.LongQueries += p.reservedLongQueries
	p.reservedQueries, p.reservedLongQueries = 0, 0
	p.queryRoundRobin()
	return p.plan
}

// sortedByID returns workers in the order of their IDs.
func sortedByID(workers []Worker) []*Worker {
	order := make([]*Worker, len(workers))
	for i := range workers {
		order[i] = &workers[i]
	}
	slices.SortFunc(order, func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) })
	return order
}

// roundRobinDivisor is the part of a bounded decision that goes to steps in turn, as a
// divisor of the bound.
const roundRobinDivisor = 4

// selectSteps returns the steps that the decision may go into. Where there are more
// than its bound, the most urgent ones take most of it, and those behind them the
// rest in turn, so that none waits for ever behind others that can't start.
//
// Load that it answers: a queue of thousands of steps after an outage. A decision
// that goes into all of them takes longer than tickets hold: nothing starts, and the
// queue grows on.
func (p *planner) selectSteps(order []*Step) []*Step {
	bound := p.limits.Steps
	if bound <= 0 || len(order) <= bound {
		return order
	}
	urgentSteps := bound - bound/roundRobinDivisor
	p.plan.FirstSkipped = order[urgentSteps]
	chosen := slices.Concat(order[:urgentSteps], p.roundRobin(order[urgentSteps:], bound-urgentSteps))
	p.plan.BeyondBound = countWaiting(order)
	for _, s := range chosen {
		if !s.Copy {
			p.plan.BeyondBound--
		}
	}
	return chosen
}

// turns returns up to n of the steps whose turn it is: half of them such as hold tickets,
// the ones that end soonest before the others, a quarter in turn such as know of no worker
// yet, and the rest in turn such as have no question under way.
//
// Failure guarded against: with 900 steps behind the bound each has its turn every 3 s,
// asks, and has its next one when its tickets of 1.5 s have ended, so that hardly any starts
// on an empty pool. With a place for those that hold tickets an answer is used by the next
// decision.
func (p *planner) roundRobin(rest []*Step, n int) []*Step {
	var ticketed, unqueried, others []*Step
	for _, s := range rest {
		switch {
		case p.holdsTickets(s):
			ticketed = append(ticketed, s)
		case s.AwaitsAnswer:
		case s.NeedsPermit && len(s.Permits) == 0:
			unqueried = append(unqueried, s)
		default:
			others = append(others, s)
		}
	}
	slices.SortStableFunc(ticketed, func(a, b *Step) int { return cmp.Compare(a.TicketsExpire, b.TicketsExpire) })
	chosen := slices.Clip(ticketed[:min(n/2, len(ticketed))])
	chosen = append(chosen, takeCircular(unqueried, n/4*p.limits.Round, n-n/4-len(chosen))...)
	// A quarter of the places is the others' at least, so a turn that moves on by as many
	// passes none of them by.
	return append(chosen, takeCircular(others, (n-n/2-n/4)*p.limits.Round, n-len(chosen))...)
}

// takeCircular returns up to n of the steps from the first one on, in a circle.
func takeCircular(steps []*Step, first, n int) []*Step {
	var chosen []*Step
	for i := range min(n, len(steps)) {
		chosen = append(chosen, steps[(first+i)%len(steps)])
	}
	return chosen
}

// countWaiting counts the steps of an order but for the copies at its end, whose tasks
// run.
func countWaiting(order []*Step) int {
	n, _ := slices.BinarySearchFunc(order, true, func(s *Step, isCopy bool) int { return compareBools(s.Copy, isCopy) })
	return n
}

// Before reports whether a decision takes a before b.
func Before(a, b *Step) bool { return compareSteps(a, b) < 0 }

func compareSteps(a, b *Step) int {
	return cmp.Or(compareBools(a.Copy, b.Copy), cmp.Compare(a.Lateness, b.Lateness), cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Due, b.Due), workflow.CompareSteps(a.Key, b.Key))
}

// compareBools puts false before true.
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

func (p *planner) planStep(s *Step) {
	if p.unschedulable(s) {
		p.addWaiting(s, len(s.Pending), p.skipReason(s, len(s.Pending)))
		return
	}
	var left int
	if s.Spec.Gang {
		left = p.startGang(s)
	} else {
		left = p.startTasks(s)
	}
	if left == 0 {
		return
	}
	if p.blocked(s) || p.needsReservedLongQuery(s) {
		p.queryWaiters = append(p.queryWaiters, queryWaiter{s, left, p.skipReason(s, left)})
		return
	}
	p.prepareRest(s, left)
}

// seek sees to what the tasks of s that are left need before they can start.
func (p *planner) prepareRest(s *Step, left int) {
	suitable := filter(p.byService[s.Service], s)
	if len(suitable) == 0 {
		p.addWaiting(s, left, ReasonNoWorker)
		return
	}
	queriesBefore := len(p.plan.Queries)
	reason := p.preparePermits(s, suitable, left)
	if reason == ReasonAwaitsAdviser && !s.AwaitsAnswer && len(p.plan.Queries) == queriesBefore {
		reason = ReasonNoConnection
	}
	p.addWaiting(s, left, reason)
}

// blocked reports whether nothing more can be done for s in this decision: it has
// to ask, no question may be put now, and no room is kept for it.
//
// Load that it answers: a queue that grows while all questions are under way, or all
// the long ones that gangs put. Going through hundreds of workers for each step that
// can't ask takes the time in which others would start, and the queue grows on.
func (p *planner) blocked(s *Step) bool {
	mayReserve := s.Spec.Gang && (p.reservedGangs[s.Service] < maxReservedGangs && len(s.Permits) > 0 || len(s.Renewing) > 0 || p.holdsTickets(s))
	return s.NeedsPermit && !p.mayQuery(s, 1) && !mayReserve
}

// candidates returns the workers on which a task of s would be accepted and fits now.
func (p *planner) candidates(s *Step) []*Worker {
	var list []*Worker
	add := func(w *Worker) {
		if eligible(s, w) && fitCount(s, w) > 0 {
			list = append(list, w)
		}
	}
	if !s.NeedsPermit {
		for _, w := range p.byService[s.Service] {
			add(w)
		}
		return list
	}
	p.fitsWithoutTicket = false
	for id, permit := range s.Permits {
		switch {
		case p.valid(permit):
			add(p.byID[id])
		case permit.Granted && !p.fitsWithoutTicket:
			w := p.byID[id]
			p.fitsWithoutTicket = eligible(s, w) && fitCount(s, w) > 0
		}
	}
	return list
}

// hopeless reports whether nothing can be done for s because no worker has room
// for one of its tasks, and nothing is to be asked ahead of room. On a full
// cluster that is nearly every step: with 500 queued steps and 48 workers a
// decision takes a fifth of the time.
func (p *planner) unschedulable(s *Step) bool {
	mayQueryFirst := s.NeedsPermit && len(s.Permits) == 0 && p.limits.Queries+p.reservedQueries > 0
	if mayQueryFirst || s.Spec.Gang && p.reservedGangs[s.Service] < maxReservedGangs {
		return false
	}
	return !s.Spec.Demand().Fits(p.headroomOf(s.Service))
}

func (p *planner) headroomOf(service string) workflow.Resources {
	headroom, counted := p.headroom[service]
	if counted {
		return headroom
	}
	for _, w := range p.byService[service] {
		headroom = headroom.Max(w.Free)
	}
	p.headroom[service] = headroom
	return headroom
}

// permitReason says why a step has no permitted worker, empty when it has or
// needs none.
func (p *planner) permitReason(s *Step) Reason {
	switch {
	case !slices.ContainsFunc(p.byService[s.Service], func(w *Worker) bool { return eligible(s, w) }):
		return ReasonNoWorker
	case s.AwaitsAnswer:
		return ReasonAwaitsAdviser
	case s.NeedsPermit && len(s.Permits) == 0:
		return ReasonNoConnection
	case s.NeedsPermit && !anyGranted(s.Permits):
		return ReasonAllRefused
	}
	return ""
}

func anyGranted(permits map[string]Permit) bool {
	for _, permit := range permits {
		if permit.Granted {
			return true
		}
	}
	return false
}

func (p *planner) addWaiting(s *Step, tasks int, reason Reason) {
	if s.Copy {
		// Its tasks run; only a second chance waits.
		return
	}
	p.plan.Waiting = append(p.plan.Waiting, Waiting{Step: s.Key, Tasks: tasks, Reason: reason, Label: s.Spec.Label})
}

// usable reports whether a start of s on w would be accepted now.
func (p *planner) mayStartOn(s *Step, w *Worker) bool {
	return !s.NeedsPermit || p.valid(s.Permits[w.ID])
}

// valid reports whether a permit holds until a start has reached the worker.
func (p *planner) valid(permit Permit) bool {
	return permit.Granted && p.outlastsStart(permit.Expires)
}

// holdsTickets reports whether one of the tickets of s may be valid.
func (p *planner) holdsTickets(s *Step) bool { return p.outlastsStart(s.TicketsExpire) }

// outlastsStart reports whether a ticket that ends then holds until a start has reached the
// worker.
func (p *planner) outlastsStart(end time.Duration) bool { return end >= p.now+p.limits.TicketMargin }

// copies returns how many further tasks of s fit on w.
func fitCount(s *Step, w *Worker) int { return fitCountIn(s, w, w.Free) }

// fitCountIn returns how many further tasks of s fit into room of w.
func fitCountIn(s *Step, w *Worker, room workflow.Resources) int {
	n := s.Spec.Demand().FitCount(room)
	if s.Spec.MaxPerWorker > 0 {
		n = min(n, s.Spec.MaxPerWorker-s.Placed[w.ID])
	}
	return max(n, 0)
}

// startTasks starts what it can, one task after the other, and returns how many
// are left.
func (p *planner) startTasks(s *Step) int {
	candidates := p.candidates(s)
	for i, index := range s.Pending {
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

// startGang starts all tasks or none and returns how many are left.
func (p *planner) startGang(s *Step) int {
	if !s.Spec.Demand().Fits(p.headroomOf(s.Service)) {
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

// gangWorkers returns a worker for each of n tasks, nil when they don't all fit.
func gangWorkers(s *Step, usable []*Worker, n int) []*Worker {
	if s.Spec.SameRack {
		if chosen := oneRack(s, usable, n); chosen != nil {
			return chosen
		}
	}
	return greedy(s, usable, n)
}

// greedy fills the workers with most room first.
func greedy(s *Step, usable []*Worker, n int) []*Worker {
	var chosen []*Worker
	for w := range byRoom(s, usable) {
		for range min(fitCount(s, w), n-len(chosen)) {
			chosen = append(chosen, w)
		}
		if len(chosen) == n {
			return chosen
		}
	}
	return nil
}

// oneRack looks for a rack that holds all n tasks.
func oneRack(s *Step, usable []*Worker, n int) []*Worker {
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
		if chosen := greedy(s, racks[name], n); chosen != nil {
			return chosen
		}
	}
	return nil
}

func (p *planner) start(s *Step, index int, w *Worker) {
	p.takeRoom(w, s.Spec.Demand())
	w.plannedStarts++
	if s.Suspects[index] {
		// Nothing else is begun beside it until it has shown itself.
		p.takeRoom(w, w.Free)
	}
	delete(p.unreservedHeadroom, w.Service)
	w.Serving = w.Serving || s.Spec.LatencyObjectiveMS > 0
	if s.Spec.UsesSpare {
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

// takeRoom takes room of a worker from the steps that follow.
func (p *planner) takeRoom(w *Worker, room workflow.Resources) {
	w.Free = w.Free.Minus(room)
	delete(p.headroom, w.Service)
}

// reserve keeps room for n tasks of s away from the steps after it.
func (p *planner) reserve(s *Step, workers []*Worker, n int) {
	if p.limits.Disabled.Reservation {
		return
	}
	room := s.Spec.Demand()
	for _, w := range workers {
		take := min(fitCount(s, w), n)
		p.reserveRoom(w, room.Times(int64(take)))
		n -= take
	}
}
