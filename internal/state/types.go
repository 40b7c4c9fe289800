// Package state is the replicated state of one data centre: its jobs, tasks,
// attempts, workers, handovers, quota and adopted configuration. Commands are
// applied in log order on every replica and decide alike everywhere: nothing
// here reads a clock, and each rule that guards against running work twice is
// checked here, where a stale leader's commands can't get past it.
package state

import (
	"time"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/placement"
)

// Spec is what a customer asks for.
type Spec struct {
	Name        string              `cbor:"1,keyasint"`
	Policy      placement.Policy    `cbor:"2,keyasint"`
	Tasks       int                 `cbor:"3,keyasint"`
	Need        placement.Resources `cbor:"4,keyasint"`
	Runtime     time.Duration       `cbor:"5,keyasint,omitempty"`
	Deadline    int64               `cbor:"6,keyasint,omitempty"` // Unix ms
	Idempotent  bool                `cbor:"7,keyasint,omitempty"`
	Urgent      bool                `cbor:"8,keyasint,omitempty"`
	Payload     []byte              `cbor:"9,keyasint,omitempty"`
	MaxAttempts int                 `cbor:"10,keyasint,omitempty"`
}

// JobState is where a job stands. Values match api/v1 JobState.
type JobState uint8

// Job states.
const (
	JobQueued JobState = iota + 1
	JobPendingHandover
	JobRunning
	JobFinished
	JobFailed
	JobCancelled
	// JobNotRun is reached only when no attempt of any task ever started.
	JobNotRun
	// JobUnknown ends non-idempotent work whose fate can't be known.
	JobUnknown
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool { return s >= JobFinished }

// TaskState is where a task stands. Values match api/v1 TaskState.
type TaskState uint8

// Task states.
const (
	TaskQueued TaskState = iota + 1
	TaskRunning
	TaskFinished
	TaskFailed
	TaskCancelled
	TaskNotRun
	TaskUnknown
)

// Ended reports whether the state is final.
func (s TaskState) Ended() bool { return s >= TaskFinished }

// Task is one task of a job. While its state is TaskRunning the attempt
// occupies Worker: from the committed start to the committed end.
type Task struct {
	State       TaskState `cbor:"1,keyasint"`
	Attempt     int32     `cbor:"2,keyasint,omitempty"`
	Worker      string    `cbor:"3,keyasint,omitempty"`
	Incarnation uint64    `cbor:"4,keyasint,omitempty"`
	Started     int64     `cbor:"5,keyasint,omitempty"`
	Ended       int64     `cbor:"6,keyasint,omitempty"`
	NotBefore   int64     `cbor:"7,keyasint,omitempty"`
	Failures    int       `cbor:"8,keyasint,omitempty"`
	// Stopping says that the worker was told to stop the attempt.
	Stopping bool `cbor:"9,keyasint,omitempty"`
	// Preempted says that a stop is no failure: the task queues again.
	Preempted bool `cbor:"10,keyasint,omitempty"`
	// Runs counts the attempts that may have run: each committed start, less
	// those of which the worker has proved that they never ran.
	Runs int32 `cbor:"11,keyasint,omitempty"`
	// Raised is what the account carries for the attempt where measurements of
	// earlier runs showed more than the declared need.
	RaisedNeed placement.Resources `cbor:"12,keyasint,omitempty"`
	// Crashes counts the workers that restarted under the task's attempts.
	Crashes int `cbor:"13,keyasint,omitempty"`
}

// Job is one accepted piece of work.
type Job struct {
	ID        string   `cbor:"1,keyasint"`
	Customer  string   `cbor:"2,keyasint"`
	Spec      Spec     `cbor:"3,keyasint"`
	State     JobState `cbor:"4,keyasint"`
	Tasks     []Task   `cbor:"5,keyasint,omitempty"`
	Submitted int64    `cbor:"6,keyasint"`
	Started   int64    `cbor:"7,keyasint,omitempty"`
	Ended     int64    `cbor:"8,keyasint,omitempty"`
	Revision  uint64   `cbor:"9,keyasint"`
	// Closing is set once the job is to end: queued tasks are done for and
	// running ones are being stopped. Final is the state it will get.
	Closing bool       `cbor:"10,keyasint,omitempty"`
	Kind    fault.Kind `cbor:"11,keyasint,omitempty"`
	Reason  string     `cbor:"12,keyasint,omitempty"`
	// HandoverDataCentre names the data centre the job is offered to or lives in.
	HandoverDataCentre string `cbor:"13,keyasint,omitempty"`
	// HandoverDone is set once the other data centre's acceptance is known.
	HandoverDone bool `cbor:"14,keyasint,omitempty"`
	// Tried lists data centres that refused the job.
	RefusedBy []string `cbor:"15,keyasint,omitempty"`
	// Foreign jobs were accepted from another data centre.
	OriginDataCentre string `cbor:"16,keyasint,omitempty"`
}

// Worker is one announced worker.
type Worker struct {
	ID          string              `cbor:"1,keyasint"`
	Incarnation uint64              `cbor:"2,keyasint"`
	Rack        string              `cbor:"3,keyasint,omitempty"`
	Capacity    placement.Resources `cbor:"4,keyasint"`
	Used        placement.Resources `cbor:"5,keyasint,omitempty"`
	Draining    bool                `cbor:"6,keyasint,omitempty"`
	// Down is set when the lease of this incarnation has ended for good.
	Down bool `cbor:"7,keyasint,omitempty"`
}

// AttemptRef names one attempt of one task.
type AttemptRef struct {
	Job     string `cbor:"1,keyasint"`
	Task    int32  `cbor:"2,keyasint"`
	Attempt int32  `cbor:"3,keyasint"`
}

// Outcome is how an attempt ended, as its worker reports it.
type Outcome uint8

// Outcomes. Values match api/v1 Outcome.
const (
	Finished Outcome = iota + 1
	Failed
	Stopped
	// NotStarted is the worker's proof that the attempt never ran and never will.
	NotStarted
)

// Result is what applying a command gives to its proposer.
type Result struct {
	Err error
	// Job is the id of the job a submission made, or that the command concerns.
	Job string
	// Jobs are the ids a cancellation reached.
	Jobs []string
	// Started lists the attempts that a start command was allowed to make.
	Started []StartedAttempt
	// Acknowledged lists attempts whose end is committed.
	Acknowledged []AttemptRef
}

// StartedAttempt is one committed start, to be sent to its worker.
type StartedAttempt struct {
	Ref         AttemptRef
	Worker      string
	Incarnation uint64
}

// Event is one change of state for the time line.
type Event struct {
	Kind     string
	Subjects []string
	Detail   string
}
