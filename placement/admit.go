package placement

import (
	"fmt"
	"time"
)

const (
	// minRetryAfter keeps refused callers from asking again at once.
	minRetryAfter = time.Second
	// minShareHorizon is the least time over which the part of a customer is
	// taken, so that a few jobs with close deadlines never fill it.
	minShareHorizon = time.Hour
	// noWorkersRetryAfter is about the time that workers take to find a new leader.
	noWorkersRetryAfter = 5 * time.Second
)

// Admit says whether a job can be accepted now. avail is what the customer may
// still use of its allotment; a negative field is unlimited. A customer with a
// limit (see SetLimit) needs room for one batch task only, since Evaluate
// holds its running work to the limit; without one the whole job must fit.
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
	v := AdmissionDecision{Admitted: true}
	for _, check := range checks {
		v = check(e, now, available)
		if !v.Admitted {
			return v
		}
	}
	return v
}

func refuse(r Reason, retry time.Duration, format string, args ...any) AdmissionDecision {
	return AdmissionDecision{Reason: r, RetryAfter: retry, Detail: fmt.Sprintf(format, args...)}
}

// admitSize refuses what no set of known workers could ever hold.
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
		return refuse(ReasonTooMany, 0, "the job needs %d tasks at once and all workers together hold %d", e.job.Tasks, slots)
	}
	return AdmissionDecision{Admitted: true}
}

func (c *Cluster) admitQuota(e *entry, _ time.Time, available Resources) AdmissionDecision {
	tasks := int64(e.job.Tasks)
	if e.job.Policy == Batch && c.queue.customer(e.job.Customer).limited {
		tasks = 1
	}
	need := e.need.times(tasks)
	if withinLimit(need.CPU, available.CPU) && withinLimit(need.Memory, available.Memory) && withinLimit(need.Accelerators, available.Accelerators) {
		return AdmissionDecision{Admitted: true}
	}
	return refuse(ReasonQuota, c.backlogRetryAfter(), "the job needs %v of the allotment and %v are left", need, available)
}

func (c *Cluster) admitQueue(e *entry, _ time.Time, _ Resources) AdmissionDecision {
	if c.opts.MaxQueue <= 0 {
		return AdmissionDecision{Admitted: true}
	}
	limit := int(float64(c.opts.MaxQueue) * c.opts.MaxCustomerShare)
	if len(c.queue.customers) > 1 && e.account.tasks+e.job.Tasks > limit {
		return refuse(ReasonQueueFull, c.backlogRetryAfter(), "%d tasks of the customer wait and %d may", e.account.tasks, limit)
	}
	if c.queue.tasks+e.job.Tasks <= c.opts.MaxQueue {
		return AdmissionDecision{Admitted: true}
	}
	return refuse(ReasonQueueFull, c.backlogRetryAfter(), "%d tasks wait and %d may", c.queue.tasks, c.opts.MaxQueue)
}

// backlogRetryAfter is about how long a twentieth of the queue takes.
func (c *Cluster) backlogRetryAfter() time.Duration {
	seconds := 0.0
	supply := c.capacityRate()
	if supply.cpu > 0 {
		seconds = c.demand.total.cpu / supply.cpu / 20
	}
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}

// admitCustomerShare keeps one customer from booking all the time that is left until its
// deadlines. Work that is accepted is not given up for others, so without this
// check a flood with late deadlines would have all other customers refused.
func (c *Cluster) admitCustomerShare(e *entry, now time.Time, _ Resources) AdmissionDecision {
	if len(c.queue.customers) < 2 || e.job.Deadline.IsZero() || e.job.Policy == Service || e.job.Urgent {
		return AdmissionDecision{Admitted: true}
	}
	horizon := laterOf(laterOf(e.job.Deadline, e.account.horizon), now.Add(minShareHorizon))
	horizonSeconds := horizon.Sub(now).Seconds()
	shareRate := c.capacityRate().times(c.opts.Efficiency * c.opts.MaxCustomerShare)
	booked := e.account.queuedDemand.plus(e.expectedDemand())
	if !booked.exceeds(shareRate.times(horizonSeconds), e.need) {
		return AdmissionDecision{Admitted: true}
	}
	retry := overrun(booked, shareRate, e.need, horizonSeconds)
	return refuse(ReasonQueueFull, max(minRetryAfter, retry), "the customer's waiting work takes more than its part of the workers until %s",
		horizon.UTC().Format(time.RFC3339))
}

// capacityRate is the capacity per second that tasks with an end can have.
func (c *Cluster) capacityRate() resourceSeconds {
	return resourceSecondsOf(c.capacity.minus(c.unboundedUsage), 1)
}

// admitDeadline projects the capacity forward. For every deadline from the
// job's own on, the accepted work that must be done by then has to fit into
// what the workers give until then, less what running tasks still take.
//
// The projection treats work as divisible and the workers as one. Its errors:
// deadlines are rounded down by up to 1/32 of their distance, room that is
// split over workers is counted as whole (Options.Efficiency covers it), and
// run times are means by the time of acceptance.
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
		return refuse(ReasonDeadline, max(minRetryAfter, lateBy), "accepted work takes the workers until %v later than the deadline at %s allows",
			lateBy.Round(time.Second), deadline.UTC().Format(time.RFC3339))
	}
	return AdmissionDecision{Admitted: true, ExpectedStart: c.expectedStart(e, now)}
}

// admitService checks that the service finds room beside other services.
func (c *Cluster) admitService(e *entry, now time.Time) AdmissionDecision {
	need := c.unboundedUsage.plus(c.queue.serviceNeed).plus(e.need.times(int64(e.job.Tasks)))
	if need.within(c.capacity) {
		return AdmissionDecision{Admitted: true, ExpectedStart: c.expectedStart(e, now)}
	}
	return refuse(ReasonTooMany, c.backlogRetryAfter(), "services would need %v and all workers together have %v", need, c.capacity)
}

// firstDeadlineOverrun returns by how much the first deadline that can't be kept
// would be overrun, and which deadline that is.
func (c *Cluster) firstDeadlineOverrun(e *entry, now time.Time) (time.Duration, time.Time) {
	// What runs was fitted in already; what waits will lose some room to
	// fragmentation.
	overhead := 1 / c.opts.Efficiency
	p := projection{
		rate:         c.capacityRate(),
		now:          now,
		need:         e.need,
		newJobDemand: e.expectedDemand().times(overhead),
	}
	horizon := e.job.Deadline.Sub(now).Seconds()
	all := c.demand.total.times(overhead).plus(p.newJobDemand).plus(c.running.upperBound(now))
	if !all.exceeds(p.rate.times(horizon), e.need) {
		return 0, time.Time{}
	}
	return p.checkDeadlines(c, bucketOf(e.job.Deadline, now), overhead)
}

// projection checks one deadline after the other against the capacity.
type projection struct {
	rate         resourceSeconds
	now          time.Time
	need         Resources
	newJobDemand resourceSeconds
	// waiting is the work of the queue with deadlines so far.
	queuedDemand   resourceSeconds
	runningWalk    *profileWalk
	lateBy         time.Duration
	missedDeadline time.Time
}

// walk checks the deadline of the new job, in the slice key, and all later
// ones; work that must end earlier is not moved by it.
func (p *projection) checkDeadlines(c *Cluster, key int64, overhead float64) (time.Duration, time.Time) {
	p.runningWalk = c.running.walk(p.now)
	checked := false
	c.demand.buckets.Scan(func(bucketKey int64, s *demandBucket) bool {
		if !checked && bucketKey > key {
			checked = true
			if !p.fitsBefore(key) {
				return false
			}
		}
		p.queuedDemand = p.queuedDemand.plus(s.demand.times(overhead))
		return bucketKey < key || p.fitsBefore(bucketKey)
	})
	if !checked && p.lateBy == 0 {
		p.fitsBefore(key)
	}
	return p.lateBy, p.missedDeadline
}

// holds says whether all work with deadlines until then fits.
func (p *projection) fitsBefore(deadline int64) bool {
	seconds := float64(deadline) - float64(p.now.UnixMilli())/1000
	if seconds <= 0 {
		return true
	}
	needed := p.queuedDemand.plus(p.newJobDemand).plus(p.runningWalk.until(seconds))
	if !needed.exceeds(p.rate.times(seconds), p.need) {
		return true
	}
	p.missedDeadline = time.Unix(deadline, 0)
	p.lateBy = overrun(needed, p.rate, p.need, seconds)
	return false
}

// overrun is how long after the deadline the work would be done.
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
		return time.Hour
	}
	return time.Duration((longest - seconds) * float64(time.Second))
}

// expectedStart is now when a task fits beside an empty queue, and otherwise
// when the work ahead of the entry is done.
func (c *Cluster) expectedStart(e *entry, now time.Time) time.Time {
	rate := c.capacityRate()
	if rate.cpu <= 0 || c.queue.tasks == 0 {
		return now
	}
	ahead := resourceSeconds{}
	limit := e.job.Deadline.Unix()
	c.demand.buckets.Scan(func(k int64, s *demandBucket) bool {
		if !e.job.Deadline.IsZero() && k > limit {
			return false
		}
		ahead = ahead.plus(s.demand)
		return true
	})
	seconds := max(ahead.cpu/rate.cpu, 0)
	if rate.memory > 0 {
		seconds = max(seconds, ahead.memory/rate.memory)
	}
	return now.Add(time.Duration(seconds * float64(time.Second)))
}
