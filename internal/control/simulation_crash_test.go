package control

import (
	"fmt"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// crashesUntilGivenUp is how many workers a task may crash before its job is given up.
	crashesUntilGivenUp = 3
	// maxCrashDelay bounds the time from the start of a crashing task to the crash.
	maxCrashDelay = 60 * time.Millisecond
	// maxStartsAfterThirdCrash bounds the starts of a task that has crashed three
	// workers.
	maxStartsAfterThirdCrash = 2
	// minCrashedWorkers is how many workers must have crashed while they ran a task
	// before its job may be given up.
	minCrashedWorkers = 2
	// shrinkGrace is how long after a capacity change the larger capacity may still be
	// used: the 3 s within which the leader has to learn of the change, and two
	// heartbeats.
	shrinkGrace = 3*time.Second + 2*simHeartbeatInterval*heartbeatGroups
	// crashDowntimeScale scales how long a worker stays down after a task has crashed it:
	// between 0.1 and 1.1 times crashDowntimeScale.
	crashDowntimeScale = 8 * time.Second
)

// isCrashingTask reports whether a task crashes each worker that starts it.
func (ws *simWorkers) isCrashingTask(task workflow.TaskKey) bool {
	return seededFloat(ws.seed, "crasher", task) < ws.params.crashingTaskProbability
}

// scheduleCrash makes a worker crash up to 60 ms after it has started a crashing task.
// ws.mu must be held.
func (ws *simWorkers) scheduleCrash(w *simWorker, run workflow.Run) {
	if !ws.isCrashingTask(run.Task) {
		return
	}
	if ws.crashes[run.Task] >= crashesUntilGivenUp {
		if ws.startsAfterThirdCrash[run.Task]++; ws.startsAfterThirdCrash[run.Task] > maxStartsAfterThirdCrash {
			ws.violations = append(ws.violations, fmt.Sprintf("%s is started again after it has crashed %d workers", run.Task, ws.crashes[run.Task]))
		}
	}
	draw := func(quantity string) float64 { return seededFloat(ws.seed, quantity, run.Task, run.Number) }
	time.AfterFunc(time.Duration(draw("crash after")*float64(maxCrashDelay)), func() {
		ws.mu.Lock()
		defer ws.mu.Unlock()
		if current := w.running[run.Task]; current == nil || current.number != run.Number {
			return
		}
		ws.eventLog.logRun("crashes", w, run, nil)
		ws.crash(w)
		ws.scheduleReturn(w, time.Duration((0.1+draw("back after"))*float64(crashDowntimeScale)))
	})
}

// scheduleReturn starts the next incarnation of a worker after a downtime.
func (ws *simWorkers) scheduleReturn(w *simWorker, downtime time.Duration) {
	incarnation := 0
	if _, err := fmt.Sscanf(w.ID, w.Address+".%d", &incarnation); err != nil {
		return
	}
	time.AfterFunc(downtime, func() { ws.add(w.Address, incarnation+1) })
}

// allowedCapacity returns the maximum resources that runs may occupy on the worker. After
// a reduction the larger capacity counts for shrinkGrace.
func (w *simWorker) allowedCapacity(now time.Time) workflow.Resources {
	if now.Sub(w.capacityChangedAt) < shrinkGrace {
		return w.Capacity.Max(w.previousCapacity)
	}
	return w.Capacity
}

// resize changes a worker's capacity.
func (w *simWorker) resize(capacity workflow.Resources, now time.Time) {
	had := w.allowedCapacity(now)
	w.Capacity, w.previousCapacity, w.capacityChangedAt = capacity, had, now
}

// shrinkRandomWorkers reduces the number of cores of about a third of the workers to the
// same random share.
func (sim *simulation) shrinkRandomWorkers() {
	share := 0.2 + 0.8*sim.random.Float64()
	sim.changeRandomWorkers(func(w *simWorker) {
		capacity := sim.params.capacity
		capacity.MilliCPU = int64(share * float64(capacity.MilliCPU))
		w.resize(capacity, time.Now())
	})
}

// restoreCapacities gives all workers their full capacity back. ws.mu must be held.
func (ws *simWorkers) restoreCapacities() {
	for _, w := range ws.incarnations {
		w.resize(ws.params.capacity, time.Now())
	}
}

// wronglyGivenUp returns the jobs that were given up because of a task, although fewer
// than minCrashedWorkers workers have crashed while they ran it.
func (sim *simulation) wronglyGivenUp() (found []string) {
	sim.workers.mu.Lock()
	defer sim.workers.mu.Unlock()
	sim.state.read(func(s *workflow.State) {
		for id, job := range s.Jobs {
			if job.CrashingTask != nil && sim.workers.crashes[*job.CrashingTask] < minCrashedWorkers {
				found = append(found, fmt.Sprintf("%s/ is given up because of %s, which %d workers ran when they crashed", id, *job.CrashingTask, sim.workers.crashes[*job.CrashingTask]))
			}
		}
	})
	return found
}

// hasCrashingTask reports whether a task of the job crashes its workers.
func (ws *simWorkers) hasCrashingTask(job *workflow.Job) bool {
	for step := range job.Steps {
		for index := range job.Steps[step].Count {
			if ws.isCrashingTask(workflow.TaskKey{StepKey: workflow.StepKey{Job: job.ID, Step: step}, Index: index}) {
				return true
			}
		}
	}
	return false
}

// containsCrashingTask reports whether a job has a task that crashes its workers. Such a
// job may wait without bound.
func (sim *simulation) containsCrashingTask(id string) (found bool) {
	sim.state.read(func(s *workflow.State) {
		job := s.Jobs[id]
		found = job != nil && sim.workers.hasCrashingTask(job)
	})
	return found
}

// countGivenUp counts the jobs that were given up because of crashes: those with a
// crashing task and those without one.
func (sim *simulation) countGivenUp() (withCrashingTask, withoutCrashingTask int) {
	sim.state.read(func(s *workflow.State) {
		for _, job := range s.Jobs {
			switch {
			case job.CrashingTask == nil:
			case sim.workers.hasCrashingTask(job):
				withCrashingTask++
			default:
				withoutCrashingTask++
			}
		}
	})
	return withCrashingTask, withoutCrashingTask
}
