package control

import (
	"context"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// fullShare is the share at which a task works that nobody throttles, in percent.
	fullShare = 100
	// initialShare is what tasks on spare processors get beside serving ones until
	// the latency of those has been seen.
	initialShare = 30
	// minShare is the least share that does some work; below it they pause.
	minShare = 5
	// shareIncrement is by how much the share rises while latency is low.
	shareIncrement = 10
	// Above highLatencyRatio of the objective the share is halved, above the whole
	// objective it falls to a quarter, below lowLatencyRatio it rises. Latency must not
	// be over its objective for some seconds on end; from 30 % it takes two changes
	// to pause.
	highLatencyRatio = 0.9
	lowLatencyRatio  = 0.7
	// throttleInterval is the time between two changes: the worker's figures cover
	// half a second, and a change takes a tenth of one to have its effect.
	throttleInterval = 700 * time.Millisecond
	// throttledPollWait holds a look at a worker whose tasks are throttled.
	throttledPollWait = 300 * time.Millisecond
)

// throttle is the share of a worker's tasks on spare processors. All of them get
// the same: which of them disturbs the serving tasks isn't known.
type throttle struct {
	share     int
	changedAt time.Time
	// serving and spare say what the last report listed.
	serving, spare bool
}

// watched reports whether the worker needs to be looked at often.
func (h *throttle) active() bool { return h.serving && h.spare }

// next returns the share after a report in which latency was ratio times its
// objective at worst.
func (h *throttle) nextShare(ratio float64, now time.Time) int {
	switch {
	case !h.active():
		return fullShare
	case h.share == fullShare && h.changedAt.IsZero():
		return initialShare
	case now.Sub(h.changedAt) < throttleInterval:
		return h.share
	case ratio > 1:
		return pauseBelowMin(h.share / 4)
	case ratio > highLatencyRatio:
		return pauseBelowMin(h.share / 2)
	case ratio < lowLatencyRatio:
		return min(h.share+shareIncrement, fullShare)
	}
	return h.share
}

// pauseBelowMin pauses tasks whose share is too small to get anything done.
func pauseBelowMin(share int) int {
	if share < minShare {
		return 0
	}
	return share
}

// beginSpare takes in that a task on spare processors begins beside serving ones.
func (h *throttle) beginSpare(now time.Time) {
	if !h.spare {
		h.spare, h.share, h.changedAt = true, initialShare, now
	}
}

// updateThrottle takes in what a report says of tasks with a latency objective, and
// throttles the tasks on spare processors beside them. t.mu is held.
//
// Failure guarded against: tasks on spare processors slow the serving tasks on
// their worker down, by amounts that differ from task to task and change within
// seconds; users of those wait too long. The serving tasks' own figures say so,
// and the share falls at once and rises slowly.
func (s *workerSession) updateThrottle(state *workflow.State, report Report, now time.Time) {
	worstRatio := 0.0
	s.throttle.serving, s.throttle.spare = false, false
	for _, r := range report.Running {
		job := state.Jobs[r.Task.Job]
		if job == nil {
			continue
		}
		spec := &job.Steps[r.Task.Step]
		s.throttle.spare = s.throttle.spare || spec.UsesSpare
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
		if o := s.orders[r.Task]; o != nil && o.usesSpare {
			s.applyShare(o)
		}
	}
}

// applyShare sends the worker's share for one run where it has another one.
// t.mu is held.
func (s *workerSession) applyShare(o *runOrder) {
	if o.share == s.throttle.share || o.shareChanging {
		return
	}
	o.shareChanging = true
	share := s.throttle.share
	s.t.spawn(func() { s.sendShare(o, share) })
}

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
		// The next report sends it again.
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

// paused reports whether a run has been paused for so long that it is better
// carried on elsewhere, which only a checkpoint makes worth it.
func (o *runOrder) pausedTooLong(step *workflow.Step, now time.Time) bool {
	return step.Checkpointing && !o.pausedAt.IsZero() && now.Sub(o.pausedAt) > stalledRunTimeout
}
