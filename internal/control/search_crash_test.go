package control

import (
	"fmt"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// startsAfterThird is how many starts of a task that crashes its workers may follow the
	// third crash.
	startsAfterThird = 2
	// crashedLeast is how many workers must have crashed under a task that is given up.
	crashedLeast = 2
	// shrinkTold is how long after a change of its capacity the larger one may be used: the
	// longest that the users grant until the change is known, and two heartbeats.
	shrinkTold = 3*time.Second + 2*beatPause*heartbeatEach
	// soonBack bounds how long a worker stays away that a task has crashed.
	soonBack = 8 * time.Second
)

// isCrasher reports whether a task crashes each worker that begins it.
func (r *searchWorkers) isCrasher(task workflow.TaskKey) bool {
	return chance(r.seed, "crasher", task) < r.drawn.crashers
}

// crashLater lets the worker crash some milliseconds after it has begun a task that crashes
// its workers; r.mu is held.
func (r *searchWorkers) crashLater(w *searchWorker, run workflow.Run) {
	if !r.isCrasher(run.Task) {
		return
	}
	if r.crashes[run.Task] >= 3 {
		if r.afterThird[run.Task]++; r.afterThird[run.Task] > startsAfterThird {
			r.broken = append(r.broken, fmt.Sprintf("%s is started again after it has crashed %d workers", run.Task, r.crashes[run.Task]))
		}
	}
	draw := func(what string) float64 { return chance(r.seed, what, run.Task, run.Number) }
	time.AfterFunc(time.Duration(draw("crash after")*float64(60*time.Millisecond)), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if at := w.running[run.Task]; at == nil || at.number != run.Number {
			return
		}
		r.lines.note("crashes", w, run, nil)
		r.crash(w)
		r.comeBack(w, time.Duration((0.1+draw("back after"))*float64(soonBack)))
	})
}

// comeBack lets the next incarnation of a worker begin after a time.
func (r *searchWorkers) comeBack(w *searchWorker, away time.Duration) {
	life := 0
	if _, err := fmt.Sscanf(w.ID, w.Address+".%d", &life); err != nil {
		return
	}
	time.AfterFunc(away, func() { r.add(w.Address, life+1) })
}

// capacityTold is the most that a worker may be filled up to: a change counts once it could
// be known.
func (w *searchWorker) capacityTold(now time.Time) workflow.Resources {
	if now.Sub(w.changedAt) < shrinkTold {
		return w.Capacity.Max(w.had)
	}
	return w.Capacity
}

// resize changes a worker's capacity.
func (w *searchWorker) resize(capacity workflow.Resources, now time.Time) {
	had := w.capacityTold(now)
	w.Capacity, w.had, w.changedAt = capacity, had, now
}

// shrinkSome lets a third of the workers have a part of their capacity.
func (x *search) shrinkSome() {
	share := 0.2 + 0.8*x.random.Float64()
	x.each(func(w *searchWorker) {
		capacity := x.drawn.capacity
		capacity.MilliCPU = int64(share * float64(capacity.MilliCPU))
		w.resize(capacity, time.Now())
	})
}

// growAll gives all workers their whole capacity; r.mu is held.
func (r *searchWorkers) growAll() {
	for _, w := range r.all {
		w.resize(r.drawn.capacity, time.Now())
	}
}

// givenUpWrongly returns the jobs that were given up for a task that hardly a worker has
// crashed under.
func (x *search) givenUpWrongly() (found []string) {
	x.workers.mu.Lock()
	defer x.workers.mu.Unlock()
	x.state.read(func(s *workflow.State) {
		for id, job := range s.Jobs {
			if job.Crasher != nil && x.workers.crashes[*job.Crasher] < crashedLeast {
				found = append(found, fmt.Sprintf("%s/ is given up for %s, under which %d workers crashed", id, *job.Crasher, x.workers.crashes[*job.Crasher]))
			}
		}
	})
	return found
}

// hasCrasher reports whether a task of the job crashes its workers.
func (r *searchWorkers) hasCrasher(job *workflow.Job) bool {
	for step := range job.Steps {
		for index := range job.Steps[step].Count {
			if r.isCrasher(workflow.TaskKey{StepKey: workflow.StepKey{Job: job.ID, Step: step}, Index: index}) {
				return true
			}
		}
	}
	return false
}

// mayBeHeld reports whether a job may wait: it has a task that crashes its workers.
func (x *search) mayBeHeld(id string) (held bool) {
	x.state.read(func(s *workflow.State) {
		job := s.Jobs[id]
		held = job != nil && x.workers.hasCrasher(job)
	})
	return held
}

// givenUp counts the jobs that were given up and have a task that crashes its workers, and
// the others that were given up.
func (x *search) givenUp() (crashers, others int) {
	x.state.read(func(s *workflow.State) {
		for _, job := range s.Jobs {
			switch {
			case job.Crasher == nil:
			case x.workers.hasCrasher(job):
				crashers++
			default:
				others++
			}
		}
	})
	return crashers, others
}
