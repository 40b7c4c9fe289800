package control

import (
	"maps"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// orphanTimeout is how long a run may be unaccounted for before the leader stops it. A
// report that shows the end of the run may arrive late by the round trip of a held poll
// and a commit.
const orphanTimeout = time.Second

// runCounts counts the live runs, and those of them that are unaccounted for: no pending
// event will report their end.
type runCounts struct {
	alive, unaccounted int
	// longestUnaccounted is the longest time for which a run has been unaccounted for.
	longestUnaccounted time.Duration
}

// countRuns counts all runs that may be alive and records which of them are unaccounted
// for. t.mu must be held.
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
			counts.longestUnaccounted = max(counts.longestUnaccounted, now.Sub(since))
		}
	}
	t.unaccountedSince, t.runCounts = unaccounted, counts
}

// accountsFor reports whether a pending event will report the end of a run. Such an event
// is the response to a start, a report that lists the run, a stop that is sent
// repeatedly, the first complete report of a worker for an inherited run, or the expiry
// of the lease of an unresponsive worker. t.mu must be held.
func (s *workerSession) accountsFor(run workflow.Run, now time.Time) bool {
	if !s.ready {
		return true
	}
	o := s.orders[run.Task]
	if o == nil || o.run.Number != run.Number {
		return s.inherited[run.Task] == run.Number
	}
	switch {
	case s.isEndKnown(run), o.startInProgress, o.unanswered && o.abandoned:
		return true
	case !o.orphaned && now.Sub(o.stopSentAt) < 2*stopRetryInterval:
		return true
	case s.fullReportSentAt.Before(o.startCallsEndedAt), s.fullReportSentAt.Before(o.stopAckedAt):
		// No report has arrived yet in response to a poll that was sent after the start, or the
		// stop, got its response.
		return true
	}
	return !o.listedByPollSentAt.Before(s.fullReportSentAt)
}

// isOrphaned reports whether a run has been unaccounted for so long that the leader has
// to stop it. t.mu must be held.
//
// A run whose end is never reported would stay alive until the leadership changes, and
// its task would never run again although resources are free. A stop that is repeated
// until the worker acknowledges it, followed by a complete report, shows the outcome of
// any run, however the report of its end was lost.
func (t *leaderTerm) isOrphaned(run workflow.Run, now time.Time) bool {
	since, unaccounted := t.unaccountedSince[run]
	return unaccounted && now.Sub(since) >= orphanTimeout
}

// adoptWorkers starts monitoring workers that have orphaned runs but no session. If they
// don't respond, they lose their runs when their lease expires. t.mu must be held.
func (t *leaderTerm) adoptWorkers(s *workflow.State, now time.Time) {
	for run := range t.unaccountedSince {
		state := s.Workers[run.Worker]
		if t.sessions[run.Worker] != nil || state == nil || !t.isOrphaned(run, now) {
			continue
		}
		t.recordOrphan(run, now)
		session := t.addSession(state.Worker, nil)
		t.linkToSuccessor(session, s)
		// Starts of this leader term may have extended the lease until now.
		session.leaseEnd = now.Add(leaseUpperBound(t.lease))
		t.spawn(session.run)
	}
	// The first reports of the adopted workers show which of their runs are alive.
	maps.DeleteFunc(t.unaccountedSince, func(run workflow.Run, _ time.Time) bool {
		return t.sessions[run.Worker] != nil && !t.sessions[run.Worker].ready
	})
}

// recordOrphan counts and logs an orphaned run. t.mu must be held.
func (t *leaderTerm) recordOrphan(run workflow.Run, now time.Time) {
	t.c.cfg.Counters.Add("runs_claimed", 1)
	t.logger.Log("event", "run_claimed", "task", run.Task, "run", run.Number, "worker", run.Worker,
		"unaccounted_ms", now.Sub(t.unaccountedSince[run]).Milliseconds(), "looked_after", t.sessions[run.Worker] != nil)
}

// dropStaleOrders removes orders whose runs the log no longer has. t.mu must be held.
//
// The lease of a worker may expire between the commit of a start and the creation of its
// order. That order would never get a response, and the worker would get no task when it
// returns.
func (s *workerSession) dropStaleOrders(state *workflow.State) {
	runs, now := state.Runs[s.worker.ID], time.Now()
	for task, o := range s.orders {
		if o.startInProgress || runs[task].Number == o.run.Number {
			continue
		}
		s.recordOpenStart(o, now)
		delete(s.orders, task)
	}
}
