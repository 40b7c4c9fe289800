package control

import (
	"context"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// repeatsPoll reports whether the next poll may be repeated without this leader: nothing runs
// on the worker, it has listed no end, and its incarnation is confirmed. t.mu must be held.
//
// In a large fleet most workers are idle most of the time. Polls of them, each with a lease
// extension that nothing needs, would be most of the calls of a leader.
func (s *workerSession) repeatsPoll(now time.Time) bool {
	if !s.ready || !s.reportedIdle || now.Sub(s.respondedAt) >= callTimeout {
		return false
	}
	unsettled := len(s.orders) + len(s.inherited) + len(s.uncommittedEnds) + len(s.predecessors)
	if unsettled > 0 || s.leaving || s.superseded || s.mayBeOtherIncarnation() || s.throttle.active() {
		return false
	}
	runs := 0
	s.t.c.state.read(func(state *workflow.State) { runs = len(state.Runs[s.worker.ID]) })
	return runs == 0
}

// sendRepeatedPoll sends a poll that may be repeated, and returns the first report of a worker
// that isn't idle. It fails when no response arrives for as long as a single poll may take.
//
// No repetition acknowledges ends: another incarnation of the worker may receive it and would
// forget its own.
func (s *workerSession) sendRepeatedPoll(now time.Time) (Report, error) {
	t := s.t
	timeout := pollHold + callTimeout
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	overdue := time.AfterFunc(timeout, cancel)
	defer overdue.Stop()
	order := PollOrder{Fence: t.fence, Wait: pollHold, Repeat: true, CallTimeout: timeout}
	order.OnResponse = func() {
		overdue.Reset(timeout)
		s.recordRepetition(time.Now())
	}
	t.mu.Lock()
	s.pollDue, s.pollWait = now.Add(pollHold+t.overdueAfter()), pollHold
	s.cancelPoll, s.pollInterrupted = cancel, false
	target := s.target()
	t.mu.Unlock()
	t.c.cfg.Counters.Add("looks", 1)
	report, err := t.c.cfg.Workers.Poll(ctx, target, order)
	if err != nil {
		s.countFailedRepetition()
	}
	return report, err
}

// countFailedRepetition counts a repeated poll without a response, unless interruptPoll ended it.
func (s *workerSession) countFailedRepetition() {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	if !s.pollInterrupted && s.t.ctx.Err() == nil {
		s.t.c.cfg.Counters.Add("repeated_polls_failed", 1)
	}
}

// recordRepetition records a response to a repeated poll.
func (s *workerSession) recordRepetition(now time.Time) {
	t := s.t
	t.mu.Lock()
	defer t.mu.Unlock()
	s.respondedAt = now
	s.pollDue = now.Add(pollHold + t.overdueAfter())
	s.recordResponse(now)
}
