// Package dispatch decides which ready tasks start on which worker and which queries go to
// the adviser. Decide depends only on its arguments: it reads no clock and keeps nothing
// between calls. The caller commits the planned starts, where each is checked again, and
// sends the committed ones to the workers.
//
// The adviser is an external service that decides for a queue which workers may run a step.
// Its permission never changes, but a start also needs its ticket, which expires. A gang is
// a step whose tasks start together or not at all. An earmark is a soft reservation of a
// worker: other steps prefer workers without one.
package dispatch

import (
	"time"

	"github.com/bilberryferry/bilberryferry/speed"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// Worker describes a worker that accepts new tasks, as the input of a decision.
type Worker struct {
	workflow.Worker
	// Free are the resources that no run occupies. A run occupies its resources while it
	// may be alive. Decide subtracts what it plans from Free; FreeBeforePlan is the
	// value before the decision.
	Free, FreeBeforePlan workflow.Resources
	// Reserved are resources that the plan reserves for steps that it couldn't start, free
	// now or once runs end. They are subtracted from Free, which can become negative.
	Reserved workflow.Resources
	// Releases are the expected ends of the runs on the worker, the soonest first.
	Releases []Release
	// claimedMilliCPU is the CPU, in thousandths of a core, that is left to gangs which query
	// the worker.
	claimedMilliCPU int64
	// plannedStarts counts the starts that the plan has placed on the worker.
	plannedStarts int
	// Runs counts the runs that may be alive on the worker, with the starts that are being committed.
	Runs int
	// Serving says that tasks with a latency objective run on the worker.
	Serving bool
	// SpareRuns counts the runs on the worker that use only spare CPU, which the other runs
	// leave idle. SpareCPUPercent is the percentage of the CPU that they may use alongside
	// serving tasks.
	SpareRuns, SpareCPUPercent int
	// Earmarked says that the last decision reserved resources on the worker for a gang
	// that fits soon.
	Earmarked bool
	// Penalty is 0 for a healthy worker and higher for one that failed or stalled
	// recently. Workers with a lower penalty are chosen first.
	Penalty int
	// SpeedClass says whether runs on the worker take much longer or shorter than on others. SpeedPercent is
	// then its speed in percent of that of the median worker, 0 otherwise. Steps with a tight objective
	// prefer the workers of the fastest class; while little is free there, other steps prefer the others.
	SpeedClass   speed.Class
	SpeedPercent int
	// effectiveClass is SpeedClass, but Ordinary for a fast worker of a pool with too few of them; see
	// setEffectiveClasses.
	effectiveClass speed.Class
	// rank is the position of the worker in the order of IDs; it breaks ties.
	rank int
}

// Release describes the resources that a run is expected to release when it ends.
type Release struct {
	// At is on the monotonic clock of the caller.
	At        time.Duration
	Resources workflow.Resources
	Task      workflow.TaskKey
	// Priority is the priority of the run's queue; 0 is the most urgent.
	Priority int
	// Preemptible says that a more urgent step may stop the run: it resumes from a checkpoint.
	Preemptible bool
	// Stopping says that a stop of the run has been ordered.
	Stopping bool
}

// Permit is the adviser's decision on whether a step may run on a worker.
type Permit struct {
	// Granted says that the step may run there. It never changes for a step and a worker.
	// Ticket must accompany a start.
	Granted bool
	Ticket  string
	// Expires is when the ticket expires, on the monotonic clock of the caller.
	Expires time.Duration
}

// GrantedWorkers returns the IDs of the workers with a granted permit, in no particular order. It
// isn't nil.
func GrantedWorkers(permits map[string]Permit) []string {
	granted := []string{}
	for id, permit := range permits {
		if permit.Granted {
			granted = append(granted, id)
		}
	}
	return granted
}

// Step is the input of a decision about a step whose dependencies have ended.
type Step struct {
	Key  workflow.StepKey
	Spec *workflow.Step
	// Service is the pool whose workers may run the step. Queue is the queue of its job, and
	// Customer the customer who owns the job, empty for none.
	Service, Queue, Customer string
	// Priority is the priority of the step's queue; 0 is the most urgent.
	Priority int
	// Lateness is 0 while the job can meet its objective, 1 while it is late but still has some
	// value, and 2 after that.
	Lateness int
	// Due is when the job must end to meet its objective, on the monotonic clock of the
	// caller.
	Due time.Duration
	// Stretch is how many times its longest chain of steps the job may take, beside a constant;
	// 0 if unknown.
	Stretch float64
	// Pending are the indexes of the tasks to start.
	Pending []int
	// NeedsPermit says that the adviser decides which workers may run the step.
	NeedsPermit bool
	// Permits are the decisions of the adviser known so far, by worker ID.
	Permits map[string]Permit
	// GrantedWorkers is the result of GrantedWorkers(Permits), which the caller keeps between decisions;
	// nil if it doesn't.
	GrantedWorkers []string
	// TicketsExpire is when the last of the step's tickets expires, on the monotonic clock of
	// the caller; 0 for none.
	TicketsExpire time.Duration
	// LastQueryAt is when the step's last query was sent, on the monotonic clock of the
	// caller. Before the first one it is when the step began to wait for a query.
	LastQueryAt time.Duration
	// ResponseTime returns how long the adviser takes to respond to a query about n
	// workers.
	ResponseTime func(n int) time.Duration
	// GrantRate is the share of the queried workers that the adviser has recently permitted for
	// the step's queue; 0 while it is unknown.
	GrantRate float64
	// AwaitsResponse says that a query of the step is in flight. Renewing are the workers
	// of that query on which the step is known to be permitted, so that only tickets are
	// awaited.
	AwaitsResponse bool
	Renewing       []string
	// Querying is the set of the workers that the queries in flight name, by ID.
	Querying map[string]bool
	// Placed counts the step's live runs by worker. It is set only if Spec.MaxPerWorker is.
	Placed map[string]int
	// Copy says that the pending tasks already run and that each may get a speculative copy
	// on idle resources. Avoid is the worker that runs the task, by task index.
	Copy  bool
	Avoid map[int]string
	// Suspects are the indexes of the pending tasks that are crash suspects: a worker has
	// crashed while it ran the task.
	Suspects map[int]bool
	// Paused is the set of the workers that get no start of the step now, because they have refused some.
	Paused map[string]bool
	// LastReason is why the step waited according to an earlier decision, empty if unknown.
	LastReason Reason
	// dataCentre is the data centre whose workers the step prefers, empty for none.
	dataCentre string
	// preference says which workers the step prefers by their speed.
	preference speedPreference
	// reserving says that the step is a gang with a standing reservation; see planner.grantReservations.
	reserving bool
	// permitted is the result of planner.permitted once permittedKnown is set.
	permitted      []*Worker
	permittedKnown bool
}

// grantedWorkers returns the IDs of the workers with a granted permit.
func (s *Step) grantedWorkers() []string {
	if s.GrantedWorkers == nil {
		return GrantedWorkers(s.Permits)
	}
	return s.GrantedWorkers
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

// Reasons, with the texts that logs and explanations show.
const (
	ReasonNoWorker      Reason = "no worker of the service meets the requirements"
	ReasonNoCapacity    Reason = "no room on a worker that may run the step"
	ReasonAwaitsAdviser Reason = "waiting for the adviser"
	ReasonAllRefused    Reason = "the adviser permits no suitable worker"
	ReasonMaxPerWorker  Reason = "each worker has as many tasks of the step as allowed"
	ReasonLabel         Reason = "the worker doesn't carry the label"
	ReasonSize          Reason = "the worker is too small"
	ReasonSpareShare    Reason = "serving tasks leave too little of the worker"
	ReasonStartsRefused Reason = "the worker has just refused starts of the step"
	ReasonRunPresent    Reason = "a run of the task is there"
	ReasonWorkerFull    Reason = "no room on the worker now"
	ReasonWorkerRefused Reason = "the adviser refuses the worker"
	ReasonNotQueried    Reason = "the adviser wasn't asked about the worker"
	ReasonTicketExpired Reason = "the ticket for the worker has ended"

	// ReasonCustomerLimit: the customer's limit leaves no room, or the customer's more urgent steps
	// are about to take it.
	ReasonCustomerLimit Reason = "its customer is at its limit"

	// ReasonBeyondBound: more than Limits.Steps steps wait, and the decision didn't
	// consider the step. A plan doesn't list such steps in Waiting, but counts them in
	// BeyondBound.
	ReasonBeyondBound Reason = "behind the steps that one decision goes into"
	// ReasonNoConnection: the step needs a query and no adviser connection is free for it.
	ReasonNoConnection Reason = "no lane to the adviser is free"
	// ReasonTicketsExpired: a gang fits on permitted workers whose tickets have expired,
	// and no query may be sent now.
	ReasonTicketsExpired Reason = "fits on permitted workers, whose tickets have ended"
	// ReasonReserved: the step would fit if no resources were reserved for other steps.
	ReasonReserved Reason = "the room that would do is kept for steps before it"
	// ReasonGangCannotQuery: a gang doesn't fit on the workers known to be permitted and may
	// send no query now.
	ReasonGangCannotQuery Reason = "doesn't fit on the workers it knows of, and can't ask now"
	// ReasonPreempting: less urgent runs are being stopped for the step, or its tickets are
	// renewed before that.
	ReasonPreempting Reason = "less urgent runs give way to it"
)

// Waiting is a step with tasks that were not started.
type Waiting struct {
	Step   workflow.StepKey
	Tasks  int
	Reason Reason
	// Service is the pool whose workers may run the step, Label the worker label that it requires.
	Service, Label string
}

// Limits bound one plan.
type Limits struct {
	// WorkersPerQuery is the number of workers that one query names at most. For a gang
	// the number is WorkersPerGangQuery instead, since a gang needs many workers at once
	// and may send several queries.
	WorkersPerQuery     int
	WorkersPerGangQuery int
	// Queries is how many queries may be sent now.
	Queries int
	// NonInteractiveQueries is how many of the Queries may take the adviser more than
	// InteractiveQueryTime. With InteractiveQueryTime 0 it has no effect.
	NonInteractiveQueries int
	InteractiveQueryTime  time.Duration
	// LongQueries is how many of the NonInteractiveQueries may be long, that is, take the adviser
	// more than LongQueryTime. With LongQueryTime 0 no query is long.
	LongQueries   int
	LongQueryTime time.Duration
	// Yield, if not nil, is called after each step, so that the caller can let other goroutines run.
	Yield func()
	// Steps is the maximum number of steps that one decision considers; 0 for no bound.
	Steps int
	// Round is the sequence number of the decision. It selects which of the steps
	// beyond Steps are considered, so that each is considered in some decision.
	Round int
	// Incremental says that the plan considers only steps that have changed. Unpromising
	// steps then leave the queries to the steps of the next full decision.
	Incremental bool
	// KeepReasons says that gangs without a reservation may keep their LastReason. While many gangs wait,
	// determining it anew would be a large part of the decision.
	KeepReasons bool
	// CustomerRoom is what each customer with a limit may start beside what it has running.
	CustomerRoom map[string]workflow.Resources
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
	// BeyondBound counts the steps that the decision didn't consider. Their reason is
	// ReasonBeyondBound, and Waiting doesn't list them.
	BeyondBound int
	// FirstSkipped is the step, in order of urgency, after the last one that the decision
	// chose by urgency. All steps before FirstSkipped were considered; FirstSkipped and later
	// steps were considered only if the round robin chose them. It is nil if the decision
	// considered all steps.
	FirstSkipped *Step
	// Earmarks are the workers on which resources are reserved for a gang that fits soon.
	Earmarks []string
	// Preemptions are the runs to stop.
	Preemptions []Preemption
}
