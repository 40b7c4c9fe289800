package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/admission"
	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// Explain returns the progress of a job and the reasons why its ready steps wait. It uses
// the same planning input and the same filters as the next decision.
func (c *Controller) Explain(ctx context.Context, r *ExplainCall) (ExplainReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	t, called, err := c.resolveOnLeader(ctx, r.Address, r.Principal)
	if err != nil {
		return ExplainReply{}, err
	}
	if err := c.catchUp(ctx); err != nil {
		return ExplainReply{}, err
	}
	reply := ExplainReply{Queue: called.queue.Name, ID: called.id}
	found := false
	class := admission.Class{Service: called.queue.Policy.Service, Priority: called.queue.Policy.Priority}
	c.state.read(func(s *workflow.State) {
		job := s.Jobs[called.id]
		if found = called.mayAccess(job); found {
			reply.Phase, reply.Steps = job.Phase(), progressOf(job)
			class.Customer = job.Customer
		}
	})
	if !found {
		return ExplainReply{}, unknownJob(called.id)
	}
	now := time.Now()
	reply.Waiting = t.explain(called.id, now)
	reply.ExpectedWait, reply.Bottleneck = t.expectedWait(class, now)
	return reply, nil
}

// progressOf returns the progress of every step of a job.
func progressOf(job *workflow.Job) []StepProgress {
	var steps []StepProgress
	for occurrence, states := range job.Occurrences {
		for step := range states {
			state := &states[step]
			failures := state.GangFailures
			for i := range state.Tasks {
				failures += state.Tasks[i].Failures
			}
			key := workflow.StepKey{Job: job.ID, Occurrence: occurrence, Step: step}
			steps = append(steps, StepProgress{
				Key: key, Tasks: len(state.Tasks), Done: state.Done, Running: state.Live(), Failures: failures,
				Crashes: crashesOf(job, key, state),
			})
		}
	}
	return steps
}

// crashesOf returns the tasks of a step under which workers have crashed.
func crashesOf(job *workflow.Job, key workflow.StepKey, state *workflow.StepState) []TaskCrashes {
	var crashes []TaskCrashes
	for i := range state.Tasks {
		if !state.Tasks[i].IsCrashSuspect() {
			continue
		}
		task := workflow.TaskKey{StepKey: key, Index: i}
		crashes = append(crashes, TaskCrashes{
			Task: i, Workers: slices.Clone(state.Tasks[i].CrashedOn), GivenUp: job.CrashingTask != nil && *job.CrashingTask == task,
		})
	}
	return crashes
}

// explain returns, for each ready step of a job that has tasks left to start, why it waits.
func (t *leaderTerm) explain(id string, now time.Time) []StepExplanation {
	input := t.gatherPlanInput(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isWholeFleet() {
		t.c.state.read(func(s *workflow.State) {
			input.workers = t.newWorkerGathering(s, now).describeAll(slices.Sorted(maps.Keys(t.sessions)))
		})
	}
	var explanations []StepExplanation
	for i := range input.steps {
		step := &input.steps[i]
		if step.Key.Job != id || step.Copy {
			continue
		}
		e := StepExplanation{Key: step.Key, Tasks: len(step.Pending), Reason: t.waitingReason(step.Key)}
		e.Workers = append(t.unschedulableWorkers(step.Service, now), dispatch.Explain(now.Sub(t.started), step, input.workers, planLimits)...)
		for _, permit := range step.Permits {
			if permit.Granted {
				e.Permitted++
			} else {
				e.Refused++
			}
		}
		if step.NeedsPermit {
			e.Unknown = max(len(input.workers)-e.Permitted-e.Refused, 0)
		}
		e.SlowWorkers, e.SlowCount = t.explainSpeeds(step.Service)
		explanations = append(explanations, e)
	}
	return explanations
}

// anyService makes unschedulableWorkers count the workers of all services.
const anyService = ""

// unschedulableWorkers counts the workers of a service that get no new tasks, by reason.
// The counts are sorted by reason. t.mu must be held.
func (t *leaderTerm) unschedulableWorkers(service string, now time.Time) []dispatch.ReasonCount {
	counts := map[dispatch.Reason]*dispatch.ReasonCount{}
	suspected := t.suspectedDataCentres(now)
	runs := map[string]int{}
	t.c.state.read(func(s *workflow.State) {
		for id := range t.sessions {
			runs[id] = len(s.Runs[id])
		}
	})
	for id, session := range t.sessions {
		reason := session.unschedulableReason(now, suspected, runs[id])
		if reason == "" || service != anyService && session.worker.Service != service {
			continue
		}
		if counts[reason] == nil {
			counts[reason] = &dispatch.ReasonCount{Reason: reason, Example: id}
		}
		counts[reason].Workers++
	}
	var sorted []dispatch.ReasonCount
	for _, count := range counts {
		sorted = append(sorted, *count)
	}
	slices.SortFunc(sorted, func(a, b dispatch.ReasonCount) int { return cmp.Compare(a.Reason, b.Reason) })
	return sorted
}
