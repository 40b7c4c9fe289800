package control

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bilberryferry/bilberryferry/internal/panics"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// clockJumpTolerance is how far the worker's clock in a response may differ from the
	// expected value, beyond clock drift. It covers the one-way delay of a call and the
	// scheduling delay of both processes.
	clockJumpTolerance = 2 * time.Second
	// supersededPollHold is the longest hold of a poll while ends of runs of the worker's
	// earlier incarnations aren't committed yet.
	supersededPollHold = 50 * time.Millisecond
	// successorCheckInterval is the pause between two checks whether the successor has
	// reported.
	successorCheckInterval = 20 * time.Millisecond
)

// latestIncarnation returns the incarnation that a call refers to: the given one if it is
// known, else the latest one of the worker name.
func (t *leaderTerm) latestIncarnation(incarnation, name string) string {
	t.c.state.read(func(s *workflow.State) {
		nameOnly := incarnation == name || s.Workers[incarnation] == nil
		if newest := s.NewestIncarnation(name); nameOnly && newest != nil {
			incarnation = newest.ID
		}
	})
	return incarnation
}

// linkToSuccessor marks s as superseded if a later incarnation of its worker is known,
// and makes the session of the latest incarnation take over the runs of s. t.mu must be
// held, or t isn't shared yet.
func (t *leaderTerm) linkToSuccessor(s *workerSession, state *workflow.State) {
	if !state.Superseded(&s.worker) {
		return
	}
	s.superseded = true
	if latest := t.sessions[state.NewestIncarnation(s.worker.Name).ID]; latest != nil {
		latest.takeOver(s)
	}
}

// takeOverPredecessors makes the session of a worker's latest incarnation take over from
// the sessions of all earlier ones. t.mu must be held.
func (t *leaderTerm) takeOverPredecessors(latest *workerSession) {
	for _, s := range t.sessions {
		if latest.worker.Supersedes(&s.worker) {
			latest.takeOver(s)
		}
	}
}

// takeOver marks the session of an earlier incarnation as superseded. The reports of this
// incarnation determine the outcomes of its runs. t.mu must be held, or the leader term isn't
// shared yet.
func (s *workerSession) takeOver(earlier *workerSession) {
	earlier.superseded = true
	s.predecessors = append(s.predecessors, earlier)
	// This incarnation may carry out orders meant for the earlier one. Their lease ends
	// refer to the clock of the earlier incarnation, so the worker limits them to the
	// longest lease that it accepts.
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

// endsWithSuccessor reports whether a later incarnation of the worker is known and either responds to polls
// or takes over no runs, and sets ending then.
//
// A heartbeat alone proves nothing: one of another program may carry the worker's name while the worker runs on,
// and each of its tasks that was started elsewhere would run twice.
func (s *workerSession) endsWithSuccessor() bool {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	if !s.superseded || s.hasRuns() && !s.successorResponds() {
		return false
	}
	s.setEnding()
	return true
}

// successorResponds reports whether the session that took over from this one has had a complete report. t.mu must
// be held.
func (s *workerSession) successorResponds() bool {
	successor := s.successor()
	return successor != nil && !successor.predecessorsReportedAt.IsZero()
}

// interruptPredecessors ends the held polls of the earlier incarnations that this one took over from.
func (s *workerSession) interruptPredecessors() {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	for _, earlier := range s.predecessors {
		earlier.interruptPoll()
	}
}

// mayBeOtherIncarnation reports whether another incarnation of the worker may respond to
// the next call. t.mu must be held.
//
// A poll acknowledges the listed ends by their highest position. A new incarnation that
// received the position of its predecessor would never list its own first ends.
func (s *workerSession) mayBeOtherIncarnation() bool {
	return s.worker.StartedAtMS > 0 && (s.incarnationUnconfirmed || s.superseded)
}

// clockJumped reports whether a clock reading, in milliseconds, can't come from the
// incarnation that gave the earlier readings. t.mu must be held.
func (s *workerSession) clockJumped(clockMS int64, now time.Time) bool {
	if s.worker.StartedAtMS == 0 || clockMS <= 0 || s.clockAt.IsZero() {
		return false
	}
	elapsed := now.Sub(s.clockAt)
	deviation := time.Duration(clockMS-s.clockMS)*time.Millisecond - elapsed
	return deviation.Abs() > clockJumpTolerance+time.Duration(float64(elapsed)*(driftFactor-1))
}

// settleWithSuccessor determines the outcomes of the runs that a later incarnation of the
// worker may have started: it stops each of them at that incarnation and waits for a
// report that shows the result.
//
// A start that got no response before the worker crashed may reach the next incarnation
// seconds later. The next incarnation has the same address and hasn't seen any fencing
// token yet, so it would run the task a second time while a run on another worker is
// alive.
func (s *workerSession) settleWithSuccessor(proof endProof, outcome workflow.Outcome) {
	if s.worker.StartedAtMS == 0 {
		return
	}
	s.t.mu.Lock()
	s.stopOpenStarts()
	s.t.mu.Unlock()
	s.commitLostRuns(string(proof), outcome, s.startConfirmed)
	runs := s.liveRuns()
	if len(runs) == 0 {
		return
	}
	started := time.Now()
	var stops errgroup.Group
	stops.SetLimit(maxConcurrentStarts)
	for _, run := range runs {
		stops.Go(func() error {
			defer panics.Handle()
			s.stopAtSuccessor(run, started.Add(unresponsiveWorkerTimeout))
			return nil
		})
	}
	_ = stops.Wait()
	listed := s.awaitSuccessorReport(runs, started.Add(unresponsiveWorkerTimeout))
	s.t.logger.Log("event", "next_life", "worker", s.worker.ID, "runs", len(runs), "listed", listed,
		"ms", time.Since(started).Milliseconds())
}

// maxStartDelay is the longest time after which a call of a start without a response may be
// carried out.
const maxStartDelay = unresponsiveWorkerTimeout

// recordOpenStart remembers a run that has ended if a call of its start may still be carried
// out, and stops it at the next incarnation if that is known already. t.mu must be held.
func (s *workerSession) recordOpenStart(o *runOrder, now time.Time) {
	if o == nil || o.openCalls == 0 || s.worker.StartedAtMS == 0 {
		return
	}
	open := s.t.openStarts[s.worker.Name]
	if open == nil {
		open = map[workflow.Run]time.Time{}
		s.t.openStarts[s.worker.Name] = open
	}
	maps.DeleteFunc(open, func(_ workflow.Run, endedAt time.Time) bool { return now.Sub(endedAt) > maxStartDelay })
	open[o.run] = now
	if s.superseded {
		// The next incarnation was told of the open starts that were known when its session began.
		s.t.spawn(func() { s.stopAtSuccessor(o.run, now.Add(maxStartDelay)) })
	}
}

// stopOpenStarts stops, at the incarnation that responds at the worker's address, the ended
// runs whose start may still be carried out there. t.mu must be held.
//
// The incarnation that ran such a run refuses it from then on. The next one knows nothing
// of it: a delayed start would run the task a second time, also after it was done.
func (s *workerSession) stopOpenStarts() {
	now := time.Now()
	for run, endedAt := range s.t.openStarts[s.worker.Name] {
		if now.Sub(endedAt) <= maxStartDelay {
			s.t.spawn(func() { s.stopAtSuccessor(run, now.Add(maxStartDelay)) })
		}
	}
}

// startConfirmed reports whether this incarnation has certainly started the run and each
// call of its start got a response. t.mu must be held.
func (s *workerSession) startConfirmed(run workflow.Run) bool {
	o := s.orders[run.Task]
	return o != nil && o.run.Number == run.Number && o.openCalls == 0 && !o.startedAt.IsZero() && s.fullReportSentAt.After(o.startedAt)
}

// liveRuns returns the runs of the worker that may be alive.
func (s *workerSession) liveRuns() (runs []workflow.Run) {
	s.t.c.state.read(func(state *workflow.State) {
		for _, run := range state.Runs[s.worker.ID] {
			runs = append(runs, run)
		}
	})
	return runs
}

// stopAtSuccessor sends stops for a run to the worker's address until one succeeds,
// another incarnation responds, or the deadline has passed. After a success no
// incarnation at that address starts the run.
func (s *workerSession) stopAtSuccessor(run workflow.Run, deadline time.Time) {
	for s.t.ctx.Err() == nil && time.Now().Before(deadline) {
		_, err := s.callStop(run)
		if err == nil || errors.Is(err, ErrOtherIncarnation) {
			return
		}
		wait.For(s.t.ctx, retryInterval)
	}
}

// awaitSuccessorReport waits for a complete report of the successor in response to a poll that
// is sent from now on and lists none of the runs as running, and until the ends of this session's
// runs that the report lists are committed. It returns false if the deadline passes or another
// worker is found at the address first; the deadline doesn't count while the successor may run one
// of the runs.
func (s *workerSession) awaitSuccessorReport(runs []workflow.Run, deadline time.Time) bool {
	since := time.Now()
	s.interruptSuccessorPoll()
	for time.Now().Before(deadline) || s.successorMayRun(runs, time.Now()) {
		if s.successorReportedSince(since, runs) {
			return true
		}
		if s.isAddressTaken() {
			return false
		}
		if !wait.For(s.t.ctx, successorCheckInterval) {
			return false
		}
	}
	return false
}

// isAddressTaken reports whether a worker with another name responds at this worker's address. It refuses the orders
// for this worker.
func (s *workerSession) isAddressTaken() bool {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	for _, other := range s.t.sessions {
		if other.ready && other.worker.Address == s.worker.Address && other.worker.Name != s.worker.Name {
			return true
		}
	}
	return false
}

// interruptSuccessorPoll ends the held poll of the successor, so that the next one is sent
// immediately.
func (s *workerSession) interruptSuccessorPoll() {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	if successor := s.successor(); successor != nil {
		successor.interruptPoll()
	}
}

// successor returns the session that took over from this one, or nil. t.mu must be held.
func (s *workerSession) successor() *workerSession {
	for _, candidate := range s.t.sessions {
		if slices.Contains(candidate.predecessors, s) {
			return candidate
		}
	}
	return nil
}

// successorReportedSince reports whether the successor has sent a complete report in
// response to a poll that was sent after since, the ends in it are committed and it lists none of
// the runs as running. A run that is listed as done would otherwise be committed as lost, and its
// task would start again; a run that was stopped may go on for a while after the stop.
func (s *workerSession) successorReportedSince(since time.Time, runs []workflow.Run) bool {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	successor := s.successor()
	return successor != nil && successor.predecessorsReportedAt.After(since) && !successor.listsRunning(runs)
}

// successorMayRun reports whether the last complete report of the successor lists one of the runs as
// running and its lease isn't over.
func (s *workerSession) successorMayRun(runs []workflow.Run, now time.Time) bool {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	successor := s.successor()
	return successor != nil && successor.listsRunning(runs) && !now.After(successor.leaseEnd)
}

// listsRunning reports whether the last complete report lists one of the runs as running. t.mu must be held.
func (s *workerSession) listsRunning(runs []workflow.Run) bool {
	return slices.ContainsFunc(runs, func(run workflow.Run) bool { return s.listedRunning[run.Task] == run.Number })
}

// endPredecessorRuns commits those of the listed ends that belong to runs assigned to
// earlier incarnations of the worker.
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

// unsettledPredecessors returns the sessions of earlier incarnations that haven't ended,
// and removes the others from predecessors.
func (s *workerSession) unsettledPredecessors() []*workerSession {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.predecessors = slices.DeleteFunc(s.predecessors, func(e *workerSession) bool { return s.t.sessions[e.worker.ID] != e })
	return slices.Clone(s.predecessors)
}
