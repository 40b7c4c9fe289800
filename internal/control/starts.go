package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// startsAtOnce is how many starts are under way to a worker at a time. A step with
// many tasks is given to few workers; sent all at once, each start would take a new
// connection of its own, which costs its caller more than the start.
const startsAtOnce = 3

// sendStart sends a committed start until the worker has answered, and stops the
// run when it doesn't.
//
// Failure guarded against: an order or its answer gets lost, and an urgent task
// waits for the end of the call. The same run is sent again beside a call that
// takes longer than a calm worker does; whichever arrives second changes nothing.
func (s *session) sendStart(o *order, payload, checkpoint string) {
	defer s.noteSettled(o)
	if !o.gang && s.t.c.beats == nil {
		if cause := s.beginStart(o); cause != "" {
			s.unsent(o, cause)
			return
		}
		defer s.endStart()
	}
	second := make(chan error, 1)
	beside := false
	var again *time.Timer
	if s.t.c.beats == nil && !s.t.without.SecondStarts {
		again = time.AfterFunc(s.overdueAfter(), func() { second <- s.callStart(o, payload, checkpoint) })
	}
	err := s.callStart(o, payload, checkpoint)
	if again != nil {
		beside = !again.Stop()
	}
	if err == nil || !noAnswer(err) {
		s.startAnswered(o, err, beside, 1)
		return
	}
	next := s.secondTry(o, beside, second, payload, checkpoint)
	if next == nil {
		return
	}
	if !s.startAnswered(o, err, false, 1) && !s.startAnswered(o, next, false, startTries) {
		s.abandon(o)
	}
}

// noteSettled takes in that no call of a start is under way any more, nor will be.
func (s *session) noteSettled(o *order) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	o.sending, o.settledAt = false, time.Now()
}

func (s *session) overdueAfter() time.Duration {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	return s.t.overdueAfter()
}

// secondTry returns the outcome of the second call of a start: that of the one under
// way beside the first, or of one made now.
func (s *session) secondTry(o *order, beside bool, second <-chan error, payload, checkpoint string) error {
	if beside {
		return <-second
	}
	return s.callStart(o, payload, checkpoint)
}

// noAnswer reports whether a call leaves open what the worker did.
func noAnswer(err error) bool {
	var refused *RefusedError
	return !errors.Is(err, ErrOtherIncarnation) && !errors.As(err, &refused)
}

// startAnswered takes in the outcome of one try of a start, beside which another one
// may be under way, and reports whether it settles the order.
func (s *session) startAnswered(o *order, err error, beside bool, try int) bool {
	var refused *RefusedError
	switch {
	case err == nil:
		return true
	case errors.Is(err, ErrOtherIncarnation):
		s.t.mu.Lock()
		s.hurry()
		s.t.mu.Unlock()
		return true
	case errors.As(err, &refused):
		if beside {
			s.t.mu.Lock()
			o.open++
			s.t.mu.Unlock()
		}
		s.startRefused(o, refused.Reason)
		return true
	}
	s.t.mu.Lock()
	o.open++
	o.unanswered = true
	// Without it, a worker that takes no starts but answers looks would be
	// given the same task again and again.
	s.failures++
	listed := o.listed
	s.t.mu.Unlock()
	s.t.logger.Log("event", "start", "task", o.run.Task, "run", o.run.Number, "worker", s.worker.ID,
		"outcome", "no answer", "try", try, "err", err)
	return listed
}

// beginStart waits until a start may be sent, and returns why it isn't worth it any
// more: while others wait for answers that are overdue it would get none either. The
// members of a gang don't wait here: those that have begun wait for the others.
func (s *session) beginStart(o *order) (cause string) {
	select {
	case s.starting <- struct{}{}:
	case <-s.t.ctx.Done():
		return "the leadership has ended"
	}
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	switch {
	case s.doubtful(time.Now()):
		cause = string(reasonDoubtful)
	case !s.t.stillToDo(o.run):
		cause = "the job has ended, or a copy is done"
	default:
		return ""
	}
	s.endStart()
	return cause
}

func (s *session) endStart() { <-s.starting }

// stillToDo reports whether the run's task is still to be done. t.mu is held.
func (t *tenure) stillToDo(run workflow.Run) (open bool) {
	t.c.state.read(func(s *workflow.State) {
		job := s.Jobs[run.Task.Job]
		open = job != nil && !job.Ended() && !s.Task(run.Task).Done
	})
	return open
}

// unsent settles a run whose start was never sent.
func (s *session) unsent(o *order, cause string) {
	if s.t.ctx.Err() != nil {
		// The next leader settles it.
		return
	}
	s.t.logger.Log("event", "start", "task", o.run.Task, "run", o.run.Number, "worker", s.worker.ID,
		"outcome", "not sent", "cause", cause)
	s.commitEnds(0, []workflow.RunEnd{{Task: o.run.Task, Number: o.run.Number, Outcome: workflow.OutcomeNotStarted}})
}

// abandon lets a run be stopped whose start may be carried out later.
func (s *session) abandon(o *order) {
	s.t.mu.Lock()
	o.abandoned = true
	s.t.mu.Unlock()
	s.t.kick()
}

func (s *session) callStart(o *order, payload, checkpoint string) error {
	t := s.t
	t.mu.Lock()
	start := StartOrder{
		Run: o.run, Payload: payload, LeaseEndMS: s.leaseEndMS(time.Now()), Fence: t.fence,
		Checkpoint: checkpoint, Ticket: o.ticket,
	}
	target := s.target()
	begun := time.Now()
	if o.sentAt.IsZero() {
		o.sentAt = begun
	}
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	clockMS, err := t.c.cfg.Workers.Start(ctx, target, start)
	now := time.Now()
	t.c.cfg.Counters.Observe("start", now.Sub(begun))
	t.mu.Lock()
	defer t.mu.Unlock()
	o.sentAt = time.Time{}
	if err != nil {
		if noAnswer(err) {
			s.noteLost(begun, now)
		}
		return err
	}
	s.noteClock(clockMS, now)
	t.noteAnswerTime(now.Sub(begun))
	o.unanswered = false
	if o.startedAt.IsZero() {
		o.startedAt = now
	}
	t.begun[o.run.Task.Job] = true
	if o.usesSpare && s.throttle.serving {
		// It begins at its whole share, and the next report may be far.
		s.throttle.noteSpare(now)
		s.applyShare(o)
	}
	return nil
}

// startRefused ends a run that the worker refused to begin, unless an earlier
// call without an answer may still be carried out; then a stop settles it.
func (s *session) startRefused(o *order, reason Refusal) {
	t := s.t
	t.c.cfg.Counters.Add("starts_refused_"+string(reason), 1)
	t.logger.Log("event", "start", "task", o.run.Task, "run", o.run.Number, "worker", s.worker.ID,
		"outcome", "refused", "reason", reason)
	t.mu.Lock()
	if reason == RefusedTicket {
		t.forgetTicket(o.run.Task.StepKey, s.worker.ID)
	}
	open := o.open > 0
	t.mu.Unlock()
	if open {
		s.abandon(o)
		return
	}
	if reason == RefusedFence {
		return
	}
	s.commitEnds(0, []workflow.RunEnd{{Task: o.run.Task, Number: o.run.Number, Outcome: workflow.OutcomeNotStarted}})
}
