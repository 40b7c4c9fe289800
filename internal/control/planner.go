package control

import (
	"cmp"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// askWorkers is how many workers one question names: objectives allow for a
	// question about 30 a step.
	askWorkers = 30
	// gangAskWorkers: a gang is permitted on a third of the workers and needs room on many
	// of them at once. It is the most that a question may name; the same workers in two
	// questions keep lanes busy for a third longer.
	gangAskWorkers = 100
	// ticketMargin is what a ticket must hold still when a start is planned: the
	// commit of the start and its way to the worker.
	ticketMargin = 150 * time.Millisecond
	// planBusy is the least time between two decisions, so that what comes up
	// together is decided together.
	planBusy = 2 * time.Millisecond
	// planRest is how many times as long as a whole decision took the planner rests
	// after it, longestRest for how long at most: a decision that others hold up seems
	// long. Fresh jobs don't wait for the next one.
	//
	// Failure guarded against: with many workers and a queue a decision takes
	// milliseconds. Made one after the other they hold the only processor of the leader,
	// the log's heartbeats come late, and each next leader meets a longer queue.
	planRest    = 10
	longestRest = 100 * time.Millisecond
)

// planSteps is how many queued steps one decision goes into, so that a long queue
// makes no decision long.
const planSteps = 128

// planLimits bound one plan but for the questions that may be put.
var planLimits = dispatch.Limits{
	AskWorkers: askWorkers, GangAskWorkers: gangAskWorkers, Steps: planSteps, TicketMargin: ticketMargin, LongAsk: longAsk,
}

// planLoop decides whenever something has changed, until the tenure ends.
func (t *tenure) planLoop() {
	for t.ctx.Err() == nil {
		timer := time.NewTimer(planPause)
		select {
		case <-t.ctx.Done():
		case <-t.kicked:
		case <-t.freshened:
		case <-timer.C:
		}
		timer.Stop()
		if t.ctx.Err() != nil {
			return
		}
		begun := time.Now()
		t.decide()
		t.rest(max(planBusy, min(planRest*time.Since(begun), longestRest)))
	}
}

// decide makes one plan, commits its starts and sends them.
func (t *tenure) decide() {
	begun := time.Now()
	v := t.snapshot(begun)
	t.sendStops(v.stops)
	limits := t.limits(begun)
	t.turn++
	limits.Turn = t.turn
	plan := dispatch.Decide(begun.Sub(t.started), v.steps, v.workers, limits)
	t.left, t.leftAt, t.backlog, t.next = v.workers, begun, len(v.steps) > planSteps, plan.Next
	t.c.cfg.Counters.Observe("decide", time.Since(begun))
	if len(plan.Preempts) > 0 {
		t.preempt(plan.Preempts, begun)
	}
	t.noteEarmarks(plan.Earmarks)
	t.noteWaiting(&plan, begun)
	t.noteLoad(&v, &plan, begun)
	t.noteQueue(&v)
	t.carryOut(&plan, v.copies)
}

// limits bound a plan that is made now.
func (t *tenure) limits(now time.Time) dispatch.Limits {
	limits := planLimits
	limits.Asks, limits.LongAsks = t.lanes.free(now)
	limits.Without = t.without
	return limits
}

// carryOut puts the questions of a plan, and commits and sends its starts.
func (t *tenure) carryOut(plan *dispatch.Plan, copies map[workflow.TaskKey]copyOf) {
	for _, question := range plan.Asks {
		if queue, policy := t.adviceOf(question.Step); policy != nil {
			t.ask(question, queue, policy)
		}
	}
	if len(plan.Starts) > 0 {
		t.noteProposed(plan.Starts)
		t.logCopies(plan.Starts, copies)
		t.goTask(func() { t.start(plan.Starts) })
	}
}

func (t *tenure) noteEarmarks(workers []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.earmarked = make(map[string]bool, len(workers))
	for _, id := range workers {
		t.earmarked[id] = true
	}
}

// adviceOf returns a step's queue and its policy of the adviser, nil when its job has
// been forgotten meanwhile.
func (t *tenure) adviceOf(step workflow.StepKey) (queue string, policy *workflow.AdvicePolicy) {
	t.c.state.read(func(s *workflow.State) {
		if job := s.Jobs[step.Job]; job != nil {
			queue, policy = job.Queue, job.Policy.Advice
		}
	})
	return queue, policy
}

// noteProposed keeps the tasks and the room of starts that are being committed
// out of the decisions made meanwhile. Waiting for each commit before the next
// decision instead would delay starts by half a commit on average.
func (t *tenure) noteProposed(starts []dispatch.Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range starts {
		t.proposed[s.Task] = s.Worker
	}
}

// start commits starts and then sends them.
func (t *tenure) start(starts []dispatch.Start) {
	command := &workflow.Command{}
	tickets := make(map[workflow.TaskKey]string, len(starts))
	for _, s := range starts {
		command.Start = append(command.Start, workflow.Run{Task: s.Task, Worker: s.Worker})
		tickets[s.Task] = s.Ticket
	}
	result, err := t.propose(command)
	t.mu.Lock()
	for _, s := range starts {
		delete(t.proposed, s.Task)
	}
	t.mu.Unlock()
	if err != nil {
		return
	}
	for _, run := range result.Started {
		t.sendStarted(run, tickets[run.Task])
	}
}

// sendStarted sends a committed start, unless it serves nobody any more.
//
// Failure guarded against: a job ends while its start is being committed. Its
// payload is dropped with it, and the worker would be told to run a task with
// an empty one.
func (t *tenure) sendStarted(run workflow.Run, ticket string) {
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
		never := &workflow.WorkerEnds{Worker: run.Worker, Ends: []workflow.RunEnd{
			{Task: run.Task, Number: run.Number, Outcome: workflow.OutcomeNotStarted},
		}}
		t.goTask(func() { t.commitSurely(&workflow.Command{Ends: never}) })
		return
	}
	t.logger.Log("event", "run_started", "task", run.Task, "run", run.Number, "worker", run.Worker,
		"ticket", ticket != "", "resumed", checkpoint != "")
	t.goTask(func() { s.sendStart(o, payload, checkpoint) })
}

// newOrder makes up the order of a committed start; nil when its job has ended, or
// a copy of its task.
func (t *tenure) newOrder(run workflow.Run, ticket string) (o *order, payload, checkpoint string) {
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
		o = &order{
			run: run, ticket: ticket, estimate: estimate, resumed: checkpoint != "",
			gang: job.Steps[run.Task.Step].Gang, usesSpare: job.Steps[run.Task.Step].UsesSpare, share: wholeShare,
			sending: true, lasts: job.Steps[run.Task.Step].LongRunning, suspect: s.Task(run.Task).Suspect(),
		}
	})
	return o, payload, checkpoint
}
