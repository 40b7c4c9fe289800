package placement

import "time"

const (
	// minSuspectWorkers is the number of workers on which a job must fail,
	// without succeeding anywhere, before the job itself counts as the cause.
	minSuspectWorkers = 3
	// maxFailedJobs bounds the jobs in the failure record of one worker.
	maxFailedJobs = 16
)

// health is the failure record of a worker.
type health struct {
	// failures counts the failed attempts since the last success, by job ID.
	failures map[string]int
	// firstFailureAt is the time of the first failure since the last success.
	firstFailureAt time.Time
	quarantined    bool
	// probeAt is the earliest time of the next probe, and backoff the current
	// delay between probes.
	probeAt time.Time
	backoff time.Duration
	// quarantinedAt is when the worker was quarantined.
	quarantinedAt time.Time
	// probing is set while a probe runs.
	probing bool
}

// ReportFailure records that a job failed to run on a worker. A worker on which
// different jobs fail is quarantined. The failures of a job that failed on several
// workers and succeeded on none (see JobSuspect) do not count against the workers.
func (c *Cluster) ReportFailure(workerID, job string, now time.Time) {
	w, found := c.workers[workerID]
	if !found || c.opts.NoQuarantine {
		return
	}
	r := c.jobRecordFor(job)
	if r.failedOn == nil {
		r.failedOn = map[string]bool{}
	}
	r.failedOn[workerID] = true
	c.countFailure(w, job, now)
	if w.health.quarantined {
		c.postponeProbe(w, job, now)
	} else if c.workerAtFault(w) {
		c.quarantine(w, now)
	}
	c.removeIdleJobRecord(job)
}

// ReportSuccess records that a task succeeded on a worker and ends the worker's
// quarantine. It may be called before or after Unplace. The success of a task that
// started before the first failure is ignored: it does not show that the worker can
// start tasks now, and a broken worker would otherwise return to service each time
// one of its older tasks ends.
func (c *Cluster) ReportSuccess(workerID, job string, now time.Time) {
	if r, found := c.jobs[job]; found {
		r.succeeded = true
	}
	w, found := c.workers[workerID]
	if !found {
		return
	}
	if w.startOf(job, now).Before(w.health.firstFailureAt) {
		return
	}
	w.health.failures = nil
	w.health.firstFailureAt = time.Time{}
	if !w.health.quarantined {
		return
	}
	w.health = health{}
	c.countCapacity(w, 1)
	c.free.add(w)
	if w.schedulable() {
		c.queue.unblock(w.free)
	}
}

// startOf returns when a task of the job started on the worker: the task that
// ended last if it belongs to the job, otherwise the oldest running one,
// otherwise now.
func (w *worker) startOf(job string, now time.Time) time.Time {
	if w.lastEnded.Job == job {
		return w.lastEnded.Started
	}
	first := now
	for _, t := range w.tasks {
		if t.Job == job && t.Started.Before(first) {
			first = t.Started
		}
	}
	return first
}

// Quarantined returns the IDs of the workers that get only probes, sorted.
func (c *Cluster) Quarantined() []string {
	var ids []string
	for _, w := range c.byID {
		if w.health.quarantined {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// countFailure adds a failure of the job to the worker's failure record, unless the
// record already holds maxFailedJobs other jobs.
func (c *Cluster) countFailure(w *worker, job string, now time.Time) {
	if len(w.health.failures) == 0 {
		w.health.failures = map[string]int{}
		w.health.firstFailureAt = now
	}
	if _, found := w.health.failures[job]; !found && len(w.health.failures) >= maxFailedJobs {
		return
	}
	w.health.failures[job]++
}

// workerAtFault reports whether the failures since the last success are the
// worker's fault. They must come from several jobs, or from one that succeeded
// elsewhere. Otherwise a single broken job would quarantine one worker after
// the other.
func (c *Cluster) workerAtFault(w *worker) bool {
	failures, jobs, succeededElsewhere := 0, 0, false
	for job, n := range w.health.failures {
		r, found := c.jobs[job]
		if found && r.suspect() {
			continue
		}
		failures += n
		jobs++
		succeededElsewhere = succeededElsewhere || found && r.succeeded
	}
	return failures >= c.opts.FailuresBeforeQuarantine && (jobs > 1 || succeededElsewhere)
}

// suspect reports whether the job, and not its workers, probably causes its
// failures.
func (r *jobRecord) suspect() bool {
	return !r.succeeded && len(r.failedOn) >= minSuspectWorkers
}

// JobSuspect reports whether a job failed on several workers and succeeded on
// none, so that more attempts are useless.
func (c *Cluster) JobSuspect(job string) bool {
	r, found := c.jobs[job]
	return found && r.suspect()
}

// discountFailures removes the failures of a suspect job from the failure records
// of the workers.
func (c *Cluster) discountFailures(job string, r *jobRecord) {
	if !r.suspect() {
		return
	}
	for id := range r.failedOn {
		if w, found := c.workers[id]; found {
			delete(w.health.failures, job)
		}
	}
}

// quarantine takes a worker out of placement until a probe succeeds.
func (c *Cluster) quarantine(w *worker, now time.Time) {
	c.free.remove(w)
	c.countCapacity(w, -1)
	w.health.quarantined = true
	w.health.quarantinedAt = now
	w.health.backoff = c.opts.ProbeBackoff
	w.health.probeAt = now.Add(w.health.backoff)
}

// postponeProbe doubles the backoff after a failed probe. Failures of tasks that
// started before the quarantine are not probes. The start time of the task decides,
// not the field probing, which Unplace may clear: a caller may unplace the probe
// before it reports the failure, and if that failure did not count, the next probe
// would follow immediately.
func (c *Cluster) postponeProbe(w *worker, job string, now time.Time) {
	if w.startOf(job, now).Before(w.health.quarantinedAt) {
		return
	}
	w.health.probing = false
	w.health.backoff = min(2*w.health.backoff, c.opts.MaxProbeBackoff)
	w.health.probeAt = now.Add(w.health.backoff)
}
