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
	// clockSlack is by how much an answer's clock may be off what the clock before it leads
	// one to expect, beside the drift: a call's way and the scheduling of both processes.
	clockSlack = 2 * time.Second
	// staysAfter is how long after a worker was said to end its heartbeats show that another
	// life of it was meant.
	staysAfter = 3 * time.Second
	// earlierWait holds a look at a worker while runs of its earlier lives aren't settled.
	earlierWait = 50 * time.Millisecond
	// nextLifePause is the time between two looks at what the next life has listed.
	nextLifePause = 20 * time.Millisecond
)

// latestLife returns the incarnation that a call means which may name a worker only.
func (t *tenure) latestLife(incarnation, name string) string {
	t.c.state.read(func(s *workflow.State) {
		namesNoLife := incarnation == name || s.Workers[incarnation] == nil
		if newest := s.Newest(name); namesNoLife && newest != nil {
			incarnation = newest.ID
		}
	})
	return incarnation
}

// noteOutlived lets the session with a worker's latest life, if there is one, take over from
// one with a life before. t.mu is held, or t isn't shared yet.
func (t *tenure) noteOutlived(s *session, state *workflow.State) {
	if !state.Outlived(&s.worker) {
		return
	}
	s.outlived = true
	if latest := t.sessions[state.Newest(s.worker.Name).ID]; latest != nil {
		latest.takeOver(s)
	}
}

// takeOverAll lets a session with a worker's latest life take over from those with the lives
// before. t.mu is held.
func (t *tenure) takeOverAll(latest *session) {
	for _, s := range t.sessions {
		if latest.worker.Replaces(&s.worker) {
			latest.takeOver(s)
		}
	}
}

// takeOver ends a session with a life of the worker before this one, and has its runs settled
// with what this life lists. t.mu is held, or the tenure isn't shared yet.
func (s *session) takeOver(earlier *session) {
	earlier.outlived = true
	s.earlier = append(s.earlier, earlier)
	// Orders to the life before may be carried out by this one, with leases that its clock
	// doesn't know: they are cut to the longest that it grants.
	if end := time.Now().Add(lapsesWithin(s.t.c.cfg.Bounds.LeaseMax)); end.After(s.leaseEnd) {
		s.leaseEnd = end
	}
	earlier.hurry()
}

func (s *session) isOutlived() bool {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	return s.outlived
}

// noteStays takes in that a worker that was said to end goes on announcing itself: an
// earlier life of it was meant. t.mu is held.
func (s *session) noteStays(w *workflow.Worker) {
	if s.worker.Born > 0 && s.leaving && !w.Draining && time.Since(s.leftAt) > staysAfter && !s.t.machines.isCordoned(w.ID) {
		s.leaving = false
	}
}

// mayBeAnotherLife reports whether what answers next may be another life of the worker.
// t.mu is held.
//
// Failure guarded against: a look tells a life that has only begun that its first ends are
// taken note of, since as many of the life before were; no list shows them then.
func (s *session) mayBeAnotherLife() bool { return s.worker.Born > 0 && (s.doubted || s.outlived) }

// clockJumps reports whether a clock shows another life than the answers before it. t.mu is
// held.
func (s *session) clockJumps(clockMS int64, now time.Time) bool {
	if s.worker.Born == 0 || clockMS <= 0 || s.clockAt.IsZero() {
		return false
	}
	elapsed := now.Sub(s.clockAt)
	off := time.Duration(clockMS-s.clockMS)*time.Millisecond - elapsed
	return off.Abs() > clockSlack+time.Duration(float64(elapsed)*(driftFactor-1))
}

// settleWithNextLife settles the runs that a later life of the worker may have been told to
// begin: each is stopped there, and whatever it has listed by then holds.
//
// Failure guarded against: a start that got no answer before the worker crashed is carried
// out seconds later by its next life, which has its id and has seen no fence, beside the run
// that its task has elsewhere by then.
func (s *session) settleWithNextLife(why string, outcome workflow.Outcome) {
	if s.worker.Born == 0 {
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
	s.loseRuns(why, outcome, s.beganHere)
	left := s.runsLeft()
	if len(left) == 0 {
		return
	}
	begun := time.Now()
	var stops errgroup.Group
	stops.SetLimit(startsAtOnce)
	for _, run := range left {
		stops.Go(func() error { s.stopAtNextLife(run, begun.Add(forgetWorker)); return nil })
	}
	_ = stops.Wait()
	listed := s.awaitNextLists(begun.Add(forgetWorker))
	s.t.logger.Log("event", "next_life", "worker", s.worker.ID, "runs", len(left), "listed", listed,
		"ms", time.Since(begun).Milliseconds())
}

// beganHere reports whether a run was begun by this life for sure, and no call of its start
// is open. t.mu is held.
func (s *session) beganHere(run workflow.Run) bool {
	o := s.orders[run.Task]
	return o != nil && o.run.Number == run.Number && o.openCalls == 0 && !o.startedAt.IsZero() && s.listsSent.After(o.startedAt)
}

// runsLeft returns the runs of the session's worker that may be alive.
func (s *session) runsLeft() (runs []workflow.Run) {
	s.t.c.state.read(func(state *workflow.State) {
		for _, run := range state.Runs[s.worker.ID] {
			runs = append(runs, run)
		}
	})
	return runs
}

// stopAtNextLife stops a run at the worker's address until the stop is answered: from then
// on no life there begins it.
func (s *session) stopAtNextLife(run workflow.Run, last time.Time) {
	for s.t.ctx.Err() == nil && time.Now().Before(last) {
		_, err := s.callStop(run)
		if err == nil || errors.Is(err, ErrOtherIncarnation) {
			return
		}
		wait.For(s.t.ctx, retryPause)
	}
}

// awaitNextLists waits until the worker's next life has shown what it runs and what has
// ended there, by lists that were asked for from now on.
func (s *session) awaitNextLists(last time.Time) bool {
	asked := time.Now()
	s.hurryNextLife()
	for time.Now().Before(last) {
		if s.nextListsSince(asked) {
			return true
		}
		if !wait.For(s.t.ctx, nextLifePause) {
			return false
		}
	}
	return false
}

// hurryNextLife lets the next look at the worker's next life begin at once.
func (s *session) hurryNextLife() {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	if next := s.nextLife(); next != nil {
		next.hurry()
	}
}

// nextLife is the session that has taken this one's place, nil for none. t.mu is held.
func (s *session) nextLife() *session {
	for _, next := range s.t.sessions {
		if slices.Contains(next.earlier, s) {
			return next
		}
	}
	return nil
}

func (s *session) nextListsSince(asked time.Time) bool {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	next := s.nextLife()
	return next != nil && next.listsSent.After(asked)
}

// endRunsOfEarlierLives takes in ends that the worker lists of runs that were given to its
// life before.
func (s *session) endRunsOfEarlierLives(listed []workflow.RunEnd) {
	for _, earlier := range s.unsettledLives() {
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

// unsettledLives returns the sessions with earlier lives of the worker, and forgets those
// that are over.
func (s *session) unsettledLives() []*session {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.earlier = slices.DeleteFunc(s.earlier, func(e *session) bool { return s.t.sessions[e.worker.ID] != e })
	return slices.Clone(s.earlier)
}
