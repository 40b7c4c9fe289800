package control

import (
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// incrementalPauseFactor is how many times as long as a decision about fresh jobs took it is
	// left alone afterwards.
	incrementalPauseFactor = 10
	// maxLeftoverAge is how old what a decision has left over of the workers' room may be.
	// Room that has come free since isn't in it; a worker that has fallen silent since
	// is, as it is in any plan whose starts are being committed.
	maxLeftoverAge = 200 * time.Millisecond
)

// markChanged takes in that something has come up for a job that needn't wait for the
// next whole decision: it has been accepted, or the adviser has answered. t.mu is
// held.
func (t *leaderTerm) markChanged(job string) {
	t.changedJobs[job] = true
	select {
	case t.jobsChanged <- struct{}{}:
	default:
	}
}

// takeChanged returns the fresh jobs and forgets them. t.mu is held.
func (t *leaderTerm) takeChanged() map[string]bool {
	changed := t.changedJobs
	t.changedJobs = map[string]bool{}
	return changed
}

// rest waits for d between two whole decisions and decides about fresh jobs only.
//
// Load that it answers: hundreds of workers and over a hundred jobs a second. A job needs
// two decisions: one that asks for its permits, one that starts it. Waiting for whole
// ones would be half of the time from acceptance to the first start, while most of the
// room that fresh jobs need is free.
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
		// What comes up together is decided together.
		wait.For(t.ctx, minPlanInterval)
		start := time.Now()
		t.decideIncrementally(start)
		wait.For(t.ctx, min(incrementalPauseFactor*time.Since(start), maxPlanPause))
	}
}

// decideIncrementally plans the fresh jobs with the room that the last whole decision has
// left over. What waits has been offered that room before, and what is kept for
// gangs isn't in it, so nothing is taken from a step that could use it now. Where
// the whole decision couldn't go into all that waits, the room is theirs before that of
// fresh jobs that are less urgent. Nothing is stopped here.
func (t *leaderTerm) decideIncrementally(now time.Time) {
	if t.backlog && t.nextUrgentStep == nil || now.Sub(t.leftoverAt) > maxLeftoverAge {
		t.wake()
		return
	}
	v := t.changedPlanInput(now)
	if t.backlog {
		t.dropLessUrgent(&v)
	}
	if len(v.steps) == 0 {
		return
	}
	limits := t.limits(now)
	limits.Disabled.Preemption = true
	plan := dispatch.Decide(now.Sub(t.started), v.steps, t.leftoverWorkers, limits)
	t.c.cfg.Counters.Observe("decide_fresh", time.Since(now))
	t.applyPlan(&plan, nil)
}

// dropLessUrgent leaves the fresh steps that go before all that the last whole decision
// had no place for. The others wait for the next whole one.
//
// Failure guarded against: a burst makes the queue longer than a decision goes into, and
// each fresh job waits for two whole decisions, of which the leader makes a few a second.
// Less starts than comes in, so the queue stays when the burst is over, while cores are free.
func (t *leaderTerm) dropLessUrgent(v *planInput) {
	total := len(v.steps)
	v.steps = slices.DeleteFunc(v.steps, func(s dispatch.Step) bool { return !dispatch.Before(&s, t.nextUrgentStep) })
	if len(v.steps) < total {
		t.wake()
	}
}

// changedPlanInput holds the ready steps of the fresh jobs.
func (t *leaderTerm) changedPlanInput(now time.Time) planInput {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := planInput{runsPerWorker: map[workflow.StepKey]map[string]int{}}
	changed := t.takeChanged()
	t.c.state.read(func(s *workflow.State) {
		open := s.OpenJobs()
		for id := range changed {
			if job := open[id]; job != nil {
				t.gatherSteps(&v, s, job, now)
			}
		}
	})
	return v
}
