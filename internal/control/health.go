package control

import (
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// quarantineAfter is how many runs of different jobs must fail in a row before
	// a worker is set aside; a job that always fails doesn't count twice.
	quarantineAfter = 3
	// quarantineFor is how long it is then given nothing.
	quarantineFor = 4 * time.Second
	// stallTimeout is how long no run of a worker may advance by a percent before it
	// counts as standing still. The longest tasks take 16 s, a percent 0.16 s.
	stallTimeout = 700 * time.Millisecond
	// stalledPollHold holds a look at such a worker: it shows whether a run advances.
	stalledPollHold = 300 * time.Millisecond
	// stalledRunTimeout is how long a run may stand still before it is stopped and started
	// elsewhere: longer than a worker's short pause, shorter than most tasks.
	stalledRunTimeout = 3 * time.Second
	// slowFactor is how much longer than others a worker's runs must take, against
	// their estimates, for it to count as slow. Estimates are off by up to half.
	slowFactor = 2.5
	// slowSamples is how many runs are needed for that.
	slowSamples = 3
	// Weights of the latest run in the moving means of one worker and of all.
	workerPaceWeight  = 0.3
	overallPaceWeight = 0.02
)

// recordHealth takes in what an end says of the worker. t.mu is held.
func (s *workerSession) recordHealth(end workflow.RunEnd, now time.Time) {
	switch end.Outcome {
	case workflow.OutcomeDone:
		s.failures, s.failedJob = 0, ""
		s.recordPace(end, now)
	case workflow.OutcomeFailed:
		s.recordFailure(end, now)
	}
}

// recordFailure sets a worker aside that fails whatever it is given.
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

// penalty is how far decisions set the worker back. t.mu is held.
func (s *workerSession) penalty() int {
	if s.t.disabled.Health {
		return 0
	}
	return s.failures
}

// slow reports whether the worker's runs take much longer than those of others.
func (s *workerSession) isSlow() bool {
	return s.pace.samples >= slowSamples && s.pace.mean > slowFactor*s.t.pace.mean
}

// still reports whether the worker answers but none of its runs advances: its
// last report showed the same percentages as one that is stallTimeout older. The
// time of the reports counts, not the present: between two looks nothing can be
// seen to advance. t.mu is held.
func (s *workerSession) isStalled() bool {
	return s.busy && s.answeredAt.Sub(s.advancedAt) > stallTimeout
}

// recordAdvance takes in whether a report showed that something goes on. t.mu is held.
func (s *workerSession) recordAdvance(report Report, advanced bool, now time.Time) {
	s.busy = len(report.Running) > 0
	if advanced || len(report.Ended) > 0 || !s.busy {
		s.advancedAt = now
	}
}

// recordProgress takes in how far a run is, and reports whether it has advanced.
// t.mu is held.
func (o *runOrder) recordProgress(percent int, now time.Time) bool {
	advanced := !o.listed || percent > o.percent
	if advanced {
		o.advancedAt = now
	}
	if !o.listed {
		o.firstPercent, o.firstAt = percent, now
	}
	o.listed = true
	o.percent, o.progressAt = percent, now
	return advanced
}

// stuck reports whether a run stands still for so long that it is better begun
// again elsewhere. A gang's run moves as a whole only and is left alone.
func (o *runOrder) isStalledTooLong(step *workflow.Step) bool {
	return o.listed && !step.Gang && !step.LongRunning && o.share != 0 && o.progressAt.Sub(o.advancedAt) > stalledRunTimeout
}
