package control

import (
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// checkpointLead is how long before its worker leaves a run is stopped so that it saves
// where it is: a stop takes up to 400 ms, and the heartbeat that tells the time may
// be old.
const checkpointLead = 700 * time.Millisecond

// leaves reports whether a run is to be stopped because its worker leaves. A
// long-running task moves as soon as its step can spare it; one with checkpoints
// just before the worker may go, unless it will have ended. t.mu is held.
func (t *leaderTerm) stopForDrain(s *workflow.State, session *workerSession, run workflow.Run, now time.Time) bool {
	if !session.worker.Draining {
		return false
	}
	spec := &s.Jobs[run.Task.Job].Steps[run.Task.Step]
	if spec.LongRunning {
		return t.disruptionAllowed(s, run, spec)
	}
	leavesAt := session.leavesAt
	return spec.Checkpointing && !leavesAt.IsZero() && now.After(leavesAt.Add(-checkpointLead)) && session.expectedEnd(run, spec, now).After(leavesAt)
}

// completePercent is what a long-running task shows that is at work.
const completePercent = 100

// evacuated reports whether a run is to be stopped because its machine goes
// down. A long-running task is moved as soon as its step can spare it, others
// only once their time is up. t.mu is held.
func (t *leaderTerm) stopForMaintenance(s *workflow.State, run workflow.Run, now time.Time) bool {
	state := t.machines.cordoned[run.Worker]
	if state == nil {
		return false
	}
	spec := &s.Jobs[run.Task.Job].Steps[run.Task.Step]
	if spec.LongRunning {
		return t.disruptionAllowed(s, run, spec)
	}
	return state.stop
}

// spared reports whether a long-running task may be interrupted now: fewer others
// of its step are away than the job allows. t.mu is held.
//
// Failure guarded against: tasks that serve users are moved off several machines
// at once, or off one while another is still starting, and too few of them are at
// work. A task counts as away until its worker shows it at work, so one that was
// stopped a moment ago, or whose worker is silent, counts as well.
func (t *leaderTerm) disruptionAllowed(s *workflow.State, run workflow.Run, spec *workflow.Step) bool {
	if o := t.sessions[run.Worker].orders[run.Task]; o != nil && !o.stopSent.IsZero() {
		return true
	}
	// What matters of this run itself is that it will be away.
	ready := t.readyTasks(s, run.Task.StepKey)
	delete(ready, run.Task.Index)
	unavailable := spec.Count - 1 - len(ready)
	return unavailable < max(spec.MaxUnavailable, 1)
}

// readyTasks returns the tasks of a long-running step that their workers show at
// work, and that nobody has asked to stop. t.mu is held.
func (t *leaderTerm) readyTasks(s *workflow.State, key workflow.StepKey) map[int]bool {
	ready := map[int]bool{}
	for id, session := range t.sessions {
		if !session.ready {
			continue
		}
		for task, run := range s.Runs[id] {
			if task.StepKey != key {
				continue
			}
			o := session.orders[task]
			if o != nil && o.run.Number == run.Number && o.stopSent.IsZero() && o.percent >= completePercent {
				ready[task.Index] = true
			}
		}
	}
	return ready
}
