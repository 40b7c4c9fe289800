package control

import (
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// stopCause is why a run is stopped, as logged.
type stopCause string

const (
	stopNone         stopCause = ""
	stopJobEnded     stopCause = "the job has ended"
	stopGangEnded    stopCause = "another member of the gang has ended"
	stopCopyDone     stopCause = "another run of the task is done"
	stopMachineDown  stopCause = "the machine goes down or moves"
	stopWorkerDrains stopCause = "the worker drains"
	stopWorkerLeaves stopCause = "the worker shuts down"
	stopPaused       stopCause = "paused for too long"
	stopStalled      stopCause = "no progress for too long"
	stopUnanswered   stopCause = "its start got no response"
	stopPreempted    stopCause = "preempted by more urgent work"
	stopOrphaned     stopCause = "no pending event will report its end"
)

// pendingStop is a run that is to be stopped.
type pendingStop struct {
	session *workerSession
	run     workflow.Run
	cause   stopCause
}

// stopCauseOf returns why a run of a job is to be stopped, or stopNone if it isn't. job is nil if
// there is no such job any more. t.mu must be held.
func (t *leaderTerm) stopCauseOf(s *workflow.State, job *workflow.Job, run workflow.Run, session *workerSession, now time.Time) stopCause {
	if t.isOrphaned(run, now) {
		// Checked first, because the other causes assume that the end of the run will be
		// reported.
		return stopOrphaned
	}
	if job == nil || job.Cancelled || job.Failed {
		return stopJobEnded
	}
	step := &job.Occurrences[run.Task.Occurrence][run.Task.Step]
	spec := &job.Steps[run.Task.Step]
	switch {
	case spec.Gang && step.GangEndedRun >= run.Number:
		return stopGangEnded
	case spec.AllowsCopies() && step.Tasks[run.Task.Index].Done:
		return stopCopyDone
	case t.stopForMaintenance(s, run, now):
		return stopMachineDown
	case t.stopForDrain(s, session, run, now):
		return stopWorkerDrains
	case session.leaving && session.worker.Draining && session.ready:
		return stopWorkerLeaves
	}
	o := session.orders[run.Task]
	switch {
	case o == nil:
		return stopNone
	case o.preempted:
		return stopPreempted
	case o.pausedTooLong(spec, now):
		return stopPaused
	case o.isStalledTooLong(spec):
		return stopStalled
	case o.unanswered && o.abandoned:
		return stopUnanswered
	}
	return stopNone
}

// stopDue reports whether a stop of the run is to be sent now. A run without an order of
// this leader term is stopped only if it is orphaned or inherited. t.mu must be held.
func (s *workerSession) stopDue(run workflow.Run, cause stopCause, now time.Time) bool {
	o := s.orders[run.Task]
	if o == nil || o.run.Number != run.Number {
		return cause == stopOrphaned || s.inherited[run.Task] == run.Number
	}
	return now.Sub(o.stopSentAt) >= stopRetryInterval
}

// recordStop records that a stop is sent. The first stop of a stalled run counts as a
// failure of its worker. Otherwise the worker, which is idle again, would be the first
// choice for the same task. t.mu must be held.
func (s *workerSession) recordStop(stop pendingStop, now time.Time) {
	o := s.orders[stop.run.Task]
	if o == nil || o.run.Number != stop.run.Number {
		o = &runOrder{run: stop.run, listed: stop.cause != stopOrphaned}
		s.addOrder(o)
	}
	if stop.cause == stopOrphaned && !o.orphaned {
		o.orphaned = true
		s.t.recordOrphan(stop.run, now)
	}
	if o.stopSentAt.IsZero() {
		s.t.logger.Log("event", "stop", "task", stop.run.Task, "run", stop.run.Number, "worker", s.worker.ID, "cause", stop.cause)
		if stop.cause == stopStalled {
			s.failures++
		}
	}
	o.stopSentAt = now
	s.runSummary = runSummary{}
}

// preempt stops the runs whose resources a decision takes for more urgent work.
func (t *leaderTerm) preempt(preemptions []dispatch.Preemption, now time.Time) {
	t.mu.Lock()
	var stops []pendingStop
	for _, p := range preemptions {
		session := t.sessions[p.Worker]
		if session == nil || session.orders[p.Task] == nil {
			continue
		}
		session.orders[p.Task].preempted = true
		stop := pendingStop{session, session.orders[p.Task].run, stopPreempted}
		session.recordStop(stop, now)
		stops = append(stops, stop)
		t.logger.Log("event", "preempt", "task", p.Task, "worker", p.Worker, "for", p.Preemptor)
	}
	t.mu.Unlock()
	t.c.cfg.Counters.Add("preempted", int64(len(stops)))
	t.sendStops(stops)
}

// sendStops sends stops that recordStop has recorded.
func (t *leaderTerm) sendStops(stops []pendingStop) {
	for _, stop := range stops {
		t.spawn(func() { stop.session.sendStop(stop.run) })
	}
}
