package control

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// maxConcurrentStarts is how many starts are under way to a worker at a time. A step with
// many tasks is given to few workers; sent all at once, each start would take a new
// connection of its own, which costs its caller more than the start.
const maxConcurrentStarts = 3

// sendStart sends a committed start until the worker has answered, and stops the
// run when it doesn't.
//
// Failure guarded against: an order or its answer gets lost, and an urgent task
// waits for the end of the call. The same run is sent again beside a call that
// takes longer than a calm worker does; whichever arrives second changes nothing.
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

// attemptStart sends a start, and again where the first call is overdue or gets no answer. It
// returns how the calls ended that tell what became of the order, the first one first.
//
// Failure guarded against: the second call is sent beside the first, which the worker then
// refuses. What the second one ends with must be waited for: it may have begun the run, and
// if it is refused as well the run has to be settled here, since no list will ever show it.
func (s *workerSession) attemptStart(o *runOrder, payload, checkpoint string) []error {
	second := make(chan error, 1)
	var retry *time.Timer
	if s.t.c.heartbeats == nil && !s.t.disabled.ResentStarts {
		retry = time.AfterFunc(s.overdueAfter(), func() { second <- s.callStart(o, payload, checkpoint) })
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

// recordStartCallsEnded takes in that no call of a start is under way any more, nor will be.
func (s *workerSession) recordStartCallsEnded(o *runOrder) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	o.startInProgress, o.startCallsEndedAt = false, time.Now()
}

func (s *workerSession) overdueAfter() time.Duration {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	return s.t.overdueAfter()
}

// outcomeUnknown reports whether a call leaves open what the worker did.
func outcomeUnknown(err error) bool {
	var refused *RefusedError
	return !errors.Is(err, ErrOtherIncarnation) && !errors.As(err, &refused)
}

// settleStartAttempts settles an order by how the calls of its start ended: one that succeeded has
// begun the run, one without an answer may begin it later, so that a stop has to settle it,
// and a refusal settles it only if no call was left open.
func (s *workerSession) settleStartAttempts(o *runOrder, attempts []error) {
	if slices.Contains(attempts, nil) {
		return
	}
	var refusal *RefusedError
	unanswered := false
	for i, err := range attempts {
		var refused *RefusedError
		switch {
		case errors.Is(err, ErrOtherIncarnation):
			s.t.mu.Lock()
			s.interruptPoll()
			s.t.mu.Unlock()
			return
		case errors.As(err, &refused):
			s.recordRefusal(o, refused.Reason)
			refusal = refused
		default:
			s.recordUnanswered(o, i+1, err)
			unanswered = true
		}
	}
	switch {
	case unanswered:
		s.abandonUnlessListed(o)
	case refusal.Reason != RefusedStaleFence:
		s.commitEnds(0, []workflow.RunEnd{{Task: o.run.Task, Number: o.run.Number, Outcome: workflow.OutcomeNotStarted}})
	}
}

// recordUnanswered takes in a call of a start that got no answer.
func (s *workerSession) recordUnanswered(o *runOrder, try int, err error) {
	s.t.mu.Lock()
	o.unanswered = true
	// Without it, a worker that takes no starts but answers looks would be
	// given the same task again and again.
	s.failures++
	s.t.mu.Unlock()
	s.t.logger.Log("event", "start", "task", o.run.Task, "run", o.run.Number, "worker", s.worker.ID,
		"outcome", "no answer", "try", try, "err", err)
}

// recordRefusal takes in a call of a start that was refused.
func (s *workerSession) recordRefusal(o *runOrder, reason Refusal) {
	t := s.t
	t.c.cfg.Counters.Add("starts_refused_"+string(reason), 1)
	t.logger.Log("event", "start", "task", o.run.Task, "run", o.run.Number, "worker", s.worker.ID,
		"outcome", "refused", "reason", reason)
	if reason != RefusedTicket {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.invalidateTicket(o.run.Task.StepKey, s.worker.ID)
}

// acquireStartSlot waits until a start may be sent, and returns why it isn't worth it any
// more: while others wait for answers that are overdue it would get none either. The
// members of a gang don't wait here: those that have begun wait for the others.
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
		cause = "the job has ended, or a copy is done"
	default:
		return ""
	}
	s.releaseStartSlot()
	return cause
}

func (s *workerSession) releaseStartSlot() { <-s.startSlots }

// taskPending reports whether the run's task is still to be done. t.mu is held.
func (t *leaderTerm) taskPending(run workflow.Run) (pending bool) {
	t.c.state.read(func(s *workflow.State) {
		job := s.Jobs[run.Task.Job]
		pending = job != nil && !job.Ended() && !s.Task(run.Task).Done
	})
	return pending
}

// unsent settles a run whose start was never sent.
func (s *workerSession) settleUnsentStart(o *runOrder, cause string) {
	if s.t.ctx.Err() != nil {
		// The next leader settles it.
		return
	}
	s.t.logger.Log("event", "start", "task", o.run.Task, "run", o.run.Number, "worker", s.worker.ID,
		"outcome", "not sent", "cause", cause)
	s.commitEnds(0, []workflow.RunEnd{{Task: o.run.Task, Number: o.run.Number, Outcome: workflow.OutcomeNotStarted}})
}

// abandonUnlessListed lets a run be stopped whose start may be carried out later, unless
// the worker has shown it as alive.
func (s *workerSession) abandonUnlessListed(o *runOrder) {
	s.t.mu.Lock()
	o.abandoned = !o.listed
	s.t.mu.Unlock()
	s.t.wake()
}

func (s *workerSession) callStart(o *runOrder, payload, checkpoint string) error {
	t := s.t
	t.mu.Lock()
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
	s.noteClock(clockMS, now)
	t.noteAnswerTime(now.Sub(sent))
	o.unanswered = false
	if o.startedAt.IsZero() {
		o.startedAt = now
	}
	t.startedJobs[o.run.Task.Job] = true
	if o.usesSpare && s.throttle.serving {
		// It begins at its whole share, and the next report may be far.
		s.throttle.beginSpare(now)
		s.applyShare(o)
	}
	return nil
}
