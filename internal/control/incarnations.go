package control

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// clockJumpTolerance is by how much an answer's clock may be off what the clock before it leads
	// one to expect, beside the drift: a call's way and the scheduling of both processes.
	clockJumpTolerance = 2 * time.Second
	// leavingRevokedAfter is how long after a worker was said to end its heartbeats show that another
	// life of it was meant.
	leavingRevokedAfter = 3 * time.Second
	// supersededPollHold holds a look at a worker while runs of its earlier lives aren't settled.
	supersededPollHold = 50 * time.Millisecond
	// successorCheckInterval is the time between two looks at what the next life has listed.
	successorCheckInterval = 20 * time.Millisecond
)

// latestIncarnation returns the incarnation that a call means which may name a worker only.
func (t *leaderTerm) latestIncarnation(incarnation, name string) string {
	t.c.state.read(func(s *workflow.State) {
		nameOnly := incarnation == name || s.Workers[incarnation] == nil
		if newest := s.NewestIncarnation(name); nameOnly && newest != nil {
			incarnation = newest.ID
		}
	})
	return incarnation
}

// linkToSuccessor lets the session with a worker's latest life, if there is one, take over from
// one with a life before. t.mu is held, or t isn't shared yet.
func (t *leaderTerm) linkToSuccessor(s *workerSession, state *workflow.State) {
	if !state.Superseded(&s.worker) {
		return
	}
	s.superseded = true
	if latest := t.sessions[state.NewestIncarnation(s.worker.Name).ID]; latest != nil {
		latest.takeOver(s)
	}
}

// takeOverPredecessors lets a session with a worker's latest life take over from those with the lives
// before. t.mu is held.
func (t *leaderTerm) takeOverPredecessors(latest *workerSession) {
	for _, s := range t.sessions {
		if latest.worker.Supersedes(&s.worker) {
			latest.takeOver(s)
		}
	}
}

// takeOver ends a session with a life of the worker before this one, and has its runs settled
// with what this life lists. t.mu is held, or the tenure isn't shared yet.
func (s *workerSession) takeOver(earlier *workerSession) {
	earlier.superseded = true
	s.predecessors = append(s.predecessors, earlier)
	// Orders to the life before may be carried out by this one, with leases that its clock
	// doesn't know: they are cut to the longest that it grants.
	if end := time.Now().Add(leaseUpperBound(s.t.c.cfg.Bounds.MaxLease)); end.After(s.leaseEnd) {
		s.leaseEnd = end
	}
	earlier.interruptPoll()
}

func (s *workerSession) isSuperseded() bool {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	return s.superseded
}

// revokeLeaving takes in that a worker that was said to end goes on announcing itself: an
// earlier life of it was meant. t.mu is held.
func (s *workerSession) revokeLeaving(w *workflow.Worker) {
	if s.worker.StartedAtMS > 0 && s.leaving && !w.Draining && time.Since(s.leavingSince) > leavingRevokedAfter && !s.t.machines.isCordoned(w.ID) {
		s.leaving = false
	}
}

// mayBeOtherIncarnation reports whether what answers next may be another life of the worker.
// t.mu is held.
//
// Failure guarded against: a look tells a life that has only begun that its first ends are
// taken note of, since as many of the life before were; no list shows them then.
func (s *workerSession) mayBeOtherIncarnation() bool {
	return s.worker.StartedAtMS > 0 && (s.incarnationUnconfirmed || s.superseded)
}

// clockJumped reports whether a clock shows another life than the answers before it. t.mu is
// held.
func (s *workerSession) clockJumped(clockMS int64, now time.Time) bool {
	if s.worker.StartedAtMS == 0 || clockMS <= 0 || s.clockAt.IsZero() {
		return false
	}
	elapsed := now.Sub(s.clockAt)
	deviation := time.Duration(clockMS-s.clockMS)*time.Millisecond - elapsed
	return deviation.Abs() > clockJumpTolerance+time.Duration(float64(elapsed)*(driftFactor-1))
}

// settleWithSuccessor settles the runs that a later life of the worker may have been told to
// begin: each is stopped there, and whatever it has listed by then holds.
//
// Failure guarded against: a start that got no answer before the worker crashed is carried
// out seconds later by its next life, which has its id and has seen no fence, beside the run
// that its task has elsewhere by then.
func (s *workerSession) settleWithSuccessor(cause string, outcome workflow.Outcome) {
	if s.worker.StartedAtMS == 0 {
		return
	}
	s.t.mu.Lock()
	// It accounts for its runs until they are settled.
	s.ready = false
	leaving := s.leaving
	s.t.mu.Unlock()
	if leaving {
		return
	}
	s.loseRuns(cause, outcome, s.startConfirmed)
	runs := s.liveRuns()
	if len(runs) == 0 {
		return
	}
	started := time.Now()
	var stops errgroup.Group
	stops.SetLimit(maxConcurrentStarts)
	for _, run := range runs {
		stops.Go(func() error { s.stopAtSuccessor(run, started.Add(silentWorkerTimeout)); return nil })
	}
	_ = stops.Wait()
	listed := s.awaitSuccessorReport(started.Add(silentWorkerTimeout))
	s.t.logger.Log("event", "next_life", "worker", s.worker.ID, "runs", len(runs), "listed", listed,
		"ms", time.Since(started).Milliseconds())
}

// startConfirmed reports whether a run was begun by this life for sure, and no call of its start
// is open. t.mu is held.
func (s *workerSession) startConfirmed(run workflow.Run) bool {
	o := s.orders[run.Task]
	return o != nil && o.run.Number == run.Number && o.openCalls == 0 && !o.startedAt.IsZero() && s.fullReportSentAt.After(o.startedAt)
}

// liveRuns returns the runs of the session's worker that may be alive.
func (s *workerSession) liveRuns() (runs []workflow.Run) {
	s.t.c.state.read(func(state *workflow.State) {
		for _, run := range state.Runs[s.worker.ID] {
			runs = append(runs, run)
		}
	})
	return runs
}

// stopAtSuccessor stops a run at the worker's address until the stop is answered: from then
// on no life there begins it.
func (s *workerSession) stopAtSuccessor(run workflow.Run, deadline time.Time) {
	for s.t.ctx.Err() == nil && time.Now().Before(deadline) {
		_, err := s.callStop(run)
		if err == nil || errors.Is(err, ErrOtherIncarnation) {
			return
		}
		wait.For(s.t.ctx, retryInterval)
	}
}

// awaitSuccessorReport waits until the worker's next life has shown what it runs and what has
// ended there, by lists that were asked for from now on.
func (s *workerSession) awaitSuccessorReport(deadline time.Time) bool {
	since := time.Now()
	s.interruptSuccessorPoll()
	for time.Now().Before(deadline) {
		if s.successorReportedSince(since) {
			return true
		}
		if !wait.For(s.t.ctx, successorCheckInterval) {
			return false
		}
	}
	return false
}

// interruptSuccessorPoll lets the next look at the worker's next life begin at once.
func (s *workerSession) interruptSuccessorPoll() {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	if next := s.successor(); next != nil {
		next.interruptPoll()
	}
}

// successor is the session that has taken this one's place, nil for none. t.mu is held.
func (s *workerSession) successor() *workerSession {
	for _, next := range s.t.sessions {
		if slices.Contains(next.predecessors, s) {
			return next
		}
	}
	return nil
}

func (s *workerSession) successorReportedSince(since time.Time) bool {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	next := s.successor()
	return next != nil && next.fullReportSentAt.After(since)
}

// endPredecessorRuns takes in ends that the worker lists of runs that were given to its
// life before.
func (s *workerSession) endPredecessorRuns(listed []workflow.RunEnd) {
	for _, earlier := range s.unsettledPredecessors() {
		var ends []workflow.RunEnd
		s.t.c.state.read(func(state *workflow.State) {
			for _, end := range listed {
				if run, ok := state.Runs[earlier.worker.ID][end.Task]; ok && run.Number == end.Number {
					ends = append(ends, end)
				}
			}
		})
		if len(ends) > 0 {
			earlier.commitEnds(0, ends)
		}
	}
}

// unsettledPredecessors returns the sessions with earlier lives of the worker, and forgets those
// that are over.
func (s *workerSession) unsettledPredecessors() []*workerSession {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.predecessors = slices.DeleteFunc(s.predecessors, func(e *workerSession) bool { return s.t.sessions[e.worker.ID] != e })
	return slices.Clone(s.predecessors)
}
