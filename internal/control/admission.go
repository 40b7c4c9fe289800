package control

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/bilberryferry/bilberryferry/admission"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// admissionLogInterval is the time between two log lines about admission.
	admissionLogInterval = time.Second
	// maxAdmissionLogCustomers bounds the customers with refusals that are logged each time.
	maxAdmissionLogCustomers = 20
	// maxRefusalLogLines bounds, with load control, the log lines about single refused jobs between two
	// log lines about admission. Hundreds of jobs a second are refused during a burst.
	maxRefusalLogLines = 20
)

// customerRuns is the work in progress of a customer on a worker.
type customerRuns struct {
	customer string
	// rest is what runs are expected to have left: half of their estimates.
	rest admission.Work
	// longRunning are the resources of long-running tasks, which never become free.
	longRunning admission.Work
}

// addRunningWork adds a run of a step to the work in progress by customer.
func addRunningWork(work []customerRuns, customerName string, step *workflow.Step) []customerRuns {
	i := slices.IndexFunc(work, func(c customerRuns) bool { return c.customer == customerName })
	if i < 0 {
		i, work = len(work), append(work, customerRuns{customer: customerName})
	}
	if step.LongRunning {
		work[i].longRunning = work[i].longRunning.Plus(admission.Work{OnWorkers: step.Demand(), OfCustomer: step.CustomerDemand()})
	} else {
		work[i].rest = work[i].rest.Plus(admission.WorkOf(step.Demand(), step.CustomerDemand(), 1, step.EstimateMS/2))
	}
	return work
}

// addQueuedWork adds tasks of a step that haven't started to the queued work. Steps that aren't
// ready count too. Long-running tasks don't: their work is unknown.
func (input *planInput) addQueuedWork(job *workflow.Job, step, tasks int) {
	if spec := &job.Steps[step]; input.queued != nil && !spec.LongRunning {
		class := admission.Class{Service: job.Policy.Service, Customer: job.Customer, Priority: job.Policy.Priority}
		input.queued.Add(class, admission.WorkOf(spec.Demand(), spec.CustomerDemand(), tasks, spec.EstimateMS))
	}
}

// updateAdmission passes the state of a decision to the estimator. t.mu must be held.
func (t *leaderTerm) updateAdmission(s *workflow.State, input *planInput, now time.Time) {
	if t.admission == nil {
		return
	}
	snapshot := admission.Snapshot{
		Pools: map[string]admission.Room{}, Limits: map[string]admission.Room{}, Queued: input.queued, Customers: s.Customers(),
		Includes: func(job string) bool { return s.Jobs[job] != nil },
	}
	var limits customerLimits
	switch {
	case t.isWholeFleet():
		limits = newCustomerLimits(s)
		t.addWholeFleet(&snapshot, limits, s, input, now)
	case t.survey == nil:
		return
	default:
		snapshot.Pools, limits = t.survey.room.Pools, t.survey.limits
	}
	for name, limit := range limits {
		snapshot.Limits[name] = *limit
	}
	t.admission.Update(now.Sub(t.started), snapshot)
	t.admissionSnapshot = snapshot
}

// addWholeFleet adds the workers of a decision that considers all of them, and those that may
// become usable. t.mu must be held.
func (t *leaderTerm) addWholeFleet(snapshot *admission.Snapshot, limits customerLimits, s *workflow.State, input *planInput, now time.Time) {
	for i := range input.workers {
		w := &input.workers[i]
		addWorker(snapshot, limits, w.Service, w.Capacity, w.Capacity.Minus(w.Free), t.sessions[w.ID].runSummary.runningWork)
	}
	for id, session := range t.sessions {
		if state := s.Workers[id]; state != nil && t.mayBecomeUsable(session, state, now) {
			used, _ := s.Used(id)
			addWorker(snapshot, limits, state.Service, state.Capacity, used, nil)
		}
	}
}

// mayBecomeUsable reports whether this leader hasn't reached a worker yet, so that it isn't known
// to be unusable. t.mu must be held.
func (t *leaderTerm) mayBecomeUsable(session *workerSession, state *workflow.WorkerState, now time.Time) bool {
	return now.Sub(t.started) < maxResponseAge && !state.Gone && !state.Draining && !session.ready
}

// customerLimits are the limits of customers by name, changed in place while a snapshot is made.
type customerLimits map[string]*admission.Room

func newCustomerLimits(s *workflow.State) customerLimits {
	limits, usage := customerLimits{}, s.CustomerUsage()
	for name, c := range s.Customers() {
		if c.Limited() {
			limits[name] = &admission.Room{Total: c.Limit, Held: usage[name]}
		}
	}
	return limits
}

// addWorker adds a worker's capacity, what its runs occupy and their work to a snapshot and to the
// limits of customers.
func addWorker(snapshot *admission.Snapshot, limits customerLimits, service string, capacity, held workflow.Resources, running []customerRuns) {
	pool := snapshot.Pools[service]
	pool.Total, pool.Held = pool.Total.Plus(capacity), pool.Held.Plus(held)
	for i := range running {
		r := &running[i]
		pool.Rest = pool.Rest.Plus(r.rest.OnWorkers)
		pool.Total, pool.Held = pool.Total.Minus(r.longRunning.OnWorkers), pool.Held.Minus(r.longRunning.OnWorkers)
		if limit := limits[r.customer]; limit != nil {
			limit.Rest = limit.Rest.Plus(r.rest.OfCustomer)
			limit.Total, limit.Held = limit.Total.Minus(r.longRunning.OfCustomer), limit.Held.Minus(r.longRunning.OfCustomer)
		}
	}
	snapshot.Pools[service] = pool
}

// admissionJob describes a submission to the estimator; nil if the estimator doesn't count it: the
// work of scheduled jobs isn't due yet, that of long-running tasks is unknown, and jobs without an
// objective come after all others in decisions.
func admissionJob(job *workflow.Submission) *admission.Job {
	if job.Schedule.Times > 0 || job.IsLongRunning() {
		return nil
	}
	chainMS := criticalPathMS(job.Steps)
	objective := objectiveFor(&job.Policy, chainMS)
	if objective <= 0 {
		return nil
	}
	described := &admission.Job{
		ID:    job.ID,
		Class: admission.Class{Service: job.Policy.Service, Customer: job.Customer, Priority: job.Policy.Priority},
		Chain: time.Duration(chainMS) * time.Millisecond, Objective: objective,
	}
	for i := range job.Steps {
		step := &job.Steps[i]
		described.Work = described.Work.Plus(admission.WorkOf(step.Demand(), step.CustomerDemand(), step.Count, step.EstimateMS))
	}
	return described
}

// admitByEstimate returns a fault of kind Overloaded for a job that is shed because the leader is short of
// processor, or that is expected to be worth nothing when it ends; otherwise the estimate counts the job.
// t.mu must be held.
func (t *leaderTerm) admitByEstimate(submission *workflow.Submission, now time.Time) error {
	if t.admission == nil {
		return nil
	}
	counts := t.admissionCounts.of(submission.Customer)
	job := admissionJob(submission)
	if job == nil {
		counts.admitted++
		return nil
	}
	if err := t.shed(submission); err != nil {
		counts.refused++
		return err
	}
	refusal := t.admission.Check(now.Sub(t.started), job)
	if refusal == nil {
		t.admission.Add(now.Sub(t.started), job)
		counts.admitted++
		return nil
	}
	counts.refused++
	submissions := t.submissionsOf(submission.Customer)
	if refusal.Bottleneck == admission.CustomerLimit {
		submissions.RefusedLimit++
		t.c.cfg.Counters.Add("jobs_refused_limit_wait", 1)
	} else {
		submissions.RefusedCluster++
		t.c.cfg.Counters.Add("jobs_refused_cluster_wait", 1)
	}
	return fault.Retry(fault.Overloaded, refusal.RetryAfter, "expected to wait %d ms for %s; worth nothing after %d ms",
		refusal.Wait.Milliseconds(), refusal.Bottleneck, (admission.WorthlessAfterObjectives * job.Objective).Milliseconds())
}

// shed returns a fault of kind Overloaded for a job that is refused because the leader is short of processor. t.mu
// must be held.
func (t *leaderTerm) shed(submission *workflow.Submission) error {
	if t.shedder.Admits(submission.ID, submission.Policy.Priority) {
		return nil
	}
	t.submissionsOf(submission.Customer).RefusedCluster++
	t.c.cfg.Counters.Add("jobs_refused_processor", 1)
	return fault.Retry(fault.Overloaded, t.shedder.RetryAfter(), "the leader is short of processor")
}

// admissionCount counts the submissions of a customer since the last log line about admission.
type admissionCount struct{ admitted, refused int }

// admissionCounts counts submissions by customer since the last log line about admission.
type admissionCounts struct {
	byCustomer map[string]*admissionCount
	// refusalLines counts the log lines about single refused jobs.
	refusalLines int
}

func newAdmissionCounts() admissionCounts {
	return admissionCounts{byCustomer: map[string]*admissionCount{}}
}

// of returns the count of a customer.
func (c *admissionCounts) of(customerName string) *admissionCount {
	count := c.byCustomer[customerName]
	if count == nil {
		count = &admissionCount{}
		c.byCustomer[customerName] = count
	}
	return count
}

// total returns the sum of the counts of all customers.
func (c *admissionCounts) total() (total admissionCount) {
	for _, count := range c.byCustomer {
		total.admitted, total.refused = total.admitted+count.admitted, total.refused+count.refused
	}
	return total
}

// customersWithRefusals returns the customers that had jobs refused, those with the most first.
func (c *admissionCounts) customersWithRefusals() (names []string) {
	for name, count := range c.byCustomer {
		if count.refused > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.byCustomer[b].refused, c.byCustomer[a].refused), cmp.Compare(a, b))
	})
	return names
}

// countRefused counts a job of a customer that was refused because the queue is full.
func (t *leaderTerm) countRefused(customerName string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.submissionsOf(customerName).RefusedQueue++
	if t.admission != nil {
		t.admissionCounts.of(customerName).refused++
	}
}

// logRefused logs that a job is refused. With load control the number of lines is bounded.
func (t *leaderTerm) logRefused(job *workflow.Submission, queue string, err error) {
	if t.admission != nil {
		t.mu.Lock()
		t.admissionCounts.refusalLines++
		lines := t.admissionCounts.refusalLines
		t.mu.Unlock()
		if lines > maxRefusalLogLines {
			return
		}
	}
	t.logger.Log("event", "submit", "job", job.ID, "queue", queue, "outcome", "refused", "err", err)
}

// expectedWait returns how long new work of a class is expected to wait, and for what; an empty
// bottleneck without load control.
func (t *leaderTerm) expectedWait(class admission.Class, now time.Time) (time.Duration, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.admission == nil {
		return 0, ""
	}
	wait, bottleneck := t.admission.Wait(now.Sub(t.started), class)
	return wait, string(bottleneck)
}

// reportAdmission logs, once a second, what was admitted and refused, in total and for the customers
// with the most refusals, and sets the gauges. Only planLoop calls it.
func (t *leaderTerm) reportAdmission(now time.Time) {
	if t.admission == nil || now.Sub(t.admissionLoggedAt) < admissionLogInterval {
		return
	}
	t.admissionLoggedAt = now
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.admissionCounts
	t.admissionCounts = newAdmissionCounts()
	total, refused := counts.total(), counts.customersWithRefusals()
	classes := t.queueClasses()
	queued := t.admission.Queued("", true)
	waits, longest := t.formatWaits(classes, "", now)
	t.logger.Log("event", "admission", "offered", total.admitted+total.refused, "admitted", total.admitted, "refused", total.refused,
		"reservations", t.admission.Reservations(), "queued_core_ms", queued.MilliCPU/1000, "expected_wait_ms", waits,
		"shedding_percent", int64(100*t.shedder.Level()))
	t.c.cfg.Counters.Set("shedding_percent", int64(100*t.shedder.Level()))
	t.c.cfg.Counters.Set("queued_core_ms", queued.MilliCPU/1000)
	t.c.cfg.Counters.Set("expected_wait_ms", longest.Milliseconds())
	t.c.cfg.Counters.Set("admission_reservations", int64(t.admission.Reservations()))
	for _, name := range refused[:min(len(refused), maxAdmissionLogCustomers)] {
		t.logCustomerAdmission(name, counts.byCustomer[name], classes, now)
	}
}

// logCustomerAdmission logs what was admitted and refused of a customer. t.mu must be held.
func (t *leaderTerm) logCustomerAdmission(name string, count *admissionCount, classes []admission.Class, now time.Time) {
	capacity := int64(0)
	for _, pool := range t.admissionSnapshot.Pools {
		capacity += pool.Total.MilliCPU
	}
	var running, limit workflow.Resources
	t.c.state.read(func(s *workflow.State) {
		running = s.CustomerUsage()[name]
		if c := s.Customer(name); c != nil {
			limit = c.Limit
		}
	})
	waits, _ := t.formatWaits(classes, name, now)
	t.logger.Log("event", "admission", "customer", name, "offered", count.admitted+count.refused, "admitted", count.admitted, "refused", count.refused,
		"queued_core_ms", t.admission.Queued(name, false).MilliCPU/1000, "running", formatResources(running),
		"running_percent", 100*running.MilliCPU/max(capacity, 1), "limit", formatResources(limit), "expected_wait_ms", waits)
}

// queueClasses returns the services and priorities of the queues, without duplicates, sorted. t.mu
// must be held.
func (t *leaderTerm) queueClasses() (classes []admission.Class) {
	t.c.state.read(func(s *workflow.State) {
		for i := range s.Configuration.Queues {
			policy := &s.Configuration.Queues[i].Policy
			classes = append(classes, admission.Class{Service: policy.Service, Priority: policy.Priority})
		}
	})
	slices.SortFunc(classes, func(a, b admission.Class) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
	})
	return slices.Compact(classes)
}

// formatWaits formats the expected waits of a customer's new work by service and priority for a log
// line, and returns the longest. t.mu must be held.
func (t *leaderTerm) formatWaits(classes []admission.Class, customerName string, now time.Time) (text string, longest time.Duration) {
	parts := make([]string, len(classes))
	for i, class := range classes {
		class.Customer = customerName
		wait, _ := t.admission.Wait(now.Sub(t.started), class)
		parts[i] = fmt.Sprintf("%s/%d:%d", class.Service, class.Priority, wait.Milliseconds())
		longest = max(longest, wait)
	}
	return strings.Join(parts, " "), longest
}
