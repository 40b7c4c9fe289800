package control

import (
	"cmp"
	"runtime"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/internal/worktime"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// workersPerQuery is the number of workers in one adviser query. The objectives of jobs
	// allow for about one query per 30 workers and step.
	workersPerQuery = 30
	// gangWorkersPerQuery is the number of workers in a query for a gang, and the largest
	// number in any query. The adviser permits a gang on a third of the workers, and the gang
	// needs free resources on many of them at the same time. Splitting the same workers into
	// two queries keeps adviser connections busy for a third longer.
	gangWorkersPerQuery = 100
	// ticketMargin is the remaining validity that a ticket needs when a start is planned:
	// enough to commit the start and deliver it to the worker.
	ticketMargin = 150 * time.Millisecond
	// minPlanInterval is the minimum time between two decisions. It batches events that
	// arrive together.
	minPlanInterval = 2 * time.Millisecond
	// planPauseFactor is the pause after a full decision, as a multiple of the duration
	// of that decision. The pause is limited to maxPlanPause, because a decision that
	// other goroutines delayed takes long without being expensive. Incremental decisions
	// about changed jobs are made during the pause.
	//
	// With many workers and a queue, a decision takes milliseconds. Without pauses,
	// decisions would occupy the leader's only processor and delay the heartbeats of the
	// log. Other members would be elected, and each following leader would find a longer
	// queue.
	planPauseFactor = 10
	maxPlanPause    = 100 * time.Millisecond
	// reasonInterval is the time after which a decision determines anew why each gang waits. Log
	// lines and explanations show these reasons about once a second.
	reasonInterval = 500 * time.Millisecond
)

// maxPlannedSteps bounds the queued steps that one decision considers, so that a long
// queue doesn't make decisions long.
const maxPlannedSteps = 128

// planLimits are the limits that are the same for each plan. leaderTerm.limits adds those
// that depend on the free adviser connections.
var planLimits = dispatch.Limits{
	WorkersPerQuery: workersPerQuery, WorkersPerGangQuery: gangWorkersPerQuery, Steps: maxPlannedSteps, TicketMargin: ticketMargin, LongQueryTime: longQueryThreshold,
}

// planLoop makes a decision whenever something has changed, and at least every
// planInterval, until the leader term ends.
func (t *leaderTerm) planLoop() {
	for t.ctx.Err() == nil {
		timer := time.NewTimer(planInterval)
		select {
		case <-t.ctx.Done():
		case <-t.wakePlanner:
		case <-t.jobsChanged:
		case <-timer.C:
		}
		timer.Stop()
		if t.ctx.Err() != nil {
			return
		}
		start := time.Now()
		t.decide()
		t.planChangedJobs(max(minPlanInterval, min(planPauseFactor*time.Since(start), maxPlanPause)))
	}
}

// decide makes a full decision: it plans all ready steps, sends adviser queries and
// stops, and commits and sends the starts.
func (t *leaderTerm) decide() {
	start := time.Now()
	input := t.gatherPlanInput(start)
	t.sendStops(input.stops)
	limits := t.limits(start)
	limits.CustomerRoom = input.customerRoom
	t.decisions++
	limits.Round = t.decisions
	limits.KeepReasons = start.Sub(t.reasonsAt) < reasonInterval
	if !limits.KeepReasons {
		t.reasonsAt = start
	}
	plan := dispatch.Decide(start.Sub(t.started), input.steps, input.workers, limits)
	t.leftoverWorkers, t.leftoverAt, t.backlog, t.firstSkippedStep = input.workers, start, plan.FirstSkipped != nil, plan.FirstSkipped
	t.recordReserved(input.workers)
	t.c.cfg.Counters.Observe("decide", time.Since(start))
	t.c.cfg.Work.Add(worktime.Decide, time.Since(start)-t.yielder.yielded)
	if len(plan.Preemptions) > 0 {
		t.preempt(plan.Preemptions, start)
	}
	t.recordEarmarks(plan.Earmarks)
	t.updateWaiting(&plan, start)
	t.reportLoad(&input, &plan, start)
	t.setQueueLength(&input, &plan)
	t.reportAdmission(start)
	t.reportCustomers(start)
	t.applyPlan(&plan, input.copyCandidates)
}

// limits returns the limits of a plan that is made at the given time.
func (t *leaderTerm) limits(now time.Time) dispatch.Limits {
	limits := planLimits
	free := t.adviserConns.available(now)
	limits.Queries, limits.NonInteractiveQueries, limits.LongQueries = free.total, free.nonInteractive, free.long
	t.c.cfg.Counters.Set("adviser_connections", int64(free.reachable))
	t.c.cfg.Counters.Set("adviser_connections_interactive", int64(free.reservedInteractive))
	t.yielder = newYielder(time.Now, runtime.Gosched)
	if t.c.cfg.LoadControl {
		limits.InteractiveQueryTime = interactiveQueryThreshold
		limits.Yield = t.yielder.yield
	}
	limits.Disabled = t.disabled
	return limits
}

// applyPlan sends the adviser queries of a plan, and commits and sends its starts.
// candidates are the runs that may get a speculative copy.
func (t *leaderTerm) applyPlan(plan *dispatch.Plan, candidates map[workflow.TaskKey]copyCandidate) {
	t.sendQueries(plan.Queries)
	if len(plan.Starts) > 0 {
		t.markProposed(plan.Starts)
		t.logCopies(plan.Starts, candidates)
		t.spawn(func() { t.commitStarts(plan.Starts) })
	}
}

// recordEarmarks replaces the set of workers that the last decision earmarked for gangs.
func (t *leaderTerm) recordEarmarks(workers []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.earmarked = make(map[string]bool, len(workers))
	for _, id := range workers {
		t.earmarked[id] = true
	}
}

// advicePolicy returns the queue of a step and the adviser policy of its job. The policy
// is nil when the job has been removed from the state in the meantime.
func (t *leaderTerm) advicePolicy(step workflow.StepKey) (queue string, policy *workflow.AdvicePolicy) {
	t.c.state.read(func(s *workflow.State) {
		if job := s.Jobs[step.Job]; job != nil {
			queue, policy = job.Queue, job.Policy.Advice
		}
	})
	return queue, policy
}

// markProposed excludes the tasks of starts that are being committed, and the resources
// that they take, from the decisions made in the meantime. Waiting for each commit before
// the next decision would delay starts by half a commit on average.
func (t *leaderTerm) markProposed(starts []dispatch.Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range starts {
		t.proposedStarts[s.Task] = s.Worker
		t.view.markChanged(s.Worker)
	}
}

// commitStarts commits starts in one command and then sends them to the workers.
func (t *leaderTerm) commitStarts(starts []dispatch.Start) {
	command := &workflow.Command{}
	tickets := make(map[workflow.TaskKey]string, len(starts))
	for _, s := range starts {
		command.Start = append(command.Start, workflow.Run{Task: s.Task, Worker: s.Worker})
		tickets[s.Task] = s.Ticket
	}
	result, err := t.propose(command)
	t.mu.Lock()
	for _, s := range starts {
		delete(t.proposedStarts, s.Task)
		t.view.markChanged(s.Worker)
	}
	t.mu.Unlock()
	if err != nil {
		return
	}
	for _, run := range result.Started {
		t.sendCommittedStart(run, tickets[run.Task])
	}
}

// sendCommittedStart sends a committed start. If its job has ended, its worker is no
// longer monitored, its incarnation has ended or the run counts as ended, it commits the run as not
// started instead.
//
// A job may end while its start is being committed. The payload is removed with the job,
// and the worker would be ordered to run a task with an empty payload.
//
// An incarnation may end while a start for it is being committed. The run may be missing
// from those that settleWithSuccessor stops at the successor. It then ends with the
// incarnation and its task starts elsewhere, but the successor, which has the same address,
// would carry out the start.
func (t *leaderTerm) sendCommittedStart(run workflow.Run, ticket string) {
	o, payload, checkpoint := t.newOrder(run, ticket)
	t.mu.Lock()
	s := t.sessions[run.Worker]
	mayStart := s != nil && s.mayStart(run)
	if o != nil && mayStart {
		o.timing.startCommittedAt = time.Now()
		s.addOrder(o)
	}
	t.mu.Unlock()
	if o == nil || !mayStart {
		t.logger.Log("event", "start", "task", run.Task, "run", run.Number, "worker", run.Worker,
			"outcome", "not sent", "job_ended", o == nil, "worker_gone", s == nil, "run_ended", s != nil && !mayStart)
		notStarted := &workflow.RunEnds{Worker: run.Worker, Ends: []workflow.RunEnd{
			{Task: run.Task, Number: run.Number, Outcome: workflow.OutcomeNotStarted},
		}}
		t.spawn(func() { t.commitWithRetry(&workflow.Command{Ends: notStarted}) })
		return
	}
	t.logger.Log("event", "run_started", "task", run.Task, "run", run.Number, "worker", run.Worker,
		"ticket", ticket != "", "resumed", checkpoint != "")
	t.spawn(func() { s.sendStart(o, payload, checkpoint) })
}

// newOrder returns the order for a committed start with the payload and the checkpoint to
// resume from. The order is nil when the job has ended or another run has completed the
// task.
func (t *leaderTerm) newOrder(run workflow.Run, ticket string) (o *runOrder, payload, checkpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.c.state.read(func(s *workflow.State) {
		job := s.Jobs[run.Task.Job]
		if job == nil || job.Ended() || s.Task(run.Task).Done {
			return
		}
		payload = job.Payload
		// A speculative copy resumes from the last checkpoint of the other run.
		checkpoint = cmp.Or(t.checkpoints[run.Task], s.Task(run.Task).Checkpoint)
		estimate := time.Duration(job.Steps[run.Task.Step].EstimateMS) * time.Millisecond
		o = &runOrder{
			run: run, ticket: ticket, estimate: estimate, resumed: checkpoint != "",
			gang: job.Steps[run.Task.Step].Gang, usesSpareCPU: job.Steps[run.Task.Step].UsesSpareCPU, share: fullShare,
			startInProgress: true, longRunning: job.Steps[run.Task.Step].LongRunning, crashSuspect: s.Task(run.Task).IsCrashSuspect(),
		}
	})
	return o, payload, checkpoint
}
