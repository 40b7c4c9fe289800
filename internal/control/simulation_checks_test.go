package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// maxReadyWait is how long a ready task may wait while twice its demand is free.
	maxReadyWait = 3 * time.Second
	// maxUnaccounted is how long a run may be unaccounted for: its end may have to wait
	// while the log accepts no command.
	maxUnaccounted = maxReadyWait + maxFaultDuration
	// checkInterval is the time between two checks of the waiting steps.
	checkInterval = 50 * time.Millisecond
	// spareCapacityFactor is how many times a task or a whole gang must fit into the free
	// resources before the leader has to start it.
	spareCapacityFactor = 2
	// completionMargin is added to twice the estimated time of the remaining work.
	completionMargin = 30 * time.Second
	// usableCoresDivisor is the inverse of the share of the permitted cores on which the
	// remaining work is estimated to run.
	usableCoresDivisor = 4
	// maxDescribedSteps is how many steps a failure describes.
	maxDescribedSteps = 5
)

// invariantViolations returns the violations that have been found so far of invariants that
// must always hold.
func (sim *simulation) invariantViolations() []string {
	sim.workers.mu.Lock()
	found := append(slices.Clone(sim.workers.violations), sim.eventLog.unexpectedOrphans(sim.workers.allowedOrphans)...)
	sim.workers.mu.Unlock()
	found = append(found, sim.wronglyGivenUp()...)
	found = append(found, sim.customers.found()...)
	c := sim.controller()
	c.mu.Lock()
	term := c.leaderTerm
	c.mu.Unlock()
	if term == nil {
		return found
	}
	term.mu.Lock()
	defer term.mu.Unlock()
	sim.maxBacklog = max(sim.maxBacklog, term.stepsBeyondBound)
	if term.runCounts.longestUnaccounted < maxUnaccounted {
		return found
	}
	for run, since := range term.unaccountedSince {
		if age := time.Since(since); age >= maxUnaccounted {
			found = append(found, fmt.Sprintf("%s run %d on %s is unaccounted for, age %v", run.Task, run.Number, run.Worker, age))
		}
	}
	return found
}

// openStep is a ready step with a task that isn't done.
type openStep struct {
	key        workflow.StepKey
	queue      string
	spec       workflow.Step
	notRunning []int
	placeable  bool
	// fitCount is how many of its tasks fit now. It may exceed their number.
	fitCount int
}

// awaitCompletion waits after the end of the faults until all work that can be done is
// done, and returns the steps that wait for too long.
func (sim *simulation) awaitCompletion() []string {
	start := time.Now()
	work, queryTime := sim.estimateRemaining()
	// The resources of runs on lost workers become free only when their leases expire, and
	// some workers are quarantined.
	recoveryTime := 2*sim.params.lease + predecessorSlack + quarantineFor + stalledRunTimeout
	drained := recoveryTime + work + queryTime
	deadline := start.Add(2*drained + completionMargin)
	waitingSince := map[workflow.StepKey]time.Time{}
	sim.eventLog.logf("workers recover within %v, open work ends within %v", recoveryTime, drained)
	for {
		time.Sleep(checkInterval)
		if found := sim.invariantViolations(); len(found) > 0 {
			return found
		}
		open, mostlyUsed := sim.openSteps()
		unfinished := slices.DeleteFunc(open, func(s openStep) bool { return !s.placeable })
		if len(unfinished) == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return sim.describeSteps("isn't done long after the faults ended:", unfinished)
		}
		if found := sim.starvedSteps(unfinished, waitingSince, mostlyUsed, start.Add(drained)); len(found) > 0 {
			return sim.describeSteps("fits into free resources but does not start:", found)
		}
	}
}

// starvedSteps returns the steps that have waited for too long without a start although the
// free resources hold one of their tasks, or the whole gang, spareCapacityFactor times. It
// ignores all steps while mostlyUsed is set and before checkFrom.
func (sim *simulation) starvedSteps(steps []openStep, waitingSince map[workflow.StepKey]time.Time, mostlyUsed bool, checkFrom time.Time) (found []openStep) {
	now := time.Now()
	waiting := map[workflow.StepKey]bool{}
	for _, s := range steps {
		requiredFits := spareCapacityFactor
		if s.spec.Gang {
			requiredFits *= s.spec.Count
		}
		if sim.containsCrashingTask(s.key.Job) || len(s.notRunning) == 0 || s.fitCount < requiredFits || mostlyUsed || now.Before(checkFrom) || sim.customers.nearLimit(s.key.Job) {
			continue
		}
		waiting[s.key] = true
		sim.workers.mu.Lock()
		started := sim.workers.lastStart[s.key]
		sim.workers.mu.Unlock()
		if since, ok := waitingSince[s.key]; !ok || since.Before(started) {
			waitingSince[s.key] = now
		} else if now.Sub(since) > sim.maxWait(&s) {
			found = append(found, s)
		}
	}
	for key := range waitingSince {
		if !waiting[key] {
			delete(waitingSince, key)
		}
	}
	return found
}

// maxWait returns how long a step may wait: the sum of maxReadyWait and the time for the
// adviser queries that it may have to send one after another.
func (sim *simulation) maxWait(s *openStep) time.Duration {
	for i := range sim.params.queues {
		if q := &sim.params.queues[i]; q.Identity() == s.queue {
			return maxReadyWait + sim.params.adviserTime(q, &s.spec)
		}
	}
	return maxReadyWait
}

// estimateRemaining returns an upper bound of the time that the open work takes on a
// quarter of the cores that a step is permitted on, and of the time that its queries
// take.
func (sim *simulation) estimateRemaining() (work, queryTime time.Duration) {
	open, _ := sim.openSteps()
	cores := float64(sim.params.workers) * float64(sim.params.capacity.MilliCPU) * sim.params.permittedShare / usableCoresDivisor
	longest := time.Duration(0)
	for i := range open {
		s := &open[i]
		queryTime += sim.maxWait(s) - maxReadyWait
		if !s.placeable {
			continue
		}
		job := sim.stepsOf(s.key.Job)
		work += time.Duration(workOf(job) / cores * float64(time.Millisecond))
		for j := range job {
			longest = max(longest, 2*time.Duration(job[j].EstimateMS*int64(job[j].Count))*time.Millisecond)
		}
	}
	return work + longest, 2 * queryTime / time.Duration(sim.params.adviserConns)
}

// stepsOf returns the steps of a job.
func (sim *simulation) stepsOf(job string) []workflow.Step {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.steps[job]
}

// openSteps returns the ready steps that aren't done, and whether half of the cores or
// more are in use on the workers.
func (sim *simulation) openSteps() (open []openStep, mostlyUsed bool) {
	sim.state.read(func(s *workflow.State) {
		for _, job := range s.OpenJobs() {
			for i := range job.Steps {
				state := &job.Occurrences[0][i]
				if state.Done == len(state.Tasks) || !job.StepReady(0, i) {
					continue
				}
				step := openStep{key: workflow.StepKey{Job: job.ID, Step: i}, queue: job.Queue, spec: job.Steps[i]}
				for index := range state.Tasks {
					if !state.Tasks[index].Done {
						step.notRunning = append(step.notRunning, index)
					}
				}
				open = append(open, step)
			}
		}
	})
	slices.SortFunc(open, func(a, b openStep) int { return workflow.CompareSteps(a.key, b.key) })
	sim.workers.mu.Lock()
	defer sim.workers.mu.Unlock()
	for i := range open {
		sim.workers.measureFit(&open[i], sim.adviser, sim.needsPermit(open[i].queue))
	}
	return open, sim.workers.mostlyUsed()
}

// needsPermit reports whether the steps of a queue need permits.
func (sim *simulation) needsPermit(queue string) bool {
	for i := range sim.params.queues {
		if q := &sim.params.queues[i]; q.Identity() == queue {
			return q.Policy.Advice != nil
		}
	}
	return false
}

// mostlyUsed reports whether half of the cores or more are in use. ws.mu must be held.
func (ws *simWorkers) mostlyUsed() bool {
	used, total := int64(0), int64(0)
	for _, w := range ws.current {
		used += w.used().MilliCPU
		total += w.Capacity.MilliCPU
	}
	return 2*used >= total
}

// measureFit determines which tasks of a step run nowhere, how many fit now, and whether
// all would fit on empty workers. ws.mu must be held.
func (ws *simWorkers) measureFit(s *openStep, adviser *simAdviser, needsPermit bool) {
	fitWhenEmpty := 0
	live := map[int]bool{}
	for _, w := range ws.current {
		placed := 0
		for task := range w.running {
			if task.StepKey == s.key {
				live[task.Index] = true
				placed++
			}
		}
		if s.spec.Label != "" || needsPermit && !adviser.permits(s.key, w.ID) {
			continue
		}
		bound := s.spec.Count * spareCapacityFactor
		if s.spec.MaxPerWorker > 0 {
			bound = s.spec.MaxPerWorker
		}
		fitWhenEmpty += min(s.spec.Demand().FitCount(w.Capacity), bound)
		s.fitCount += min(s.spec.Demand().FitCount(w.Capacity.Minus(w.used())), max(bound-placed, 0))
	}
	s.notRunning = slices.DeleteFunc(s.notRunning, func(index int) bool { return live[index] })
	if s.spec.Gang && len(live) > 0 {
		s.notRunning = nil
	}
	s.placeable = fitWhenEmpty > 0
	if s.spec.Gang {
		s.placeable = fitWhenEmpty >= s.spec.Count
	}
}

// describeSteps returns one line about each of the first steps, with the problem and the
// leader's reason why the step waits, and a line with the number of all steps.
func (sim *simulation) describeSteps(problem string, steps []openStep) (found []string) {
	c := sim.controller()
	c.mu.Lock()
	term := c.leaderTerm
	c.mu.Unlock()
	for _, s := range steps[:min(len(steps), maxDescribedSteps)] {
		reason, runs := "no leader", ""
		if term != nil {
			term.mu.Lock()
			reason = string(term.waitingReason(s.key))
			term.c.state.read(func(state *workflow.State) {
				for i := range s.spec.Count {
					task := state.Task(workflow.TaskKey{StepKey: s.key, Index: i})
					runs += fmt.Sprintf(" %d:%d", task.Runs, task.Live)
				}
			})
			term.mu.Unlock()
		}
		found = append(found, fmt.Sprintf("%s/ %s tasks not running %v, fit count %d, %+v, reason %q, runs:live%s", s.key, problem, s.notRunning, s.fitCount, s.spec, reason, runs))
	}
	return append(found, fmt.Sprintf("%d steps in all", len(steps)))
}
