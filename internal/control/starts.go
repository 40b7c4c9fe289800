package control

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/internal/panics"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// maxConcurrentStarts is how many starts to one worker may be in flight. A step with many
// tasks is assigned to few workers. If all of its starts were sent concurrently, each
// would open its own connection, which costs the leader more than the start itself.
const maxConcurrentStarts = 3

// sendStart sends the start of a committed run until the worker responds or
// maxStartAttempts calls have failed. If the worker may still carry out the start
// afterwards, the run is stopped.
//
// If a call or its response were lost, an urgent task would wait for the timeout of the
// call. Therefore the start of the same run is sent again while an overdue call is still
// in flight; the start that arrives second has no effect.
func (s *workerSession) sendStart(o *runOrder, payload, checkpoint string) {
	defer s.recordStartCallsEnded(o)
	if !o.gang && s.t.c.heartbeats == nil {
		if cause := s.acquireStartSlot(o); cause != "" {
			s.settleUnsentStart(o, cause)
			return
		}
		defer s.releaseStartSlot()
	}
	s.settleStartAttempts(o, s.attemptStart(o, payload, checkpoint))
}

// attemptStart sends a start, and sends it again if the first call is overdue or fails
// without a response. It returns the results of the calls that determine the outcome,
// starting with the first call.
//
// The worker may refuse the first call while a concurrent second one is in flight. The
// result of the second one must be awaited: the second call may have started the run, and
// if it is refused too, the run has to be committed as not started, because no report
// will ever list it.
func (s *workerSession) attemptStart(o *runOrder, payload, checkpoint string) []error {
	second := make(chan error, 1)
	var retry *time.Timer
	if s.t.c.heartbeats == nil && !s.t.disabled.ResentStarts {
		retry = time.AfterFunc(s.overdueAfter(), func() {
			defer panics.Handle()
			second <- s.callStart(o, payload, checkpoint)
		})
	}
	first := s.callStart(o, payload, checkpoint)
	concurrent := retry != nil && !retry.Stop()
	attempts := make([]error, 0, maxStartAttempts)
	attempts = append(attempts, first)
	switch {
	case first == nil:
	case concurrent:
		attempts = append(attempts, <-second)
	case outcomeUnknown(first):
		attempts = append(attempts, s.callStart(o, payload, checkpoint))
	}
	return attempts
}

// recordStartCallsEnded records that no call of a start is in flight any more, and that
// none will be made.
func (s *workerSession) recordStartCallsEnded(o *runOrder) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	o.startInProgress, o.startCallsEndedAt = false, time.Now()
}

// overdueAfter is leaderTerm.overdueAfter for callers that don't hold t.mu.
func (s *workerSession) overdueAfter() time.Duration {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	return s.t.overdueAfter()
}

// outcomeUnknown reports whether a call that failed with err may still be carried out.
// That is ruled out only if it wasn't sent, the worker refused it or another incarnation responded.
func outcomeUnknown(err error) bool {
	var refused *RefusedError
	return !errors.Is(err, ErrOtherIncarnation) && !errors.Is(err, errWithdrawn) && !errors.As(err, &refused)
}

// settleStartAttempts determines the outcome of a start from the results of its calls. If
// one of them succeeded, the run has started. If another incarnation responded, the next
// poll is sent immediately and ends this session. After a call without a response the run
// may still start, so it has to be stopped. If all calls were refused, the run is
// committed as not started, except after a refused fencing token, because a later leader
// then decides about the run.
func (s *workerSession) settleStartAttempts(o *runOrder, attempts []error) {
	if slices.Contains(attempts, nil) {
		return
	}
	var lastRefusal *RefusedError
	unanswered := false
	for i, err := range attempts {
		var refused *RefusedError
		switch {
		case errors.Is(err, ErrOtherIncarnation):
			s.t.mu.Lock()
			s.interruptPoll()
			s.t.mu.Unlock()
			return
		case errors.Is(err, errWithdrawn):
		case errors.As(err, &refused):
			s.recordRefusal(o, refused.Reason)
			lastRefusal = refused
		default:
			s.recordUnanswered(o, i+1, err)
			unanswered = true
		}
	}
	switch {
	case unanswered:
		s.abandonUnlessListed(o)
	case lastRefusal != nil && lastRefusal.Reason != RefusedStaleFence:
		s.commitEnds(0, []workflow.RunEnd{{Task: o.run.Task, Number: o.run.Number, Outcome: workflow.OutcomeNotStarted}})
	}
}

// recordUnanswered records a call of a start that got no response.
func (s *workerSession) recordUnanswered(o *runOrder, attempt int, err error) {
	s.t.mu.Lock()
	o.unanswered = true
	// Otherwise a worker that responds to polls but not to starts would get the same task
	// repeatedly.
	s.failures++
	s.t.mu.Unlock()
	s.t.logger.Log("event", "start", "task", o.run.Task, "run", o.run.Number, "worker", s.worker.ID,
		"outcome", "no answer", "try", attempt, "err", err)
}

// recordRefusal records a refused call of a start.
func (s *workerSession) recordRefusal(o *runOrder, reason Refusal) {
	t := s.t
	t.c.cfg.Counters.Add("starts_refused_"+string(reason), 1)
	t.logger.Log("event", "start", "task", o.run.Task, "run", o.run.Number, "worker", s.worker.ID,
		"outcome", "refused", "reason", reason)
	t.mu.Lock()
	defer t.mu.Unlock()
	if reason == RefusedTicket && o.ticket != "" {
		// The adviser is asked for another ticket, which takes its time.
		t.invalidateTicket(o.run.Task.StepKey, s.worker.ID)
		return
	}
	t.addRefusal(o.run.Task.StepKey, s.worker.ID, time.Now())
}

// acquireStartSlot waits until a start may be sent. It returns a cause, and acquires no
// slot, if the start is no longer worth sending, for example because another start to the
// worker is overdue and a further start would get no response either. Members of a gang
// don't use slots, because members that have started wait for the others.
func (s *workerSession) acquireStartSlot(o *runOrder) (cause string) {
	select {
	case s.startSlots <- struct{}{}:
	case <-s.t.ctx.Done():
		return "the leadership has ended"
	}
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	switch {
	case s.hasOverdueOrder(time.Now()):
		cause = string(reasonOverdueOrder)
	case !s.t.taskPending(o.run):
		cause = "the job has ended, or another run of the task is done"
	default:
		return ""
	}
	s.releaseStartSlot()
	return cause
}

func (s *workerSession) releaseStartSlot() { <-s.startSlots }

// taskPending reports whether the run's task still has to be done. t.mu must be held.
func (t *leaderTerm) taskPending(run workflow.Run) (pending bool) {
	t.c.state.read(func(s *workflow.State) {
		job := s.Jobs[run.Task.Job]
		pending = job != nil && !job.Ended() && !s.Task(run.Task).Done
	})
	return pending
}

// settleUnsentStart commits a run whose start was never sent as not started.
func (s *workerSession) settleUnsentStart(o *runOrder, cause string) {
	if s.t.ctx.Err() != nil {
		// The next leader determines the outcome of the run.
		return
	}
	s.t.logger.Log("event", "start", "task", o.run.Task, "run", o.run.Number, "worker", s.worker.ID,
		"outcome", "not sent", "cause", cause)
	s.commitEnds(0, []workflow.RunEnd{{Task: o.run.Task, Number: o.run.Number, Outcome: workflow.OutcomeNotStarted}})
}

// abandonUnlessListed marks a start whose outcome is unknown as abandoned, so that its
// run is stopped, unless a report has listed the run as alive.
func (s *workerSession) abandonUnlessListed(o *runOrder) {
	s.t.mu.Lock()
	o.abandoned = !o.listed
	s.t.mu.Unlock()
	s.t.wake()
}

// errWithdrawn is the result of a start that isn't sent because its run is about to end or has
// ended. Whoever found that end commits it.
var errWithdrawn = errors.New("the run has ended")

// errSuspended is the result of a start that isn't sent because the machine was suspended.
var errSuspended = errors.New("the machine was suspended")

func (s *workerSession) logWithdrawn(run workflow.Run) {
	s.t.c.cfg.Counters.Add("starts_withdrawn", 1)
	s.t.logger.Log("event", "start", "task", run.Task, "run", run.Number, "worker", s.worker.ID,
		"outcome", "not sent", "cause", errWithdrawn)
}

// callStart makes one call of a start and records its result in the order.
func (s *workerSession) callStart(o *runOrder, payload, checkpoint string) error {
	t := s.t
	if t.endIfSuspended() {
		return errSuspended
	}
	t.mu.Lock()
	if !s.mayStart(o.run) {
		t.mu.Unlock()
		s.logWithdrawn(o.run)
		return errWithdrawn
	}
	start := StartOrder{
		Run: o.run, Payload: payload, LeaseEndMS: s.leaseEndMS(time.Now()), Fence: t.fence,
		Checkpoint: checkpoint, Ticket: o.ticket,
	}
	target := s.target()
	sent := time.Now()
	if o.sentAt.IsZero() {
		o.sentAt = sent
	}
	o.openCalls++
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	clockMS, err := t.c.cfg.Workers.Start(ctx, target, start)
	now := time.Now()
	t.c.cfg.Counters.Observe("start", now.Sub(sent))
	t.mu.Lock()
	defer t.mu.Unlock()
	o.sentAt = time.Time{}
	if err != nil && outcomeUnknown(err) {
		s.recordLostCall(sent, now)
		return err
	}
	o.openCalls--
	if err != nil {
		return err
	}
	s.recordClock(clockMS, now)
	t.recordResponseTime(now.Sub(sent))
	t.clearRefusals(o.run.Task.StepKey, s.worker.ID)
	o.unanswered = false
	if o.startedAt.IsZero() {
		o.startedAt = now
		o.timing.startClockMS = clockMS
	}
	t.startedJobs[o.run.Task.Job] = true
	if o.usesSpareCPU && s.throttle.serving {
		// The run starts with its full share, and the next report may be far off.
		s.throttle.beginSpare(now)
		s.applyShare(o)
	}
	return nil
}
