package control

import (
	"context"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// leavingRevokedAfter is the time after an announced shutdown from which on a heartbeat
	// shows that the announcement came from another incarnation.
	leavingRevokedAfter = 3 * time.Second
	// maxLeaveHold is how long one call of Leave waits for the ends of the worker's runs. It is
	// shorter than the time after which the caller begins to look for another leader.
	maxLeaveHold = 150 * time.Millisecond
	// maxLeaveDelay is how long after the first announcement of its shutdown a worker is confirmed
	// even if some of its runs haven't ended. A stop takes less than a second.
	maxLeaveDelay = 2 * time.Second
	// drainingLease is the longest lease of a draining worker. It outlasts one poll that gets no
	// response and the next one.
	drainingLease = maxResponseAge + callTimeout + leaseSlack
	// leaveCheckInterval is the pause between two checks whether the runs have ended.
	leaveCheckInterval = 5 * time.Millisecond
)

// recordLeaving records that an incarnation shuts down, and polls it immediately. It returns
// the session, or nil if the incarnation isn't monitored.
func (t *leaderTerm) recordLeaving(id string) *workerSession {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sessions[id]
	if s != nil {
		s.setLeaving(time.Now())
	}
	return s
}

// recordMachineDown records that the deployment has ended an incarnation together with its
// machine, and polls the incarnation immediately.
func (t *leaderTerm) recordMachineDown(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.sessions[id]; s != nil {
		s.machineDown = true
		s.setLeaving(time.Now())
	}
}

// setLeaving sets leaving and ends the held poll. t.mu must be held.
func (s *workerSession) setLeaving(now time.Time) {
	if !s.leaving {
		s.leaving, s.leavingSince = true, now
	}
	s.interruptPoll()
}

// revokeLeaving clears leaving if a worker keeps sending heartbeats after an announced
// shutdown: the announcement came from an earlier incarnation. t.mu must be held.
func (s *workerSession) revokeLeaving(w *workflow.Worker) {
	if s.worker.StartedAtMS > 0 && s.leaving && !w.Draining && time.Since(s.leavingSince) > leavingRevokedAfter && !s.t.machines.isCordoned(w.ID) {
		s.leaving, s.machineDown = false, false
	}
}

// leaseLength returns the duration of the leases that the worker gets. t.mu must be held.
//
// A draining worker may end at any moment. If its last runs end unreported, their tasks wait until its lease
// expires.
func (s *workerSession) leaseLength() time.Duration {
	if s.worker.Draining {
		return min(s.t.lease, drainingLease)
	}
	return s.t.lease
}

// stopLeavingRuns stops the runs of a draining worker that has announced its shutdown, and waits
// for their ends. It reports whether the confirmation has to wait for further ends.
//
// A worker ends as soon as its announcement is confirmed, and one that gets no confirmation runs on
// for seconds. Silence doesn't tell the two apart. A run whose end the worker hasn't reported
// before would block its task until the lease expires.
func (s *workerSession) stopLeavingRuns(ctx context.Context) (runsEnding bool) {
	now := time.Now()
	s.t.mu.Lock()
	// Without a draining heartbeat the announcement may come from an earlier incarnation.
	draining, confirmBy := s.worker.Draining, s.leavingSince.Add(maxLeaveDelay)
	s.t.mu.Unlock()
	if !draining {
		return false
	}
	s.t.sendStops(s.recordLeavingStops(now))
	holdUntil := now.Add(maxLeaveHold)
	for s.hasEndingRuns() && time.Now().Before(confirmBy) {
		if time.Now().After(holdUntil) || !wait.For(ctx, leaveCheckInterval) {
			return true
		}
	}
	return false
}

// recordLeavingStops records and returns the stops that are due for the runs of a worker that
// shuts down.
func (s *workerSession) recordLeavingStops(now time.Time) (stops []pendingStop) {
	runs := s.liveRuns()
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	for _, run := range runs {
		if !s.stopDue(run, stopWorkerLeaves, now) {
			continue
		}
		stop := pendingStop{s, run, stopWorkerLeaves}
		s.recordStop(stop, now)
		stops = append(stops, stop)
	}
	return stops
}

// hasEndingRuns reports whether the worker has live runs that are being stopped, unless the last stop got no
// response.
func (s *workerSession) hasEndingRuns() bool {
	runs := s.liveRuns()
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	return slices.ContainsFunc(runs, func(run workflow.Run) bool {
		o := s.orders[run.Task]
		return o != nil && o.run.Number == run.Number && !o.stopSentAt.IsZero() && !o.stopUnanswered
	})
}

// hasRuns reports whether the worker has runs that may be alive.
func (s *workerSession) hasRuns() (has bool) {
	s.t.c.state.read(func(state *workflow.State) { has = len(state.Runs[s.worker.ID]) > 0 })
	return has
}
