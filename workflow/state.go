package workflow

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Task is what the log remembers of a task.
type Task struct {
	Done bool `cbor:"1,keyasint,omitempty"`
	// Runs counts the starts.
	Runs int `cbor:"2,keyasint,omitempty"`
	// Live counts the runs that may still be alive.
	Live int `cbor:"3,keyasint,omitempty"`
	// Failures counts the runs that failed.
	Failures   int    `cbor:"4,keyasint,omitempty"`
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	// CrashedOn are the workers that crashed under the task's runs, StrongCrashes how many
	// of these crashes speak strongly against the task.
	CrashedOn     []string `cbor:"6,keyasint,omitempty"`
	StrongCrashes int      `cbor:"7,keyasint,omitempty"`
	// Missing counts the workers whose lease ended under the task's runs and of which it
	// isn't known yet whether they have crashed.
	Unresolved int `cbor:"8,keyasint,omitempty"`
}

// StepState holds the tasks of a step of one occurrence.
type StepState struct {
	Tasks []Task `cbor:"1,keyasint"`
	// Done counts the tasks that are done.
	Done int `cbor:"2,keyasint,omitempty"`
	// GangRun is the number of the latest run of a gang; GangFailures counts the
	// runs that failed, once each.
	GangRun      int `cbor:"3,keyasint,omitempty"`
	GangFailures int `cbor:"4,keyasint,omitempty"`
	// GangFailedRun is the latest run that was counted as failed.
	GangFailedRun int `cbor:"5,keyasint,omitempty"`
	// GangEndedRun is the latest run of which a member has ended.
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
	// Occurrences holds the steps of each repetition, one for a plain job.
	Occurrences [][]StepState `cbor:"6,keyasint"`
	Cancelled   bool          `cbor:"7,keyasint,omitempty"`
	Failed      bool          `cbor:"8,keyasint,omitempty"`
	// Begun says that a run has ended, so a worker had begun it. That a start was
	// committed doesn't say so: the order may never have been carried out.
	Begun bool `cbor:"9,keyasint,omitempty"`
	// Unfinished counts the tasks that aren't done.
	Unfinished int `cbor:"10,keyasint,omitempty"`
	// Index is the log entry of the acceptance, which orders jobs by age.
	Index uint64 `cbor:"11,keyasint"`
	// Crasher is the task for whose crashed workers the job was given up, nil for none.
	CrashingTask *TaskKey `cbor:"13,keyasint,omitempty"`
}

// Ended reports whether nothing more is to be started for the job.
func (j *Job) Ended() bool { return j.Cancelled || j.Failed || j.Unfinished == 0 }

// Phase is how far a job has come, as callers see it.
type Phase uint8

// Phases of a job.
const (
	PhasePending Phase = iota + 1
	PhaseActive
	PhaseDone
	PhaseFailed
	PhaseCancelled
)

// String returns the phase as logs show it.
func (p Phase) String() string {
	names := [...]string{"none", "pending", "active", "done", "failed", "cancelled"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// Phase returns how far the job has come.
func (j *Job) Phase() Phase {
	switch {
	case j.Failed:
		return PhaseFailed
	case j.Cancelled:
		return PhaseCancelled
	case j.Unfinished == 0:
		return PhaseDone
	case j.Begun:
		return PhaseActive
	default:
		return PhasePending
	}
}

// Due reports whether an occurrence's time has come, by the time of day.
func (j *Job) Due(occurrence int, now time.Time) bool {
	if j.Schedule.Times == 0 {
		return true
	}
	return !now.Round(0).Before(time.UnixMilli(j.Schedule.DueMS(occurrence)))
}

// StepReady reports whether all steps that step depends on have ended.
func (j *Job) StepReady(occurrence, step int) bool {
	states := j.Occurrences[occurrence]
	for _, before := range j.Steps[step].DependsOn {
		if states[before].Done < len(states[before].Tasks) {
			return false
		}
	}
	return true
}

// State is everything that the log builds up.
type State struct {
	Jobs    map[string]*Job         `cbor:"1,keyasint"`
	Workers map[string]*WorkerState `cbor:"2,keyasint"`
	// Runs holds the runs that may be alive, by worker.
	Runs          map[string]map[TaskKey]Run `cbor:"-"`
	Configuration Document                   `cbor:"3,keyasint"`
	RunList       []Run                      `cbor:"4,keyasint"`
	// Waves are the operator's waves of maintenance.
	Waves map[int64]*WaveState `cbor:"5,keyasint,omitempty"`

	// newest holds the latest life of each worker, by name.
	newestByName map[string]string
	// open holds the jobs that have not ended.
	openJobs map[string]*Job
	// loads and placed follow from Runs; see Used and Placed.
	loads  map[string]*workerLoad
	placed map[StepKey]map[string]int
}

// NewState returns the state before the first command.
func NewState() *State {
	return &State{
		Jobs: map[string]*Job{}, Workers: map[string]*WorkerState{},
		Runs: map[string]map[TaskKey]Run{}, Waves: map[int64]*WaveState{}, openJobs: map[string]*Job{}, newestByName: map[string]string{},
		loads: map[string]*workerLoad{}, placed: map[StepKey]map[string]int{},
	}
}

// Open returns the jobs that have not ended. The caller must not change it.
func (s *State) OpenJobs() map[string]*Job { return s.openJobs }

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	flat := *s
	flat.RunList = nil
	for _, runs := range s.Runs {
		for _, run := range runs {
			flat.RunList = append(flat.RunList, run)
		}
	}
	data, err := cbor.Marshal(&flat)
	return data, errors.Wrap(err, "encode the state of jobs")
}

// Restore decodes a state that Snapshot encoded.
func Restore(data []byte) (*State, error) {
	s := NewState()
	if err := cbor.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "decode the state of jobs")
	}
	for _, run := range s.RunList {
		s.addRun(run)
	}
	s.RunList = nil
	for _, worker := range s.Workers {
		s.recordIncarnation(&worker.Worker)
	}
	for id, job := range s.Jobs {
		if !job.Ended() {
			s.openJobs[id] = job
		}
	}
	return s, nil
}

func (s *State) step(key StepKey) (*Job, *StepState) {
	job := s.Jobs[key.Job]
	if job == nil || key.Occurrence >= len(job.Occurrences) || key.Step >= len(job.Steps) {
		return nil, nil
	}
	return job, &job.Occurrences[key.Occurrence][key.Step]
}

// Task returns the state of a task, nil when there is none of that name.
func (s *State) Task(key TaskKey) *Task {
	_, step := s.step(key.StepKey)
	if step == nil || key.Index >= len(step.Tasks) {
		return nil
	}
	return &step.Tasks[key.Index]
}
