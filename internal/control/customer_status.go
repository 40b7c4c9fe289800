package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/admission"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// customerGaugeInterval is the minimum time between two updates of the gauges by customer.
	customerGaugeInterval = time.Second
	// maxGaugeCustomers bounds the customers that have gauges, and so the size of the metrics page.
	maxGaugeCustomers = 20
	// customerLabel is the label of the gauges by customer.
	customerLabel = "customer"
)

// customerGauges are the gauges by customer.
var customerGauges = []struct {
	name  string
	value func(*customerLoad) int64
}{
	{"customer_running_milli_cpu", func(l *customerLoad) int64 { return l.running }},
	{"customer_limit_milli_cpu", func(l *customerLoad) int64 { return l.limit }},
	{"customer_queued_steps", func(l *customerLoad) int64 { return l.queuedSteps }},
	{"customer_submissions_admitted", func(l *customerLoad) int64 { return l.submissions.Admitted }},
	{"customer_submissions_refused_queue", func(l *customerLoad) int64 { return l.submissions.RefusedQueue }},
	{"customer_submissions_refused_limit", func(l *customerLoad) int64 { return l.submissions.RefusedLimit }},
	{"customer_submissions_refused_cluster", func(l *customerLoad) int64 { return l.submissions.RefusedCluster }},
}

// customerLoad is what the gauges of a customer show.
type customerLoad struct {
	name                        string
	running, limit, queuedSteps int64
	submissions                 SubmissionCounts
}

// compareCustomerLoads orders the largest customer first: by what runs, what is queued and what it
// has submitted.
func compareCustomerLoads(a, b customerLoad) int {
	return cmp.Or(cmp.Compare(b.running, a.running), cmp.Compare(b.queuedSteps, a.queuedSteps),
		cmp.Compare(b.submissions.Offered(), a.submissions.Offered()), cmp.Compare(a.name, b.name))
}

// Customers returns the figures of all customers. Weights, limits and usage are those of the replicated
// state after a log barrier; the submissions are those of this leader term.
func (c *Controller) Customers(ctx context.Context, _ *Empty) (CustomersReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	t, err := c.currentLeaderTerm(ctx)
	if err != nil {
		return CustomersReply{}, err
	}
	if err := c.catchUp(ctx); err != nil {
		return CustomersReply{}, err
	}
	return t.customerStatuses(time.Now()), nil
}

// customerStatuses returns the figures of all customers of the configuration, and of others that have
// work or submissions.
func (t *leaderTerm) customerStatuses(now time.Time) CustomersReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	reply := CustomersReply{
		Term: t.fence, CountedSinceMS: t.started.UnixMilli(), CountedFor: now.Sub(t.started), Capacity: t.usableCapacity,
	}
	statuses := map[string]*CustomerStatus{}
	of := func(name string) *CustomerStatus {
		if statuses[name] == nil {
			statuses[name] = &CustomerStatus{Name: name}
		}
		return statuses[name]
	}
	for name, counts := range t.submissions {
		of(name).Submissions = *counts
	}
	t.c.state.read(func(s *workflow.State) {
		for name, c := range s.Customers() {
			status := of(name)
			status.Weight, status.Limit = c.Weight, c.Limit
		}
		for name, running := range s.CustomerUsage() {
			of(name).Running = running
		}
		for _, job := range s.OpenJobs() {
			status := of(job.Customer)
			t.addQueuedTasks(status, job, now)
			t.addIfWaiting(status, job, now)
		}
		queued := make(map[string]int, len(statuses))
		for name, status := range statuses {
			queued[name] = status.QueuedTasks
		}
		for name, status := range statuses {
			status.Removed = name != "" && s.Customer(name) == nil
			status.Share = s.CustomerShare(name, queued)
			status.Due = dueResources(t.usableCapacity, status)
		}
	})
	for _, status := range statuses {
		reply.Customers = append(reply.Customers, *status)
	}
	slices.SortFunc(reply.Customers, func(a, b CustomerStatus) int { return cmp.Compare(a.Name, b.Name) })
	return reply
}

// addQueuedTasks adds a job's tasks that haven't started and their work to the figures of its customer.
// t.mu must be held, and only a function that was passed to StateMachine.read may call it.
func (t *leaderTerm) addQueuedTasks(status *CustomerStatus, job *workflow.Job, now time.Time) {
	for occurrence := range job.Occurrences {
		if !job.Due(occurrence, now) {
			continue
		}
		for step := range job.Steps {
			spec, key := &job.Steps[step], workflow.StepKey{Job: job.ID, Occurrence: occurrence, Step: step}
			tasks := len(t.pendingTasks(key, spec, &job.Occurrences[occurrence][step]))
			status.QueuedTasks += tasks
			if !spec.LongRunning {
				work := admission.WorkOf(spec.Demand(), spec.CustomerDemand(), tasks, spec.EstimateMS)
				status.QueuedCoreMS += work.OnWorkers.MilliCPU / 1000
			}
		}
	}
}

// addIfWaiting adds a job to the waiting jobs of its customer if none of its tasks has started. t.mu must
// be held, and only a function that was passed to StateMachine.read may call it.
func (t *leaderTerm) addIfWaiting(status *CustomerStatus, job *workflow.Job, now time.Time) {
	if job.Started || t.startedJobs[job.ID] || !job.Due(0, now) {
		return
	}
	since := t.acceptedTime(job.ID)
	if job.Schedule.Times > 0 {
		// The due time is wall-clock time, but now.Sub(since) below uses the monotonic clock.
		since = now.Add(-now.Round(0).Sub(time.UnixMilli(job.Schedule.DueMS(0))))
	}
	status.WaitingJobs++
	status.OldestWait = max(status.OldestWait, now.Sub(since))
}

// dueResources returns the customer's share of a capacity, at most its limit.
func dueResources(capacity workflow.Resources, status *CustomerStatus) workflow.Resources {
	part := func(capacity, limit int64) int64 {
		due := int64(float64(capacity) * status.Share)
		if limit > 0 {
			due = min(due, limit)
		}
		return due
	}
	return workflow.Resources{
		MilliCPU:     part(capacity.MilliCPU, status.Limit.MilliCPU),
		MemoryMB:     part(capacity.MemoryMB, status.Limit.MemoryMB),
		Accelerators: part(capacity.Accelerators, status.Limit.Accelerators),
	}
}

// submissionsOf returns the counts of a customer's submissions in this leader term. t.mu must be held.
func (t *leaderTerm) submissionsOf(name string) *SubmissionCounts {
	counts := t.submissions[name]
	if counts == nil {
		counts = &SubmissionCounts{}
		t.submissions[name] = counts
	}
	return counts
}

// reportCustomers sets the gauges of the largest customers once a second. Only planLoop calls it.
func (t *leaderTerm) reportCustomers(now time.Time) {
	if now.Sub(t.customerGaugesAt) < customerGaugeInterval {
		return
	}
	t.customerGaugesAt = now
	loads := t.customerLoads()
	slices.SortFunc(loads, compareCustomerLoads)
	loads = loads[:min(len(loads), maxGaugeCustomers)]
	for _, gauge := range customerGauges {
		values := make(map[string]int64, len(loads))
		for i := range loads {
			values[loads[i].name] = gauge.value(&loads[i])
		}
		t.c.cfg.Counters.SetByLabel(gauge.name, customerLabel, values)
	}
}

// customerLoads returns what the gauges show of each customer of the configuration. It removes the counts
// of customers that the configuration doesn't have any more and that have no work, so that the counts stay
// bounded however often the configuration changes.
func (t *leaderTerm) customerLoads() (loads []customerLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.c.state.read(func(s *workflow.State) {
		usage := s.CustomerUsage()
		for name, c := range s.Customers() {
			load := customerLoad{name: name, running: usage[name].MilliCPU, limit: c.Limit.MilliCPU, queuedSteps: int64(t.queuedByCustomer[name])}
			if counts := t.submissions[name]; counts != nil {
				load.submissions = *counts
			}
			loads = append(loads, load)
		}
		for name := range t.submissions {
			_, running := usage[name]
			if name != "" && s.Customer(name) == nil && !running && t.queuedByCustomer[name] == 0 {
				delete(t.submissions, name)
			}
		}
	})
	return loads
}

// clearCustomerGauges removes the gauges by customer, which only the leader has.
func (t *leaderTerm) clearCustomerGauges() {
	for _, gauge := range customerGauges {
		t.c.cfg.Counters.SetByLabel(gauge.name, customerLabel, nil)
	}
}
