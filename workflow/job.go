// Package workflow is the replicated state of jobs that consist of dependent steps: which jobs
// were accepted, which runs of tasks may be alive on which worker, and how tasks have ended. It
// is deterministic and does no I/O; every change is a Command that the log has committed.
package workflow

import (
	"strconv"

	"github.com/bilberryferry/bilberryferry/resource"
)

// Resources are what a task demands or a worker has.
type Resources = resource.Amount

// Step is one part of a job: identical tasks that may start once the steps that this one
// depends on have ended.
type Step struct {
	// Count is the number of tasks.
	Count int       `cbor:"1,keyasint"`
	Need  Resources `cbor:"2,keyasint"`
	// EstimateMS is a rough estimate of the run time of one task, in milliseconds.
	EstimateMS int64 `cbor:"3,keyasint,omitempty"`
	// DependsOn are the indexes, from 0, of the steps that must end first; all are earlier
	// steps of the job.
	DependsOn []int `cbor:"4,keyasint,omitempty"`
	// Gang says that all tasks run at the same time or none of them does.
	Gang bool `cbor:"5,keyasint,omitempty"`
	// SameRack says that the gang runs faster within one rack.
	SameRack bool `cbor:"6,keyasint,omitempty"`
	// Label is a label that the worker must have; empty for any worker.
	Label string `cbor:"7,keyasint,omitempty"`
	// DataRack is the rack that holds the data; tasks run slower elsewhere.
	DataRack string `cbor:"8,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 for no bound.
	MaxPerWorker int `cbor:"9,keyasint,omitempty"`
	// Speculative says that a speculative copy of a task may run alongside the first run.
	Speculative bool `cbor:"10,keyasint,omitempty"`
	// LongRunning says that the tasks run until the job is cancelled and are restarted
	// however they end.
	LongRunning bool `cbor:"11,keyasint,omitempty"`
	// Checkpointing says that tasks report checkpoints to resume from.
	Checkpointing bool `cbor:"12,keyasint,omitempty"`
	// UsesSpareCPU says that the tasks reserve no CPU and use only CPU that other runs leave
	// idle.
	UsesSpareCPU bool `cbor:"13,keyasint,omitempty"`
	// MaxUnavailable bounds how many long-running tasks the system itself may interrupt at the
	// same time.
	MaxUnavailable int `cbor:"14,keyasint,omitempty"`
	// Image names what the tasks run; tasks with equal images behave alike.
	Image string `cbor:"15,keyasint,omitempty"`
	// LatencyObjectiveMS bounds the tail latency of a serving task, in milliseconds; 0 if the
	// task has no latency objective.
	LatencyObjectiveMS int64 `cbor:"16,keyasint,omitempty"`
}

// AllowsCopies reports whether a speculative copy of a task may run alongside the first
// run. Gangs run as a whole, and a long-running task has a single run.
func (s *Step) AllowsCopies() bool { return s.Speculative && !s.Gang && !s.LongRunning }

// Demand returns the resources of its worker that a task of the step occupies.
func (s *Step) Demand() Resources {
	demand := s.Need
	if s.UsesSpareCPU {
		demand.MilliCPU = 0
	}
	return demand
}

// CustomerDemand returns what a task of the step counts against the limit of its customer: all
// that it may use, on spare CPU too.
func (s *Step) CustomerDemand() Resources { return s.Need }

// LeastDemand returns the least that must be running at a time for the step to make progress: one
// task, or the whole gang.
func (s *Step) LeastDemand() Resources {
	if s.Gang {
		return s.CustomerDemand().Times(int64(s.Count))
	}
	return s.CustomerDemand()
}

// Schedule repeats a job at fixed times. The zero value starts the job once, immediately.
type Schedule struct {
	// FirstAtMS is the due time of the first occurrence, in Unix milliseconds.
	FirstAtMS int64 `cbor:"1,keyasint,omitempty"`
	// EveryMS is the interval between occurrences, in milliseconds.
	EveryMS int64 `cbor:"2,keyasint,omitempty"`
	// Times is the number of occurrences; 0 for a job that isn't repeated.
	Times int `cbor:"3,keyasint,omitempty"`
}

// DueMS returns when an occurrence may start, in Unix milliseconds.
func (s Schedule) DueMS(occurrence int) int64 {
	return s.FirstAtMS + int64(occurrence)*s.EveryMS
}

// Submission is a job as the caller submits it.
type Submission struct {
	// ID is chosen by the caller and serves as an idempotency key: the same ID is the same job.
	ID string `cbor:"1,keyasint"`
	// Queue is the identity of the queue that the job was submitted to.
	Queue string `cbor:"2,keyasint"`
	// Payload is passed to the tasks without being interpreted.
	Payload  string   `cbor:"3,keyasint,omitempty"`
	Steps    []Step   `cbor:"4,keyasint"`
	Schedule Schedule `cbor:"5,keyasint,omitempty"`
	// Policy is the policy of the queue when the job was accepted. Of an accepted job, some parts follow
	// the queue; see Policy.follow.
	Policy Policy `cbor:"12,keyasint"`
	// Customer is the name of the job's owner; empty if the job belongs to nobody, because it was
	// submitted without a key to an open queue or before the system knew customers.
	Customer string `cbor:"14,keyasint,omitempty"`
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
	return k.Job + "/" + strconv.Itoa(k.Occurrence) + "/" + strconv.Itoa(k.Step)
}

// String returns the key as logs show it. Several log lines of each run show it, so it is built
// without package fmt.
func (k TaskKey) String() string {
	return k.Job + "/" + strconv.Itoa(k.Occurrence) + "/" + strconv.Itoa(k.Step) + "/" + strconv.Itoa(k.Index)
}

// Run is one start of a task that may be alive on a worker.
type Run struct {
	Task TaskKey `cbor:"1,keyasint"`
	// Number counts the starts of the task from 1; members of a gang share it.
	Number int `cbor:"2,keyasint"`
	// Worker is the incarnation that the run was assigned to.
	Worker string `cbor:"3,keyasint"`
}

// Outcome is how a run ended.
type Outcome uint8

// Outcomes of runs. Only OutcomeFailed counts as an attempt.
const (
	// OutcomeDone: the task completed its work.
	OutcomeDone Outcome = iota + 1
	// OutcomeFailed: the task failed, through its own fault or that of the worker.
	OutcomeFailed
	// OutcomeStopped: the run was stopped on request.
	OutcomeStopped
	// OutcomeLeaseExpired: the lease of the worker expired before the run ended.
	OutcomeLeaseExpired
	// OutcomeGangBroken: the run was stopped because another member of the gang ended.
	OutcomeGangBroken
	// OutcomeGangIncomplete: the other members of the gang didn't start in time.
	OutcomeGangIncomplete
	// OutcomeNotStarted: the worker never started the run and never will.
	OutcomeNotStarted
	// OutcomeLost: the incarnation of the worker ended, or its lease expired, without a report
	// on the run.
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

// provesStart reports whether the outcome proves that the worker had started the run.
func (o Outcome) provesStart() bool {
	return o != OutcomeNotStarted && o != OutcomeLost && o != OutcomeCrashed
}

// RunEnd is the end of one run.
type RunEnd struct {
	Task    TaskKey `cbor:"1,keyasint"`
	Number  int     `cbor:"2,keyasint"`
	Outcome Outcome `cbor:"3,keyasint"`
	// Checkpoint is where the next run resumes from; empty for none.
	Checkpoint string `cbor:"4,keyasint,omitempty"`
	// Suspicion is how likely it is that the run crashed its worker.
	Suspicion Suspicion `cbor:"5,keyasint,omitempty"`
}

// Worker is one incarnation of a worker as it announced itself.
type Worker struct {
	// ID names the incarnation; a restarted worker has a new one.
	ID string `cbor:"1,keyasint"`
	// Name is the name of the worker, which its incarnations may share. StartedAtMS is when
	// this incarnation started, in Unix milliseconds: of two incarnations with the same
	// name the later one supersedes the other. Both are unset if incarnations share no
	// name.
	Name        string `cbor:"14,keyasint,omitempty"`
	StartedAtMS int64  `cbor:"15,keyasint,omitempty"`
	// Service is the pool that the worker runs tasks for.
	Service    string    `cbor:"2,keyasint"`
	Address    string    `cbor:"3,keyasint"`
	DataCentre string    `cbor:"4,keyasint"`
	Rack       string    `cbor:"5,keyasint,omitempty"`
	Labels     []string  `cbor:"6,keyasint,omitempty"`
	Capacity   Resources `cbor:"7,keyasint"`
	// Draining says that the worker finishes its runs and gets no new ones.
	Draining bool `cbor:"10,keyasint,omitempty"`
	// Sequence is the number of the heartbeat that carried these fields; it grows with each
	// heartbeat of the incarnation.
	Sequence uint64 `cbor:"13,keyasint,omitempty"`
}

// WorkerState is the replicated state of a worker.
type WorkerState struct {
	Worker
	// LastEnd is the highest sequence number of a run end that was applied from the
	// worker's reports.
	LastEnd uint64 `cbor:"8,keyasint,omitempty"`
	// Gone says that this incarnation runs nothing and never will again.
	Gone bool `cbor:"9,keyasint,omitempty"`
	// Unresolved are the runs that ended with the worker's lease while it is unknown whether
	// the worker has crashed.
	Unresolved []RunEnd `cbor:"12,keyasint,omitempty"`
	// SpeedPercent is the speed of a slow or fast worker in percent of that of the median worker; 0 if
	// the worker isn't known to be either.
	SpeedPercent int `cbor:"16,keyasint,omitempty"`
}

// WorkerSpeed says that a worker became slow or fast or, with SpeedPercent 0, ordinary.
type WorkerSpeed struct {
	Worker       string `cbor:"1,keyasint"`
	SpeedPercent int    `cbor:"2,keyasint,omitempty"`
}
