package control

import (
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// quarantineAfter is how many consecutive runs of different jobs must fail before the
	// worker is quarantined. A job that always fails counts once.
	quarantineAfter = 3
	// quarantineFor is how long a quarantined worker gets no task.
	quarantineFor = 4 * time.Second
	// stallTimeout is the time after which a worker counts as stalled if none of its runs has
	// advanced by a percent. The longest tasks take 16 s, so they advance by a percent in
	// 0.16 s.
	stallTimeout = 700 * time.Millisecond
	// stalledPollHold is the longest hold of a poll of a stalled worker. The hold is short
	// because the next report shows whether a run advances again.
	stalledPollHold = 300 * time.Millisecond
	// stalledRunTimeout is how long a run may make no progress, or be paused, before it is
	// stopped and started elsewhere: longer than a short pause of a worker, shorter than
	// most tasks.
	stalledRunTimeout = 3 * time.Second
	// slowFactor is the multiple of the mean pace of all workers above which a worker
	// counts as slow. The pace is the run time divided by its estimate, which is off by
	// up to half.
	slowFactor = 2.5
	// slowSamples is the number of runs that a worker must have finished before it can count
	// as slow.
	slowSamples = 3
	// workerPaceWeight and overallPaceWeight are the weights of the latest run in the
	// moving means of one worker and of all workers.
	workerPaceWeight  = 0.3
	overallPaceWeight = 0.02
)

// recordHealth updates the worker's failure count and pace from the end of a run. t.mu
// must be held.
func (s *workerSession) recordHealth(end workflow.RunEnd, now time.Time) {
	switch end.Outcome {
	case workflow.OutcomeDone:
		s.failures, s.failedJob = 0, ""
		s.recordPace(end, now)
	case workflow.OutcomeFailed:
		s.recordFailure(end, now)
	}
}

// recordFailure counts a failed run, unless the last failed run belonged to the same job,
// and quarantines the worker once quarantineAfter consecutive failures are counted. t.mu
// must be held.
func (s *workerSession) recordFailure(end workflow.RunEnd, now time.Time) {
	if end.Task.Job == s.failedJob {
		return
	}
	s.failures++
	s.failedJob = end.Task.Job
	if s.failures >= quarantineAfter {
		s.quarantinedUntil = now.Add(quarantineFor)
		s.t.logger.Log("event", "quarantine", "worker", s.worker.ID, "failures", s.failures)
	}
}

// recordPace adds a finished run to the moving means of run time divided by estimate. It
// ignores runs that resumed from a checkpoint. t.mu must be held.
func (s *workerSession) recordPace(end workflow.RunEnd, now time.Time) {
	o := s.orders[end.Task]
	if o == nil || o.run.Number != end.Number || o.startedAt.IsZero() || o.estimate <= 0 || o.resumed {
		return
	}
	ratio := float64(now.Sub(o.startedAt)) / float64(o.estimate)
	wasSlow := s.isSlow()
	s.pace.add(ratio, workerPaceWeight)
	s.t.pace.add(ratio, overallPaceWeight)
	if slow := s.isSlow(); slow != wasSlow {
		s.t.logger.Log("event", "worker_pace", "worker", s.worker.ID, "slow", slow, "pace", s.pace.mean, "all", s.t.pace.mean)
	}
}

// penalty returns the number of the worker's consecutive failures. Decisions prefer
// workers with a lower penalty. t.mu must be held.
func (s *workerSession) penalty() int {
	if s.t.disabled.Health {
		return 0
	}
	return s.failures
}

// isSlow reports whether the worker's runs take much longer than those of other workers.
// t.mu must be held.
func (s *workerSession) isSlow() bool {
	return s.pace.samples >= slowSamples && s.pace.mean > slowFactor*s.t.pace.mean
}

// isStalled reports whether the worker responds but none of its runs advances: its last
// report shows the same percentages as one that is older by stallTimeout. The times of
// the reports count, not the current time, because progress between two reports isn't
// visible. t.mu must be held.
func (s *workerSession) isStalled() bool {
	return s.hasLiveRuns && s.respondedAt.Sub(s.advancedAt) > stallTimeout
}

// recordAdvance records whether a report showed progress. t.mu must be held.
func (s *workerSession) recordAdvance(report Report, advanced bool, now time.Time) {
	s.hasLiveRuns = len(report.Running) > 0
	if advanced || len(report.Ended) > 0 || !s.hasLiveRuns {
		s.advancedAt = now
	}
}

// recordProgress records the reported progress of a run, and reports whether the run has
// advanced. t.mu must be held.
func (o *runOrder) recordProgress(percent int, now time.Time) bool {
	advanced := !o.listed || percent > o.percent
	if advanced {
		o.advancedAt = now
	}
	if !o.listed {
		o.firstPercent, o.firstListedAt = percent, now
	}
	o.listed = true
	o.percent, o.progressAt = percent, now
	return advanced
}

// isStalledTooLong reports whether a run has made no progress for so long that it should
// be restarted elsewhere. Runs of a gang are exempt, because a gang can only move as a
// whole. t.mu must be held.
func (o *runOrder) isStalledTooLong(step *workflow.Step) bool {
	return o.listed && !step.Gang && !step.LongRunning && o.share != 0 && o.progressAt.Sub(o.advancedAt) > stalledRunTimeout
}
