package placement

import (
	"fmt"
	"time"
)

const (
	// minRetryAfter is the shortest retry delay that a refusal names. The bound
	// prevents refused callers from resending immediately.
	minRetryAfter = time.Second
	// minShareHorizon is the shortest period over which a customer's share of
	// the capacity is computed. Over a shorter one, a few jobs with close
	// deadlines would use up the share.
	minShareHorizon = time.Hour
	// noWorkersRetryAfter is the retry delay while no worker is announced:
	// about the time that workers take to find a new leader.
	noWorkersRetryAfter = 5 * time.Second
	// backlogRetryDivisor divides the time that the workers need for the queued CPU
	// demand. The quotient is the retry delay under a backlog.
	backlogRetryDivisor = 20
	// overrunWithoutCapacity is the assumed overrun if no capacity is left of the
	// resource that is short.
	overrunWithoutCapacity = time.Hour
)

// Admit decides whether a job can be accepted now. available is the rest of the
// customer's quota allotment; a negative field means unlimited.
//
// Without a limit (see SetLimit) the whole job must fit into available. A batch job
// of a customer with a limit only needs enough for one task, since Evaluate keeps
// the customer's running tasks within the limit.
func (c *Cluster) Admit(j Job, now time.Time, available Resources) AdmissionDecision {
	if c.opts.NoAdmission {
		return AdmissionDecision{Admitted: true, ExpectedStart: now}
	}
	checks := []func(*entry, time.Time, Resources) AdmissionDecision{
		c.admitSize,
		c.admitQuota,
		c.admitQueue,
		c.admitCustomerShare,
		c.admitDeadline,
	}
	e := c.newEntry(j)
	decision := AdmissionDecision{Admitted: true}
	for _, check := range checks {
		decision = check(e, now, available)
		if !decision.Admitted {
			return decision
		}
	}
	return decision
}

// refuse returns a refusal that names a reason, a retry delay (zero: never
// retry) and a formatted detail.
func refuse(r Reason, retry time.Duration, format string, args ...any) AdmissionDecision {
	return AdmissionDecision{Reason: r, RetryAfter: retry, Detail: fmt.Sprintf(format, args...)}
}

// admitSize refuses a job that all announced workers together could not run
// even if they were empty.
func (c *Cluster) admitSize(e *entry, _ time.Time, _ Resources) AdmissionDecision {
	announced, slots := 0, 0
	for _, w := range c.byID {
		if !w.announced {
			continue
		}
		announced++
		slots += w.Capacity.fitCount(e.need, e.job.Tasks)
	}
	if announced == 0 {
		return refuse(ReasonNoWorkers, noWorkersRetryAfter, "no worker has announced itself")
	}
	if slots == 0 {
		return refuse(ReasonTooLarge, 0, "a task needs %v and no worker has that much", e.need)
	}
	if e.job.Policy == Gang && slots < e.job.Tasks {
		return refuse(ReasonTooManyTasks, 0, "the gang needs %d tasks at once and all workers together can run %d", e.job.Tasks, slots)
	}
	return AdmissionDecision{Admitted: true}
}

// admitQuota refuses a job that exceeds the rest of the customer's quota
// allotment.
func (c *Cluster) admitQuota(e *entry, _ time.Time, available Resources) AdmissionDecision {
	tasks := int64(e.job.Tasks)
	if e.job.Policy == Batch && c.queue.customer(e.job.Customer).limited {
		tasks = 1
	}
	need := e.need.times(tasks)
	if withinLimit(need.CPU, available.CPU) && withinLimit(need.Memory, available.Memory) && withinLimit(need.Accelerators, available.Accelerators) {
		return AdmissionDecision{Admitted: true}
	}
	return refuse(ReasonQuota, c.backlogRetryAfter(), "the job needs %v and the customer's allotment has %v left", need, available)
}

// admitQueue refuses a job that exceeds the queue limit. Once several customers are
// known, it also limits each of them to its share of the queue.
func (c *Cluster) admitQueue(e *entry, _ time.Time, _ Resources) AdmissionDecision {
	if c.opts.MaxQueue <= 0 {
		return AdmissionDecision{Admitted: true}
	}
	limit := int(float64(c.opts.MaxQueue) * c.opts.MaxCustomerShare)
	if len(c.queue.customers) > 1 && e.customer.tasks+e.job.Tasks > limit {
		return refuse(ReasonQueueFull, c.backlogRetryAfter(), "%d tasks of the customer are queued and the limit is %d", e.customer.tasks, limit)
	}
	if c.queue.tasks+e.job.Tasks <= c.opts.MaxQueue {
		return AdmissionDecision{Admitted: true}
	}
	return refuse(ReasonQueueFull, c.backlogRetryAfter(), "%d tasks are queued and the limit is %d", c.queue.tasks, c.opts.MaxQueue)
}

// backlogRetryAfter is the retry delay under a backlog: the time in which the
// workers process about a twentieth of the queued CPU demand.
func (c *Cluster) backlogRetryAfter() time.Duration {
	seconds := 0.0
	supply := c.capacityRate()
	if supply.cpu > 0 {
		seconds = c.demand.total.cpu / supply.cpu / backlogRetryDivisor
	}
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}

// admitCustomerShare keeps one customer from taking all capacity up to its latest
// deadline. Accepted jobs are not cancelled in favour of others, so without this
// check a flood of jobs with late deadlines would cause refusals for all other
// customers. Services, urgent jobs and jobs without a deadline are not checked.
func (c *Cluster) admitCustomerShare(e *entry, now time.Time, _ Resources) AdmissionDecision {
	if len(c.queue.customers) < 2 || e.job.Deadline.IsZero() || e.job.Policy == Service || e.job.Urgent {
		return AdmissionDecision{Admitted: true}
	}
	horizon := laterOf(laterOf(e.job.Deadline, e.customer.horizon), now.Add(minShareHorizon))
	horizonSeconds := horizon.Sub(now).Seconds()
	shareRate := c.capacityRate().times(c.opts.Efficiency * c.opts.MaxCustomerShare)
	customerDemand := e.customer.queuedDemand.plus(e.expectedDemand())
	if !customerDemand.exceeds(shareRate.times(horizonSeconds), e.need) {
		return AdmissionDecision{Admitted: true}
	}
	retry := overrun(customerDemand, shareRate, e.need, horizonSeconds)
	return refuse(ReasonQueueFull, max(minRetryAfter, retry), "the customer's queued work exceeds its share of the workers until %s",
		horizon.UTC().Format(time.RFC3339))
}

// capacityRate is the capacity that tasks without an expected end do not use, in
// resource-seconds per second.
func (c *Cluster) capacityRate() resourceSeconds {
	return resourceSecondsOf(c.capacity.minus(c.unboundedUsage), 1)
}

// admitDeadline projects the use of the capacity into the future. For the job's own
// deadline and every later one, the accepted work due by then must fit into the
// capacity up to then, less what running tasks still use.
//
// The projection treats work as divisible and all workers as one. Its errors:
// deadlines are rounded down by up to 1/16 of their distance, free resources spread
// over several workers count as contiguous (Options.Efficiency makes up for this),
// and run times are mean estimates from the time of acceptance.
func (c *Cluster) admitDeadline(e *entry, now time.Time, _ Resources) AdmissionDecision {
	if e.job.Policy == Service {
		return c.admitService(e, now)
	}
	if e.job.Deadline.IsZero() {
		return AdmissionDecision{Admitted: true, ExpectedStart: c.expectedStart(e, now)}
	}
	if e.latestStart.Before(now) {
		return refuse(ReasonDeadline, 0, "a task takes about %v and the deadline is in %v",
			e.runtime.high.Round(time.Second), e.job.Deadline.Sub(now).Round(time.Second))
	}
	if lateBy, deadline := c.firstDeadlineOverrun(e, now); lateBy > 0 {
		return refuse(ReasonDeadline, max(minRetryAfter, lateBy), "accepted work occupies the workers until %v after the deadline at %s",
			lateBy.Round(time.Second), deadline.UTC().Format(time.RFC3339))
	}
	return AdmissionDecision{Admitted: true, ExpectedStart: c.expectedStart(e, now)}
}

// admitService refuses a service that does not fit in addition to the running and
// queued services.
func (c *Cluster) admitService(e *entry, now time.Time) AdmissionDecision {
	need := c.unboundedUsage.plus(c.queue.serviceNeed).plus(e.need.times(int64(e.job.Tasks)))
	if need.within(c.capacity) {
		return AdmissionDecision{Admitted: true, ExpectedStart: c.expectedStart(e, now)}
	}
	return refuse(ReasonTooManyTasks, c.backlogRetryAfter(), "services would need %v and all workers together have %v", need, c.capacity)
}

// firstDeadlineOverrun returns the first deadline that would be missed if the
// entry were accepted, and by how much; zero if none is missed.
func (c *Cluster) firstDeadlineOverrun(e *entry, now time.Time) (time.Duration, time.Time) {
	// The overhead applies to queued work only: running tasks have their
	// resources, while queued tasks will lose some capacity to fragmentation.
	overhead := 1 / c.opts.Efficiency
	p := projection{
		rate:         c.capacityRate(),
		now:          now,
		need:         e.need,
		newJobDemand: e.expectedDemand().times(overhead),
	}
	horizon := e.job.Deadline.Sub(now).Seconds()
	totalDemand := c.demand.total.times(overhead).plus(p.newJobDemand).plus(c.running.upperBound(now))
	if !totalDemand.exceeds(p.rate.times(horizon), e.need) {
		return 0, time.Time{}
	}
	return p.checkDeadlines(c, bucketOf(e.job.Deadline, now), overhead)
}

// projection compares the accumulated demand with the capacity, one deadline
// after the other.
type projection struct {
	// rate is the capacity per second for work that has an expected end.
	rate resourceSeconds
	now  time.Time
	// need is the need of one task of the new job. Only the resources that it
	// contains are compared.
	need         Resources
	newJobDemand resourceSeconds
	// queuedDemand is the demand of the queued entries with deadlines up to the
	// one being checked.
	queuedDemand resourceSeconds
	// runningIterator computes the work that running tasks still do up to a deadline.
	runningIterator *profileIterator
	// lateBy is how long after missedDeadline, the first deadline by which the
	// work does not fit, that work would be done; zero if all work fits.
	lateBy         time.Duration
	missedDeadline time.Time
}

// checkDeadlines checks the deadline of the new job, whose bucket is key, and all
// later ones. Earlier deadlines are not affected, since work that is due earlier
// runs first.
func (p *projection) checkDeadlines(c *Cluster, key int64, overhead float64) (time.Duration, time.Time) {
	p.runningIterator = c.running.iterator(p.now)
	checked := false
	c.demand.buckets.Scan(func(bucketKey int64, bucket *demandBucket) bool {
		if !checked && bucketKey > key {
			checked = true
			if !p.fitsBefore(key) {
				return false
			}
		}
		p.queuedDemand = p.queuedDemand.plus(bucket.demand.times(overhead))
		return bucketKey < key || p.fitsBefore(bucketKey)
	})
	if !checked && p.lateBy == 0 {
		p.fitsBefore(key)
	}
	return p.lateBy, p.missedDeadline
}

// fitsBefore reports whether all work due by the deadline (Unix seconds) fits into
// the capacity up to then. If not, it sets missedDeadline and lateBy.
func (p *projection) fitsBefore(deadline int64) bool {
	seconds := float64(deadline) - float64(p.now.UnixMilli())/1000
	if seconds <= 0 {
		return true
	}
	needed := p.queuedDemand.plus(p.newJobDemand).plus(p.runningIterator.workUntil(seconds))
	if !needed.exceeds(p.rate.times(seconds), p.need) {
		return true
	}
	p.missedDeadline = time.Unix(deadline, 0)
	p.lateBy = overrun(needed, p.rate, p.need, seconds)
	return false
}

// overrun returns how long after the deadline, which is seconds away, the
// needed work would be done. It compares only resources that need contains and that
// have capacity left. If all work on these is done by the deadline, a resource without
// capacity is short, and it returns overrunWithoutCapacity.
func overrun(needed, rate resourceSeconds, need Resources, seconds float64) time.Duration {
	longest := 0.0
	if need.CPU > 0 && rate.cpu > 0 {
		longest = max(longest, needed.cpu/rate.cpu)
	}
	if need.Memory > 0 && rate.memory > 0 {
		longest = max(longest, needed.memory/rate.memory)
	}
	if need.Accelerators > 0 && rate.accelerators > 0 {
		longest = max(longest, needed.accelerators/rate.accelerators)
	}
	if longest <= seconds {
		return overrunWithoutCapacity
	}
	return time.Duration((longest - seconds) * float64(time.Second))
}

// expectedStart estimates when the entry starts: when the CPU and memory demand of
// the queued work with the same or an earlier deadline is served. An entry without
// a deadline starts after all queued work that has one. The estimate is now if the
// queue is empty or no CPU capacity is left.
func (c *Cluster) expectedStart(e *entry, now time.Time) time.Time {
	rate := c.capacityRate()
	if rate.cpu <= 0 || c.queue.tasks == 0 {
		return now
	}
	ahead := resourceSeconds{}
	limit := e.job.Deadline.Unix()
	c.demand.buckets.Scan(func(key int64, bucket *demandBucket) bool {
		if !e.job.Deadline.IsZero() && key > limit {
			return false
		}
		ahead = ahead.plus(bucket.demand)
		return true
	})
	seconds := max(ahead.cpu/rate.cpu, 0)
	if rate.memory > 0 {
		seconds = max(seconds, ahead.memory/rate.memory)
	}
	return now.Add(time.Duration(seconds * float64(time.Second)))
}
