package control

import (
	"context"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// fullShare is the CPU share, in percent, of a task that isn't throttled.
	fullShare = 100
	// initialShare is the CPU share, in percent, of tasks on spare CPU on a worker with
	// serving tasks until a report shows the latency of the serving tasks.
	initialShare = 30
	// minShare is the lowest useful CPU share, in percent; below it tasks are paused.
	minShare = 5
	// shareIncrement is the number of percentage points by which the share rises at a time
	// while latency is low.
	shareIncrement = 10
	// highLatencyRatio and lowLatencyRatio are thresholds of the latency divided by its
	// objective. Above highLatencyRatio the share is halved, above 1 it is divided by
	// missedObjectiveDivisor, below lowLatencyRatio it rises. Latency must not exceed its
	// objective for several seconds in a row; from a share of 30 % it takes two changes to
	// pause.
	highLatencyRatio = 0.9
	lowLatencyRatio  = 0.7
	// missedObjectiveDivisor divides the share while the latency exceeds its objective.
	missedObjectiveDivisor = 4
	// throttleInterval is the minimum time between two changes of the share. The latencies
	// that a worker reports cover half a second, and a change takes effect within a tenth of
	// a second.
	throttleInterval = 700 * time.Millisecond
	// throttledPollHold is the longest hold of a poll of a worker with throttled tasks.
	throttledPollHold = 300 * time.Millisecond
)

// throttle controls the CPU share of one worker's tasks on spare CPU: time that its other
// tasks leave idle. All of them get the same share, since it isn't known which of them
// slows the serving tasks down.
type throttle struct {
	// share is the CPU share in percent.
	share     int
	changedAt time.Time
	// serving and spare say whether the last report listed tasks with a latency objective
	// and tasks on spare CPU.
	serving, spare bool
}

// active reports whether the worker runs both kinds of tasks and has to be polled often.
func (t *throttle) active() bool { return t.serving && t.spare }

// nextShare returns the share after a report, in percent. ratio is the highest latency of
// the serving tasks divided by its objective.
func (t *throttle) nextShare(ratio float64, now time.Time) int {
	switch {
	case !t.active():
		return fullShare
	case t.share == fullShare && t.changedAt.IsZero():
		return initialShare
	case now.Sub(t.changedAt) < throttleInterval:
		return t.share
	case ratio > 1:
		return pauseBelowMin(t.share / missedObjectiveDivisor)
	case ratio > highLatencyRatio:
		return pauseBelowMin(t.share / 2)
	case ratio < lowLatencyRatio:
		return min(t.share+shareIncrement, fullShare)
	}
	return t.share
}

// pauseBelowMin returns share, or 0 to pause the tasks if share is below minShare.
func pauseBelowMin(share int) int {
	if share < minShare {
		return 0
	}
	return share
}

// beginSpare records that a task on spare CPU starts on a worker with serving tasks. The
// first such task gets initialShare.
func (t *throttle) beginSpare(now time.Time) {
	if !t.spare {
		t.spare, t.share, t.changedAt = true, initialShare, now
	}
}

// updateThrottle adjusts the CPU share of the tasks on spare CPU to the latency that a
// report shows for the tasks with a latency objective. t.mu must be held.
//
// Tasks on spare CPU slow down the serving tasks on their worker, by amounts that differ
// from task to task and change within seconds, so that users of the service would wait
// too long. The reported latency shows the slowdown; the share falls immediately and
// rises slowly.
func (s *workerSession) updateThrottle(state *workflow.State, report Report, now time.Time) {
	worstRatio := 0.0
	s.throttle.serving, s.throttle.spare = false, false
	for _, r := range report.Running {
		spec := stepOf(state, r.Task)
		if spec == nil {
			continue
		}
		s.throttle.spare = s.throttle.spare || spec.UsesSpareCPU
		if spec.LatencyObjectiveMS > 0 {
			s.throttle.serving = true
			worstRatio = max(worstRatio, float64(r.Measured)/float64(spec.LatencyObjectiveMS))
		}
	}
	share := s.throttle.nextShare(worstRatio, now)
	if share != s.throttle.share {
		s.t.logger.Log("event", "throttle", "worker", s.worker.ID, "share", share, "before", s.throttle.share, "latency_ratio", worstRatio)
		s.throttle.share, s.throttle.changedAt = share, now
	}
	if !s.throttle.active() {
		s.throttle.changedAt = time.Time{}
	}
	for _, r := range report.Running {
		if o := s.orders[r.Task]; o != nil && o.usesSpareCPU {
			s.applyShare(o)
		}
	}
}

// stepOf returns the step of a task that a worker reports; nil if there is no such job, or it has no such step. The run
// may belong to an earlier job with the same ID.
func stepOf(state *workflow.State, task workflow.TaskKey) *workflow.Step {
	job := state.Jobs[task.Job]
	if job == nil || task.Step >= len(job.Steps) {
		return nil
	}
	return &job.Steps[task.Step]
}

// applyShare sends the worker's current share for a run whose acknowledged share differs,
// unless a change is in flight. t.mu must be held.
func (s *workerSession) applyShare(o *runOrder) {
	if o.share == s.throttle.share || o.shareChanging {
		return
	}
	o.shareChanging = true
	share := s.throttle.share
	s.t.spawn(func() { s.sendShare(o, share) })
}

// sendShare orders the worker to give a run a CPU share, in percent. A failure is logged.
func (s *workerSession) sendShare(o *runOrder, share int) {
	t := s.t
	clockMS, err := s.call(func(ctx context.Context, to Target) (int64, error) {
		return t.c.cfg.Workers.Throttle(ctx, to, ThrottleOrder{Run: o.run, Share: share, Fence: t.fence})
	})
	t.c.cfg.Counters.Add("throttles", 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	o.shareChanging = false
	if err != nil {
		// The next report triggers another attempt.
		t.logger.Log("event", "throttle", "task", o.run.Task, "run", o.run.Number, "worker", s.worker.ID, "share", share, "err", err)
		return
	}
	s.recordClock(clockMS, time.Now())
	o.share = share
	if share > 0 {
		o.pausedAt = time.Time{}
	} else if o.pausedAt.IsZero() {
		o.pausedAt = time.Now()
	}
}

// pausedTooLong reports whether a run has been paused for so long that it should continue
// on another worker. Only tasks with checkpoints can continue elsewhere without losing
// their progress.
func (o *runOrder) pausedTooLong(step *workflow.Step, now time.Time) bool {
	return step.Checkpointing && !o.pausedAt.IsZero() && now.Sub(o.pausedAt) > stalledRunTimeout
}
