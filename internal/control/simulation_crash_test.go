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
	// used: the 3 s until which the leader has to know the change, and two heartbeats.
	shrinkGrace = 3*time.Second + 2*simHeartbeatInterval*heartbeatGroups
	// maxCrashDowntime scales how long a worker stays down after a task has crashed it:
	// between 0.1 and 1.1 times this.
	maxCrashDowntime = 8 * time.Second
)

// isCrashingTask reports whether a task crashes each worker that starts it.
func (r *simWorkers) isCrashingTask(task workflow.TaskKey) bool {
	return seededFloat(r.seed, "crasher", task) < r.params.crashingTaskChance
}

// scheduleCrash makes a worker crash up to 60 ms after it has started a crashing task.
// r.mu must be held.
func (r *simWorkers) scheduleCrash(w *simWorker, run workflow.Run) {
	if !r.isCrashingTask(run.Task) {
		return
	}
	if r.crashes[run.Task] >= crashesUntilGivenUp {
		if r.startsAfterThirdCrash[run.Task]++; r.startsAfterThirdCrash[run.Task] > maxStartsAfterThirdCrash {
			r.violations = append(r.violations, fmt.Sprintf("%s is started again after it has crashed %d workers", run.Task, r.crashes[run.Task]))
		}
	}
	draw := func(what string) float64 { return seededFloat(r.seed, what, run.Task, run.Number) }
	time.AfterFunc(time.Duration(draw("crash after")*float64(maxCrashDelay)), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if at := w.running[run.Task]; at == nil || at.number != run.Number {
			return
		}
		r.lines.logRun("crashes", w, run, nil)
		r.crash(w)
		r.scheduleReturn(w, time.Duration((0.1+draw("back after"))*float64(maxCrashDowntime)))
	})
}

// scheduleReturn starts the next incarnation of a worker after a downtime.
func (r *simWorkers) scheduleReturn(w *simWorker, downtime time.Duration) {
	incarnation := 0
	if _, err := fmt.Sscanf(w.ID, w.Address+".%d", &incarnation); err != nil {
		return
	}
	time.AfterFunc(downtime, func() { r.add(w.Address, incarnation+1) })
}

// allowedCapacity returns the maximum resources that runs may occupy on the worker. After
// a reduction the larger capacity counts for shrinkGrace.
func (w *simWorker) allowedCapacity(now time.Time) workflow.Resources {
	if now.Sub(w.changedAt) < shrinkGrace {
		return w.Capacity.Max(w.previousCapacity)
	}
	return w.Capacity
}

// resize changes a worker's capacity.
func (w *simWorker) resize(capacity workflow.Resources, now time.Time) {
	had := w.allowedCapacity(now)
	w.Capacity, w.previousCapacity, w.changedAt = capacity, had, now
}

// shrinkSome reduces the number of cores of about a third of the workers, by the same
// share.
func (x *simulation) shrinkSome() {
	share := 0.2 + 0.8*x.random.Float64()
	x.changeSome(func(w *simWorker) {
		capacity := x.params.capacity
		capacity.MilliCPU = int64(share * float64(capacity.MilliCPU))
		w.resize(capacity, time.Now())
	})
}

// restoreCapacities gives all workers their full capacity back. r.mu must be held.
func (r *simWorkers) restoreCapacities() {
	for _, w := range r.all {
		w.resize(r.params.capacity, time.Now())
	}
}

// wronglyGivenUp returns the jobs that were given up because of a task, although fewer
// than minCrashedWorkers workers have crashed while they ran it.
func (x *simulation) wronglyGivenUp() (found []string) {
	x.workers.mu.Lock()
	defer x.workers.mu.Unlock()
	x.state.read(func(s *workflow.State) {
		for id, job := range s.Jobs {
			if job.CrashingTask != nil && x.workers.crashes[*job.CrashingTask] < minCrashedWorkers {
				found = append(found, fmt.Sprintf("%s/ is given up because of %s, which %d workers ran when they crashed", id, *job.CrashingTask, x.workers.crashes[*job.CrashingTask]))
			}
		}
	})
	return found
}

// hasCrashingTask reports whether a task of the job crashes its workers.
func (r *simWorkers) hasCrashingTask(job *workflow.Job) bool {
	for step := range job.Steps {
		for index := range job.Steps[step].Count {
			if r.isCrashingTask(workflow.TaskKey{StepKey: workflow.StepKey{Job: job.ID, Step: step}, Index: index}) {
				return true
			}
		}
	}
	return false
}

// containsCrashingTask reports whether a job has a task that crashes its workers. Such a
// job may wait without bound.
func (x *simulation) containsCrashingTask(id string) (found bool) {
	x.state.read(func(s *workflow.State) {
		job := s.Jobs[id]
		found = job != nil && x.workers.hasCrashingTask(job)
	})
	return found
}

// countGivenUp counts the jobs that were given up because of crashes: those with a
// crashing task and those without one.
func (x *simulation) countGivenUp() (withCrashingTask, withoutCrashingTask int) {
	x.state.read(func(s *workflow.State) {
		for _, job := range s.Jobs {
			switch {
			case job.CrashingTask == nil:
			case x.workers.hasCrashingTask(job):
				withCrashingTask++
			default:
				withoutCrashingTask++
			}
		}
	})
	return withCrashingTask, withoutCrashingTask
}
