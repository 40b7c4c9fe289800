// Package dispatch decides which ready tasks start on which worker and which queries go to the
// adviser. Decide is a pure function of a snapshot: it reads no clock and keeps nothing between
// calls. The caller commits the planned starts, which checks them again, and then sends them to
// the workers.
//
// The adviser is an external service that decides for a queue which workers may run a step. Its
// permission never changes, but a start also needs its ticket, which expires. A gang is a step
// whose tasks start together or not at all. An earmark is a soft reservation: other steps
// prefer other workers.
package dispatch

import (
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// Worker is a worker that may be given tasks now.
type Worker struct {
	workflow.Worker
	// Free is the capacity that no run occupies; a run that may be alive occupies its
	// resources. A plan takes from Free. FreeBeforePlan is the value before the plan.
	Free, FreeBeforePlan workflow.Resources
	// Reserved are resources that the plan reserves, now or once runs end, for steps that it
	// couldn't start. They aren't in Free.
	Reserved workflow.Resources
	// Releases are the expected ends of the runs on the worker, the soonest first.
	Releases []Release
	// plannedStarts counts the starts that the plan has placed on the worker.
	plannedStarts int
	// Serving says that tasks with a latency objective run on the worker.
	Serving bool
	// SpareRuns counts the runs on the worker that use spare CPU. SpareShare is the percentage
	// of the CPU that they may use alongside serving tasks.
	SpareRuns, SpareShare int
	// Earmarked says that the last decision reserved resources here for a gang that fits soon.
	Earmarked bool
	// Penalty ranks workers lower that failed or stalled recently; 0 is healthy.
	Penalty int
	// rank is the position of the worker in the order of IDs; it breaks ties.
	rank int
}

// Release describes the resources that a run is expected to release when it ends.
type Release struct {
	// At is on the monotonic clock of the caller.
	At        time.Duration
	Resources workflow.Resources
	Task      workflow.TaskKey
	// Priority is that of the run's queue.
	Priority int
	// Preemptible says that a more urgent step may stop the run: it resumes from a checkpoint.
	Preemptible bool
	// Stopping says that a stop of the run has been ordered.
	Stopping bool
}

// Permit is the adviser's known answer on whether a step may run on a worker.
type Permit struct {
	// Granted never changes for a step and a worker.
	Granted bool
	Ticket  string
	// Expires is when the ticket expires, on the monotonic clock of the caller.
	Expires time.Duration
}

// Step is a step whose dependencies have ended, with what a decision needs to know of it.
type Step struct {
	Key  workflow.StepKey
	Spec *workflow.Step
	// Service is the pool whose workers may run the step.
	Service string
	// Priority is that of the queue; 0 is the most urgent.
	Priority int
	// Lateness is 0 while the job can meet its objective, 1 while it is late but still has some
	// value, and 2 after that.
	Lateness int
	// Due is when the job's objective ends, on the monotonic clock of the caller.
	Due time.Duration
	// Pending are the indexes of the tasks that may be started.
	Pending []int
	// NeedsPermit says that the adviser decides which workers may run the step.
	NeedsPermit bool
	// Permits are the known answers of the adviser, by worker ID.
	Permits map[string]Permit
	// TicketsExpire is when the last of the step's tickets expires, on the monotonic clock of
	// the caller; 0 for none.
	TicketsExpire time.Duration
	// LastQuery is when the step's last query was sent, on the monotonic clock of the caller.
	// Before the first one it is when the step began to wait for a query.
	LastQuery time.Duration
	// ResponseTime returns how long the adviser takes to answer a query about n workers.
	ResponseTime func(n int) time.Duration
	// GrantRate is the share of the queried workers that the adviser has recently permitted for
	// the step's queue; 0 while it is unknown.
	GrantRate float64
	// AwaitsResponse says that a query of the step is in flight. Renewing names the workers in it
	// whose grant is known already.
	AwaitsResponse bool
	Renewing       []string
	// Placed counts the step's live runs by worker. It is set only where Spec bounds them.
	Placed map[string]int
	// Copy says that the pending tasks already run, on the workers that Avoid names by task
	// index, and that a speculative copy of each is worth idle resources.
	Copy  bool
	Avoid map[int]string
	// Suspects are the pending tasks under whose runs workers have crashed.
	Suspects map[int]bool
}

// expectedGrantRate returns the share of the queried workers that the adviser is expected to
// permit: 1 while nothing is known of the queue.
func (s *Step) expectedGrantRate() float64 {
	if s.GrantRate == 0 {
		return 1
	}
	return s.GrantRate
}

// Start is one task to start on a worker.
type Start struct {
	Task   workflow.TaskKey
	Worker string
	Ticket string
}

// Query asks the adviser whether a step may run on some workers.
type Query struct {
	Step    workflow.StepKey
	Workers []string
	// Renewal says that all grants are known and only new tickets are needed.
	Renewal bool
}

// Reason says why tasks of a step were not started.
type Reason string

// Reasons, as explanations show them.
const (
	ReasonNoWorker      Reason = "no worker of the service meets the requirements"
	ReasonNoCapacity    Reason = "no room on a worker that may run the step"
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

	// ReasonBeyondBound: the step is beyond the bound of the decision. Plans only count such
	// steps.
	ReasonBeyondBound Reason = "behind the steps that one decision goes into"
	// ReasonNoConnection: the step needs a query and no adviser connection is free for it.
	ReasonNoConnection Reason = "no lane to the adviser is free"
	// ReasonTicketsExpired: a gang fits on permitted workers, and no query may be sent now.
	ReasonTicketsExpired Reason = "fits on permitted workers, whose tickets have ended"
	// ReasonReserved: the step would fit if no resources were reserved for other steps.
	ReasonReserved Reason = "the room that would do is kept for steps before it"
	// ReasonGangCannotQuery: a gang doesn't fit on the workers known to be permitted and may
	// send no query now.
	ReasonGangCannotQuery Reason = "doesn't fit on the workers it knows of, and can't ask now"
	// ReasonPreempting: runs are being stopped for the step, or tickets are queried first.
	ReasonPreempting Reason = "less urgent runs give way to it"
)

// Waiting is a step with tasks that were not started.
type Waiting struct {
	Step   workflow.StepKey
	Tasks  int
	Reason Reason
	// Label is the worker label that the step requires.
	Label string
}

// Limits bound one plan.
type Limits struct {
	// WorkersPerQuery is the number of workers that one query names at most.
	// WorkersPerGangQuery is the same for a gang, which needs many workers at once and may send
	// several queries.
	WorkersPerQuery     int
	WorkersPerGangQuery int
	// Queries is how many queries may be sent now.
	Queries int
	// LongQueries is how many of the Queries may be long, that is, take the adviser more than
	// LongQueryTime. With LongQueryTime 0 no query is long.
	LongQueries   int
	LongQueryTime time.Duration
	// Steps is the most steps that one decision considers; 0 for no bound.
	Steps int
	// Round is the number of the decision. The steps that are chosen from beyond the bound
	// rotate with it.
	Round int
	// Disabled are the mechanisms that are switched off.
	Disabled Disabled
	// TicketMargin is how long a ticket must still be valid when a start is planned, so that
	// the start reaches the worker before the ticket expires.
	TicketMargin time.Duration
}

// Plan is the outcome of one decision.
type Plan struct {
	Starts  []Start
	Queries []Query
	Waiting []Waiting
	// BeyondBound counts the steps that the decision didn't consider. They wait for
	// ReasonBeyondBound and aren't in Waiting.
	BeyondBound int
	// FirstSkipped is the most urgent step beyond the bound of the decision: steps that precede
	// it were all considered. It is nil if the decision considered all steps.
	FirstSkipped *Step
	// Earmarks are the workers on which resources are reserved for a gang that fits soon.
	Earmarks []string
	// Preemptions are the runs to stop.
	Preemptions []Preemption
}
