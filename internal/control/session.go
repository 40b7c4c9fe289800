package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/speed"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// pollHold is how long a worker may hold a poll, that is, delay its response while no
	// run ends. A longer hold saves polls, a shorter one detects an unresponsive worker
	// earlier.
	pollHold = 1500 * time.Millisecond
	// callTimeout bounds the round trip of an order: a few milliseconds on a good link,
	// plus one retransmission on a lossy one.
	callTimeout = 600 * time.Millisecond
	// minOverdueTime is the shortest time after which an order without a response counts as
	// overdue. A reachable worker responds within some round trips of 2 ms and its own
	// scheduling delay.
	minOverdueTime = 100 * time.Millisecond
	// maxResponseAge is how long after its last response to a poll a worker still gets new
	// tasks: the duration of one held poll and one call.
	maxResponseAge = pollHold + callTimeout
	// pollPauseAfterEnds is the shortest pause between two reports with ended runs. Runs that
	// end during the pause share a poll, but the leader sees their ends a little later.
	pollPauseAfterEnds = 80 * time.Millisecond
	// commitRetryInterval is the pause between two attempts to commit a command whose
	// content only the leader knows.
	commitRetryInterval = 50 * time.Millisecond
	// retryInterval is the pause before a call without a response is repeated, and the pause
	// after an order for a machine.
	retryInterval = 300 * time.Millisecond
	// unresponsiveWorkerTimeout is how long after its last heartbeat an unresponsive worker
	// without runs is still monitored.
	unresponsiveWorkerTimeout = 15 * time.Second
)

// workerSession monitors one incarnation of a worker during a leader term. Its goroutine
// polls the worker continuously. t.mu guards the fields.
type workerSession struct {
	t      *leaderTerm
	worker workflow.Worker
	// ready says that the worker has responded to a poll with this leader's fencing token
	// and that its report has been applied. It is reset when the worker stops responding.
	// Nothing is started on a worker that isn't ready.
	ready bool
	// leaving says that the worker has announced its shutdown. leavesAt is the earliest
	// shutdown time that a draining worker has announced.
	leaving  bool
	leavesAt time.Time
	// leavingSince is when the shutdown was first announced.
	leavingSince time.Time
	// machineDown says that the deployment has ended the worker together with its machine.
	machineDown bool
	// superseded says that a later incarnation of the same worker is known. predecessors are
	// the sessions of earlier incarnations that have runs whose ends aren't committed yet.
	superseded   bool
	predecessors []*workerSession
	// ending says that the incarnation has ended and the outcomes of its runs are being
	// determined. No start that is committed from then on is sent.
	ending       bool
	confirmation confirmation
	// incarnationUnconfirmed says that no report has arrived yet, or that a call got no
	// response since the last report: another incarnation may respond to the next call.
	incarnationUnconfirmed bool
	// heartbeatAt is the time of the last heartbeat, respondedAt of the last response to a
	// poll.
	heartbeatAt, respondedAt time.Time
	// clockMS is what the worker's clock showed, in milliseconds, at or before clockAt on
	// this process's clock.
	clockMS int64
	clockAt time.Time
	// fullReportSentAt is when the poll was sent whose response was the last complete
	// report.
	fullReportSentAt time.Time
	// predecessorsReportedAt is when the poll was sent whose response was the last complete
	// report from which all ends of runs of predecessors are committed.
	predecessorsReportedAt time.Time
	// listedRunning maps each task to its run that the last complete report lists as running.
	listedRunning map[workflow.TaskKey]int
	// leaseEnd is when, by this process's clock, all runs on the worker have ended at the
	// latest. Polls and starts postpone it when they extend the lease.
	leaseEnd time.Time
	// inherited maps each task to the run that an earlier leader may have ordered.
	inherited map[workflow.TaskKey]int
	orders    map[workflow.TaskKey]*runOrder
	// uncommittedEnds are the ends that reports have shown and that aren't committed yet.
	uncommittedEnds map[workflow.TaskKey]workflow.RunEnd
	// endsKnown maps each task to the latest of its runs whose end is known and not committed yet:
	// the leader proposes the end repeatedly, or the worker lists it in its reports.
	endsKnown map[workflow.TaskKey]int
	// unknownRuns are runs that the worker reports and the log doesn't have, with the time
	// of the last stop that was sent for each.
	unknownRuns map[workflow.Run]time.Time
	// listsUnknownRuns says that the last report listed a live run that the log doesn't have.
	listsUnknownRuns bool
	// failures counts consecutive failures: failed runs of different jobs, starts without a
	// response, and stalled runs. failedJob is the job of the last failed run.
	failures         int
	failedJob        string
	quarantinedUntil time.Time
	// speed is the speed of the worker as last classified. endsDelayed says that the ends in the
	// current report may have happened long before it.
	speed       speed.Estimate
	endsDelayed bool
	throttle    throttle
	runSummary  runSummary
	// startSlots has one slot for each start that may be in flight.
	startSlots chan struct{}
	// reportedIdle says that the last report listed neither runs nor ends.
	reportedIdle bool
	// canAdvance says that the last report listed a run whose percentage can increase.
	// advancedAt is when a report last showed progress, an end, or no such run.
	canAdvance bool
	advancedAt time.Time
	// cancelPoll cancels the poll in flight, or the last one.
	cancelPoll context.CancelFunc
	// pollDue is when the response to the poll in flight becomes overdue. pollWait is how
	// long the worker may hold that poll.
	pollDue  time.Time
	pollWait time.Duration
	// endsPolledAt is when the last poll was due that followed a report with new ends.
	endsPolledAt time.Time
	// pollInterrupted says that interruptPoll ended the poll in flight.
	pollInterrupted bool
}

func (s *workerSession) target() Target {
	return Target{Worker: s.worker.ID, Address: s.worker.Address, DataCentre: s.worker.DataCentre}
}

// Reasons why a worker gets no new task.
const (
	reasonUnresponsive          dispatch.Reason = "the worker hasn't answered lately"
	reasonLeaving               dispatch.Reason = "the worker leaves"
	reasonSuperseded            dispatch.Reason = "a later incarnation of the worker is known"
	reasonCordoned              dispatch.Reason = "the worker's machine is to go down"
	reasonOverdueOrder          dispatch.Reason = "an order to the worker has no answer"
	reasonUnknownRuns           dispatch.Reason = "the worker runs something that the log doesn't have"
	reasonQuarantined           dispatch.Reason = "the worker failed several jobs in a row"
	reasonStalled               dispatch.Reason = "nothing advances on the worker"
	reasonSlow                  dispatch.Reason = "the worker is slow and has a run"
	reasonUnreachableDataCentre dispatch.Reason = "the worker's data centre seems to be cut off"
	reasonProbation             dispatch.Reason = "a task that workers have crashed under has just begun there"
)

// unschedulableReason returns why the worker gets no new task, or "" if it may get one.
// suspects are the data centres that are suspected to be unreachable, runs is the number
// of the worker's runs that may be alive. t.mu must be held.
func (s *workerSession) unschedulableReason(now time.Time, suspects map[string]bool, runs int) dispatch.Reason {
	switch {
	case s.leaving || s.worker.Draining:
		return reasonLeaving
	case s.superseded:
		return reasonSuperseded
	case !s.ready || now.Sub(s.respondedAt) >= maxResponseAge:
		return reasonUnresponsive
	case s.t.machines.isCordoned(s.worker.ID):
		return reasonCordoned
	case s.hasOverdueOrder(now):
		return reasonOverdueOrder
	case s.listsUnknownRuns:
		return reasonUnknownRuns
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
	case s.isVerySlow() && runs > 0:
		return reasonSlow
	}
	return ""
}

// hasOverdueOrder reports whether an order has been without a response for longer than a
// reachable worker takes. The worker may be unreachable, and a task assigned to it now
// would be blocked until the lease expires. t.mu must be held.
func (s *workerSession) hasOverdueOrder(now time.Time) bool {
	for _, o := range s.orders {
		if o.unanswered || !o.sentAt.IsZero() && now.Sub(o.sentAt) > s.t.overdueAfter() {
			return true
		}
	}
	return false
}

// leaseEndMS returns the end of a lease that begins now, in milliseconds on the worker's
// clock, and postpones leaseEnd accordingly. t.mu must be held.
func (s *workerSession) leaseEndMS(now time.Time) int64 {
	elapsed, lease := now.Sub(s.clockAt), s.leaseLength()
	end := s.clockMS + (elapsed + lease).Milliseconds()
	expiry := s.clockAt.Add(leaseUpperBound(elapsed + lease))
	if expiry.After(s.leaseEnd) {
		s.leaseEnd = expiry
	}
	return end
}

// recordClock records the worker's clock, in milliseconds, from a response that has just
// arrived. A clock that jumped may be that of another incarnation; the next poll is then
// sent immediately instead. t.mu must be held.
func (s *workerSession) recordClock(clockMS int64, now time.Time) {
	s.recordResponse(now)
	if s.clockJumped(clockMS, now) {
		s.incarnationUnconfirmed = true
		s.interruptPoll()
		return
	}
	if clockMS > 0 {
		s.clockMS, s.clockAt = clockMS, now
	}
}

// interruptPoll ends a held poll so that the next one is sent immediately. t.mu must be
// held.
func (s *workerSession) interruptPoll() {
	if s.cancelPoll != nil {
		s.pollInterrupted = true
		s.cancelPoll()
	}
}

// takePollInterrupted reports whether interruptPoll ended the last poll, and resets
// pollInterrupted.
func (s *workerSession) takePollInterrupted() bool {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	interrupted := s.pollInterrupted
	s.pollInterrupted = false
	return interrupted
}

// run polls the worker until the leader term or the incarnation ends.
func (s *workerSession) run() {
	failed := 0
	for s.t.ctx.Err() == nil {
		if s.endsWithSuccessor() {
			s.endIncarnation(proofSuccessor)
			return
		}
		sent := time.Now()
		report, err := s.poll(sent)
		listsNewEnds := false
		if err == nil {
			listsNewEnds, err = s.processReport(report, sent)
		}
		switch {
		case s.t.ctx.Err() != nil:
			return
		case errors.Is(err, ErrOtherIncarnation):
			s.endIncarnation(proofOtherIncarnation)
			return
		case err != nil && s.takePollInterrupted():
		case err != nil:
			s.t.mu.Lock()
			// A repeated poll was sent again after each response.
			s.recordLostCall(later(sent, s.respondedAt), time.Now())
			s.t.mu.Unlock()
			if s.recordUnansweredPoll(err) {
				return
			}
			if failed++; failed > 1 {
				wait.For(s.t.ctx, retryInterval)
			}
		default:
			failed = 0
			switch {
			case s.isSuperseded():
				// The poll wasn't held.
				wait.For(s.t.ctx, supersededPollHold)
			case listsNewEnds && !report.Partial:
				wait.For(s.t.ctx, time.Until(s.nextPollAt(time.Now())))
			}
		}
	}
}

// poll requests a report from the worker. It extends the lease only while the worker
// responds. A worker that receives polls but whose responses are lost would otherwise
// keep its runs indefinitely, and the leader could never tell when they end.
func (s *workerSession) poll(now time.Time) (Report, error) {
	t := s.t
	t.endIfSuspended()
	t.mu.Lock()
	repeats := s.repeatsPoll(now)
	t.mu.Unlock()
	if repeats {
		return s.sendRepeatedPoll(now)
	}
	order := PollOrder{Fence: t.fence, LastEnd: s.lastCommittedEnd()}
	t.mu.Lock()
	hold, slack := s.pollTimes(now)
	switch {
	case s.mayBeOtherIncarnation():
		// Another incarnation may receive the poll. Its clock is a different one, and none of
		// its ends has been committed yet.
		order.LastEnd = 0
	case order.LastEnd > 0 && s.needsConfirmation(now):
		order.LastEnd = 0
		s.confirmation.confirmingPolls++
	default:
		s.confirmation.confirmingPolls = 0
		if s.ready && now.Sub(s.respondedAt) < callTimeout {
			order.LeaseEndMS = s.leaseEndMS(now)
			order.Wait = hold
		}
	}
	s.pollDue, s.pollWait = now.Add(order.Wait+t.overdueAfter()), order.Wait
	ctx, cancel := context.WithTimeout(t.ctx, order.Wait+slack)
	s.cancelPoll, s.pollInterrupted = cancel, false
	target := s.target()
	t.mu.Unlock()
	defer cancel()
	t.c.cfg.Counters.Add("looks", 1)
	return t.c.cfg.Workers.Poll(ctx, target, order)
}

// lastCommittedEnd returns the position of the last end of the worker that is committed.
func (s *workerSession) lastCommittedEnd() (lastEnd uint64) {
	s.t.c.state.read(func(state *workflow.State) {
		if w := state.Workers[s.worker.ID]; w != nil {
			lastEnd = w.LastEnd
		}
	})
	return lastEnd
}

// recordUnansweredPoll updates the session after a poll without a response, and reports
// whether the session is over. Once the lease has expired, nothing runs on the worker any
// more, and its runs are committed as lost.
func (s *workerSession) recordUnansweredPoll(cause error) bool {
	t := s.t
	now := time.Now()
	t.mu.Lock()
	wasReady := s.ready
	leaseExpired := now.After(s.leaseEnd)
	t.countUnansweredPoll(leaseExpired)
	if now.Sub(s.respondedAt) > maxResponseAge {
		s.ready = false
	}
	nowReady := s.ready
	proof, ends := s.takeProofAfterSilence(now)
	t.mu.Unlock()
	if wasReady && !nowReady {
		t.logger.Log("event", "worker_contact", "worker", s.worker.ID, "outcome", "lost", "err", cause)
	}
	if proof != "" {
		s.endIncarnation(proof)
		return true
	}
	if !leaseExpired {
		return false
	}
	s.commitCollectedEnds("the lease expired without a response", ends)
	return s.giveUpIfSilent(now)
}

// countUnansweredPoll counts a poll without a response, and whether the worker's lease was over.
func (t *leaderTerm) countUnansweredPoll(leaseExpired bool) {
	t.c.cfg.Counters.Add("polls_unanswered", 1)
	if leaseExpired {
		t.c.cfg.Counters.Add("polls_unanswered_lease_over", 1)
	}
}

// giveUpIfSilent ends the session of a worker without runs that has sent no heartbeat for
// unresponsiveWorkerTimeout, and reports whether it did.
func (s *workerSession) giveUpIfSilent(now time.Time) bool {
	t := s.t
	t.mu.Lock()
	silent := now.Sub(s.heartbeatAt) > unresponsiveWorkerTimeout && !s.hasRuns()
	if silent {
		// A start that is sent from now on would extend a lease that the next session of the
		// worker doesn't know of.
		s.setEnding()
	}
	t.mu.Unlock()
	if !silent {
		return false
	}
	if unresolved := s.unresolvedRuns(); len(unresolved) > 0 {
		t.commitWithRetry(&workflow.Command{Ends: &workflow.RunEnds{Worker: s.worker.ID, Unmonitored: true}})
		t.logEndedJobs(unresolved, nil)
	}
	t.mu.Lock()
	delete(t.sessions, s.worker.ID)
	t.mu.Unlock()
	t.logger.Log("event", "worker_contact", "worker", s.worker.ID, "outcome", "given up")
	return true
}

// endIncarnation commits that the incarnation has ended and nothing runs there any more,
// and ends its session. The proof is logged.
func (s *workerSession) endIncarnation(proof endProof) {
	t, crashed := s.t, s.hasCrashed()
	t.mu.Lock()
	s.setEnding()
	t.mu.Unlock()
	t.logger.Log("event", "worker_gone", "worker", s.worker.ID, "cause", proof, "crashed", crashed)
	outcome := workflow.OutcomeLost
	if crashed {
		t.c.cfg.Counters.Add("workers_crashed", 1)
		outcome = workflow.OutcomeCrashed
	}
	// The checkpoints and ends in the report of the successor are committed first. The
	// remaining runs count as lost.
	if proof.hasSuccessor() {
		s.settleWithSuccessor(proof, outcome)
	}
	s.commitLostRuns(string(proof), outcome, allRuns)
	unresolved := s.unresolvedRuns()
	t.commitWithRetry(&workflow.Command{GoneWorker: s.worker.ID, Crashed: crashed})
	t.logEndedJobs(unresolved, nil)
	t.mu.Lock()
	delete(t.sessions, s.worker.ID)
	t.mu.Unlock()
	t.wake()
}

// setEnding keeps starts that are committed from now on from being sent. A session that isn't
// ready accounts for its runs until their ends are committed. t.mu must be held.
func (s *workerSession) setEnding() { s.ready, s.ending = false, true }

// allRuns selects all runs of a worker.
func allRuns(workflow.Run) bool { return true }

// addOrder records the order for a run. If the end of the task's earlier run hasn't been cleaned up
// yet, the order of that run is replaced, and its open start would be forgotten with it: the worker's
// next incarnation could carry it out after the task was done. t.mu must be held.
func (s *workerSession) addOrder(o *runOrder) {
	if earlier := s.orders[o.run.Task]; earlier != nil && earlier.run.Number < o.run.Number {
		s.recordOpenStart(earlier, time.Now())
	}
	s.orders[o.run.Task] = o
}

// forgetRun removes the state of a run that has ended. It keeps the order of a later run
// of the same task, because a worker may list an end while the next run is in progress,
// and that run couldn't be stopped without its order. t.mu must be held.
func (s *workerSession) forgetRun(end workflow.RunEnd) {
	if s.uncommittedEnds[end.Task].Number <= end.Number {
		delete(s.uncommittedEnds, end.Task)
	}
	if s.endsKnown[end.Task] <= end.Number {
		delete(s.endsKnown, end.Task)
	}
	if o := s.orders[end.Task]; o != nil && o.run.Number > end.Number {
		return
	}
	s.recordOpenStart(s.orders[end.Task], time.Now())
	delete(s.orders, end.Task)
	if s.inherited[end.Task] <= end.Number {
		delete(s.inherited, end.Task)
	}
	delete(s.t.checkpoints, end.Task)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
