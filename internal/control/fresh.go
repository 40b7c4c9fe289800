package control

import (
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// freshRest is how many times as long as a decision about fresh jobs took it is
	// left alone afterwards.
	freshRest = 10
	// leftoverAge is how old what a decision has left over of the workers' room may be.
	// Room that has come free since isn't in it; a worker that has fallen silent since
	// is, as it is in any plan whose starts are being committed.
	leftoverAge = 200 * time.Millisecond
)

// noteFresh takes in that something has come up for a job that needn't wait for the
// next whole decision: it has been accepted, or the adviser has answered. t.mu is
// held.
func (t *tenure) noteFresh(job string) {
	t.fresh[job] = true
	select {
	case t.freshened <- struct{}{}:
	default:
	}
}

// takeFresh returns the fresh jobs and forgets them. t.mu is held.
func (t *tenure) takeFresh() map[string]bool {
	fresh := t.fresh
	t.fresh = map[string]bool{}
	return fresh
}

// rest waits for d between two whole decisions and decides about fresh jobs only.
//
// Load that it answers: hundreds of workers and over a hundred jobs a second. A job needs
// two decisions: one that asks for its permits, one that starts it. Waiting for whole
// ones would be half of the time from acceptance to the first start, while most of the
// room that fresh jobs need is free.
func (t *tenure) rest(d time.Duration) {
	end := time.NewTimer(d)
	defer end.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-end.C:
			return
		case <-t.freshened:
		}
		// What comes up together is decided together.
		wait.For(t.ctx, planBusy)
		begun := time.Now()
		t.decideFresh(begun)
		wait.For(t.ctx, min(freshRest*time.Since(begun), longestRest))
	}
}

// decideFresh plans the fresh jobs with the room that the last whole decision has
// left over. What waits has been offered that room before, and what is kept for
// gangs isn't in it, so nothing is taken from a step that could use it now. Where
// the whole decision couldn't go into all that waits, the room is theirs before that of
// fresh jobs that are less urgent. Nothing is stopped here.
func (t *tenure) decideFresh(now time.Time) {
	if t.backlog && t.next == nil || now.Sub(t.leftAt) > leftoverAge {
		t.kick()
		return
	}
	v := t.freshView(now)
	if t.backlog {
		t.dropLessUrgent(&v)
	}
	if len(v.steps) == 0 {
		return
	}
	limits := t.limits(now)
	limits.Without.Preemption = true
	plan := dispatch.Decide(now.Sub(t.started), v.steps, t.left, limits)
	t.c.cfg.Counters.Observe("decide_fresh", time.Since(now))
	t.carryOut(&plan, nil)
}

// dropLessUrgent leaves the fresh steps that go before all that the last whole decision
// had no place for. The others wait for the next whole one.
//
// Failure guarded against: a burst makes the queue longer than a decision goes into, and
// each fresh job waits for two whole decisions, of which the leader makes a few a second.
// Less starts than comes in, so the queue stays when the burst is over, while cores are free.
func (t *tenure) dropLessUrgent(v *view) {
	all := len(v.steps)
	v.steps = slices.DeleteFunc(v.steps, func(s dispatch.Step) bool { return !dispatch.Before(&s, t.next) })
	if len(v.steps) < all {
		t.kick()
	}
}

// freshView holds the ready steps of the fresh jobs.
func (t *tenure) freshView(now time.Time) view {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := view{placed: map[workflow.StepKey]map[string]int{}}
	fresh := t.takeFresh()
	t.c.state.read(func(s *workflow.State) {
		open := s.Open()
		for id := range fresh {
			if job := open[id]; job != nil {
				t.gatherSteps(&v, s, job, now)
			}
		}
	})
	return v
}
