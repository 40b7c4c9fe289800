package control

import (
	"context"
	"fmt"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// maxEndsPerReport bounds the ends in one report.
const maxEndsPerReport = 20

// callGap separates two calls of a caller in virtual time.
const callGap = time.Microsecond

// Poll returns a report once a run has ended or the hold time of the poll is over.
func (ws *simWorkers) Poll(ctx context.Context, to Target, o PollOrder) (Report, error) {
	defer time.Sleep(callGap)
	// The outcome of a call is drawn from its kind, so another kind than "look" would
	// change the outcomes of every seed.
	w, outcome, err := ws.reach(ctx, "look", to, workflow.Run{})
	if err != nil {
		return Report{}, err
	}
	if outcome.otherConn {
		// The platform's client acknowledges ends only on a connection of the incarnation.
		o.LastEnd = 0
	}
	changed, err := ws.applyPoll(w, o)
	if err != nil {
		return Report{}, err
	}
	if w.ID != to.Worker {
		// The caller sees that the report is from another incarnation.
		return Report{}, ErrOtherIncarnation
	}
	ws.holdPoll(ctx, changed, o.Wait)
	ws.mu.Lock()
	crashed, report := w.crashed, ws.report(w, o.LastEnd)
	ws.mu.Unlock()
	if outcome.unanswered || outcome.late > 0 || crashed {
		<-ctx.Done()
	}
	if !wait.For(ctx, outcome.responseDelay) || ctx.Err() != nil {
		return Report{}, errNoResponse
	}
	return report, nil
}

// applyPoll applies the contents of a poll. It returns a channel that is closed when a run
// ends, nil if there are ends to report already.
func (ws *simWorkers) applyPoll(w *simWorker, o PollOrder) (<-chan struct{}, error) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if o.Fence < w.fence {
		return nil, &RefusedError{RefusedStaleFence}
	}
	w.fence = o.Fence
	w.extendLease(o.LeaseEndMS, time.Now())
	ws.acknowledge(w, o.LastEnd)
	if uint64(len(w.ended)) > o.LastEnd {
		return nil, nil
	}
	return w.changed, nil
}

// holdPoll waits until a run ends or hold has passed.
func (ws *simWorkers) holdPoll(ctx context.Context, changed <-chan struct{}, hold time.Duration) {
	if changed == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	wait.Closed(ctx, changed)
}

// report returns the report of a worker. ws.mu must be held.
func (ws *simWorkers) report(w *simWorker, lastEnd uint64) Report {
	now := time.Now()
	report := Report{ClockMS: w.clockMS(now)}
	for task, run := range w.running {
		percent := 0
		if !run.gang || ws.completeGangs[gangRun{task.StepKey, run.number}] {
			percent = int(min(99, 100*now.Sub(run.startedAt)/max(run.duration, 1)))
		}
		report.Running = append(report.Running, Running{Task: task, Number: run.number, Percent: percent})
	}
	limit := maxEndsPerReport
	if !ws.faultsOver && now.Before(w.partialReportsUntil) {
		limit, report.Partial = 1, true
	}
	for _, e := range w.ended {
		if e.Position <= lastEnd {
			continue
		}
		if len(report.Ended) == limit {
			report.Partial = true
			break
		}
		report.Ended = append(report.Ended, e)
	}
	return report
}

// acknowledge records that a leader has acknowledged ends. An acknowledged end is final,
// unless the lease expired between the end and the acknowledgement. ws.mu must be held.
func (ws *simWorkers) acknowledge(w *simWorker, lastEnd uint64) {
	w.highestPolledEnd = max(w.highestPolledEnd, lastEnd)
	for ; w.acknowledged < min(lastEnd, uint64(len(w.ended))); w.acknowledged++ {
		e, at := w.ended[w.acknowledged], w.endedAt[w.acknowledged]
		step := ws.stepOf(e.Task)
		if e.Outcome != workflow.OutcomeDone || w.leaseExpiredAt.After(at) || step == nil {
			continue
		}
		key := outcomeKey(e.Task, *step)
		ws.doneAt[key] = at
		for _, started := range ws.startedAt[key] {
			if started.After(at) && !step.Speculative {
				ws.violations = append(ws.violations, fmt.Sprintf("%s started elsewhere between its end on %s and the acknowledgement", key, w.ID))
			}
		}
	}
}

// simRunInterval is the time between two checks for runs that are over, and so the
// precision of their ends.
const simRunInterval = 4 * time.Millisecond

// runTasks ends runs whose duration is over or whose lease has expired, until ctx ends.
func (ws *simWorkers) runTasks(ctx context.Context) {
	for wait.For(ctx, simRunInterval) {
		ws.mu.Lock()
		now, runningMembers := time.Now(), ws.runningGangMembers()
		for _, w := range ws.incarnations {
			for task, run := range w.running {
				switch {
				case now.After(w.leaseEnd):
					ws.finish(w, task, workflow.OutcomeLeaseExpired)
				case !ws.gangComplete(task, run, runningMembers, now):
				case now.Sub(run.startedAt) < run.duration:
				case run.fails:
					ws.finish(w, task, workflow.OutcomeFailed)
				default:
					ws.finish(w, task, workflow.OutcomeDone)
				}
			}
		}
		ws.mu.Unlock()
	}
}

// runningGangMembers counts the running members of each run of a gang. ws.mu must be
// held.
func (ws *simWorkers) runningGangMembers() map[gangRun]int {
	runningMembers := map[gangRun]int{}
	for _, w := range ws.incarnations {
		for task, run := range w.running {
			if run.gang {
				runningMembers[gangRun{task.StepKey, run.number}]++
			}
		}
	}
	return runningMembers
}

// gangComplete reports whether a run makes progress: the members of a gang make progress
// only once all of them have started. ws.mu must be held.
func (ws *simWorkers) gangComplete(task workflow.TaskKey, run *simRun, runningMembers map[gangRun]int, now time.Time) bool {
	if !run.gang {
		return true
	}
	gang := gangRun{task.StepKey, run.number}
	if ws.completeGangs[gang] {
		return true
	}
	if runningMembers[gang] < run.step.Count {
		run.startedAt = now
		return false
	}
	ws.completeGangs[gang] = true
	return true
}
