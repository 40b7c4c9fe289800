package state

import (
	"fmt"
	"slices"

	"github.com/bilberryferry/bilberryferry/placement"
)

// start starts attempts of queued tasks. Each item is checked against the committed
// state again, since the plan was made from an earlier one: no task is started of a
// job that was cancelled meanwhile, or on a worker that has gone down or has too
// few free resources left.
func (s *State) start(now int64, c *Start) Result {
	var r Result
	gangs := make(map[string]bool)
	for _, item := range c.Items {
		j := s.Jobs[item.Job]
		switch {
		case j == nil || !item.isPossible():
		case j.Spec.Policy != placement.Gang:
			if started, ok := s.startTask(now, j, item); ok {
				r.Started = append(r.Started, started)
			}
		case !gangs[j.ID]:
			gangs[j.ID] = true
			r.Started = append(r.Started, s.startGang(now, j, c.Items)...)
		}
	}
	return r
}

// isPossible reports whether a task may need what the item reserves.
func (i *StartItem) isPossible() bool { return i.RaisedNeed == nil || isNeed(*i.RaisedNeed) }

// startGang starts all queued tasks of a gang on the workers of the plan, or none.
// A part of a gang would occupy workers while the rest waits for resources.
func (s *State) startGang(now int64, j *Job, items []StartItem) []StartedAttempt {
	var gangItems []StartItem
	for _, item := range items {
		if item.Job == j.ID && item.isPossible() {
			gangItems = append(gangItems, item)
		}
	}
	if !s.gangFits(now, j, gangItems) {
		return nil
	}
	started := make([]StartedAttempt, 0, len(gangItems))
	for _, item := range gangItems {
		attempt, ok := s.startTask(now, j, item)
		if !ok {
			panic("state: gang " + j.ID + " was started only in part")
		}
		started = append(started, attempt)
	}
	return started
}

// gangFits reports whether the items cover all queued tasks of the gang and all
// of them can start now.
func (s *State) gangFits(now int64, j *Job, items []StartItem) bool {
	ready := 0
	for i := range j.Tasks {
		if j.Tasks[i].State == TaskQueued && j.Tasks[i].NotBefore <= now {
			ready++
		}
	}
	queued, _, _ := j.Counts()
	var total placement.Resources
	needs := make(map[string]placement.Resources)
	for _, item := range items {
		need := j.need(item)
		total = add(total, need)
		needs[item.Worker] = add(needs[item.Worker], need)
	}
	if !j.startable() || len(items) != queued || ready != queued || !s.withinQuota(j.Customer, total) {
		return false
	}
	for id, need := range needs {
		if !s.fitsOn(s.Workers[id], need) {
			return false
		}
	}
	return true
}

// startable reports whether tasks of the job may be started at all.
func (j *Job) startable() bool {
	return !j.Closing && !j.State.Ended() && j.State != JobPendingHandover
}

// fitsOn reports whether the worker accepts tasks and has at least need free.
func (s *State) fitsOn(w *Worker, need placement.Resources) bool {
	return w != nil && !w.Down && !w.Draining && fits(add(w.Used, need), w.Capacity)
}

// need returns the amount to reserve for one task of a plan item.
func (j *Job) need(item StartItem) placement.Resources {
	if item.RaisedNeed == nil {
		return j.Spec.Need
	}
	return atLeast(j.Spec.Need, *item.RaisedNeed)
}

// startTask starts the first queued task of the job that is past its backoff, if
// the job, the worker and the quota allow a start. It reports whether it started
// one.
func (s *State) startTask(now int64, j *Job, item StartItem) (StartedAttempt, bool) {
	worker, need := item.Worker, j.need(item)
	w := s.Workers[worker]
	if !j.startable() || !s.fitsOn(w, need) || !s.withinQuota(j.Customer, need) {
		return StartedAttempt{}, false
	}
	i := slices.IndexFunc(j.Tasks, func(t Task) bool { return t.State == TaskQueued && t.NotBefore <= now })
	if i < 0 {
		return StartedAttempt{}, false
	}
	t := &j.Tasks[i]
	// A non-idempotent task has one attempt. It returns to the queue only after
	// its worker has proved that the attempt never ran, so a second run is a
	// defect.
	if t.Runs > 0 && !j.Spec.Idempotent {
		panic(fmt.Sprintf("state: second attempt of non-idempotent task %d of %s", i, j.ID))
	}
	t.Attempt++
	t.State = TaskRunning
	t.Runs++
	t.Worker, t.Incarnation = worker, w.Incarnation
	t.Started = now
	t.Stopping, t.Preempted = false, false
	t.NotBefore = 0
	t.RaisedNeed = placement.Resources{}
	if need != j.Spec.Need {
		t.RaisedNeed = need
	}
	if j.Started == 0 {
		j.Started = now
	}
	j.State = JobRunning
	w.Used = add(w.Used, need)
	w.assertWithinCapacity()
	ref := j.attemptRef(i)
	s.occupy(worker, ref)
	s.used[j.Customer] = add(s.used[j.Customer], need)
	s.changes.Placed = append(s.changes.Placed, j.placedTask(i))
	s.markChanged(j)
	s.recordEvent("attempt started", fmt.Sprintf("task %d attempt %d", i, t.Attempt), j.ID, worker)
	return StartedAttempt{Ref: ref, Worker: worker, Incarnation: w.Incarnation}, true
}
