// Package dispatch decides which ready tasks start on which worker and which
// permits are to be asked for. Plan is a function of a snapshot; it reads no
// clock and keeps nothing between calls. The caller commits the starts, which
// checks them again, and then sends them.
package dispatch

import (
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// Worker is a worker that may be given tasks now.
type Worker struct {
	workflow.Worker
	// Free is the capacity that no run takes, not even one that may be alive; a plan
	// takes from it. Unplanned is the same before the plan.
	Free, FreeBeforePlan workflow.Resources
	// Kept is what a plan keeps of the worker, now or once runs end, for steps that it
	// couldn't start; it isn't in Free.
	Reserved workflow.Resources
	// Releases are the expected ends of the runs on the worker, the soonest first.
	Releases []Release
	// started counts the starts that the plan has given to the worker.
	plannedStarts int
	// Serving says that tasks with a latency objective run there.
	Serving bool
	// SpareRuns counts the tasks there that use spare processors, SpareShare is the
	// share in percent at which they may work beside serving ones.
	SpareRuns, SpareShare int
	// Earmarked says that the last decision kept room there for a gang that is about
	// to fit.
	Earmarked bool
	// Penalty sets back workers that failed or stood still lately; 0 is sound.
	Penalty int
	// rank is the worker's place by ID, which decides between equal ones.
	rank int
}

// Release is room that a run is expected to give back.
type Release struct {
	// At is on the caller's steady clock.
	At        time.Duration
	Resources workflow.Resources
	Task      workflow.TaskKey
	// Priority is that of the run's queue.
	Priority int
	// Yields says that the run may be stopped for a more urgent step: it goes on
	// later from a checkpoint.
	Preemptible bool
	// Stopping says that the run has been told to stop.
	Stopping bool
}

// Permit is what is known of a step's permission to run on a worker.
type Permit struct {
	// Granted never changes for a step and a worker.
	Granted bool
	Ticket  string
	// Expires is when the ticket ends, on the caller's steady clock.
	Expires time.Duration
}

// Step is a step whose turn has come.
type Step struct {
	Key  workflow.StepKey
	Spec *workflow.Step
	// Service is the pool whose workers may run the step.
	Service string
	// Priority comes from the queue; 0 goes first.
	Priority int
	// Late is 0 while the job can meet its objective, 1 while it is late but still
	// worth something, and 2 after that.
	Lateness int
	// Due is when the job's objective ends, on the caller's steady clock.
	Due time.Duration
	// Pending are the tasks that may be started.
	Pending []int
	// NeedsPermit says that workers are permitted by an adviser.
	NeedsPermit bool
	Permits     map[string]Permit
	// TicketsExpire is when the last of its tickets ends, on the caller's steady clock; 0 for
	// none.
	TicketsExpire time.Duration
	// Asked is when its last question was put, or before the first since when it waits for
	// one, on the caller's steady clock.
	LastQuery time.Duration
	// AnswerTime is how long the adviser takes to answer about n workers.
	AnswerTime func(n int) time.Duration
	// GrantRate is the share of the workers asked about that the adviser has permitted
	// of late for the step's queue; 0 when it isn't known.
	GrantRate float64
	// Asking says that an answer of the adviser is awaited; Renewing names the
	// workers asked about whose grant is already known.
	AwaitsAnswer bool
	Renewing     []string
	// Placed counts the step's live runs on each worker, where Spec bounds them.
	Placed map[string]int
	// Copy says that each pending task is alive already, on the worker that Avoid
	// names, and that a second run of it is worth some idle room.
	Copy  bool
	Avoid map[int]string
	// Suspects are the pending tasks that workers have crashed under.
	Suspects map[int]bool
}

// grantRate is the share of workers that a question is expected to permit; before
// anything is known of the queue, all.
func (s *Step) expectedGrantRate() float64 {
	if s.GrantRate == 0 {
		return 1
	}
	return s.GrantRate
}

// Start is one task to be started.
type Start struct {
	Task   workflow.TaskKey
	Worker string
	Ticket string
}

// Ask is a question to the adviser.
type Query struct {
	Step    workflow.StepKey
	Workers []string
	// Renewal says that all grants are known and only tickets are needed.
	Renewal bool
}

// Reason says why tasks of a step were not started.
type Reason string

// Reasons, as explanations show them.
const (
	ReasonNoWorker      Reason = "no worker of the service meets the requirements"
	ReasonNoRoom        Reason = "no room on a worker that may run the step"
	ReasonAwaitsAdviser Reason = "waiting for the adviser"
	ReasonAllRefused    Reason = "the adviser permits no suitable worker"
	ReasonMaxPerWorker  Reason = "each worker has as many tasks of the step as allowed"
	ReasonLabel         Reason = "the worker doesn't carry the label"
	ReasonSize          Reason = "the worker is too small"
	ReasonSpareShare    Reason = "serving tasks leave too little of the worker"
	ReasonRunPresent    Reason = "a run of the task is there"
	ReasonWorkerFull    Reason = "no room on the worker now"
	ReasonWorkerRefused Reason = "the adviser refuses the worker"
	ReasonNotQueried    Reason = "the adviser wasn't asked about the worker"
	ReasonTicketExpired Reason = "the ticket for the worker has ended"

	// ReasonBeyondBound is that of steps that a decision didn't go into. Plans only count them.
	ReasonBeyondBound Reason = "behind the steps that one decision goes into"
	// ReasonNoConnection: something has to be asked, and no question may be put.
	ReasonNoConnection Reason = "no lane to the adviser is free"
	// ReasonTicketsExpired: a gang fits where it is permitted, and no question may be put now.
	ReasonTicketsExpired Reason = "fits on permitted workers, whose tickets have ended"
	// ReasonReserved: without the room that is kept for others it would fit.
	ReasonReserved Reason = "the room that would do is kept for steps before it"
	// ReasonGangCannotQuery: a gang that can't ask now and doesn't fit on the workers it knows of.
	ReasonGangCannotQuery Reason = "doesn't fit on the workers it knows of, and can't ask now"
	// ReasonPreempting: runs are stopped for it, or tickets asked for to stop them.
	ReasonPreempting Reason = "less urgent runs give way to it"
)

// Waiting is a step with tasks that were not started.
type Waiting struct {
	Step   workflow.StepKey
	Tasks  int
	Reason Reason
	// Label is the one that the step requires.
	Label string
}

// Limits bound one plan.
type Limits struct {
	// WorkersPerQuery is how many workers one question names, WorkersPerGangQuery how many
	// one about a gang does: it needs many at once, and may put several.
	WorkersPerQuery     int
	WorkersPerGangQuery int
	// Asks is how many questions may be put now.
	Queries int
	// LongQueries is how many of them may be long, which they are when the adviser takes
	// more than LongQueryTime to answer; LongQueryTime 0 makes none long.
	LongQueries   int
	LongQueryTime time.Duration
	// Steps is how many steps one decision goes into at most; 0 for no bound.
	Steps int
	// Turn counts the decisions. It lets each step behind the bound have its turn.
	Round int
	// Without names mechanisms that are switched off.
	Disabled Disabled
	// TicketMargin is how long a ticket must be valid still when a start is
	// planned, so that it reaches the worker in time.
	TicketMargin time.Duration
}

// Plan is the outcome of one decision.
type Plan struct {
	Starts  []Start
	Queries []Query
	Waiting []Waiting
	// Behind counts the steps that the decision didn't go into; they wait for
	// ReasonBeyondBound and aren't in Waiting.
	BeyondBound int
	// Next is the most urgent of the steps that had no place of their own in the decision;
	// it went into all that go before that one. It is nil when it went into all.
	FirstSkipped *Step
	// Earmarks are the workers on which room is kept for a gang that is about to fit.
	Earmarks []string
	// Preempts are runs to be stopped.
	Preemptions []Preemption
}
