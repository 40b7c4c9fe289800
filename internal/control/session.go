package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// pollHold is how long a worker may hold a look back until a run ends. Longer
	// saves looks, shorter notices a silent worker earlier.
	pollHold = 1500 * time.Millisecond
	// callTimeout bounds an order's round trip: a few milliseconds on a calm link,
	// and one repeated packet on a lossy one.
	callTimeout = 600 * time.Millisecond
	// minOverdueTime is how long a worker in reach takes at most to answer an order:
	// some round trips of 2 ms and its own scheduling.
	minOverdueTime = 100 * time.Millisecond
	// maxAnswerAge is how long after its last answer a worker still gets new tasks:
	// one held look and the time of a call.
	maxAnswerAge = pollHold + callTimeout
	// pollPauseAfterEnds is the time between a report of ends and the next look. Ends that come
	// up meanwhile share that look, at the price of being seen a little later.
	pollPauseAfterEnds = 80 * time.Millisecond
	// commitRetryInterval is the time between two tries to commit what nobody would say again.
	commitRetryInterval = 50 * time.Millisecond
	// retryInterval is the time between two looks at a worker that doesn't answer.
	retryInterval = 300 * time.Millisecond
	// silentWorkerTimeout is how long a silent worker without runs is looked for.
	silentWorkerTimeout = 15 * time.Second
)

// session is what a tenure knows of one incarnation of a worker. Its own
// goroutine looks at the worker all the time; fields are guarded by t.mu.
type workerSession struct {
	t      *leaderTerm
	worker workflow.Worker
	// ready says that the worker has answered under this tenure's fence and that
	// its lists have been taken in. Nothing is started before.
	ready bool
	// leaving says that the worker has announced its end. leavesAt is the earliest
	// time at which a draining one goes, as it said itself.
	leaving  bool
	leavesAt time.Time
	// leavingSince is when the worker was said to end.
	leavingSince time.Time
	// outlived says that a later life of the same worker is known, earlier are the lives of
	// it whose runs aren't settled yet.
	superseded   bool
	predecessors []*workerSession
	// doubted says that no lists have come in yet, or that a call got no answer since the last
	// ones: another life may answer the next one.
	incarnationUnconfirmed bool
	// heartbeatAt is the last heartbeat, answeredAt the last answer to a look.
	heartbeatAt, answeredAt time.Time
	// clockMS is what the worker's clock showed at or before clockAt here.
	clockMS int64
	clockAt time.Time
	// fullReportSentAt is when the look was sent that the last whole lists answered.
	fullReportSentAt time.Time
	// leaseEnd is when, by this process's clock, whatever runs there has ended,
	// unless it answers and is given a longer lease.
	leaseEnd time.Time
	// inherited are the runs that an earlier leader may have ordered.
	inherited map[workflow.TaskKey]int
	orders    map[workflow.TaskKey]*runOrder
	// strangers are runs that the worker lists and the log doesn't have, with the
	// time of the last stop.
	unknownRuns map[workflow.Run]time.Time
	// failures counts what went wrong in a row: runs of different jobs that failed,
	// and starts without an answer.
	failures         int
	failedJob        string
	quarantinedUntil time.Time
	// pace is how long its runs took, in multiples of their estimates.
	pace       movingMean
	throttle   throttle
	runSummary runSummary
	// starting has room for the starts that may be under way.
	startSlots chan struct{}
	// busy says that the last report listed runs; advancedAt is the last report
	// that showed that something goes on.
	busy       bool
	advancedAt time.Time
	cancelPoll context.CancelFunc
	// pollDue is when the answer to the look under way is overdue.
	pollDue time.Time
	// hurried says that the look under way was ended on purpose.
	pollInterrupted bool
}

func (s *workerSession) target() Target {
	return Target{Worker: s.worker.ID, Address: s.worker.Address, DataCentre: s.worker.DataCentre}
}

// Reasons why a worker gets nothing new.
const (
	reasonSilent                dispatch.Reason = "the worker hasn't answered lately"
	reasonLeaving               dispatch.Reason = "the worker leaves"
	reasonCordoned              dispatch.Reason = "the worker's machine is to go down"
	reasonOverdueOrder          dispatch.Reason = "an order to the worker has no answer"
	reasonQuarantined           dispatch.Reason = "the worker failed several jobs in a row"
	reasonStalled               dispatch.Reason = "nothing advances on the worker"
	reasonSlow                  dispatch.Reason = "the worker is slow and has a run"
	reasonUnreachableDataCentre dispatch.Reason = "the worker's data centre seems to be cut off"
	reasonProbation             dispatch.Reason = "a task that workers have crashed under has just begun there"
)

// obstacle returns why no new task is given to the worker, on which runs may be
// alive; empty when one may be. t.mu is held.
func (s *workerSession) unschedulableReason(now time.Time, suspects map[string]bool, runs int) dispatch.Reason {
	switch {
	case s.leaving || s.worker.Draining:
		return reasonLeaving
	case !s.ready || now.Sub(s.answeredAt) >= maxAnswerAge:
		return reasonSilent
	case s.t.machines.isCordoned(s.worker.ID):
		return reasonCordoned
	case s.hasOverdueOrder(now):
		return reasonOverdueOrder
	case s.onProbation():
		return reasonProbation
	case suspects[s.worker.DataCentre]:
		return reasonUnreachableDataCentre
	case s.t.disabled.Health:
		return ""
	case !now.After(s.quarantinedUntil):
		return reasonQuarantined
	case s.isStalled():
		return reasonStalled
	case s.isSlow() && runs > 0:
		// A slow worker gets one run at a time, which shows whether it still is.
		return reasonSlow
	}
	return ""
}

// doubtful reports whether an order is without an answer for longer than a
// calm worker takes: it may be cut off, and what it is given now would be
// blocked with it until the lease ends.
func (s *workerSession) hasOverdueOrder(now time.Time) bool {
	for _, o := range s.orders {
		if o.unanswered || !o.sentAt.IsZero() && now.Sub(o.sentAt) > s.t.overdueAfter() {
			return true
		}
	}
	return false
}

// leaseEndMS returns the end of a lease that begins now, on the worker's clock,
// and notes when it will have ended. t.mu is held.
func (s *workerSession) leaseEndMS(now time.Time) int64 {
	elapsed := now.Sub(s.clockAt)
	end := s.clockMS + (elapsed + s.t.lease).Milliseconds()
	expiry := s.clockAt.Add(leaseUpperBound(elapsed + s.t.lease))
	if expiry.After(s.leaseEnd) {
		s.leaseEnd = expiry
	}
	return end
}

// noteClock takes in what the worker's clock showed in an answer that has just
// come in. t.mu is held.
func (s *workerSession) noteClock(clockMS int64, now time.Time) {
	s.recordAnswer(now)
	if s.clockJumped(clockMS, now) {
		s.incarnationUnconfirmed = true
		s.interruptPoll()
		return
	}
	if clockMS > 0 {
		s.clockMS, s.clockAt = clockMS, now
	}
}

// hurry ends a look that is held, so that the next one begins at once.
func (s *workerSession) interruptPoll() {
	if s.cancelPoll != nil {
		s.pollInterrupted = true
		s.cancelPoll()
	}
}

// takePollInterrupted reports whether the last look was ended on purpose.
func (s *workerSession) takePollInterrupted() bool {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	hurried := s.pollInterrupted
	s.pollInterrupted = false
	return hurried
}

// run looks at the worker until the tenure or the incarnation ends.
func (s *workerSession) run() {
	failed := 0
	for s.t.ctx.Err() == nil {
		if s.isSuperseded() {
			s.endIncarnation("a later life of the worker is known")
			return
		}
		sent := time.Now()
		report, err := s.poll(sent)
		switch {
		case s.t.ctx.Err() != nil:
			return
		case errors.Is(err, ErrOtherIncarnation):
			s.endIncarnation("another incarnation answers")
			return
		case err != nil && s.takePollInterrupted():
		case err != nil:
			s.t.mu.Lock()
			s.recordLostCall(sent, time.Now())
			s.t.mu.Unlock()
			if s.handleUnansweredPoll(err) {
				return
			}
			if failed++; failed > 1 {
				wait.For(s.t.ctx, retryInterval)
			}
		default:
			failed = 0
			s.applyReport(report, sent)
			if len(report.Ended) > 0 && !report.Partial {
				wait.For(s.t.ctx, s.pauseAfterEnds())
			}
		}
	}
}

// look asks the worker for its lists. The lease is prolonged only while the
// worker answers: a worker that gets looks but whose answers are lost would
// otherwise hold its runs for ever, and nobody could tell when they end.
func (s *workerSession) poll(now time.Time) (Report, error) {
	t := s.t
	if t.wasSuspended() {
		t.logger.Log("event", "tenure", "outcome", "given up", "cause", "the machine was suspended")
		t.end()
	}
	order := PollOrder{Fence: t.fence}
	t.c.state.read(func(state *workflow.State) {
		if w := state.Workers[s.worker.ID]; w != nil {
			order.Seen = w.LastEnd
		}
	})
	t.mu.Lock()
	hold, slack := s.pollTimes(now)
	if s.mayBeOtherIncarnation() {
		// It has counted no ends yet, and its clock is another one.
		order.Seen = 0
	} else if s.ready && now.Sub(s.answeredAt) < callTimeout {
		order.LeaseEndMS = s.leaseEndMS(now)
		order.Wait = hold
	}
	s.pollDue = now.Add(order.Wait + t.overdueAfter())
	ctx, cancel := context.WithTimeout(t.ctx, order.Wait+slack)
	s.cancelPoll, s.pollInterrupted = cancel, false
	target := s.target()
	t.mu.Unlock()
	defer cancel()
	t.c.cfg.Counters.Add("looks", 1)
	return t.c.cfg.Workers.Poll(ctx, target, order)
}

// silent handles a look without an answer, and reports whether the session is
// over. Once the lease has ended, nothing runs there any more.
func (s *workerSession) handleUnansweredPoll(cause error) bool {
	t := s.t
	now := time.Now()
	t.mu.Lock()
	wasReady, leaving := s.ready, s.leaving
	leaseExpired := now.After(s.leaseEnd)
	noHeartbeat := now.Sub(s.heartbeatAt) > silentWorkerTimeout
	if now.Sub(s.answeredAt) > maxAnswerAge {
		s.ready = false
	}
	nowReady := s.ready
	t.mu.Unlock()
	if wasReady && !nowReady {
		t.logger.Log("event", "worker_contact", "worker", s.worker.ID, "outcome", "lost", "err", cause)
	}
	if leaving {
		s.endIncarnation("the worker left")
		return true
	}
	if !leaseExpired {
		return false
	}
	s.loseRuns("lease ended without an answer", workflow.OutcomeLost, allRuns)
	if !noHeartbeat {
		return false
	}
	if missing := s.unresolvedRuns(); len(missing) > 0 {
		t.commitWithRetry(&workflow.Command{Ends: &workflow.RunEnds{Worker: s.worker.ID, GivenUp: true}})
		t.logEndedJobs(missing)
	}
	t.mu.Lock()
	delete(t.sessions, s.worker.ID)
	t.mu.Unlock()
	t.logger.Log("event", "worker_contact", "worker", s.worker.ID, "outcome", "given up")
	return true
}

// end takes note that the incarnation is over: nothing runs there.
func (s *workerSession) endIncarnation(cause string) {
	t, crashed := s.t, s.hasCrashed()
	t.logger.Log("event", "worker_gone", "worker", s.worker.ID, "cause", cause, "crashed", crashed)
	outcome := workflow.OutcomeLost
	if crashed {
		t.c.cfg.Counters.Add("workers_crashed", 1)
		outcome = workflow.OutcomeCrashed
	}
	// What its runs had saved goes into the log first.
	s.settleWithSuccessor(cause, outcome)
	s.loseRuns(cause, outcome, allRuns)
	missing := s.unresolvedRuns()
	t.commitWithRetry(&workflow.Command{Gone: s.worker.ID, Crashed: crashed})
	t.logEndedJobs(missing)
	t.mu.Lock()
	delete(t.sessions, s.worker.ID)
	t.mu.Unlock()
	t.wake()
}

// allRuns chooses all runs of a worker.
func allRuns(workflow.Run) bool { return true }

// loseRuns ends the chosen runs of a worker, which can't be alive any more.
func (s *workerSession) loseRuns(cause string, outcome workflow.Outcome, selected func(workflow.Run) bool) {
	ends := s.lostEnds(outcome, selected)
	if len(ends) == 0 {
		return
	}
	s.t.logger.Log("event", "runs_lost", "worker", s.worker.ID, "runs", len(ends), "cause", cause)
	s.logLostRuns(ends, cause)
	s.commitEnds(0, ends)
}

func (s *workerSession) lostEnds(outcome workflow.Outcome, selected func(workflow.Run) bool) []workflow.RunEnd {
	var ends []workflow.RunEnd
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.t.c.state.read(func(state *workflow.State) {
		for task, run := range state.Runs[s.worker.ID] {
			if !selected(run) {
				continue
			}
			ends = append(ends, workflow.RunEnd{
				Task: task, Number: run.Number, Outcome: outcome, Checkpoint: s.t.checkpoints[task], Suspicion: s.suspicion(run),
			})
		}
	})
	return ends
}

// commitEnds commits ends; seen is the last of those that the worker lists, 0 where it
// lists none of them.
//
// A worker lists its ends again until they are committed; others are said by nobody again.
func (s *workerSession) commitEnds(seen uint64, ends []workflow.RunEnd) {
	command := &workflow.Command{Ends: &workflow.RunEnds{Worker: s.worker.ID, LastEnd: seen, Ends: ends}}
	s.recordKnownEnds(ends)
	if seen > 0 {
		if _, err := s.t.propose(command); err != nil {
			return
		}
	} else if !s.t.commitWithRetry(command) {
		return
	}
	s.t.mu.Lock()
	for _, end := range ends {
		s.forgetRun(end)
	}
	s.t.mu.Unlock()
	s.t.logEndedJobs(ends)
	s.t.wake()
}

// recordKnownEnds notes that the ends of runs are known: they are proposed, or listed again,
// until they are committed.
func (s *workerSession) recordKnownEnds(ends []workflow.RunEnd) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.markKnownEnds(ends)
}

// markKnownEnds is recordKnownEnds where t.mu is held.
func (s *workerSession) markKnownEnds(ends []workflow.RunEnd) {
	for _, end := range ends {
		if o := s.orders[end.Task]; o != nil && o.run.Number == end.Number {
			o.endKnown = true
		}
	}
}

// commitWithRetry proposes a command until it is committed, and reports whether it was
// before the tenure ended.
//
// Failure guarded against: a commit fails, and the run counts as alive for as long as the
// leader leads. An end that the leader has found out by itself, such as that of a start
// that was refused, would be said by nobody again: the task would never run, and the other
// members of a gang would wait for it.
func (t *leaderTerm) commitWithRetry(command *workflow.Command) bool {
	for {
		if _, err := t.propose(command); err == nil {
			return true
		}
		if !wait.For(t.ctx, commitRetryInterval) {
			return false
		}
	}
}

// forgetRun drops what is known of a run that has ended. A worker may list an
// end while a later run of the task is under way; that one's order stays, or
// nobody could stop the run any more. t.mu is held.
func (s *workerSession) forgetRun(end workflow.RunEnd) {
	if o := s.orders[end.Task]; o != nil && o.run.Number > end.Number {
		return
	}
	delete(s.orders, end.Task)
	if s.inherited[end.Task] <= end.Number {
		delete(s.inherited, end.Task)
	}
	delete(s.t.checkpoints, end.Task)
}
