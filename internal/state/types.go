// Package state is the replicated state of one data centre: its jobs, tasks,
// attempts, workers, handovers, quota and adopted configuration. Every replica
// applies the same commands in log order and reaches the same decisions, so
// nothing here reads a clock. Each rule that prevents running a task twice is
// checked here, where commands of a stale leader cannot bypass it.
package state

import (
	"time"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/placement"
)

// Spec is the specification of a job, as its customer submits it.
type Spec struct {
	Name       string              `cbor:"1,keyasint"`
	Policy     placement.Policy    `cbor:"2,keyasint"`
	Tasks      int                 `cbor:"3,keyasint"`
	Need       placement.Resources `cbor:"4,keyasint"`
	Runtime    time.Duration       `cbor:"5,keyasint,omitempty"`
	Deadline   int64               `cbor:"6,keyasint,omitempty"` // Unix ms
	Idempotent bool                `cbor:"7,keyasint,omitempty"`
	Urgent     bool                `cbor:"8,keyasint,omitempty"`
	Payload    []byte              `cbor:"9,keyasint,omitempty"`
	// MaxAttempts is the maximum number of failures of a task; zero means
	// DefaultMaxAttempts.
	MaxAttempts int `cbor:"10,keyasint,omitempty"`
}

// JobState is the state of a job. The values match JobState of api/v1.
type JobState uint8

// The job states.
const (
	JobQueued JobState = iota + 1
	JobPendingHandover
	JobRunning
	JobFinished
	JobFailed
	JobCancelled
	// JobNotRun means that no attempt of any task ever started.
	JobNotRun
	// JobUnknown ends a job with a non-idempotent task whose outcome is
	// unknown.
	JobUnknown
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool { return s >= JobFinished }

// TaskState is the state of a task. The values match TaskState of api/v1.
type TaskState uint8

// The task states.
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

// Task is one task of a job and its latest attempt. In the state TaskRunning,
// from the committed start to the committed end, the attempt occupies Worker.
// Started, Ended and NotBefore are in Unix ms.
type Task struct {
	State       TaskState `cbor:"1,keyasint"`
	Attempt     int32     `cbor:"2,keyasint,omitempty"`
	Worker      string    `cbor:"3,keyasint,omitempty"`
	Incarnation uint64    `cbor:"4,keyasint,omitempty"`
	Started     int64     `cbor:"5,keyasint,omitempty"`
	Ended       int64     `cbor:"6,keyasint,omitempty"`
	NotBefore   int64     `cbor:"7,keyasint,omitempty"`
	Failures    int       `cbor:"8,keyasint,omitempty"`
	// Stopping is set once a stop of the attempt is committed.
	Stopping bool `cbor:"9,keyasint,omitempty"`
	// Preempted is set if the attempt is stopped in favour of an urgent task. The
	// task is queued again afterwards, and the stop does not count as a failure.
	Preempted bool `cbor:"10,keyasint,omitempty"`
	// Runs counts the attempts that may have run: the committed starts, less
	// those that the worker has proved never to have run.
	Runs int32 `cbor:"11,keyasint,omitempty"`
	// RaisedNeed is the amount reserved for the attempt if earlier runs used
	// more than the declared need; zero otherwise.
	RaisedNeed placement.Resources `cbor:"12,keyasint,omitempty"`
	// Crashes counts the worker restarts during attempts of the task, except those
	// of workers that were draining or down.
	Crashes int `cbor:"13,keyasint,omitempty"`
}

// Job is one accepted job. Submitted, Started and Ended are in Unix ms.
type Job struct {
	ID        string   `cbor:"1,keyasint"`
	Customer  string   `cbor:"2,keyasint"`
	Spec      Spec     `cbor:"3,keyasint"`
	State     JobState `cbor:"4,keyasint"`
	Tasks     []Task   `cbor:"5,keyasint,omitempty"`
	Submitted int64    `cbor:"6,keyasint"`
	Started   int64    `cbor:"7,keyasint,omitempty"`
	Ended     int64    `cbor:"8,keyasint,omitempty"`
	// Revision is the revision of the state at the last change of the job.
	Revision uint64 `cbor:"9,keyasint"`
	// Closing is set once the job is to end: its queued tasks have ended and its
	// running tasks are being stopped. Kind and Reason say why.
	Closing bool       `cbor:"10,keyasint,omitempty"`
	Kind    fault.Kind `cbor:"11,keyasint,omitempty"`
	Reason  string     `cbor:"12,keyasint,omitempty"`
	// HandoverDataCentre names the data centre to which the job is offered or
	// was handed over.
	HandoverDataCentre string `cbor:"13,keyasint,omitempty"`
	// HandoverDone is set once the acceptance of the other data centre is
	// known.
	HandoverDone bool `cbor:"14,keyasint,omitempty"`
	// RefusedBy lists the data centres that refused the job.
	RefusedBy []string `cbor:"15,keyasint,omitempty"`
	// OriginDataCentre names the data centre that handed the job over to this
	// one; empty for jobs submitted here.
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
	// Down is set once this incarnation has ended (see WorkerDown) and can never
	// run tasks again.
	Down bool `cbor:"7,keyasint,omitempty"`
}

// AttemptRef identifies one attempt of one task.
type AttemptRef struct {
	Job     string `cbor:"1,keyasint"`
	Task    int32  `cbor:"2,keyasint"`
	Attempt int32  `cbor:"3,keyasint"`
}

// Outcome is how an attempt ended, as its worker reports it.
type Outcome uint8

// The outcomes. The values match Outcome of api/v1.
const (
	Finished Outcome = iota + 1
	Failed
	Stopped
	// NotStarted is the worker's proof that the attempt never ran and never
	// will.
	NotStarted
)

// Result is the result of a command, returned to its proposer.
type Result struct {
	Err error
	// Job is the ID of the submitted job, or of the job that the command
	// concerns.
	Job string
	// Jobs are the IDs of the jobs that a cancellation selected.
	Jobs []string
	// Started lists the attempts that a Start command has started.
	Started []StartedAttempt
	// Acknowledged lists the attempts whose ends are committed, so that the
	// worker can drop its reports.
	Acknowledged []AttemptRef
}

// StartedAttempt is a committed attempt and the worker incarnation that the order
// to start or stop it goes to.
type StartedAttempt struct {
	Ref         AttemptRef
	Worker      string
	Incarnation uint64
}

// Event is one change of the state for the event timeline.
type Event struct {
	Kind     string
	Subjects []string
	Detail   string
}
