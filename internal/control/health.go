package control

import (
	"time"

	"github.com/bilberryferry/bilberryferry/speed"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// quarantineAfter is how many consecutive runs of different jobs must fail before the
	// worker is quarantined. A job that always fails counts once.
	quarantineAfter = 3
	// quarantineFor is how long a quarantined worker gets no task.
	quarantineFor = 4 * time.Second
	// stallTimeout is the time after which a worker counts as stalled if it has runs that can
	// advance and none has advanced by a percent. The longest tasks take 16 s, so they advance by
	// a percent in 0.16 s.
	stallTimeout = 700 * time.Millisecond
	// stalledPollHold is the longest hold of a poll of a stalled worker. The hold is short
	// because the next report shows whether a run advances again.
	stalledPollHold = 300 * time.Millisecond
	// stalledRunTimeout is how long a run may make no progress, or be paused, before it is
	// stopped and started elsewhere: longer than a short pause of a worker, shorter than
	// most tasks.
	stalledRunTimeout = 3 * time.Second
	// overallPaceWeight is the weight of the latest run in the moving mean of run time by
	// estimate.
	overallPaceWeight = 0.02
	// maxReportGap is the longest time without a poll before a report whose ends still count as
	// reported when they happened: twice the pause between two polls.
	maxReportGap = 2 * pollPauseAfterEnds
)

// recordHealth updates the worker's failure count and speed from the end of a run. t.mu
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

// recordPace adds a finished run to the mean of run time by estimate and to the speeds. The run
// time lasts from the response to the start until the report of the end. t.mu must be held.
//
// It ignores runs that resumed from a checkpoint and ends that were reported before. The speeds
// also leave out long-running tasks, ends that may have happened long before the report, and runs
// whose duration depends on other runs. Those are runs on spare CPU and gangs: a gang ends when one
// member is done, so the durations of its members are equal and say nothing about the workers.
func (s *workerSession) recordPace(end workflow.RunEnd, now time.Time) {
	o := s.orders[end.Task]
	if o == nil || o.run.Number != end.Number || o.startedAt.IsZero() || o.resumed || s.isEndKnown(o.run) {
		return
	}
	duration := now.Sub(o.startedAt)
	if o.estimate > 0 {
		s.t.pace.add(float64(duration)/float64(o.estimate), overallPaceWeight)
	}
	if !o.gang && !o.usesSpareCPU && !o.longRunning && !s.endsDelayed {
		s.t.learnerOf(s.worker.Service).Done(end.Task.StepKey, s.worker.ID, duration)
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

// speedClass says whether the worker's runs take much longer or shorter than those of the same steps on
// other workers. t.mu must be held.
func (s *workerSession) speedClass() speed.Class {
	if s.t.disabled.Health {
		return speed.Ordinary
	}
	return s.speed.Class
}

// isVerySlow reports whether the worker is so slow that it gets one run at a time, which shows
// whether it still is. t.mu must be held.
func (s *workerSession) isVerySlow() bool { return s.speed.VerySlow }

// isStalled reports whether the worker responds but none of its runs advances although at
// least one could: its last report shows the same percentages as one that is older by
// stallTimeout. The times of the reports count, not the current time, because progress
// between two reports isn't visible. t.mu must be held.
func (s *workerSession) isStalled() bool {
	return s.canAdvance && s.respondedAt.Sub(s.advancedAt) > stallTimeout
}

// recordAdvance records whether a report showed progress, and whether it listed a run that
// can advance. t.mu must be held.
func (s *workerSession) recordAdvance(report Report, canAdvance, advanced bool, now time.Time) {
	s.canAdvance = canAdvance
	if advanced || len(report.Ended) > 0 || !canAdvance {
		s.advancedAt = now
	}
}

// canAdvance reports whether the percentage of a listed run can still increase. That of a
// long-running task stays at completePercent while the task is at work, and that of a paused
// run stays where it is; neither says anything about the worker. t.mu must be held.
func (o *runOrder) canAdvance() bool { return o.percent < completePercent && o.share != 0 }

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
