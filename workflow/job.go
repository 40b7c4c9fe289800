// Package workflow is the replicated state of jobs that consist of dependent
// steps: what was accepted, which runs of tasks may be alive on which worker,
// and how tasks have ended. It is deterministic and has no input or output;
// every change is a Command that the log has committed.
package workflow

import "fmt"

// Resources are what a task needs or a worker has.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `cbor:"1,keyasint,omitempty"`
	MemoryMB int64 `cbor:"2,keyasint,omitempty"`
	// Accelerators is a whole number of devices.
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Fits reports whether r fits into room.
func (r Resources) Fits(room Resources) bool {
	return r.MilliCPU <= room.MilliCPU && r.MemoryMB <= room.MemoryMB && r.Accelerators <= room.Accelerators
}

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Minus returns r without other.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Max returns the larger of r and other in each resource.
func (r Resources) Max(other Resources) Resources {
	return Resources{
		max(r.MilliCPU, other.MilliCPU), max(r.MemoryMB, other.MemoryMB), max(r.Accelerators, other.Accelerators),
	}
}

// Times returns the room of n tasks that need r each.
func (r Resources) Times(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// Copies returns how many tasks that need r fit into room.
func (r Resources) FitCount(room Resources) int {
	if !r.Fits(room) {
		return 0
	}
	count := int64(maxFitCount)
	if r.MilliCPU > 0 {
		count = min(count, room.MilliCPU/r.MilliCPU)
	}
	if r.MemoryMB > 0 {
		count = min(count, room.MemoryMB/r.MemoryMB)
	}
	if r.Accelerators > 0 {
		count = min(count, room.Accelerators/r.Accelerators)
	}
	return int(count)
}

// maxFitCount bounds the copies of a task that needs nothing.
const maxFitCount = 1 << 20

// Step is one part of a job: tasks that are alike and may start once the steps
// that it depends on have ended.
type Step struct {
	// Count is the number of tasks.
	Count int       `cbor:"1,keyasint"`
	Need  Resources `cbor:"2,keyasint"`
	// EstimateMS is a rough estimate of one task's run time, in milliseconds.
	EstimateMS int64 `cbor:"3,keyasint,omitempty"`
	// DependsOn lists earlier steps, counted from 0.
	DependsOn []int `cbor:"4,keyasint,omitempty"`
	// Gang says that all tasks run at the same time or none does.
	Gang bool `cbor:"5,keyasint,omitempty"`
	// SameRack says that a gang runs faster within one rack.
	SameRack bool `cbor:"6,keyasint,omitempty"`
	// Label is a label that the worker must carry; empty for any worker.
	Label string `cbor:"7,keyasint,omitempty"`
	// DataRack is the rack that holds the data; tasks run slower elsewhere.
	DataRack string `cbor:"8,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 for no bound.
	MaxPerWorker int `cbor:"9,keyasint,omitempty"`
	// Speculative says that copies of a task may run at the same time.
	Speculative bool `cbor:"10,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled and are started again
	// however they end.
	LongRunning bool `cbor:"11,keyasint,omitempty"`
	// Checkpointing says that tasks report checkpoints to resume from.
	Checkpointing bool `cbor:"12,keyasint,omitempty"`
	// UsesSpare says that the tasks take no CPU of their own, only what others leave.
	UsesSpare bool `cbor:"13,keyasint,omitempty"`
	// MaxUnavailable bounds how many long-running tasks the system itself may
	// interrupt at the same time.
	MaxUnavailable int `cbor:"14,keyasint,omitempty"`
	// Image names what the tasks run; equal images behave alike.
	Image string `cbor:"15,keyasint,omitempty"`
	// LatencyObjectiveMS is the tail latency that a serving task must keep.
	LatencyObjectiveMS int64 `cbor:"16,keyasint,omitempty"`
}

// AllowsCopies reports whether a second run of a task may be alive beside the first.
// A gang runs as a whole, and a long-running task has one place.
func (s *Step) AllowsCopies() bool { return s.Speculative && !s.Gang && !s.LongRunning }

// Room is what a task of the step takes of a worker's capacity.
func (s *Step) Demand() Resources {
	room := s.Need
	if s.UsesSpare {
		room.MilliCPU = 0
	}
	return room
}

// Schedule repeats a job at fixed times. The zero value means once, now.
type Schedule struct {
	// FirstAtMS is the due time of the first occurrence, in Unix milliseconds.
	FirstAtMS int64 `cbor:"1,keyasint,omitempty"`
	EveryMS   int64 `cbor:"2,keyasint,omitempty"`
	// Times is the number of occurrences; 0 for a job that isn't repeated.
	Times int `cbor:"3,keyasint,omitempty"`
}

// DueMS returns when an occurrence may start, in Unix milliseconds.
func (s Schedule) DueMS(occurrence int) int64 {
	return s.FirstAtMS + int64(occurrence)*s.EveryMS
}

// Submission is a job as a caller hands it in.
type Submission struct {
	// ID is chosen by the caller; the same ID is the same job.
	ID string `cbor:"1,keyasint"`
	// Queue is the identity of the queue that the job was handed in to.
	Queue string `cbor:"2,keyasint"`
	// Payload is passed to the tasks unread.
	Payload  string   `cbor:"3,keyasint,omitempty"`
	Steps    []Step   `cbor:"4,keyasint"`
	Schedule Schedule `cbor:"5,keyasint,omitempty"`
	// Policy is that of the queue when the job was accepted.
	Policy Policy `cbor:"12,keyasint"`
}

// StepKey names one step of one occurrence of a job.
type StepKey struct {
	Job        string `cbor:"1,keyasint"`
	Occurrence int    `cbor:"2,keyasint,omitempty"`
	Step       int    `cbor:"3,keyasint,omitempty"`
}

// TaskKey names one task.
type TaskKey struct {
	StepKey
	Index int `cbor:"4,keyasint,omitempty"`
}

// String returns the key as logs show it.
func (k StepKey) String() string {
	return fmt.Sprintf("%s/%d/%d", k.Job, k.Occurrence, k.Step)
}

// String returns the key as logs show it.
func (k TaskKey) String() string { return fmt.Sprintf("%s/%d", k.StepKey, k.Index) }

// Run is one start of a task that may be alive on a worker.
type Run struct {
	Task TaskKey `cbor:"1,keyasint"`
	// Number counts the starts of the task from 1; members of a gang share it.
	Number int `cbor:"2,keyasint"`
	// Worker is the incarnation that the run was given to.
	Worker string `cbor:"3,keyasint"`
}

// Outcome is how a run ended.
type Outcome uint8

// Outcomes of runs. Only OutcomeFailed counts as an attempt.
const (
	// OutcomeDone: the task did its work.
	OutcomeDone Outcome = iota + 1
	// OutcomeFailed: the task failed by its own fault or the worker's.
	OutcomeFailed
	// OutcomeStopped: the run was stopped on request.
	OutcomeStopped
	// OutcomeLeaseExpired: the worker's lease ended before the run did.
	OutcomeLeaseExpired
	// OutcomeGangBroken: another member of the gang ended.
	OutcomeGangBroken
	// OutcomeGangIncomplete: the gang's other members didn't appear in time.
	OutcomeGangIncomplete
	// OutcomeNotStarted: the worker never began the run and never will.
	OutcomeNotStarted
	// OutcomeLost: the worker, or its lease, ended without a word on the run.
	OutcomeLost
	// OutcomeCrashed: the worker crashed, and the run with it.
	OutcomeCrashed
)

// String returns the outcome as logs show it.
func (o Outcome) String() string {
	names := [...]string{"none", "done", "failed", "stopped", "lapsed", "broken", "alone", "not_started", "lost", "crashed"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// begun reports whether the outcome proves that a worker had begun the run.
func (o Outcome) provesStart() bool {
	return o != OutcomeNotStarted && o != OutcomeLost && o != OutcomeCrashed
}

// RunEnd is the end of one run.
type RunEnd struct {
	Task    TaskKey `cbor:"1,keyasint"`
	Number  int     `cbor:"2,keyasint"`
	Outcome Outcome `cbor:"3,keyasint"`
	// Checkpoint is where the next run resumes from; empty when there is none.
	Checkpoint string `cbor:"4,keyasint,omitempty"`
	// Suspicion is how much speaks for the run having crashed its worker.
	Suspicion Suspicion `cbor:"5,keyasint,omitempty"`
}

// Worker is one incarnation of a worker as it announced itself.
type Worker struct {
	// ID names the incarnation; a restarted worker has another one.
	ID string `cbor:"1,keyasint"`
	// Name is the worker's own, which its incarnations may share, and Born when this one
	// began, in Unix milliseconds: of two with one name the later one holds. Both are empty
	// where each incarnation has a name of its own.
	Name        string `cbor:"14,keyasint,omitempty"`
	StartedAtMS int64  `cbor:"15,keyasint,omitempty"`
	// Service is the pool that the worker runs tasks for.
	Service    string    `cbor:"2,keyasint"`
	Address    string    `cbor:"3,keyasint"`
	DataCentre string    `cbor:"4,keyasint"`
	Rack       string    `cbor:"5,keyasint,omitempty"`
	Labels     []string  `cbor:"6,keyasint,omitempty"`
	Capacity   Resources `cbor:"7,keyasint"`
	// Draining workers finish what they run and get nothing new.
	Draining bool `cbor:"10,keyasint,omitempty"`
	// Sequence is that of the heartbeat that said so; it grows with each one of the
	// incarnation.
	Sequence uint64 `cbor:"13,keyasint,omitempty"`
}

// WorkerState is what the log remembers of a worker.
type WorkerState struct {
	Worker
	// Seen is the number of the last end that was taken in from it.
	LastEnd uint64 `cbor:"8,keyasint,omitempty"`
	// Gone says that this incarnation runs nothing and never will again.
	Gone bool `cbor:"9,keyasint,omitempty"`
	// Missing are the runs that ended with the worker's lease, until it is known
	// whether the worker has crashed.
	Unresolved []RunEnd `cbor:"12,keyasint,omitempty"`
}
