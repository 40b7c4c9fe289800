// Package placement decides which task starts where, which work is admitted
// and which is refused, as functions of a snapshot. It has no input or output,
// reads no clock and starts no goroutine.
package placement

import "time"

// Resources are amounts of what a worker has or a task needs.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `cbor:"1,keyasint,omitempty"`
	// Memory is in MiB.
	Memory int64 `cbor:"2,keyasint,omitempty"`
	// Accelerators is a count of whole devices.
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Policy says how the tasks of a job are placed.
type Policy uint8

// Policies.
const (
	// Service tasks run until they are stopped and are spread over racks.
	Service Policy = iota + 1
	// Batch tasks run once each, ordered by deadline slack and packed.
	Batch
	// Gang tasks start all together or not at all.
	Gang
)

// Job is a piece of accepted work, or one that asks to be accepted.
type Job struct {
	ID       string
	Customer string
	Name     string
	Policy   Policy
	// Tasks is the number of tasks that are still to be placed.
	Tasks int
	Need  Resources
	// Runtime is the declared run time of one task; zero for services.
	Runtime time.Duration
	// Deadline is zero for services.
	Deadline   time.Time
	Submitted  time.Time
	Urgent     bool
	Idempotent bool
	// NotBefore holds a retried task back until its backoff has passed.
	NotBefore time.Time
}

// Worker is one machine that runs tasks.
type Worker struct {
	ID       string
	Rack     string
	Capacity Resources
	// Draining workers get no new tasks.
	Draining bool
	// Live says that the worker's lease is held; tasks go to live workers only.
	Live bool
	// Awaited says that the worker may hold a lease of an earlier leader and is
	// expected to renew. It gets no tasks, but admission counts on it: a new
	// leader that hasn't heard from its workers yet must not refuse work as if
	// there were none.
	AwaitingRenewal bool
}

// Placed is a task that occupies a worker, from the committed start of its
// attempt until its committed end.
type Placed struct {
	Job        string
	Task       int
	Worker     string
	Customer   string
	Name       string
	Policy     Policy
	Need       Resources
	Urgent     bool
	Idempotent bool
	Started    time.Time
	Runtime    time.Duration
	Deadline   time.Time
}

// Start asks for a task of a job to be started on a worker. Which task of the
// job it is, is for the owner of the state to say.
type Start struct {
	Job    string
	Worker string
	// Need is what the account of the worker is to carry for the task: the
	// declared need, raised where earlier tasks of the same name used more.
	Need Resources
}

// Preemption asks for a running task to be stopped in favour of urgent work.
type Preemption struct {
	Job  string
	Task int
	// Worker is where the task runs.
	Worker string
}

// Reason says why work is refused or waits.
type Reason uint8

// Reasons.
const (
	// ReasonNone means that there is nothing against the work.
	ReasonNone Reason = iota
	// ReasonTooLarge: no worker could ever hold one task.
	ReasonTooLarge
	// ReasonTooMany: all workers together could never hold all tasks of a gang.
	ReasonTooMany
	// ReasonNoWorkers: no worker is known at present.
	ReasonNoWorkers
	// ReasonDeadline: the work can't finish by its deadline.
	ReasonDeadline
	// ReasonQuota: the customer's allotment is used up.
	ReasonQuota
	// ReasonQueueFull: the queue is at its limit.
	ReasonQueueFull
)

// Refusal is the end of accepted work that has become hopeless.
type Refusal struct {
	Job    string
	Reason Reason
	Detail string
}

// Plan is what one evaluation asks for. It is checked again against the
// committed state when it is applied.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
	Refusals    []Refusal
	// Wake is when the plan should be computed again though nothing changes;
	// zero for never.
	ReevaluateAt time.Time
}

// Verdict is the answer of admission.
type AdmissionDecision struct {
	Admitted bool
	Reason   Reason
	Detail   string
	// RetryAfter says when the same work may be accepted; zero when never.
	RetryAfter time.Duration
	// ExpectedStart is an estimate, for explain.
	ExpectedStart time.Time
}

// FilterCount says how many workers one filter took out, for explain.
type FilterCount struct {
	Filter  string
	Workers int
	// Example is one of the workers that were taken out.
	Example string
}

// Explanation says why a job waits.
type Explanation struct {
	Summary       string
	Filters       []FilterCount
	ExpectedStart time.Time
}

// Sample is the measured run of one finished task, from lagged reports.
type Sample struct {
	Customer string
	Name     string
	Declared time.Duration
	Measured time.Duration
	// Need and Peak are what was declared and what was used at most.
	Need Resources
	Peak Resources
}
