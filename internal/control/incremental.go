package control

import (
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/internal/worktime"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// incrementalPauseFactor is the pause after an incremental decision, as a multiple of
	// the duration of that decision.
	incrementalPauseFactor = 10
	// maxLeftoverAge is the maximum age of the free resources that the last full decision
	// left over. They don't include resources that were freed since that decision. They may
	// include workers that became unresponsive since then, but this can happen to any plan
	// while its starts are committed.
	maxLeftoverAge = 200 * time.Millisecond
)

// markJobChanged requests an incremental decision about a job that was accepted or about
// which a response from the adviser has arrived. t.mu must be held.
func (t *leaderTerm) markJobChanged(job string) {
	t.changedJobs[job] = true
	select {
	case t.jobsChanged <- struct{}{}:
	default:
	}
}

// takeChangedJobs returns the changed jobs and clears the set. t.mu must be held.
func (t *leaderTerm) takeChangedJobs() map[string]bool {
	changed := t.changedJobs
	t.changedJobs = map[string]bool{}
	return changed
}

// planChangedJobs makes incremental decisions about changed jobs for a duration, between
// two full decisions.
//
// With hundreds of workers and over a hundred jobs a second, a job needs two decisions:
// one that sends its adviser queries and one that starts it. Waiting for full decisions
// would take half of the time from acceptance to the first start, although most of the
// resources that changed jobs need are free.
func (t *leaderTerm) planChangedJobs(duration time.Duration) {
	end := time.NewTimer(duration)
	defer end.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-end.C:
			return
		case <-t.jobsChanged:
		}
		// Batches changes that arrive together.
		wait.For(t.ctx, minPlanInterval)
		start := time.Now()
		t.decideIncrementally(start)
		wait.For(t.ctx, min(incrementalPauseFactor*time.Since(start), maxPlanPause))
	}
}

// decideIncrementally plans the changed jobs with the free resources that the last full
// decision left over, or in a large fleet with what is free now without what that decision
// reserved. The full decision has already offered these resources to the waiting steps, and
// they exclude what is reserved for gangs, so no step loses resources that it could use now. Steps that the full decision didn't consider go before changed
// jobs that are less urgent. An incremental decision preempts nothing.
func (t *leaderTerm) decideIncrementally(now time.Time) {
	if t.backlog && t.firstSkippedStep == nil || now.Sub(t.leftoverAt) > maxLeftoverAge {
		t.wake()
		return
	}
	input := t.changedPlanInput(now)
	if t.backlog {
		t.dropLessUrgent(&input)
	}
	if len(input.steps) == 0 {
		return
	}
	limits := t.limits(now)
	limits.CustomerRoom = input.customerRoom
	limits.Incremental, limits.Disabled.Preemption = true, true
	plan := dispatch.Decide(now.Sub(t.started), input.steps, input.workers, limits)
	t.c.cfg.Counters.Observe("decide_fresh", time.Since(now))
	t.c.cfg.Work.Add(worktime.DecideChanged, time.Since(now)-t.yielder.yielded)
	t.applyPlan(&plan, nil)
}

// dropLessUrgent keeps only the changed steps that go before every step skipped by the
// last full decision. The others wait for the next full decision.
//
// During a burst the queue is longer than one decision considers. If all changed steps
// waited for full decisions, of which the leader makes a few a second, each changed job
// would need two of them. Fewer jobs would start than arrive, and the queue would persist
// after the burst although cores are free.
func (t *leaderTerm) dropLessUrgent(input *planInput) {
	total := len(input.steps)
	input.steps = slices.DeleteFunc(input.steps, func(s dispatch.Step) bool { return !dispatch.Before(&s, t.firstSkippedStep) })
	if len(input.steps) < total {
		t.wake()
	}
}

// changedPlanInput returns the ready steps of the changed jobs.
func (t *leaderTerm) changedPlanInput(now time.Time) planInput {
	t.mu.Lock()
	defer t.mu.Unlock()
	input := planInput{runsPerWorker: map[workflow.StepKey]map[string]int{}}
	changed := t.takeChangedJobs()
	t.c.state.read(func(s *workflow.State) {
		input.customerRoom = t.customerRoom(s)
		open := s.OpenJobs()
		for id := range changed {
			if job := open[id]; job != nil {
				t.gatherSteps(&input, s, job, now)
			}
		}
		if t.isWholeFleet() {
			input.workers = t.leftoverWorkers
		} else {
			input.workers = t.gatherUnreserved(s, input.steps, now)
		}
	})
	return input
}
