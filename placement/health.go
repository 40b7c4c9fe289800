package placement

import "time"

const (
	// minSuspectWorkers is on how many workers a job must fail, without a success
	// anywhere, before the job itself is taken for the cause.
	minSuspectWorkers = 3
	// maxFailedJobs bounds what is kept of the failures of one worker.
	maxFailedJobs = 16
)

// health is what the recent starts on a worker showed.
type health struct {
	// failures counts the failed starts since the last success, by job.
	failures map[string]int
	// since is the time of the first of those failures.
	firstFailureAt time.Time
	quarantined    bool
	probeAt        time.Time
	backoff        time.Duration
	// quarantinedAt is when the worker was set aside.
	quarantinedAt time.Time
	// probing is true while a probe runs.
	probing bool
}

// ReportFailure records that a start of a job failed on a worker. A worker
// that fails whatever it starts is set aside; a job that fails wherever it is
// started does not count against workers.
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
	c.dropIdleJobRecord(job)
}

// ReportSuccess records that a task of a job succeeded on a worker, which takes
// the worker back into use. It may be called before or after Unplace. A task
// that was started before the worker began to fail says nothing of its state
// now: taking it for a sign of health would put a broken worker back to work
// each time that one of its older tasks ends.
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

// startOf is when a task of the job started on the worker: the one that ended
// last, or else the oldest that runs.
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

// Quarantined lists the workers that get no work but probes, by ID.
func (c *Cluster) Quarantined() []string {
	var ids []string
	for _, w := range c.byID {
		if w.health.quarantined {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

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

// blames says whether the failures since the last success are the worker's
// fault. One job alone can't convict a worker unless it succeeded elsewhere:
// otherwise a broken job would take worker after worker out of service.
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

// suspect says that the job and not its workers is the cause of its failures.
func (r *jobRecord) suspect() bool {
	return !r.succeeded && len(r.failedOn) >= minSuspectWorkers
}

// JobSuspect says whether a job failed on several workers and nowhere
// succeeded, so that more attempts are of no use.
func (c *Cluster) JobSuspect(job string) bool {
	r, found := c.jobs[job]
	return found && r.suspect()
}

// forgive takes the failures of a job that was itself at fault from workers.
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

func (c *Cluster) quarantine(w *worker, now time.Time) {
	c.free.remove(w)
	c.countCapacity(w, -1)
	w.health.quarantined = true
	w.health.quarantinedAt = now
	w.health.backoff = c.opts.ProbeBackoff
	w.health.probeAt = now.Add(w.health.backoff)
}

// postponeProbe doubles the pause after a failed probe. Failures of tasks that
// were started before the worker was set aside don't count as probes. Which it
// is goes by the start: the owner may have unplaced the probe already, and if
// that failure were not counted the next probe would follow at once.
func (c *Cluster) postponeProbe(w *worker, job string, now time.Time) {
	if w.startOf(job, now).Before(w.health.quarantinedAt) {
		return
	}
	w.health.probing = false
	w.health.backoff = min(2*w.health.backoff, c.opts.MaxProbeBackoff)
	w.health.probeAt = now.Add(w.health.backoff)
}
