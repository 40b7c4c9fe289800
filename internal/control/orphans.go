package control

import (
	"maps"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// orphanTimeout is how long a run may be unaccounted for before the leader has it stopped: a
// worker's list that shows its end may be late by a held look's way and a commit.
const orphanTimeout = time.Second

// runCounts are the runs that count as alive, and those of them whose end nothing at hand
// would tell.
type runCounts struct {
	alive, unaccounted int
	// longest is for how long one has been unaccounted for.
	longest time.Duration
}

// countRuns goes over all runs that may be alive and notes which are unaccounted for.
// t.mu is held.
func (t *leaderTerm) countRuns(s *workflow.State, now time.Time) {
	for _, session := range t.sessions {
		session.dropStaleOrders(s)
	}
	counts := runCounts{}
	unaccounted := map[workflow.Run]time.Time{}
	for worker, runs := range s.Runs {
		session := t.sessions[worker]
		counts.alive += len(runs)
		for _, run := range runs {
			if session != nil && session.accountsFor(run, now) {
				continue
			}
			since, known := t.unaccountedSince[run]
			if !known {
				since = now
			}
			unaccounted[run] = since
			counts.unaccounted++
			counts.longest = max(counts.longest, now.Sub(since))
		}
	}
	t.unaccountedSince, t.runCounts = unaccounted, counts
}

// accountsFor reports whether something that is bound to come will tell the end of a run:
// the answer to a start, a list that shows the run, a stop that is repeated, the first
// whole list of a worker for a run that an earlier leader ordered, or the end of the
// lease of a worker that doesn't answer. t.mu is held.
func (s *workerSession) accountsFor(run workflow.Run, now time.Time) bool {
	if !s.ready {
		return true
	}
	o := s.orders[run.Task]
	if o == nil || o.run.Number != run.Number {
		return s.inherited[run.Task] == run.Number
	}
	switch {
	case o.endKnown, o.startInProgress, o.unanswered && o.abandoned:
		return true
	case !o.orphaned && now.Sub(o.stopSent) < 2*stopRetryInterval:
		return true
	case s.fullReportSentAt.Before(o.startCallsEndedAt), s.fullReportSentAt.Before(o.stopAcked):
		// No list that was asked for since the start, or the stop, was answered has come in
		// yet.
		return true
	}
	return !o.listedByPollSentAt.Before(s.fullReportSentAt)
}

// isOrphaned reports whether a run has been unaccounted for so long that its end has to be
// made sure of. t.mu is held.
//
// Failure guarded against: whatever was to tell the end of a run didn't come, and it counts
// as alive for as long as the leader leads: its task never runs again, though nothing waits
// and room is free. A stop that is repeated until the worker has acknowledged it, and the
// whole lists after that, settle any run, without regard to how it got lost.
func (t *leaderTerm) isOrphaned(run workflow.Run, now time.Time) bool {
	since, unaccounted := t.unaccountedSince[run]
	return unaccounted && now.Sub(since) >= orphanTimeout
}

// adoptWorkers begins to look after workers that nobody looks after though runs of theirs
// may be alive. Those that don't answer lose them when their lease has ended. t.mu is held.
func (t *leaderTerm) adoptWorkers(s *workflow.State, now time.Time) {
	for run := range t.unaccountedSince {
		state := s.Workers[run.Worker]
		if t.sessions[run.Worker] != nil || state == nil || !t.isOrphaned(run, now) {
			continue
		}
		t.recordOrphan(run, now)
		session := t.addSession(state.Worker, nil)
		t.linkToSuccessor(session, s)
		// Starts of this tenure may have prolonged its lease until now.
		session.leaseEnd = now.Add(leaseUpperBound(t.lease))
		t.spawn(session.run)
	}
	// The worker's first lists tell whether they are alive.
	maps.DeleteFunc(t.unaccountedSince, func(run workflow.Run, _ time.Time) bool {
		return t.sessions[run.Worker] != nil && !t.sessions[run.Worker].ready
	})
}

// recordOrphan tells that a run was found that nothing would have ended. t.mu is held.
func (t *leaderTerm) recordOrphan(run workflow.Run, now time.Time) {
	t.c.cfg.Counters.Add("runs_claimed", 1)
	t.logger.Log("event", "run_claimed", "task", run.Task, "run", run.Number, "worker", run.Worker,
		"unaccounted_ms", now.Sub(t.unaccountedSince[run]).Milliseconds(), "looked_after", t.sessions[run.Worker] != nil)
}

// dropStaleOrders forgets orders whose runs the log no longer has. t.mu is held.
//
// Failure guarded against: a run is lost with its worker's lease right between the commit of
// its start and the making of its order. The order has no answer ever, and the worker is
// given nothing when it is back.
func (s *workerSession) dropStaleOrders(state *workflow.State) {
	runs := state.Runs[s.worker.ID]
	maps.DeleteFunc(s.orders, func(task workflow.TaskKey, o *runOrder) bool {
		return !o.startInProgress && runs[task].Number != o.run.Number
	})
}
