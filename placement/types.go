// Package placement decides which task starts on which worker and which jobs are
// admitted or refused. Its decisions depend only on the reported state and the time
// that the caller passes: the package does no input or output, reads no clock and
// starts no goroutine.
package placement

import "time"

// Resources are the amounts that a worker has or a task needs.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `cbor:"1,keyasint,omitempty"`
	// Memory is in MiB.
	Memory int64 `cbor:"2,keyasint,omitempty"`
	// Accelerators is a count of whole devices.
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Policy is how the tasks of a job are placed.
type Policy uint8

// The placement policies.
const (
	// Service tasks run until they are stopped and are spread over racks.
	Service Policy = iota + 1
	// Batch tasks run once each. They are ordered by latest start and packed
	// tightly.
	Batch
	// Gang tasks start all together or not at all.
	Gang
)

// Job is an accepted job, or one that is checked for admission.
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
	Deadline  time.Time
	Submitted time.Time
	// Urgent jobs are started before all others and may preempt idempotent batch
	// tasks.
	Urgent bool
	// Idempotent is set if a task may run more than once. Only such tasks are
	// preempted, and only such tasks probe quarantined workers.
	Idempotent bool
	// NotBefore is when the backoff of a retried task ends; zero for none.
	NotBefore time.Time
}

// Worker describes a worker, the process that runs tasks on one machine.
type Worker struct {
	ID       string
	Rack     string
	Capacity Resources
	// Draining workers get no new tasks.
	Draining bool
	// Live is set while the worker holds its lease. Only live workers get
	// tasks.
	Live bool
	// AwaitingRenewal is set if the worker may hold a lease of an earlier
	// leader and is expected to renew it. The worker gets no tasks, but
	// admission counts its capacity: a new leader must not refuse jobs just
	// because its workers have not renewed yet.
	AwaitingRenewal bool
}

// Placed is a task that occupies a worker, from the committed start of an
// attempt to its committed end.
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

// Start is the decision to start a task of a job on a worker. The owner of the
// state chooses which task.
type Start struct {
	Job    string
	Worker string
	// Need is the amount to reserve on the worker: the declared need, raised if
	// earlier tasks of the same name used more.
	Need Resources
}

// Preemption is the decision to stop a running task in favour of an urgent one.
type Preemption struct {
	Job  string
	Task int
	// Worker is where the task runs.
	Worker string
}

// Reason is why a job is refused.
type Reason uint8

// The reasons of refusals.
const (
	// ReasonNone means that the job is not refused.
	ReasonNone Reason = iota
	// ReasonTooLarge means that one task fits no worker, even an empty one.
	ReasonTooLarge
	// ReasonTooManyTasks means that all workers together are too small for the tasks
	// of a gang or a service.
	ReasonTooManyTasks
	// ReasonNoWorkers means that no worker is announced.
	ReasonNoWorkers
	// ReasonDeadline means that the job cannot finish by its deadline.
	ReasonDeadline
	// ReasonQuota means that the job exceeds the customer's quota allotment.
	ReasonQuota
	// ReasonQueueFull means that the queue, or the customer's share of it, is
	// full.
	ReasonQueueFull
)

// Refusal is the decision to end an accepted job that can no longer meet its
// deadline.
type Refusal struct {
	Job    string
	Reason Reason
	Detail string
}

// Plan is the result of one evaluation. Each decision is checked against the
// committed state again when it is applied.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
	Refusals    []Refusal
	// ReevaluateAt is when to evaluate again even if nothing changes; zero
	// means never.
	ReevaluateAt time.Time
}

// AdmissionDecision is the result of an admission check.
type AdmissionDecision struct {
	Admitted bool
	Reason   Reason
	Detail   string
	// RetryAfter is the time after which the same job may be accepted; zero
	// means never.
	RetryAfter time.Duration
	// ExpectedStart is an estimate for display.
	ExpectedStart time.Time
}

// FilterCount is the number of workers that one filter rejected.
type FilterCount struct {
	Filter  string
	Workers int
	// Example is one of the rejected workers.
	Example string
}

// Explanation describes why a job is queued.
type Explanation struct {
	Summary       string
	Filters       []FilterCount
	ExpectedStart time.Time
}

// Sample is the measured run of one finished task. It may be added some time after
// the end of the task.
type Sample struct {
	Customer        string
	Name            string
	DeclaredRuntime time.Duration
	MeasuredRuntime time.Duration
	// Need is the declared need, and Peak the maximum use.
	Need Resources
	Peak Resources
}
