package control

import (
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// collectedEnds are ends of runs that can't be alive any more: those that the worker has
// reported, and those of lost runs.
type collectedEnds struct {
	reported, lost []workflow.RunEnd
}

// commitLostRuns commits the end of those runs of a worker for which selected returns
// true. They can't be alive any more. The cause is logged.
func (s *workerSession) commitLostRuns(cause string, outcome workflow.Outcome, selected func(workflow.Run) bool) {
	s.t.mu.Lock()
	ends := s.collectEnds(outcome, selected)
	s.t.mu.Unlock()
	s.commitCollectedEnds(cause, ends)
}

// commitCollectedEnds commits ends. The cause of lost runs is logged.
func (s *workerSession) commitCollectedEnds(cause string, ends collectedEnds) {
	if len(ends.reported) > 0 {
		s.commitEnds(0, ends.reported)
	}
	if len(ends.lost) == 0 {
		return
	}
	s.t.logger.Log("event", "runs_lost", "worker", s.worker.ID, "runs", len(ends.lost), "cause", cause)
	s.logLostRuns(ends.lost, cause)
	s.commitEnds(0, ends.lost)
}

// collectEnds returns the ends of those runs of the worker for which selected returns true, and
// keeps their starts from being sent from now on. A run whose end the worker has reported ends by
// that: the log may have refused the end when it was reported, and the worker can't list it again.
// Other runs get the given outcome and their last checkpoints. t.mu must be held.
func (s *workerSession) collectEnds(outcome workflow.Outcome, selected func(workflow.Run) bool) (ends collectedEnds) {
	s.t.c.state.read(func(state *workflow.State) {
		for task, run := range state.Runs[s.worker.ID] {
			if !selected(run) {
				continue
			}
			if end, reported := s.uncommittedEnds[task]; reported && end.Number == run.Number {
				ends.reported = append(ends.reported, end)
				continue
			}
			ends.lost = append(ends.lost, workflow.RunEnd{
				Task: task, Number: run.Number, Outcome: outcome, Checkpoint: s.t.checkpoints[task], Suspicion: s.suspicion(run),
			})
		}
	})
	s.markKnownEnds(ends.reported)
	s.markKnownEnds(ends.lost)
	return ends
}

// commitEnds commits ends of runs. lastEnd is the position of the last of them in the
// worker's list of ends, 0 if the worker lists none of them.
//
// A worker lists its ends until they are committed, so these ends are proposed only once.
// Ends that no worker lists again are proposed until they are committed.
func (s *workerSession) commitEnds(lastEnd uint64, ends []workflow.RunEnd) {
	command := &workflow.Command{Ends: &workflow.RunEnds{Worker: s.worker.ID, LastEnd: lastEnd, Ends: ends}}
	s.recordKnownEnds(ends)
	defer s.t.trackEndCommit(ends)()
	if lastEnd > 0 {
		if _, err := s.t.propose(command); err != nil {
			return
		}
	} else if !s.t.commitWithRetry(command) {
		return
	}
	s.t.logEndedJobs(ends, s.forgetRuns(ends))
	s.t.wake()
}

// forgetRuns forgets the runs whose ends are committed, and returns their timings.
func (s *workerSession) forgetRuns(ends []workflow.RunEnd) map[workflow.TaskKey]runTiming {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	timings := s.takeTimings(ends)
	for _, end := range ends {
		s.forgetRun(end)
	}
	return timings
}

// trackEndCommit counts ends as being committed until done is called.
func (t *leaderTerm) trackEndCommit(ends []workflow.RunEnd) (done func()) {
	add := func(delta int) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.endWaits.addCommitting(ends, delta)
	}
	add(1)
	return func() { add(-1) }
}

// recordKnownEnds marks runs whose end is known.
func (s *workerSession) recordKnownEnds(ends []workflow.RunEnd) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.markKnownEnds(ends)
}

// markKnownEnds is recordKnownEnds for callers that hold t.mu.
func (s *workerSession) markKnownEnds(ends []workflow.RunEnd) {
	for _, end := range ends {
		s.endsKnown[end.Task] = max(s.endsKnown[end.Task], end.Number)
	}
}

// isEndKnown reports whether the end of a run is known and not committed yet. t.mu must be held.
func (s *workerSession) isEndKnown(run workflow.Run) bool { return s.endsKnown[run.Task] >= run.Number }

// mayStart reports whether the start of a run may be sent: the session goes on and knows the clock by
// which its leases end, and the log has the run and isn't about to get its end. t.mu must be held.
func (s *workerSession) mayStart(run workflow.Run) (may bool) {
	if s.ending || s.clockAt.IsZero() || s.isEndKnown(run) {
		return false
	}
	s.t.c.state.read(func(state *workflow.State) {
		alive, ok := state.Runs[run.Worker][run.Task]
		may = ok && alive.Number == run.Number
	})
	return may
}

// commitWithRetry proposes a command until it is committed. It reports false if the leader
// term ends first.
//
// A failed commit of an end that only the leader knows, such as the end of a refused start,
// would leave the run alive until the leadership changes. Its task would never run again,
// and the other members of its gang would wait for it.
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
