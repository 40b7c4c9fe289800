package control

import (
	"context"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// reportWaitDivisor gives how long a caller waits for the report of a job's last end: a tenth of the
	// target latency of its queue.
	reportWaitDivisor = 10
	// maxReportWait bounds that wait for queues with a long target latency. A report takes tens of milliseconds.
	maxReportWait = 100 * time.Millisecond
	// maxCommitWait bounds the wait for the commit of an end that a worker has reported.
	maxCommitWait = 250 * time.Millisecond
	// maxEndWaits bounds the callers that wait at the same time. Further ones are answered immediately.
	maxEndWaits = 512
)

// endWaits holds the callers that wait for the end of a job. leaderTerm.mu guards it, but for the two bounds, which
// don't change.
//
// Callers often ask for the state of a job right after its last task has ended. The report of that end is
// then on its way or being committed. If they were told that the job is active, they would learn of its end
// only by their next request, long after it.
type endWaits struct {
	reportWait, commitWait time.Duration
	// waiting has the jobs that callers wait for, callers is the number of all these callers.
	waiting map[string]*endWait
	callers int
	// committing counts the done runs of each job whose ends are being committed.
	committing map[string]int
}

// endWait is the wait of callers for one job.
type endWait struct {
	callers int
	// ended is closed when the job has ended.
	ended chan struct{}
}

func newEndWaits() endWaits {
	return endWaits{reportWait: maxReportWait, commitWait: maxCommitWait, waiting: map[string]*endWait{}, committing: map[string]int{}}
}

// begin adds a caller that waits for a job, and returns nil if too many callers wait. leave must be called
// otherwise.
func (w *endWaits) begin(job string) *endWait {
	if w.callers >= maxEndWaits {
		return nil
	}
	wait := w.waiting[job]
	if wait == nil {
		wait = &endWait{ended: make(chan struct{})}
		w.waiting[job] = wait
	}
	w.callers++
	wait.callers++
	return wait
}

// leave removes a caller that waits for a job.
func (w *endWaits) leave(job string, wait *endWait) {
	w.callers--
	wait.callers--
	if wait.callers == 0 && w.waiting[job] == wait {
		delete(w.waiting, job)
	}
}

// notify ends the waits for a job.
func (w *endWaits) notify(job string) {
	if wait := w.waiting[job]; wait != nil {
		close(wait.ended)
		delete(w.waiting, job)
	}
}

// addCommitting adds delta to the count of each job that done runs belong to.
func (w *endWaits) addCommitting(ends []workflow.RunEnd, delta int) {
	for _, end := range ends {
		if end.Outcome != workflow.OutcomeDone {
			continue
		}
		if w.committing[end.Task.Job] += delta; w.committing[end.Task.Job] == 0 {
			delete(w.committing, end.Task.Job)
		}
	}
}

// awaitEnd waits until a job has ended if that may happen at any moment: for a short time while each of its
// unfinished tasks has a run, and longer while an end of one of them is being committed.
func (t *leaderTerm) awaitEnd(ctx context.Context, job string) {
	reportWait := t.reportWaitOf(job)
	if reportWait <= 0 {
		return
	}
	t.mu.Lock()
	wait := t.endWaits.begin(job)
	t.mu.Unlock()
	if wait == nil {
		return
	}
	defer t.leaveEndWait(job, wait)
	link.LeaveGate(ctx)
	if !waitClosed(ctx, wait.ended, reportWait) && t.isCommittingEnd(job) {
		waitClosed(ctx, wait.ended, t.endWaits.commitWait)
	}
}

func (t *leaderTerm) leaveEndWait(job string, wait *endWait) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endWaits.leave(job, wait)
}

// isCommittingEnd reports whether the end of a done run of a job is being committed.
func (t *leaderTerm) isCommittingEnd(job string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endWaits.committing[job] > 0
}

// reportWaitOf returns how long a caller waits for the report of the job's last end, 0 if an unfinished task
// has no run or runs until the job is cancelled.
func (t *leaderTerm) reportWaitOf(job string) (wait time.Duration) {
	t.c.state.read(func(s *workflow.State) {
		if j := s.Jobs[job]; j != nil && !j.Ended() && !j.IsLongRunning() && j.AllTasksRunning() {
			wait = time.Duration(j.Policy.ObjectiveMS) * time.Millisecond / reportWaitDivisor
		}
	})
	return min(wait, t.endWaits.reportWait)
}

// waitClosed waits until a channel is closed, for d at most, and reports whether it is.
func waitClosed(ctx context.Context, closed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-closed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
