package control

import (
	"time"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// maxQueuedSteps is how many steps may be queued when a further job is accepted: as
	// many as eight decisions go into, and more than bursts of twice the usual load bring.
	maxQueuedSteps = 8 * maxPlannedSteps
	// queueFullRetryAfter is when a caller is told to come back that was refused for the
	// queue's sake: late enough for the queue to be drained, soon enough for a caller
	// that waits for 3 s in all.
	queueFullRetryAfter = 2 * time.Second
)

// setQueueLength takes in how many steps a decision found.
func (t *leaderTerm) setQueueLength(v *planInput) {
	queued := 0
	for i := range v.steps {
		if !v.steps[i].Copy {
			queued++
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.incompleteSteps = queued
}

// beginSubmission notes that a job is being committed, until done is called.
func (t *leaderTerm) beginSubmission(job string) (done func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pendingSubmits[job]++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.pendingSubmits[job]--
		if t.pendingSubmits[job] == 0 {
			delete(t.pendingSubmits, job)
		}
	}
}

// admit refuses a new job while the queue is longer than decisions can go through.
// A job that is known already, or that is being committed, is never refused.
//
// Failure guarded against: a caller's first call is slow, and it calls again at
// another entry while the first one's commit is under way. Told that the job was
// refused, it takes it for one that never runs, and it runs.
//
// Load that it answers: more jobs than the leader can place, after an outage or in
// a burst. Each job that is accepted then makes decisions longer and all others
// later, and with 8500 queued steps nothing was served for the rest of the day. A
// caller that is refused knows at once and may come back.
func (t *leaderTerm) admit(id string) error {
	t.mu.Lock()
	queued, beingCommitted := t.incompleteSteps, t.pendingSubmits[id] > 0
	t.mu.Unlock()
	if queued < maxQueuedSteps || beingCommitted {
		return nil
	}
	// What was being committed a moment ago is known by now.
	known := false
	t.c.state.read(func(s *workflow.State) { known = s.Jobs[id] != nil })
	if known {
		return nil
	}
	t.c.cfg.Counters.Add("jobs_refused_queue", 1)
	return fault.Retry(fault.Overloaded, queueFullRetryAfter, "%d steps are queued", queued)
}
