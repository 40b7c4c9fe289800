package workflow

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/codec"
	"github.com/bilberryferry/bilberryferry/customer"
)

// Task is the replicated state of a task.
type Task struct {
	Done bool `cbor:"1,keyasint,omitempty"`
	// Runs counts the runs that were started.
	Runs int `cbor:"2,keyasint,omitempty"`
	// Live counts the runs that may still be alive.
	Live int `cbor:"3,keyasint,omitempty"`
	// Failures counts the runs that failed.
	Failures   int    `cbor:"4,keyasint,omitempty"`
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	// CrashedOn are the workers that crashed while they ran the task. StrongCrashes counts
	// those with SuspicionStrong.
	CrashedOn     []string `cbor:"6,keyasint,omitempty"`
	StrongCrashes int      `cbor:"7,keyasint,omitempty"`
	// Unresolved counts the runs of the task that ended with the lease of their worker while it
	// is unknown whether the worker has crashed.
	Unresolved int `cbor:"8,keyasint,omitempty"`
}

// StepState holds the tasks of a step of one occurrence.
type StepState struct {
	Tasks []Task `cbor:"1,keyasint"`
	// Done counts the tasks that are done.
	Done int `cbor:"2,keyasint,omitempty"`
	// GangRun is the number of the latest run of a gang. GangFailures counts its failed
	// runs; a run counts once, however many members fail.
	GangRun      int `cbor:"3,keyasint,omitempty"`
	GangFailures int `cbor:"4,keyasint,omitempty"`
	// GangFailedRun is the number of the latest run of a gang that was counted as failed.
	GangFailedRun int `cbor:"5,keyasint,omitempty"`
	// GangEndedRun is the number of the latest run of a gang of which a member ended
	// without being done.
	GangEndedRun int `cbor:"6,keyasint,omitempty"`
}

// Live returns how many runs of the step may be alive.
func (s *StepState) Live() int {
	live := 0
	for i := range s.Tasks {
		live += s.Tasks[i].Live
	}
	return live
}

// Job is an accepted job.
type Job struct {
	Submission
	// Occurrences holds the steps of each repetition; a job without a schedule has one.
	Occurrences [][]StepState `cbor:"6,keyasint"`
	Cancelled   bool          `cbor:"7,keyasint,omitempty"`
	Failed      bool          `cbor:"8,keyasint,omitempty"`
	// Started says that a run that a worker had started has ended. The commit of a start
	// doesn't set it, since the worker may never carry out the order.
	Started bool `cbor:"9,keyasint,omitempty"`
	// Unfinished counts the tasks that aren't done.
	Unfinished int `cbor:"10,keyasint,omitempty"`
	// Index is the log index of the submission; jobs with lower indexes are older.
	Index uint64 `cbor:"11,keyasint"`
	// CrashingTask is the task whose worker crashes failed the job, nil for none.
	CrashingTask *TaskKey `cbor:"13,keyasint,omitempty"`
}

// Ended reports whether the job is over and starts no more runs.
func (j *Job) Ended() bool { return j.Cancelled || j.Failed || j.Unfinished == 0 }

// IsLongRunning reports whether a step of the job runs until the job is cancelled.
func (s *Submission) IsLongRunning() bool {
	return slices.ContainsFunc(s.Steps, func(step Step) bool { return step.LongRunning })
}

// AllTasksRunning reports whether each unfinished task of the job has a run that may be alive.
func (j *Job) AllTasksRunning() bool {
	for _, steps := range j.Occurrences {
		for i := range steps {
			for k := range steps[i].Tasks {
				if task := &steps[i].Tasks[k]; !task.Done && task.Live == 0 {
					return false
				}
			}
		}
	}
	return true
}

// HasLiveRuns reports whether a run of the job may be alive.
func (j *Job) HasLiveRuns() bool {
	for _, steps := range j.Occurrences {
		for i := range steps {
			if steps[i].Live() > 0 {
				return true
			}
		}
	}
	return false
}

// Phase is the progress of a job, as callers see it.
type Phase uint8

// Phases of a job.
const (
	// PhasePending means that no worker is known to have started a run of the job, and
	// PhaseActive that a worker is known to have started one. Only the end of a run can
	// prove that a worker started it.
	PhasePending Phase = iota + 1
	PhaseActive
	PhaseDone
	PhaseFailed
	PhaseCancelled
)

// Ended reports whether a job in this phase is over.
func (p Phase) Ended() bool { return p >= PhaseDone }

// String returns the phase as logs show it.
func (p Phase) String() string {
	names := [...]string{"none", "pending", "active", "done", "failed", "cancelled"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// Phase returns the progress of the job.
func (j *Job) Phase() Phase {
	switch {
	case j.Failed:
		return PhaseFailed
	case j.Cancelled:
		return PhaseCancelled
	case j.Unfinished == 0:
		return PhaseDone
	case j.Started:
		return PhaseActive
	default:
		return PhasePending
	}
}

// Due reports whether an occurrence may start at the wall clock time now.
func (j *Job) Due(occurrence int, now time.Time) bool {
	if j.Schedule.Times == 0 {
		return true
	}
	return !now.Round(0).Before(time.UnixMilli(j.Schedule.DueMS(occurrence)))
}

// StepReady reports whether all steps that step depends on have ended.
func (j *Job) StepReady(occurrence, step int) bool {
	states := j.Occurrences[occurrence]
	for _, dependency := range j.Steps[step].DependsOn {
		if states[dependency].Done < len(states[dependency].Tasks) {
			return false
		}
	}
	return true
}

// State is the state that the log replicates.
type State struct {
	Jobs    map[string]*Job         `cbor:"1,keyasint"`
	Workers map[string]*WorkerState `cbor:"2,keyasint"`
	// Runs holds the runs that may be alive, by worker.
	Runs          map[string]map[TaskKey]Run `cbor:"-"`
	Configuration Document                   `cbor:"3,keyasint"`
	// RunList is the encoded form of Runs in a snapshot; it is empty outside of snapshots.
	RunList []Run `cbor:"4,keyasint"`
	// Waves are the maintenance waves of the operator, by ID.
	Waves map[int64]*WaveState `cbor:"5,keyasint,omitempty"`
	// Changes say when the parts of Configuration came into force.
	Changes Changes `cbor:"6,keyasint,omitempty"`
	// Instances are the addresses of the instances that have announced themselves, in
	// ascending order. A new leader sends adviser queries through them.
	Instances []string `cbor:"7,keyasint,omitempty"`

	// newestByName holds the latest incarnation of each worker, by name.
	newestByName map[string]string
	// openJobs holds the jobs that have not ended, openJobsByQueue the same jobs by the identity of their queue.
	openJobs        map[string]*Job
	openJobsByQueue map[string]map[string]*Job
	// loads and placed are derived from Runs; see Used and Placed.
	loads  map[string]*workerLoad
	placed map[StepKey]map[string]int
	// usage is derived from Runs, customers and queues, by identity, from Configuration.
	usage     customer.Usage
	customers *customer.Directory
	queues    map[string]*Queue
}

// NewState returns the state before the first command.
func NewState() *State {
	return &State{
		Jobs: map[string]*Job{}, Workers: map[string]*WorkerState{},
		Runs: map[string]map[TaskKey]Run{}, Waves: map[int64]*WaveState{}, newestByName: map[string]string{},
		openJobs: map[string]*Job{}, openJobsByQueue: map[string]map[string]*Job{},
		loads: map[string]*workerLoad{}, placed: map[StepKey]map[string]int{},
		usage: customer.Usage{}, customers: customer.NewDirectory(nil),
	}
}

// OpenJobs returns the jobs that have not ended, by ID. The caller must not change the map.
func (s *State) OpenJobs() map[string]*Job { return s.openJobs }

// OpenJobsOf returns the jobs of a queue that have not ended, by ID. The caller must not change the map.
func (s *State) OpenJobsOf(queue string) map[string]*Job { return s.openJobsByQueue[queue] }

func (s *State) addOpenJob(job *Job) {
	s.openJobs[job.ID] = job
	jobs := s.openJobsByQueue[job.Queue]
	if jobs == nil {
		jobs = map[string]*Job{}
		s.openJobsByQueue[job.Queue] = jobs
	}
	jobs[job.ID] = job
}

func (s *State) removeOpenJob(job *Job) {
	delete(s.openJobs, job.ID)
	jobs := s.openJobsByQueue[job.Queue]
	delete(jobs, job.ID)
	if len(jobs) == 0 {
		delete(s.openJobsByQueue, job.Queue)
	}
}

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	flat := *s
	flat.RunList = nil
	for _, runs := range s.Runs {
		for _, run := range runs {
			flat.RunList = append(flat.RunList, run)
		}
	}
	encoded, err := codec.Marshal(&flat)
	return encoded, errors.Wrap(err, "encode the workflow state")
}

// Restore decodes a state that Snapshot encoded.
func Restore(encoded []byte) (*State, error) {
	s := NewState()
	if err := codec.Unmarshal(encoded, s); err != nil {
		return nil, errors.Wrap(err, "decode the workflow state")
	}
	s.customers = customer.NewDirectory(s.Configuration.Customers)
	s.queues = s.Configuration.queuesByIdentity()
	for _, run := range s.RunList {
		s.addRun(run)
	}
	s.RunList = nil
	for _, worker := range s.Workers {
		s.recordIncarnation(&worker.Worker)
	}
	for _, job := range s.Jobs {
		if !job.Ended() {
			s.addOpenJob(job)
			// A program whose jobs kept the policy of their acceptance may have made the snapshot.
			s.followQueue(job)
		}
	}
	return s, nil
}

// step returns a step and its job, nil for both if there is no such step.
func (s *State) step(key StepKey) (*Job, *StepState) {
	job := s.Jobs[key.Job]
	if job == nil || !hasIndex(job.Occurrences, key.Occurrence) || !hasIndex(job.Steps, key.Step) {
		return nil, nil
	}
	return job, &job.Occurrences[key.Occurrence][key.Step]
}

// hasIndex reports whether a slice has an element with an index.
func hasIndex[T any](elements []T, index int) bool { return index >= 0 && index < len(elements) }

// task returns the state of a task, nil if there is no such task.
func (s *StepState) task(index int) *Task {
	if !hasIndex(s.Tasks, index) {
		return nil
	}
	return &s.Tasks[index]
}

// Task returns the state of a task, nil if there is no such task.
func (s *State) Task(key TaskKey) *Task {
	_, step := s.step(key.StepKey)
	if step == nil {
		return nil
	}
	return step.task(key.Index)
}
