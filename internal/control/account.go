package control

import (
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// runCounts are the runs that count as alive, and those of them whose end nothing at hand
// would tell.
type runCounts struct {
	alive, unaccounted int
	// longest is for how long one has been unaccounted for.
	longest time.Duration
}

// countRuns goes over all runs that may be alive and notes which are unaccounted for.
// t.mu is held.
func (t *tenure) countRuns(s *workflow.State, now time.Time) {
	counts := runCounts{}
	unaccounted := map[workflow.Run]time.Time{}
	for worker, runs := range s.Runs {
		session := t.sessions[worker]
		counts.alive += len(runs)
		for _, run := range runs {
			if session != nil && session.accountsFor(run, now) {
				continue
			}
			since, known := t.unaccounted[run]
			if !known {
				since = now
			}
			unaccounted[run] = since
			counts.unaccounted++
			counts.longest = max(counts.longest, now.Sub(since))
		}
	}
	t.unaccounted, t.runCounts = unaccounted, counts
}

// accountsFor reports whether something that is bound to come will tell the end of a run:
// the answer to a start, a list that shows the run, a stop that is repeated, the first
// whole list of a worker for a run that an earlier leader ordered, or the end of the
// lease of a worker that doesn't answer. t.mu is held.
func (s *session) accountsFor(run workflow.Run, now time.Time) bool {
	if !s.ready {
		return true
	}
	o := s.orders[run.Task]
	if o == nil || o.run.Number != run.Number {
		return s.inherited[run.Task] == run.Number
	}
	switch {
	case o.sending, o.unanswered && o.abandoned, now.Sub(o.stopSent) < 2*stopAgain:
		return true
	case s.listsSent.Before(o.settledAt):
		// No list that was asked for since the start was answered has come in yet.
		return true
	}
	return !o.listedSent.Before(s.listsSent)
}
