package control

import (
	"maps"
	"time"

	"github.com/bilberryferry/bilberryferry/admission"
	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// planInput is the input of a decision. It is a copy, so that the decision needs no lock.
type planInput struct {
	steps []dispatch.Step
	// workers are the workers that the decision considers; of a large fleet only some.
	workers []dispatch.Worker
	stops   []pendingStop
	// copyCandidates are the runs for which a speculative copy on idle resources is
	// worthwhile.
	copyCandidates map[workflow.TaskKey]copyCandidate
	// runsPerWorker counts the runs on each worker, for steps that limit their tasks per
	// worker.
	runsPerWorker map[workflow.StepKey]map[string]int
	// customerRoom is what each customer with a limit may start beside what it has running.
	customerRoom map[string]workflow.Resources
	// queued is the work that hasn't started, for admission; nil if it isn't needed.
	queued admission.Sums
}

const (
	// extraStepCapacity is the capacity of the slice of planned steps in excess of the
	// number of steps at the last decision.
	extraStepCapacity = 64
	// runCheckInterval is the shortest time between two checks of all runs for stops and copies.
	// The reasons for either take seconds to arise.
	runCheckInterval = 150 * time.Millisecond
	// maxCheckInterval bounds the time between two checks of all runs or workers.
	maxCheckInterval = time.Second
	// checkPauseFactor is the pause after a check of all runs or workers, as a multiple of its
	// duration, so that the checks of a large fleet take a hundredth of the leader's time.
	checkPauseFactor = 100
)

// gatherPlanInput collects the input of a full decision. Every runCheckInterval it also
// checks all runs for stops and copies.
func (t *leaderTerm) gatherPlanInput(now time.Time) planInput {
	t.mu.Lock()
	defer t.mu.Unlock()
	// A full decision covers the changed jobs as well.
	t.takeChangedJobs()
	// The number of steps at the last decision estimates the current number.
	input := planInput{copyCandidates: map[workflow.TaskKey]copyCandidate{}, runsPerWorker: map[workflow.StepKey]map[string]int{}, steps: make([]dispatch.Step, 0, t.gatheredSteps+extraStepCapacity)}
	if t.admission != nil {
		input.queued = admission.Sums{}
	}
	t.c.state.read(func(s *workflow.State) {
		t.classifySpeeds(s, now)
		if now.Sub(t.runsCheckedAt) >= t.runCheckInterval {
			t.runsCheckedAt = now
			start := time.Now()
			t.countRuns(s, now)
			t.adoptWorkers(s, now)
			t.checkRuns(s, now, &input)
			t.runCheckInterval = nextCheckAfter(runCheckInterval, time.Since(start))
		}
		input.customerRoom = t.customerRoom(s)
		for _, job := range s.OpenJobs() {
			t.gatherSteps(&input, s, job, now)
		}
		t.addCopySteps(&input, s, now)
		input.workers = t.gatherWorkers(s, input.steps, now)
		t.updateAdmission(s, &input, now)
	})
	t.gatheredSteps = len(input.steps)
	return input
}

// nextCheckAfter returns the time until the next check of all runs or workers if the last one took
// the given time.
func nextCheckAfter(shortest, took time.Duration) time.Duration {
	return min(max(shortest, checkPauseFactor*took), maxCheckInterval)
}

// checkRuns adds the runs that are to be stopped, and those worth a speculative copy, to
// the input. t.mu must be held.
func (t *leaderTerm) checkRuns(s *workflow.State, now time.Time, input *planInput) {
	for id, runs := range s.Runs {
		session := t.sessions[id]
		if session == nil {
			continue
		}
		for _, run := range runs {
			job := s.Jobs[run.Task.Job]
			cause := t.stopCauseOf(s, job, run, session, now)
			if cause == stopNone {
				if !t.disabled.Copies {
					input.addCopyCandidate(t, job, run, session, now)
				}
			} else if session.stopDue(run, cause, now) {
				stop := pendingStop{session, run, cause}
				// Recorded immediately, because it affects the checks of the runs that follow.
				session.recordStop(stop, now)
				input.stops = append(input.stops, stop)
			}
		}
	}
}

// runsPerWorkerOf counts the runs of a step on each worker, including starts that are
// being committed. It returns nil if the step doesn't limit its tasks per worker. The
// step and the speculative copies of its tasks share the map, so that a decision counts
// the starts of both. t.mu must be held.
func (input *planInput) runsPerWorkerOf(t *leaderTerm, s *workflow.State, key workflow.StepKey, spec *workflow.Step) map[string]int {
	if spec.MaxPerWorker == 0 {
		return nil
	}
	if counts := input.runsPerWorker[key]; counts != nil {
		return counts
	}
	counts := map[string]int{}
	maps.Copy(counts, s.Placed(key))
	for task, worker := range t.proposedStarts {
		if task.StepKey == key && s.Runs[worker][task].Number == 0 {
			counts[worker]++
		}
	}
	input.runsPerWorker[key] = counts
	return counts
}

// gatherSteps adds the ready steps of a job that have tasks to start to the input. t.mu
// must be held.
func (t *leaderTerm) gatherSteps(input *planInput, s *workflow.State, job *workflow.Job, now time.Time) {
	accepted := t.acceptedTime(job.ID)
	objective := objectiveOf(job)
	for occurrence := range job.Occurrences {
		objectiveStart := accepted
		if job.Schedule.Times > 0 {
			if !job.Due(occurrence, now) {
				continue
			}
			due := time.UnixMilli(job.Schedule.DueMS(occurrence))
			objectiveStart = now.Add(-now.Round(0).Sub(due))
		}
		for step := range job.Steps {
			key := workflow.StepKey{Job: job.ID, Occurrence: occurrence, Step: step}
			state := &job.Occurrences[occurrence][step]
			pending := t.pendingTasks(key, &job.Steps[step], state)
			if len(pending) == 0 {
				continue
			}
			if now.Sub(objectiveStart) <= admission.WorthlessAfterObjectives*objective {
				input.addQueuedWork(job, step, len(pending))
			}
			if !job.StepReady(occurrence, step) {
				continue
			}
			runsPerWorker := input.runsPerWorkerOf(t, s, key, &job.Steps[step])
			ready := t.dispatchStep(job, key, pending, objectiveStart, objective, now, runsPerWorker)
			ready.Suspects = suspectsAmong(state, pending)
			if waiting := t.waiting[key]; waiting != nil {
				ready.LastReason = waiting.reason
			}
			input.steps = append(input.steps, ready)
		}
	}
}

// Values of dispatch.Step.Lateness; 0 is a job that can still meet its objective.
const (
	// latenessMissed is the lateness of a job that can't meet its objective any more.
	latenessMissed = 1
	// latenessWorthless is the lateness of a job that has no value any more.
	latenessWorthless = 2
)

// dispatchStep describes a ready step for a decision. The objective counts from
// objectiveStart. t.mu must be held.
func (t *leaderTerm) dispatchStep(job *workflow.Job, key workflow.StepKey, pending []int, objectiveStart time.Time,
	objective time.Duration, now time.Time, runsPerWorker map[string]int) dispatch.Step {
	step := dispatch.Step{
		Key: key, Spec: &job.Steps[key.Step], Service: job.Policy.Service, Queue: job.Queue, Customer: job.Customer, Priority: job.Policy.Priority,
		Due: objectiveStart.Add(objective).Sub(t.started), Stretch: job.Policy.Stretch, Pending: pending, Placed: runsPerWorker,
		Paused: t.refusals[key].paused(now),
	}
	switch age := now.Sub(objectiveStart); {
	case age > admission.WorthlessAfterObjectives*objective:
		step.Lateness = latenessWorthless
	case age+minRemainingTime(step.Spec) > objective && !t.disabled.Lateness:
		step.Lateness = latenessMissed
	}
	if job.Policy.Advice == nil {
		return step
	}
	p := t.permitsOf(key)
	if p.lastQueryAt == 0 {
		p.lastQueryAt = now.Sub(t.started)
	}
	step.NeedsPermit, step.LastQueryAt = true, p.lastQueryAt
	advice := *job.Policy.Advice
	step.ResponseTime = func(n int) time.Duration { return queryDuration(&advice, n) }
	step.GrantRate = t.grantRates[job.Queue].mean
	step.AwaitsResponse, step.Renewing, step.Querying = p.inFlight > 0, p.renewing, p.querying
	step.Permits, step.GrantedWorkers, step.TicketsExpire = p.known, p.granted, p.ticketsExpire
	return step
}

// minEstimateShare is the least share of its estimated run time that a step is assumed to
// take: estimates are off by half.
const minEstimateShare = 0.6

// minRemainingTime returns the least time that a step takes to run. Under overload, a job
// that can't meet its objective even with that time goes after the jobs that still can.
func minRemainingTime(spec *workflow.Step) time.Duration {
	return time.Duration(minEstimateShare * float64(spec.EstimateMS) * float64(time.Millisecond))
}

// pendingTasks returns the indices of the tasks of a step that may be started; for a gang
// either all or none. t.mu must be held.
func (t *leaderTerm) pendingTasks(key workflow.StepKey, spec *workflow.Step, state *workflow.StepState) []int {
	if spec.Gang && (state.Live() > 0 || state.Done > 0) {
		return nil
	}
	var pending []int
	for i := range state.Tasks {
		task := &state.Tasks[i]
		proposed := false
		if len(t.proposedStarts) > 0 {
			_, proposed = t.proposedStarts[workflow.TaskKey{StepKey: key, Index: i}]
		}
		if spec.Gang && (proposed || task.AwaitsCrashOutcome()) {
			return nil
		}
		if !task.Done && !task.AwaitsCrashOutcome() && task.Live == 0 && !proposed {
			if pending == nil {
				pending = make([]int, 0, len(state.Tasks)-i)
			}
			pending = append(pending, i)
		}
	}
	return pending
}

// suspectsAmong returns the pending tasks that are crash suspects: tasks under which
// workers have crashed. It returns nil if there are none.
func suspectsAmong(state *workflow.StepState, pending []int) map[int]bool {
	var suspects map[int]bool
	for _, index := range pending {
		if !state.Tasks[index].IsCrashSuspect() {
			continue
		}
		if suspects == nil {
			suspects = map[int]bool{}
		}
		suspects[index] = true
	}
	return suspects
}

// objectiveOf returns the time after its acceptance within which a job should end: the
// length of the critical path of its steps, multiplied by the policy's stretch factor,
// plus the policy's constant.
func objectiveOf(job *workflow.Job) time.Duration {
	return objectiveFor(&job.Policy, criticalPathMS(job.Steps))
}

func objectiveFor(policy *workflow.Policy, criticalPathMS int64) time.Duration {
	return boundedDuration(policy.Stretch*float64(criticalPathMS) + float64(policy.ObjectiveMS))
}

// longestDuration bounds durations that are computed from what callers and configurations name. Small
// multiples of it are still durations.
const longestDuration = 10 * 365 * 24 * time.Hour

// boundedDuration returns a number of milliseconds as a duration, longestDuration if it is more.
func boundedDuration(ms float64) time.Duration {
	return time.Duration(min(ms*float64(time.Millisecond), float64(longestDuration)))
}

// longestChainMS is longestDuration in milliseconds.
const longestChainMS = int64(longestDuration / time.Millisecond)

// criticalPathMS returns the estimated length of the longest chain of dependent steps, in
// milliseconds, at most longestChainMS.
func criticalPathMS(steps []workflow.Step) (criticalPath int64) {
	finish := make([]int64, len(steps))
	for i := range steps {
		for _, before := range steps[i].DependsOn {
			finish[i] = max(finish[i], finish[before])
		}
		finish[i] = min(finish[i]+min(steps[i].EstimateMS, longestChainMS), longestChainMS)
		criticalPath = max(criticalPath, finish[i])
	}
	return criticalPath
}
