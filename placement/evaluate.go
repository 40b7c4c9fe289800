package placement

import (
	"fmt"
	"time"
)

const (
	// lookahead bounds the search for an entry that fits in spite of reservations. After
	// an entry that fits only into reserved resources an evaluation examines up to
	// lookahead entries of the same subqueue, and it skips the shape once more than
	// lookahead entries of the shape fitted only into reserved resources.
	lookahead = 6
	// maxDueVisits bounds the entries that one call of serveDueEntries or probeFor
	// visits.
	maxDueVisits = 256
	// maxGangVisits bounds the gangs that an evaluation visits to reserve
	// resources for them.
	maxGangVisits = 16
	// maxLargeVisits bounds the large tasks that an evaluation visits to
	// reserve resources for them.
	maxLargeVisits = 64
	// largeTaskShare is the share of an average worker from which a task counts
	// as large.
	largeTaskShare = 0.15
)

// planner computes the plan of one evaluation. It allocates resources tentatively
// in the cluster, so that each decision sees the earlier ones, and rolls all
// allocations back at the end.
type planner struct {
	cluster    *Cluster
	now        time.Time
	evaluation uint64
	// budget is the number of decisions that this evaluation may still make.
	budget int
	plan   Plan
	// reservations is how many more reservations this evaluation may make.
	reservations int
	// scratchRequest is reused for every result of the method request.
	scratchRequest request
	// previouslyReserved are the IDs of the jobs that had a reservation in the
	// last evaluation.
	previouslyReserved []string
}

// Evaluate plans what to start, preempt and refuse now, with at most max
// decisions (a larger gang gets an evaluation of its own). The cluster is left
// unchanged: the caller commits the plan and then calls Place, Enqueue,
// MarkStopping and Dequeue.
func (c *Cluster) Evaluate(now time.Time, max int) Plan {
	c.evaluations++
	c.queue.releaseDelayed(now)
	p := &planner{cluster: c, now: now, evaluation: c.evaluations, budget: max, reservations: c.opts.Reservations, previouslyReserved: c.reservedJobs}
	c.reservedJobs = nil
	if c.opts.FirstComeFirstServed {
		p.startInSubmissionOrder()
	} else {
		p.runSteps()
	}
	p.checkPlan()
	p.rollback()
	p.setReevaluateAt()
	return p.plan
}

// runSteps runs the steps of an evaluation in order of priority.
func (p *planner) runSteps() {
	p.refuseInfeasible()
	p.serve(classUrgent)
	p.serve(classService)
	p.serveDueEntries()
	p.reserveGangs()
	p.startPreviouslyReserved()
	p.reserveLeastServed()
	p.reserveLarge()
	p.serve(classNormal)
	p.probe()
}

// refuseInfeasible refuses accepted jobs that can no longer meet their deadline.
// Their customers need not wait for the deadline to learn of the refusal, and other
// jobs get the resources.
func (p *planner) refuseInfeasible() {
	p.cluster.queue.byLastFeasibleStart.Scan(func(e *entry) bool {
		if p.budget == 0 || !e.lastFeasibleStart.Before(p.now) {
			return false
		}
		p.budget--
		e.skippedEval, e.refusedEval = p.evaluation, p.evaluation
		detail := fmt.Sprintf("a task takes at least %v and the deadline is in %v",
			e.runtime.low.Round(time.Second), e.job.Deadline.Sub(p.now).Round(time.Second))
		p.plan.Refusals = append(p.plan.Refusals, Refusal{Job: e.job.ID, Reason: ReasonDeadline, Detail: detail})
		return true
	})
}

// startInSubmissionOrder is the baseline scheduler: strict order of submission.
func (p *planner) startInSubmissionOrder() {
	p.cluster.queue.bySubmitted.Scan(func(e *entry) bool {
		for p.remaining(e) > 0 {
			if !p.place(e) {
				return false
			}
		}
		return p.budget > 0
	})
}

// remaining returns how many tasks of the entry this evaluation can still start;
// zero if the evaluation skips the entry.
func (p *planner) remaining(e *entry) int {
	if e.skippedEval == p.evaluation {
		return 0
	}
	if e.plannedEval != p.evaluation {
		return e.job.Tasks
	}
	return e.job.Tasks - e.planned
}

// request returns the request for one task of the entry. It is valid until the
// next call.
func (p *planner) request(e *entry) *request {
	p.scratchRequest = request{cluster: p.cluster, entry: e, record: p.cluster.jobs[e.job.ID], now: p.now, evaluation: p.evaluation}
	return &p.scratchRequest
}

// place starts one task of the entry, or all tasks of a gang, and reports whether
// it did. If no worker has enough free resources, it blocks the shape of the entry.
// Quota limits and reservations do not block a shape.
func (p *planner) place(e *entry) bool {
	if p.budget == 0 || e.subqueue.shapeState.blocked {
		return false
	}
	if e.job.Policy == Gang {
		return p.placeGang(e)
	}
	if !e.subqueue.customer.allows(e.need) {
		return false
	}
	if e.subqueue.shapeState.findsOnlyReserved(p.evaluation, e.runtime.high) {
		return false
	}
	s := p.request(e).findWorker()
	if s.worker != nil {
		p.start(e, s.worker)
		return true
	}
	if !s.anyFits {
		p.cluster.queue.block(e.subqueue.shapeState)
	}
	if s.reserved {
		e.subqueue.shapeState.recordReservedMiss(p.evaluation, e.runtime.high)
	}
	return false
}

// start allocates resources tentatively and adds the start to the plan.
func (p *planner) start(e *entry, w *worker) {
	invariant(e.need.within(w.free), "plan allocates %v on worker %s, which has %v free", e.need, w.ID, w.free)
	if e.plannedEval != p.evaluation {
		e.plannedEval, e.planned = p.evaluation, 0
	}
	e.planned++
	p.budget--
	p.cluster.chargeReservation(p.evaluation, e, w, p.now)
	p.cluster.occupy(w, e.need)
	e.subqueue.customer.addUsage(e.need)
	p.cluster.countServiceTasks(e.job.ID, e.job.Policy, w.ID, w.Rack, 1)
	p.plan.Starts = append(p.plan.Starts, Start{Job: e.job.ID, Worker: w.ID, Need: e.need})
}

// checkPlan panics if the plan would overload a worker or start only part of a
// gang. It must run before rollback, which releases the allocations that it checks.
func (p *planner) checkPlan() {
	for _, s := range p.plan.Starts {
		w, e := p.cluster.workers[s.Worker], p.cluster.queue.entries[s.Job]
		invariant(w.used.within(w.Capacity), "plan uses %v of %v on worker %s", w.used, w.Capacity, w.ID)
		invariant(e.job.Policy != Gang || e.planned == e.job.Tasks, "plan starts %d of %d tasks of gang %s", e.planned, e.job.Tasks, s.Job)
	}
}

// rollback releases the resources that the starts of the plan allocated.
func (p *planner) rollback() {
	for _, s := range p.plan.Starts {
		e := p.cluster.queue.entries[s.Job]
		w := p.cluster.workers[s.Worker]
		p.cluster.release(w, e.need)
		e.subqueue.customer.addUsage(e.need.times(-1))
		p.cluster.countServiceTasks(s.Job, e.job.Policy, w.ID, w.Rack, -1)
	}
}

// serveDueEntries starts the jobs whose latest start time is less than Options.DueWindow
// away. It runs before the fair order is applied, since keeping an accepted
// deadline has priority over fair shares. A job that does not fit gets a
// reservation. Without one, small tasks would take all resources as soon as they
// are free, and the job would starve.
func (p *planner) serveDueEntries() {
	horizon := p.now.Add(p.cluster.opts.DueWindow)
	visits := 0
	p.cluster.queue.byLatestStart.Scan(func(e *entry) bool {
		visits++
		if p.budget == 0 || visits > maxDueVisits || e.latestStart.After(horizon) {
			return false
		}
		for p.remaining(e) > 0 {
			if p.place(e) {
				continue
			}
			p.reserve(e)
			break
		}
		return true
	})
}

// probe starts one task on each quarantined worker whose backoff has passed.
// Only idempotent tasks are used, since they may run again.
func (p *planner) probe() {
	for _, w := range p.cluster.byID {
		h := &w.health
		if !h.quarantined || h.probing || h.probeAt.After(p.now) || !w.announced || !w.Live || w.Draining {
			continue
		}
		if e := p.probeFor(w); e != nil && p.budget > 0 {
			p.start(e, w)
		}
	}
}

// probeFor returns an entry with a task that may probe a quarantined worker, or
// nil.
func (p *planner) probeFor(w *worker) *entry {
	var found *entry
	visits := 0
	p.cluster.queue.byLatestStart.Scan(func(e *entry) bool {
		visits++
		eligible := e.job.Policy == Batch && e.job.Idempotent && p.unplannedTasks(e) > 0 && e.refusedEval != p.evaluation
		if eligible && e.subqueue.customer.allows(e.need) && e.need.within(w.free) && !rejectFailedHere(p.request(e), w) {
			found = e
			return false
		}
		return visits < maxDueVisits
	})
	return found
}

// setReevaluateAt sets ReevaluateAt of the plan: the next time at which an
// evaluation may decide something else although nothing was reported to the
// cluster.
func (p *planner) setReevaluateAt() {
	if p.budget == 0 {
		p.plan.ReevaluateAt = p.now
		return
	}
	if e, found := p.cluster.queue.delayed.Min(); found {
		p.reevaluateBy(e.job.NotBefore)
	}
	if p.cluster.opts.FirstComeFirstServed {
		return
	}
	if e, found := p.cluster.queue.byLastFeasibleStart.Min(); found && e.lastFeasibleStart != farFuture {
		p.reevaluateBy(e.lastFeasibleStart.Add(time.Nanosecond))
	}
	if p.cluster.queue.tasks == 0 {
		return
	}
	for _, w := range p.cluster.byID {
		if w.health.quarantined && !w.health.probing && w.health.probeAt.After(p.now) {
			p.reevaluateBy(w.health.probeAt)
		}
	}
}

// reevaluateBy makes the next evaluation happen at t at the latest.
func (p *planner) reevaluateBy(t time.Time) {
	if p.plan.ReevaluateAt.IsZero() || t.Before(p.plan.ReevaluateAt) {
		p.plan.ReevaluateAt = t
	}
}
