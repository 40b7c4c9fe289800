package control

import (
	"cmp"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// workersPerQuery is how many workers one question names: objectives allow for a
	// question about 30 a step.
	workersPerQuery = 30
	// gangWorkersPerQuery: a gang is permitted on a third of the workers and needs room on many
	// of them at once. It is the most that a question may name; the same workers in two
	// questions keep lanes busy for a third longer.
	gangWorkersPerQuery = 100
	// ticketMargin is what a ticket must hold still when a start is planned: the
	// commit of the start and its way to the worker.
	ticketMargin = 150 * time.Millisecond
	// minPlanInterval is the least time between two decisions, so that what comes up
	// together is decided together.
	minPlanInterval = 2 * time.Millisecond
	// planPauseFactor is how many times as long as a whole decision took the planner rests
	// after it, maxPlanPause for how long at most: a decision that others hold up seems
	// long. Fresh jobs don't wait for the next one.
	//
	// Failure guarded against: with many workers and a queue a decision takes
	// milliseconds. Made one after the other they hold the only processor of the leader,
	// the log's heartbeats come late, and each next leader meets a longer queue.
	planPauseFactor = 10
	maxPlanPause    = 100 * time.Millisecond
)

// maxPlannedSteps is how many queued steps one decision goes into, so that a long queue
// makes no decision long.
const maxPlannedSteps = 128

// planLimits bound one plan but for the questions that may be put.
var planLimits = dispatch.Limits{
	WorkersPerQuery: workersPerQuery, WorkersPerGangQuery: gangWorkersPerQuery, Steps: maxPlannedSteps, TicketMargin: ticketMargin, LongQueryTime: longQuery,
}

// planLoop decides whenever something has changed, until the tenure ends.
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

// decide makes one plan, commits its starts and sends them.
func (t *leaderTerm) decide() {
	start := time.Now()
	v := t.gatherPlanInput(start)
	t.sendStops(v.stops)
	limits := t.limits(start)
	t.decisions++
	limits.Round = t.decisions
	plan := dispatch.Decide(start.Sub(t.started), v.steps, v.workers, limits)
	t.leftoverWorkers, t.leftoverAt, t.backlog, t.nextUrgentStep = v.workers, start, len(v.steps) > maxPlannedSteps, plan.FirstSkipped
	t.c.cfg.Counters.Observe("decide", time.Since(start))
	if len(plan.Preemptions) > 0 {
		t.preempt(plan.Preemptions, start)
	}
	t.recordEarmarks(plan.Earmarks)
	t.updateWaiting(&plan, start)
	t.reportLoad(&v, &plan, start)
	t.setQueueLength(&v)
	t.applyPlan(&plan, v.copyCandidates)
}

// limits bound a plan that is made now.
func (t *leaderTerm) limits(now time.Time) dispatch.Limits {
	limits := planLimits
	limits.Queries, limits.LongQueries = t.adviserConns.available(now)
	limits.Disabled = t.disabled
	return limits
}

// applyPlan puts the questions of a plan, and commits and sends its starts.
func (t *leaderTerm) applyPlan(plan *dispatch.Plan, copies map[workflow.TaskKey]copyCandidate) {
	for _, query := range plan.Queries {
		if queue, policy := t.advicePolicy(query.Step); policy != nil {
			t.queryAdviser(query, queue, policy)
		}
	}
	if len(plan.Starts) > 0 {
		t.markProposed(plan.Starts)
		t.logCopies(plan.Starts, copies)
		t.spawn(func() { t.commitStarts(plan.Starts) })
	}
}

func (t *leaderTerm) recordEarmarks(workers []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.earmarked = make(map[string]bool, len(workers))
	for _, id := range workers {
		t.earmarked[id] = true
	}
}

// advicePolicy returns a step's queue and its policy of the adviser, nil when its job has
// been forgotten meanwhile.
func (t *leaderTerm) advicePolicy(step workflow.StepKey) (queue string, policy *workflow.AdvicePolicy) {
	t.c.state.read(func(s *workflow.State) {
		if job := s.Jobs[step.Job]; job != nil {
			queue, policy = job.Queue, job.Policy.Advice
		}
	})
	return queue, policy
}

// markProposed keeps the tasks and the room of starts that are being committed
// out of the decisions made meanwhile. Waiting for each commit before the next
// decision instead would delay starts by half a commit on average.
func (t *leaderTerm) markProposed(starts []dispatch.Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range starts {
		t.proposedStarts[s.Task] = s.Worker
	}
}

// start commits starts and then sends them.
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
	}
	t.mu.Unlock()
	if err != nil {
		return
	}
	for _, run := range result.Started {
		t.sendCommittedStart(run, tickets[run.Task])
	}
}

// sendCommittedStart sends a committed start, unless it serves nobody any more.
//
// Failure guarded against: a job ends while its start is being committed. Its
// payload is dropped with it, and the worker would be told to run a task with
// an empty one.
func (t *leaderTerm) sendCommittedStart(run workflow.Run, ticket string) {
	o, payload, checkpoint := t.newOrder(run, ticket)
	t.mu.Lock()
	s := t.sessions[run.Worker]
	if o != nil && s != nil {
		s.orders[run.Task] = o
	}
	t.mu.Unlock()
	if o == nil || s == nil {
		t.logger.Log("event", "start", "task", run.Task, "run", run.Number, "worker", run.Worker,
			"outcome", "not sent", "job_ended", o == nil, "worker_gone", s == nil)
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

// newOrder makes up the order of a committed start; nil when its job has ended, or
// a copy of its task.
func (t *leaderTerm) newOrder(run workflow.Run, ticket string) (o *runOrder, payload, checkpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.c.state.read(func(s *workflow.State) {
		job := s.Jobs[run.Task.Job]
		if job == nil || job.Ended() || s.Task(run.Task).Done {
			return
		}
		payload = job.Payload
		// A copy goes on from what the other run has reported.
		checkpoint = cmp.Or(t.checkpoints[run.Task], s.Task(run.Task).Checkpoint)
		estimate := time.Duration(job.Steps[run.Task.Step].EstimateMS) * time.Millisecond
		o = &runOrder{
			run: run, ticket: ticket, estimate: estimate, resumed: checkpoint != "",
			gang: job.Steps[run.Task.Step].Gang, usesSpare: job.Steps[run.Task.Step].UsesSpare, share: fullShare,
			startInProgress: true, longRunning: job.Steps[run.Task.Step].LongRunning, crashSuspect: s.Task(run.Task).Suspect(),
		}
	})
	return o, payload, checkpoint
}
