package control

import (
	"github.com/bilberryferry/bilberryferry/admission"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// shedLoop adapts to the scheduling delay which new jobs are refused, until the leader term ends.
func (t *leaderTerm) shedLoop() {
	// The delay before the term isn't that of the leader's work.
	t.c.cfg.SchedulingDelay()
	for wait.For(t.ctx, admission.ShedInterval) {
		delay := t.c.cfg.SchedulingDelay()
		priorities := t.queuePriorities()
		t.mu.Lock()
		t.shedder.SetPriorities(priorities)
		t.shedder.Observe(delay)
		t.mu.Unlock()
	}
}

// queuePriorities returns the priorities of the queues.
func (t *leaderTerm) queuePriorities() (priorities []int) {
	t.c.state.read(func(s *workflow.State) {
		for i := range s.Configuration.Queues {
			priorities = append(priorities, s.Configuration.Queues[i].Policy.Priority)
		}
	})
	return priorities
}
