package control

import (
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// maxQueuedSteps is the number of queued steps from which on new jobs are refused: eight
	// times the number of steps that one decision considers. Bursts of twice the usual load
	// stay below it.
	maxQueuedSteps = 8 * maxPlannedSteps
	// queueFullRetryAfter is the retry delay sent to a caller whose job is refused because
	// the queue is full. It is long enough for the queue to drain and short enough for a
	// caller whose total timeout is 3 s.
	queueFullRetryAfter = 2 * time.Second
	// overfullFactor is the multiple of maxQueuedSteps from which on every new job is refused. It bounds
	// the queue where many customers are each below their share.
	overfullFactor = 2
)

// setQueueLength records how many steps the last decision found queued, speculative copies
// excluded. Steps that wait only for their customer's limit count for their customer, but not for
// all: they take no part in decisions, and must not make the queue full for others. It also records
// the capacity of the usable workers.
func (t *leaderTerm) setQueueLength(input *planInput, plan *dispatch.Plan) {
	queued, byCustomer := 0, map[string]int{}
	totals, _ := t.totalsOf(input)
	for i := range input.steps {
		if s := &input.steps[i]; !s.Copy {
			queued++
			byCustomer[s.Customer]++
		}
	}
	for i := range plan.Waiting {
		if plan.Waiting[i].Reason == dispatch.ReasonCustomerLimit {
			queued--
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queuedSteps, t.queuedByCustomer, t.usableCapacity = queued, byCustomer, totals.capacity
}

// admitSubmission returns a fault if a new job is to be refused. Otherwise it records that the job is
// being committed, until the caller calls done.
func (t *leaderTerm) admitSubmission(job *workflow.Submission, now time.Time) (done func(), err error) {
	if err := t.admit(job.ID, job.Customer); err != nil {
		return nil, err
	}
	if err := t.admitWithinLimit(job.ID, job.Customer, job.Steps); err != nil {
		return nil, err
	}
	return t.beginSubmission(job, now)
}

// beginSubmission records that a job is being committed, until the caller calls done. It returns a
// fault of kind Overloaded for a new job that doesn't fit into memory, or that is estimated to be worth nothing when it
// ends; see package admission.
//
// The estimate counts an accepted job before t.mu is unlocked: calls that wait for t.mu while a
// decision is made would otherwise all be accepted for the same room.
func (t *leaderTerm) beginSubmission(job *workflow.Submission, now time.Time) (done func(), err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pendingSubmits[job.ID] == 0 && !t.isCommitted(job.ID) {
		if err := t.admitWithinMemory(job); err != nil {
			return nil, err
		}
		if err := t.admitByEstimate(job, now); err != nil {
			return nil, err
		}
		t.jobMemory.bytes += job.MemoryBytes()
		t.submissionsOf(job.Customer).Admitted++
	}
	t.pendingSubmits[job.ID]++
	return func() { t.endSubmission(job.ID) }, nil
}

// endSubmission records that a submit call of a job has ended. The estimate stops counting a job
// whose commit has failed.
func (t *leaderTerm) endSubmission(job string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pendingSubmits[job]--
	if t.pendingSubmits[job] > 0 {
		return
	}
	delete(t.pendingSubmits, job)
	if t.admission != nil && !t.isCommitted(job) {
		t.admission.Remove(job)
	}
}

// isCommitted reports whether the local state has a job.
func (t *leaderTerm) isCommitted(id string) (committed bool) {
	t.c.state.read(func(s *workflow.State) { committed = s.Jobs[id] != nil })
	return committed
}

// admit returns a fault of kind Overloaded for a new job of a customer while the queue is full,
// unless the customer has less than its share of it. It never refuses a job that is already
// committed or whose commit is in flight.
//
// A caller whose first call is slow repeats it through another entry point while the
// commit of the first call is in flight. If the second call were refused, the caller
// would conclude that the job never runs, although it does.
//
// After an outage or in a burst, more jobs arrive than the leader can place. Each
// accepted job makes decisions longer and delays all other jobs, until none meets its
// objective. A refused caller learns immediately that it has to retry.
//
// One customer that sends far more than it may run would otherwise fill the queue, and the jobs of
// all others would be refused with its own.
func (t *leaderTerm) admit(id, customerName string) error {
	t.mu.Lock()
	queued, own := t.queuedSteps, t.queuedByCustomer[customerName]
	refused := t.queueRefuses(customerName)
	t.mu.Unlock()
	if !refused || t.isSubmitted(id) {
		return nil
	}
	t.c.cfg.Counters.Add("jobs_refused_queue", 1)
	t.countRefused(customerName)
	return fault.Retry(fault.Overloaded, queueFullRetryAfter, "%d steps are queued, %d of them of the customer", queued, own)
}

// queueRefuses reports whether the queue takes no more jobs of a customer. t.mu must be held.
func (t *leaderTerm) queueRefuses(customerName string) (refused bool) {
	own := t.queuedByCustomer[customerName]
	switch {
	case t.queuedSteps >= overfullFactor*maxQueuedSteps, own >= maxQueuedSteps:
		return true
	case t.queuedSteps < maxQueuedSteps:
		return false
	}
	t.c.state.read(func(s *workflow.State) {
		refused = own >= s.QueueShare(maxQueuedSteps, customerName, t.queuedByCustomer)
	})
	return refused
}

// isSubmitted reports whether a job is committed or its commit is in flight.
func (t *leaderTerm) isSubmitted(id string) bool {
	t.mu.Lock()
	beingCommitted := t.pendingSubmits[id] > 0
	t.mu.Unlock()
	if beingCommitted {
		return true
	}
	// A commit that was in flight at the check above may have finished since.
	return t.isCommitted(id)
}

// admitWithinLimit returns a fault of kind Infeasible for a new job of a customer if the customer's
// limit doesn't allow one of the steps to run even while the customer runs nothing else. Such a job
// would be accepted and never end.
func (t *leaderTerm) admitWithinLimit(id, name string, steps []workflow.Step) error {
	step := t.stepBeyondLimit(name, steps)
	if step < 0 || t.isSubmitted(id) {
		return nil
	}
	t.c.cfg.Counters.Add("jobs_refused_limit", 1)
	t.mu.Lock()
	t.submissionsOf(name).RefusedLimit++
	t.mu.Unlock()
	return fault.New(fault.Infeasible, "step %d needs more at a time than the limit of the customer allows", step)
}

// stepBeyondLimit returns the index of the first step of which a task, or the whole gang, exceeds
// the limit of a customer by itself; -1 if there is none.
func (t *leaderTerm) stepBeyondLimit(name string, steps []workflow.Step) (found int) {
	found = -1
	t.c.state.read(func(s *workflow.State) {
		c := s.Customer(name)
		if c == nil {
			return
		}
		found = slices.IndexFunc(steps, func(step workflow.Step) bool { return !c.Allows(step.LeastDemand()) })
	})
	return found
}
