package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// start is the time at which the tests begin.
var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// maxDecisions is the maximum number of decisions in one evaluation. It is more than
// any test needs.
const maxDecisions = 100

// unlimited is a quota allotment without limits.
var unlimited = Resources{CPU: -1, Memory: -1, Accelerators: -1}

// cores returns n cores with 1 GiB of memory each.
func cores(n int64) Resources { return Resources{CPU: n * 1000, Memory: n * 1024} }

// addWorkers adds n workers, perRack to a rack.
func addWorkers(c *Cluster, n int, capacity Resources, perRack int) {
	for i := range n {
		c.SetWorker(Worker{ID: fmt.Sprintf("w%03d", i), Rack: fmt.Sprintf("r%02d", i/perRack), Capacity: capacity, Live: true})
	}
}

// newBatchJob returns an idempotent batch job, submitted at start, whose
// deadline is deadlineAfter later.
func newBatchJob(id, customer string, tasks int, need Resources, runtime, deadlineAfter time.Duration) Job {
	return Job{ID: id, Customer: customer, Name: "name", Policy: Batch, Tasks: tasks, Need: need, Runtime: runtime,
		Deadline: start.Add(deadlineAfter), Submitted: start, Idempotent: true}
}

// commit places the starts of a plan, as the owner of the committed state does.
// next holds the number of the next task of each job.
func commit(t testing.TB, c *Cluster, plan Plan, now time.Time, next map[string]int) {
	for _, s := range plan.Starts {
		e := c.queue.entries[s.Job]
		j := e.job
		must.NoError(t, c.Place(Placed{Job: j.ID, Task: next[j.ID], Worker: s.Worker, Customer: j.Customer, Name: j.Name,
			Policy: j.Policy, Need: s.Need, Urgent: j.Urgent, Idempotent: j.Idempotent, Started: now, Runtime: j.Runtime, Deadline: j.Deadline}))
		next[j.ID]++
		j.Tasks--
		c.Enqueue(j)
	}
}

// A start that was planned from an older state arrives after another task took
// the resources. Placing it would overload the worker.
func TestPlaceRefusesOverCommit(t *testing.T) {
	c := NewCluster(DefaultOptions())
	addWorkers(c, 1, cores(4), 1)
	must.NoError(t, c.Place(Placed{Job: "a", Worker: "w000", Need: cores(3), Policy: Batch, Runtime: time.Minute, Started: start}))
	must.ErrorIs(t, c.Place(Placed{Job: "b", Worker: "w000", Need: cores(2), Policy: Batch, Runtime: time.Minute, Started: start}), ErrOverCommit)
	must.ErrorIs(t, c.Place(Placed{Job: "a", Worker: "w000", Need: cores(1), Policy: Batch, Runtime: time.Minute, Started: start}), ErrPlacedTwice)
	c.Unplace("a", 0)
	must.NoError(t, c.Place(Placed{Job: "b", Worker: "w000", Need: cores(4), Policy: Batch, Runtime: time.Minute, Started: start}))
}

// Tasks of a service must not share a rack while another rack has none: the loss of
// one rack would stop more of the service than necessary.
func TestServiceSpreadsOverRacks(t *testing.T) {
	c := NewCluster(DefaultOptions())
	addWorkers(c, 8, cores(8), 2)
	c.Enqueue(Job{ID: "s", Customer: "x", Policy: Service, Tasks: 4, Need: cores(1), Submitted: start})
	plan := c.Evaluate(start, maxDecisions)
	racks := map[string]int{}
	for _, s := range plan.Starts {
		racks[c.workers[s.Worker].Rack]++
	}
	must.MapLen(t, 4, racks)
}

// A gang needs more than is free. Starting a part of it would hold resources
// that another half-started gang waits for, and both would wait forever.
func TestGangStartsAllTasksOrNone(t *testing.T) {
	c := NewCluster(DefaultOptions())
	addWorkers(c, 4, cores(4), 2)
	next := map[string]int{}
	c.Enqueue(newBatchJob("b", "x", 1, cores(4), time.Hour, 10*time.Hour))
	commit(t, c, c.Evaluate(start, maxDecisions), start, next)
	g := newBatchJob("g", "x", 4, cores(4), time.Hour, 10*time.Hour)
	g.Policy = Gang
	c.Enqueue(g)
	must.SliceEmpty(t, c.Evaluate(start, maxDecisions).Starts)
	c.Unplace("b", 0)
	must.SliceLen(t, 4, c.Evaluate(start, maxDecisions).Starts)
}

// A gang of two fits only if one of its tasks uses resources that are reserved
// for an earlier gang. Starting the other task alone would leave two gangs
// waiting for each other.
func TestGangDoesNotStartPartlyOnReservedResources(t *testing.T) {
	c := NewCluster(DefaultOptions())
	c.SetWorker(Worker{ID: "large0", Rack: "r", Capacity: cores(8), Live: true})
	c.SetWorker(Worker{ID: "large1", Rack: "r", Capacity: cores(8), Live: true})
	c.SetWorker(Worker{ID: "small", Rack: "r", Capacity: cores(4), Live: true})
	must.NoError(t, c.Place(Placed{Job: "b", Worker: "large0", Need: cores(8), Policy: Batch, Runtime: time.Hour, Started: start}))
	first := newBatchJob("first", "x", 2, cores(8), time.Hour, 5*time.Hour)
	second := newBatchJob("second", "y", 2, cores(4), 2*time.Hour, 20*time.Hour)
	first.Policy, second.Policy = Gang, Gang
	c.Enqueue(first)
	c.Enqueue(second)
	must.SliceEmpty(t, c.Evaluate(start, maxDecisions).Starts)
	c.Unplace("b", 0)
	must.SliceLen(t, 2, c.Evaluate(start, maxDecisions).Starts)
}

// A long task must not take the resources that are reserved for a blocked gang,
// since the gang would be delayed. A short task that ends before the reserved start
// time may use them.
func TestBackfillEndsBeforeReservedStart(t *testing.T) {
	c := NewCluster(DefaultOptions())
	addWorkers(c, 2, cores(4), 2)
	next := map[string]int{}
	c.Enqueue(newBatchJob("b", "x", 1, cores(4), time.Hour, 10*time.Hour))
	commit(t, c, c.Evaluate(start, maxDecisions), start, next)
	g := newBatchJob("g", "x", 2, cores(4), time.Hour, 10*time.Hour)
	g.Policy = Gang
	c.Enqueue(g)
	c.Enqueue(newBatchJob("long", "y", 1, cores(2), 2*time.Hour, 20*time.Hour))
	c.Enqueue(newBatchJob("short", "y", 1, cores(2), 30*time.Minute, 20*time.Hour))
	plan := c.Evaluate(start, maxDecisions)
	must.SliceLen(t, 1, plan.Starts)
	must.EqOp(t, "short", plan.Starts[0].Job)
}

// An urgent task must preempt neither a task that must not run twice nor a task of
// a service or a gang.
func TestUrgentPreemptsOnlyIdempotentBatch(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		policy     Policy
		want       int
	}{
		{"idempotent batch", true, Batch, 1},
		{"non-idempotent batch", false, Batch, 0},
		{"service", true, Service, 0},
		{"gang", true, Gang, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := NewCluster(DefaultOptions())
			addWorkers(c, 1, cores(4), 1)
			must.NoError(t, c.Place(Placed{Job: "low", Worker: "w000", Need: cores(4), Policy: tc.policy, Idempotent: tc.idempotent,
				Runtime: time.Hour, Started: start}))
			u := newBatchJob("u", "x", 1, cores(2), time.Minute, time.Hour)
			u.Urgent = true
			c.Enqueue(u)
			plan := c.Evaluate(start, maxDecisions)
			must.SliceLen(t, tc.want, plan.Preemptions)
			must.SliceEmpty(t, plan.Starts)
			c.MarkStopping("low", 0)
			must.SliceEmpty(t, c.Evaluate(start, maxDecisions).Preemptions)
			c.Unplace("low", 0)
			must.SliceLen(t, 1, c.Evaluate(start, maxDecisions).Starts)
		})
	}
}

// A task that was preempted for urgent work takes a while to stop. The evaluations
// until then must not preempt another task for the same work.
func TestPreemptionIsNotRepeatedWhileTaskStops(t *testing.T) {
	c := NewCluster(DefaultOptions())
	addWorkers(c, 1, cores(4), 1)
	for i := range 2 {
		must.NoError(t, c.Place(Placed{Job: "low", Task: i, Worker: "w000", Need: cores(2), Policy: Batch, Idempotent: true, Runtime: time.Hour, Started: start}))
	}
	u := newBatchJob("u", "x", 1, cores(2), time.Minute, time.Hour)
	u.Urgent = true
	c.Enqueue(u)
	plan := c.Evaluate(start, maxDecisions)
	must.SliceLen(t, 1, plan.Preemptions)
	c.MarkStopping("low", plan.Preemptions[0].Task)
	must.SliceEmpty(t, c.Evaluate(start, maxDecisions).Preemptions)
}

// A large task of a customer with a high share has a reservation. Once the reserved
// resources are free, the fair order alone would give them to the small tasks of a
// customer with nothing running, and the large task would starve.
func TestReservedResourcesGoToTheirJobBeforeFairShare(t *testing.T) {
	o := DefaultOptions()
	o.FairReservations = 0
	c := NewCluster(o)
	addWorkers(c, 2, cores(4), 1)
	must.NoError(t, c.Place(Placed{Job: "old", Worker: "w000", Need: cores(4), Policy: Batch, Runtime: 10 * time.Minute, Started: start}))
	must.NoError(t, c.Place(Placed{Job: "run", Worker: "w001", Customer: "busy", Need: cores(4), Policy: Batch, Runtime: 5 * time.Hour, Started: start}))
	c.Enqueue(newBatchJob("large", "busy", 1, cores(4), time.Hour, 20*time.Hour))
	small := Resources{CPU: 500, Memory: 512}
	c.Enqueue(newBatchJob("small", "idle", 50, small, time.Hour, 20*time.Hour))
	// The first evaluation finds that nothing fits and blocks the shape; the
	// second one makes the reservation.
	must.SliceEmpty(t, c.Evaluate(start, maxDecisions).Starts)
	must.SliceEmpty(t, c.Evaluate(start, maxDecisions).Starts)
	c.Unplace("old", 0)
	plan := c.Evaluate(start.Add(time.Minute), maxDecisions)
	must.SliceLen(t, 1, plan.Starts)
	must.EqOp(t, "large", plan.Starts[0].Job)
}

// A refusal must name the right reason, and a retry delay only if the job may be
// accepted later.
func TestRefusalNamesReasonAndRetryDelay(t *testing.T) {
	small := DefaultOptions()
	small.MaxQueue = 10
	gang := func(n int) Job {
		g := newBatchJob("g", "x", n, cores(4), time.Minute, time.Hour)
		g.Policy = Gang
		return g
	}
	cases := []struct {
		name           string
		job            Job
		available      Resources
		want           Reason
		wantRetryAfter bool
	}{
		{"fits", newBatchJob("a", "x", 1, cores(1), time.Minute, time.Hour), unlimited, ReasonNone, false},
		{"too large", newBatchJob("a", "x", 1, cores(5), time.Minute, time.Hour), unlimited, ReasonTooLarge, false},
		{"gang fits", gang(4), unlimited, ReasonNone, false},
		{"gang too large", gang(5), unlimited, ReasonTooManyTasks, false},
		{"run time above deadline", newBatchJob("a", "x", 1, cores(1), 2*time.Hour, time.Hour), unlimited, ReasonDeadline, false},
		{"too much work", newBatchJob("a", "x", 10, cores(4), time.Hour, time.Hour), unlimited, ReasonDeadline, true},
		{"allotment", newBatchJob("a", "x", 1, cores(2), time.Minute, time.Hour), Resources{CPU: 1000, Memory: -1, Accelerators: -1}, ReasonQuota, true},
		{"queue", newBatchJob("a", "x", 11, cores(1), time.Minute, time.Hour), unlimited, ReasonQueueFull, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := NewCluster(small)
			addWorkers(c, 4, cores(4), 2)
			decision := c.Admit(tc.job, start, tc.available)
			must.EqOp(t, tc.want, decision.Reason, must.Sprint(decision.Detail))
			must.EqOp(t, tc.want == ReasonNone, decision.Admitted)
			must.EqOp(t, tc.wantRetryAfter, decision.RetryAfter > 0)
		})
	}
	must.EqOp(t, ReasonNoWorkers, NewCluster(small).Admit(gang(1), start, unlimited).Reason)
}

// One customer submits far more than the workers can do before its deadlines.
// If all of it were accepted, other customers would be refused for hours.
func TestAdmissionBoundsOneCustomersQueuedWork(t *testing.T) {
	c := NewCluster(DefaultOptions())
	addWorkers(c, 4, cores(4), 2)
	c.Enqueue(newBatchJob("first", "quiet", 1, cores(1), time.Minute, time.Hour))
	admitted := 0
	for i := range 1000 {
		j := newBatchJob(fmt.Sprintf("f%d", i), "loud", 10, cores(1), 10*time.Minute, 12*time.Hour)
		if c.Admit(j, start, unlimited).Admitted {
			c.Enqueue(j)
			admitted++
		}
	}
	must.Between(t, 10, admitted, 999)
	decision := c.Admit(newBatchJob("f", "loud", 10, cores(1), 10*time.Minute, 12*time.Hour), start, unlimited)
	must.EqOp(t, ReasonQueueFull, decision.Reason)
	must.Positive(t, decision.RetryAfter)
	must.True(t, c.Admit(newBatchJob("q", "quiet", 10, cores(1), 10*time.Minute, 2*time.Hour), start, unlimited).Admitted)
}

// An accepted job that can no longer meet its deadline must be refused. Otherwise
// it would stay queued.
func TestInfeasibleJobIsRefused(t *testing.T) {
	c := NewCluster(DefaultOptions())
	addWorkers(c, 1, cores(1), 1)
	c.Enqueue(newBatchJob("a", "x", 1, cores(2), time.Hour, 2*time.Hour))
	must.SliceEmpty(t, c.Evaluate(start, maxDecisions).Refusals)
	plan := c.Evaluate(start.Add(2*time.Hour), maxDecisions)
	must.SliceLen(t, 1, plan.Refusals)
	must.EqOp(t, ReasonDeadline, plan.Refusals[0].Reason)
}

// A worker fails every task within a second of its start. It therefore soon has
// free resources again and attracts all tasks. It must be quarantined, get one task
// at a time as a probe, with a longer delay after a failed one, and return to
// service after a successful one.
func TestFailingWorkerIsQuarantinedAndProbed(t *testing.T) {
	c := NewCluster(DefaultOptions())
	addWorkers(c, 2, cores(4), 1)
	for i := range 3 {
		c.ReportFailure("w000", fmt.Sprintf("j%d", i), start)
	}
	must.Eq(t, []string{"w000"}, c.Quarantined())
	c.Enqueue(newBatchJob("a", "x", 2, cores(4), time.Minute, time.Hour))
	must.SliceLen(t, 1, c.Evaluate(start, maxDecisions).Starts)
	later := start.Add(c.opts.ProbeBackoff)
	plan := c.Evaluate(later, maxDecisions)
	must.SliceLen(t, 2, plan.Starts)
	commit(t, c, plan, later, map[string]int{})
	c.ReportFailure("w000", "a", later)
	must.EqOp(t, 2*c.opts.ProbeBackoff, c.workers["w000"].health.backoff)
	c.ReportSuccess("w000", "a", later)
	must.SliceEmpty(t, c.Quarantined())
}

// A probe fails, and the caller unplaces it before reporting the failure. The failure
// must still double the backoff, otherwise the next probe would follow immediately.
func TestFailedProbeBacksOffWhenUnplacedFirst(t *testing.T) {
	c := NewCluster(DefaultOptions())
	addWorkers(c, 1, cores(4), 1)
	for i := range 3 {
		c.ReportFailure("w000", fmt.Sprintf("j%d", i), start)
	}
	c.Enqueue(newBatchJob("a", "x", 2, cores(1), time.Minute, time.Hour))
	c.Enqueue(newBatchJob("b", "x", 2, cores(1), time.Minute, time.Hour))
	later := start.Add(c.opts.ProbeBackoff)
	plan := c.Evaluate(later, maxDecisions)
	must.SliceLen(t, 1, plan.Starts)
	commit(t, c, plan, later, map[string]int{})
	must.SliceEmpty(t, c.Evaluate(later, maxDecisions).Starts)
	c.Unplace(plan.Starts[0].Job, 0)
	c.ReportFailure("w000", plan.Starts[0].Job, later)
	must.SliceEmpty(t, c.Evaluate(later, maxDecisions).Starts)
	must.EqOp(t, later.Add(2*c.opts.ProbeBackoff), c.Evaluate(later, maxDecisions).ReevaluateAt)
}

// A worker loses its disk while a long task computes. The task still succeeds,
// which must not end the quarantine: the worker fails all new tasks.
func TestSuccessOfOlderTaskDoesNotEndQuarantine(t *testing.T) {
	for _, unplaceFirst := range []bool{true, false} {
		c := NewCluster(DefaultOptions())
		addWorkers(c, 2, cores(4), 1)
		must.NoError(t, c.Place(Placed{Job: "old", Worker: "w000", Need: cores(1), Policy: Batch, Runtime: time.Hour, Started: start}))
		later := start.Add(time.Minute)
		for i := range 3 {
			c.ReportFailure("w000", fmt.Sprintf("j%d", i), later)
		}
		if unplaceFirst {
			c.Unplace("old", 0)
		}
		c.ReportSuccess("w000", "old", later.Add(time.Minute))
		must.Eq(t, []string{"w000"}, c.Quarantined())
	}
}

// Two broken jobs fail on every worker. Counting their failures against the
// workers would quarantine one worker after the other.
func TestBrokenJobsDoNotQuarantineWorkers(t *testing.T) {
	c := NewCluster(DefaultOptions())
	addWorkers(c, 5, cores(4), 1)
	for _, id := range []string{"bad0", "bad1"} {
		c.Enqueue(newBatchJob(id, "x", 1, cores(1), time.Minute, time.Hour))
		for i := range 20 {
			c.ReportFailure(fmt.Sprintf("w%03d", i%5), id, start.Add(time.Duration(i)*time.Second))
		}
		must.True(t, c.JobSuspect(id))
	}
	must.SliceEmpty(t, c.Quarantined())
	// After the jobs are removed, their failures must still not count against the
	// workers.
	c.Dequeue("bad0")
	c.Dequeue("bad1")
	c.ReportFailure("w000", "other", start)
	must.SliceEmpty(t, c.Quarantined())
}

// Estimates of a job must follow the measurements of earlier tasks of the same job name,
// and not those of tasks of other names. The estimated need must not fall below the
// declared one.
func TestEstimatesFollowSamplesOfSameJobName(t *testing.T) {
	c := NewCluster(DefaultOptions())
	addWorkers(c, 1, cores(8), 1)
	j := newBatchJob("a", "x", 1, cores(2), time.Minute, time.Hour)
	for range 100 {
		c.AddSample(Sample{Customer: "x", Name: "name", DeclaredRuntime: time.Minute, MeasuredRuntime: 4 * time.Minute, Need: cores(2), Peak: cores(3)})
	}
	runtime := c.estimator.runtime("x", "name", time.Minute)
	// The high estimate is 4 minutes, rounded by the histogram.
	const lowestMinutes, highestMinutes = 3.7, 4.3
	must.Between(t, lowestMinutes, runtime.high.Minutes(), highestMinutes)
	must.EqOp(t, cores(3), c.NeedOf(j))
	must.EqOp(t, cores(2), c.NeedOf(Job{Customer: "x", Name: "other", Need: cores(2)}))
	must.EqOp(t, cores(8), c.NeedOf(Job{Customer: "x", Name: "name", Need: cores(7)}))
	c.AddSample(Sample{Customer: "x", Name: "frugal", DeclaredRuntime: time.Minute, MeasuredRuntime: time.Minute, Need: cores(2), Peak: cores(1)})
	must.EqOp(t, cores(2), c.NeedOf(Job{Customer: "x", Name: "frugal", Need: cores(2)}))
}

// A customer with a long queue must not get more than one with a short queue.
func TestCustomersGetEqualShares(t *testing.T) {
	c := NewCluster(DefaultOptions())
	addWorkers(c, 1, cores(10), 1)
	c.Enqueue(newBatchJob("flood", "loud", 1000, cores(1), time.Minute, 8*time.Hour))
	c.Enqueue(newBatchJob("few", "quiet", 5, cores(1), time.Minute, 9*time.Hour))
	count := map[string]int{}
	for _, s := range c.Evaluate(start, maxDecisions).Starts {
		count[s.Job]++
	}
	must.Eq(t, map[string]int{"flood": 5, "few": 5}, count)
}

// Two customers have more queued than the workers can run. The resources that the
// customers get must be in the ratio of their weights, and equal with equal weights.
func TestSharesFollowCustomerWeights(t *testing.T) {
	const totalCores = 48
	for _, weights := range [][2]int{{1, 1}, {2, 1}, {3, 1}} {
		c := NewCluster(DefaultOptions())
		addWorkers(c, 4, cores(12), 2)
		c.SetWeight("a", weights[0])
		c.SetWeight("b", weights[1])
		c.Enqueue(newBatchJob("ja", "a", 100, cores(1), time.Minute, 10*time.Hour))
		c.Enqueue(newBatchJob("jb", "b", 100, cores(1), time.Minute, 10*time.Hour))
		started := map[string]int{}
		for _, s := range c.Evaluate(start, maxDecisions).Starts {
			started[s.Job]++
		}
		must.Eq(t, totalCores, started["ja"]+started["jb"])
		must.Eq(t, totalCores*weights[0]/(weights[0]+weights[1]), started["ja"], must.Sprint(weights))
	}
}
