package control

import (
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// checkpointLead is how long before the shutdown of its worker a run is stopped so that
// it saves a checkpoint. A stop takes up to 400 ms, and the heartbeat that announced the
// shutdown time may be old.
const checkpointLead = 700 * time.Millisecond

// stopForDrain reports whether a run is to be stopped because its worker drains. A
// long-running task is stopped as soon as its step may be disrupted. A task with
// checkpoints is stopped checkpointLead before the worker may shut down, unless it is
// expected to end before the shutdown. t.mu must be held.
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

// completePercent is 100 %, the progress of a finished run. A long-running task reports
// it once it is ready to serve.
const completePercent = 100

// stopForMaintenance reports whether a run is to be stopped because its machine goes down
// for maintenance or moves. A long-running task is stopped as soon as its step may be
// disrupted, others only when the runs of the machine are to be stopped. t.mu must be
// held.
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

// disruptionAllowed reports whether a run of a long-running task may be interrupted now:
// fewer other tasks of its step are unavailable than the job allows. t.mu must be held.
//
// If serving tasks were moved off several machines at the same time, or off one while a
// moved task is still starting, too few tasks would be ready. A task counts as
// unavailable until its worker reports it as ready, so a task that has just been stopped,
// or whose worker is unresponsive, counts as well.
func (t *leaderTerm) disruptionAllowed(s *workflow.State, run workflow.Run, spec *workflow.Step) bool {
	if o := t.sessions[run.Worker].orders[run.Task]; o != nil && !o.stopSentAt.IsZero() {
		return true
	}
	// The run itself becomes unavailable, whatever its state is now.
	ready := t.readyTasks(s, run.Task.StepKey)
	delete(ready, run.Task.Index)
	unavailable := spec.Count - 1 - len(ready)
	return unavailable < max(spec.MaxUnavailable, 1)
}

// readyTasks returns the tasks of a long-running step that are reported as ready and
// haven't been ordered to stop. t.mu must be held.
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
			if o != nil && o.run.Number == run.Number && o.stopSentAt.IsZero() && o.percent >= completePercent {
				ready[task.Index] = true
			}
		}
	}
	return ready
}
