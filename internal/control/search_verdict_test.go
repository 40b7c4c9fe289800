package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// grantedWait is how long a ready task with room twice over may wait.
	grantedWait = 3 * time.Second
	// unaccountedMost is how long a run may be without an owner: its end may have to wait for
	// a log that takes nothing.
	unaccountedMost = grantedWait + longestSpell
	// verdictPause is the time between two looks at what waits.
	verdictPause = 50 * time.Millisecond
	// roomTwice is how many times over a task must have room.
	roomTwice = 2
)

// always returns what must not be at any time.
func (x *search) always() []string {
	x.workers.mu.Lock()
	found := append(slices.Clone(x.workers.broken), x.lines.claims(x.workers.mayClaim)...)
	x.workers.mu.Unlock()
	found = append(found, x.givenUpWrongly()...)
	c := x.controller()
	c.mu.Lock()
	t := c.tenure
	c.mu.Unlock()
	if t == nil {
		return found
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x.behind = max(x.behind, t.behind)
	if t.runCounts.longest < unaccountedMost {
		return found
	}
	for run, since := range t.unaccounted {
		if age := time.Since(since); age >= unaccountedMost {
			found = append(found, fmt.Sprintf("nothing tells the end of %s run %d on %s for %v", run.Task, run.Number, run.Worker, age))
		}
	}
	return found
}

// openStep is a ready step of which a task isn't done.
type openStep struct {
	key      workflow.StepKey
	queue    string
	spec     workflow.Step
	unbegun  []int
	possible bool
	// room is how many of its tasks fit now, twice over or not.
	room int
}

// verdict watches the calm until all work that can be done has been, and returns what
// waits for longer than it may.
func (x *search) verdict() []string {
	calm := time.Now()
	work, asks := x.outstanding()
	// What ran on lost workers is free for others only when their leases have ended; some
	// workers are set aside.
	settled := 2*x.drawn.lease + predecessorSlack + quarantineFor + moveAfter
	drained := settled + work + asks
	last := calm.Add(2*drained + 30*time.Second)
	idle := map[workflow.StepKey]time.Time{}
	x.lines.say("settled after %v, drained after %v", settled, drained)
	for {
		time.Sleep(verdictPause)
		if found := x.always(); len(found) > 0 {
			return found
		}
		open, usedMost := x.openSteps()
		left := slices.DeleteFunc(open, func(s openStep) bool { return !s.possible })
		if len(left) == 0 {
			return nil
		}
		if time.Now().After(last) {
			return x.describe("isn't done long after the calm began:", left)
		}
		if found := x.idleSteps(left, idle, usedMost, calm.Add(drained)); len(found) > 0 {
			return x.describe("has room and nothing takes it up:", found)
		}
	}
}

// idleSteps returns the steps that have had room twice over for too long without a start.
func (x *search) idleSteps(steps []openStep, idle map[workflow.StepKey]time.Time, usedMost bool, from time.Time) (found []openStep) {
	now := time.Now()
	waiting := map[workflow.StepKey]bool{}
	for _, s := range steps {
		least := roomTwice
		if s.spec.Gang {
			least *= s.spec.Count
		}
		if x.mayBeHeld(s.key.Job) || len(s.unbegun) == 0 || s.room < least || usedMost || now.Before(from) {
			continue
		}
		waiting[s.key] = true
		x.workers.mu.Lock()
		started := x.workers.lastStart[s.key]
		x.workers.mu.Unlock()
		if since, ok := idle[s.key]; !ok || since.Before(started) {
			idle[s.key] = now
		} else if now.Sub(since) > x.mayWait(&s) {
			found = append(found, s)
		}
	}
	for key := range idle {
		if !waiting[key] {
			delete(idle, key)
		}
	}
	return found
}

// mayWait is how long a step may wait: what the users grant, and the questions that it
// may have to put one after the other.
func (x *search) mayWait(s *openStep) time.Duration {
	for i := range x.drawn.queues {
		if q := &x.drawn.queues[i]; q.Identity() == s.queue {
			return grantedWait + x.drawn.askTime(q, &s.spec)
		}
	}
	return grantedWait
}

// outstanding bounds how long what is open when the calm begins takes: its work on a part
// of the cores, and its questions.
func (x *search) outstanding() (work, asks time.Duration) {
	open, _ := x.openSteps()
	cores := float64(x.drawn.workers) * float64(x.drawn.capacity.MilliCPU) * x.drawn.share / 4
	longest := time.Duration(0)
	for i := range open {
		s := &open[i]
		asks += x.mayWait(s) - grantedWait
		if !s.possible {
			continue
		}
		job := x.stepsOf(s.key.Job)
		work += time.Duration(workOf(job) / cores * float64(time.Millisecond))
		for j := range job {
			longest = max(longest, 2*time.Duration(job[j].EstimateMS*int64(job[j].Count))*time.Millisecond)
		}
	}
	return work + longest, 2 * asks / time.Duration(x.drawn.lanes)
}

func (x *search) stepsOf(job string) []workflow.Step {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.steps[job]
}

// openSteps returns the ready steps that aren't done, and whether half of the cores or
// more are in use, by what runs on workers.
func (x *search) openSteps() (open []openStep, usedMost bool) {
	x.state.read(func(s *workflow.State) {
		for _, job := range s.Open() {
			for i := range job.Steps {
				state := &job.Occurrences[0][i]
				if state.Done == len(state.Tasks) || !job.StepReady(0, i) {
					continue
				}
				step := openStep{key: workflow.StepKey{Job: job.ID, Step: i}, queue: job.Queue, spec: job.Steps[i]}
				for index := range state.Tasks {
					if !state.Tasks[index].Done {
						step.unbegun = append(step.unbegun, index)
					}
				}
				open = append(open, step)
			}
		}
	})
	slices.SortFunc(open, func(a, b openStep) int { return workflow.CompareSteps(a.key, b.key) })
	x.workers.mu.Lock()
	defer x.workers.mu.Unlock()
	for i := range open {
		x.workers.measure(&open[i], x.adviser, x.advised(open[i].queue))
	}
	return open, x.workers.usedMost()
}

func (x *search) advised(queue string) bool {
	for i := range x.drawn.queues {
		if q := &x.drawn.queues[i]; q.Identity() == queue {
			return q.Policy.Advice != nil
		}
	}
	return false
}

// usedMost reports whether half of the cores or more are in use; r.mu is held.
func (r *searchWorkers) usedMost() bool {
	used, all := int64(0), int64(0)
	for _, w := range r.at {
		used += w.used().MilliCPU
		all += w.Capacity.MilliCPU
	}
	return 2*used >= all
}

// measure takes in which of a step's tasks run nowhere, how many fit now, and whether all
// fit on the step's workers if these were empty; r.mu is held.
func (r *searchWorkers) measure(s *openStep, adviser *searchAdviser, advised bool) {
	empty := 0
	live := map[int]bool{}
	for _, w := range r.at {
		placed := 0
		for task := range w.running {
			if task.StepKey == s.key {
				live[task.Index] = true
				placed++
			}
		}
		if s.spec.Label != "" || advised && !adviser.permits(s.key, w.ID) {
			continue
		}
		bound := s.spec.Count * roomTwice
		if s.spec.MaxPerWorker > 0 {
			bound = s.spec.MaxPerWorker
		}
		empty += min(s.spec.Room().Copies(w.Capacity), bound)
		s.room += min(s.spec.Room().Copies(w.Capacity.Minus(w.used())), max(bound-placed, 0))
	}
	s.unbegun = slices.DeleteFunc(s.unbegun, func(index int) bool { return live[index] })
	if s.spec.Gang && len(live) > 0 {
		s.unbegun = nil
	}
	s.possible = empty > 0
	if s.spec.Gang {
		s.possible = empty >= s.spec.Count
	}
}

// describe says what waits, and what the leader knows of it.
func (x *search) describe(what string, steps []openStep) (found []string) {
	c := x.controller()
	c.mu.Lock()
	t := c.tenure
	c.mu.Unlock()
	for _, s := range steps[:min(len(steps), 5)] {
		reason, runs := "no leader", ""
		if t != nil {
			t.mu.Lock()
			reason = string(t.reasonOf(s.key))
			t.c.state.read(func(state *workflow.State) {
				for i := range s.spec.Count {
					task := state.Task(workflow.TaskKey{StepKey: s.key, Index: i})
					runs += fmt.Sprintf(" %d:%d", task.Runs, task.Live)
				}
			})
			t.mu.Unlock()
		}
		found = append(found, fmt.Sprintf("%s/ %s unbegun %v, room for %d, %+v, reason %q, runs:live%s", s.key, what, s.unbegun, s.room, s.spec, reason, runs))
	}
	return append(found, fmt.Sprintf("%d steps in all", len(steps)))
}
