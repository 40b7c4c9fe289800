package state

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryferry/bilberryferry/codec"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/placement"
	"github.com/bilberryferry/bilberryferry/quota"
)

// Retries of failed attempts.
const (
	// DefaultMaxAttempts is the maximum number of attempts of an idempotent
	// task whose spec sets none.
	DefaultMaxAttempts = 5
	// retryBackoffMillis is the backoff after the first failure; each further
	// one doubles it.
	retryBackoffMillis = 250
	// maxRetryBackoffMillis is the maximum backoff.
	maxRetryBackoffMillis = 30_000
	// maxBackoffDoublings bounds the doublings, so that the backoff does not overflow
	// before maxRetryBackoffMillis applies.
	maxBackoffDoublings = 10
)

// State is the state of one data centre that results from its log.
type State struct {
	Format     uint32 `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// Sequence is the number in the last job ID.
	Sequence uint64 `cbor:"3,keyasint"`
	// Revision increases with every change of a job.
	Revision uint64             `cbor:"4,keyasint"`
	Jobs     map[string]*Job    `cbor:"5,keyasint"`
	Workers  map[string]*Worker `cbor:"6,keyasint"`
	// Requests holds the idempotency records, by customer and request ID.
	Requests map[string]RequestRecord `cbor:"7,keyasint"`
	// HandoverAnswers holds the answers to handover offers of other data centres,
	// by job ID.
	HandoverAnswers map[string]HandoverAnswerRecord `cbor:"8,keyasint"`
	// Config is the adopted configuration.
	Config AdoptConfig `cbor:"9,keyasint"`
	// Applied is the log index of the last applied command.
	Applied uint64 `cbor:"10,keyasint"`
	// Ledger is the encoded quota ledger.
	Ledger []byte `cbor:"11,keyasint,omitempty"`
	// Term is the highest leader term of any applied command.
	Term uint64 `cbor:"12,keyasint,omitempty"`

	// onWorker holds the attempts that occupy each worker. It is derived from
	// the jobs.
	onWorker map[string]map[AttemptRef]struct{}
	// used is the sum of resources reserved for the running tasks of each
	// customer. It is derived from the jobs.
	used map[string]placement.Resources
	// ledger is the quota ledger; Ledger holds its encoded form in snapshots.
	ledger  *quota.Ledger
	changes Changes
}

// RequestRecord is the idempotency record of a request: the digest of its content
// and the first response, made at At (Unix ms).
type RequestRecord struct {
	Digest uint64       `cbor:"1,keyasint"`
	At     int64        `cbor:"2,keyasint"`
	Job    string       `cbor:"3,keyasint,omitempty"`
	Jobs   []string     `cbor:"4,keyasint,omitempty"`
	Fault  *FaultRecord `cbor:"5,keyasint,omitempty"`
}

// FaultRecord is a recorded refusal. RetryAfter is in nanoseconds.
type FaultRecord struct {
	Kind       fault.Kind `cbor:"1,keyasint"`
	Detail     string     `cbor:"2,keyasint,omitempty"`
	RetryAfter int64      `cbor:"3,keyasint,omitempty"`
}

// HandoverAnswerRecord is the committed answer to a handover offer. At is in
// Unix ms.
type HandoverAnswerRecord struct {
	Accepted bool       `cbor:"1,keyasint,omitempty"`
	Kind     fault.Kind `cbor:"2,keyasint,omitempty"`
	Detail   string     `cbor:"3,keyasint,omitempty"`
	At       int64      `cbor:"4,keyasint"`
}

// Changes is what a series of commands has changed. Callers update their caches and
// the event timeline from it.
type Changes struct {
	Placed   []placement.Placed
	Unplaced []Unplaced
	// ChangedJobs holds the IDs of the changed jobs. Their numbers of queued tasks may
	// have changed.
	ChangedJobs map[string]struct{}
	// Workers holds the IDs of workers that may have changed.
	Workers map[string]struct{}
	// Stops are the attempts that their workers must stop.
	Stops   []StartedAttempt
	Samples []placement.Sample
	// AttemptResults are the attempts that finished or failed on their workers.
	AttemptResults []AttemptResult
	Events         []Event
	// QuotaChanged is set if allotments may have changed.
	QuotaChanged bool
}

// Unplaced is a task that no longer occupies its worker.
type Unplaced struct {
	Job  string
	Task int
}

// AttemptResult is the success or failure of an attempt on a worker.
type AttemptResult struct {
	Worker, Job string
	Failed      bool
}

// New returns the empty state of a data centre.
func New(dataCentre string) *State {
	s := &State{
		Format:          FormatVersion,
		DataCentre:      dataCentre,
		Jobs:            make(map[string]*Job),
		Workers:         make(map[string]*Worker),
		Requests:        make(map[string]RequestRecord),
		HandoverAnswers: make(map[string]HandoverAnswerRecord),
		ledger:          quota.NewLedger(dataCentre),
	}
	s.rebuildDerived()
	return s
}

// Encode returns a snapshot of the state.
func (s *State) Encode() ([]byte, error) {
	ledger, err := s.ledger.MarshalBinary()
	if err != nil {
		return nil, errors.Wrap(err, "encode quota ledger")
	}
	s.Ledger = ledger
	encoded, err := cbor.Marshal(s)
	return encoded, errors.Wrap(err, "encode state")
}

// DecodeState restores the state from a snapshot of this or an earlier format
// version. It returns an error for a later one.
func DecodeState(encoded []byte) (*State, error) {
	s := new(State)
	if err := codec.Unmarshal(encoded, s); err != nil {
		return nil, errors.Wrap(err, "decode state")
	}
	if s.Format == 0 || s.Format > FormatVersion {
		return nil, errors.Newf("state has format version %d, this program reads up to %d", s.Format, FormatVersion)
	}
	fresh := New(s.DataCentre)
	if s.Jobs == nil {
		s.Jobs = fresh.Jobs
	}
	if s.Workers == nil {
		s.Workers = fresh.Workers
	}
	if s.Requests == nil {
		s.Requests = fresh.Requests
	}
	if s.HandoverAnswers == nil {
		s.HandoverAnswers = fresh.HandoverAnswers
	}
	s.ledger = fresh.ledger
	if len(s.Ledger) > 0 {
		if err := s.ledger.UnmarshalBinary(s.Ledger); err != nil {
			return nil, errors.Wrap(err, "decode quota ledger")
		}
	}
	s.rebuildDerived()
	return s, nil
}

// rebuildDerived rebuilds the derived fields from the stored ones.
func (s *State) rebuildDerived() {
	s.resetChanges()
	s.onWorker = make(map[string]map[AttemptRef]struct{})
	s.used = make(map[string]placement.Resources)
	for _, j := range s.Jobs {
		for i := range j.Tasks {
			if j.Tasks[i].State == TaskRunning {
				s.occupy(j.Tasks[i].Worker, j.attemptRef(i))
				s.used[j.Customer] = add(s.used[j.Customer], j.ReservedResources(i))
			}
		}
	}
}

// resetChanges removes the recorded changes.
func (s *State) resetChanges() {
	s.changes = Changes{ChangedJobs: make(map[string]struct{}), Workers: make(map[string]struct{})}
}

// TakeChanges returns the changes since the last call.
func (s *State) TakeChanges() Changes {
	c := s.changes
	s.resetChanges()
	return c
}

// occupy records that an attempt occupies a worker.
func (s *State) occupy(worker string, ref AttemptRef) {
	attempts := s.onWorker[worker]
	if attempts == nil {
		attempts = make(map[AttemptRef]struct{})
		s.onWorker[worker] = attempts
	}
	attempts[ref] = struct{}{}
}

// AttemptsOnWorker returns the attempts that occupy a worker, sorted.
func (s *State) AttemptsOnWorker(worker string) []AttemptRef {
	refs := make([]AttemptRef, 0, len(s.onWorker[worker]))
	for ref := range s.onWorker[worker] {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, compareRefs)
	return refs
}

// compareRefs orders attempts by job, task and attempt.
func compareRefs(a, b AttemptRef) int {
	if c := strings.Compare(a.Job, b.Job); c != 0 {
		return c
	}
	if a.Task != b.Task {
		return int(a.Task - b.Task)
	}
	return int(a.Attempt - b.Attempt)
}

// attemptRef returns the reference of the latest attempt of task i.
func (j *Job) attemptRef(i int) AttemptRef {
	return AttemptRef{Job: j.ID, Task: int32(i), Attempt: j.Tasks[i].Attempt}
}

// latestAttempt returns the job and the task of an attempt, or nil if the
// attempt is not the latest of its task.
func (s *State) latestAttempt(ref AttemptRef) (*Job, *Task) {
	j := s.Jobs[ref.Job]
	if j == nil || ref.Task < 0 || int(ref.Task) >= len(j.Tasks) {
		return nil, nil
	}
	t := &j.Tasks[ref.Task]
	if t.Attempt != ref.Attempt {
		return nil, nil
	}
	return j, t
}

// Counts returns how many tasks are queued, running and ended.
func (j *Job) Counts() (queued, running, ended int) {
	for i := range j.Tasks {
		switch {
		case j.Tasks[i].State == TaskQueued:
			queued++
		case j.Tasks[i].State == TaskRunning:
			running++
		default:
			ended++
		}
	}
	return queued, running, ended
}

// PlacementJob returns the job with its queued tasks in the form that package
// placement uses, and whether any of these tasks may be placed.
func (j *Job) PlacementJob() (placement.Job, bool) {
	queued, _, _ := j.Counts()
	p := j.placementJob(queued)
	return p, queued > 0 && j.startable()
}

// placementJob returns the job in the form that package placement uses, with the
// given number of tasks. Its NotBefore is the latest NotBefore of the queued tasks.
func (j *Job) placementJob(tasks int) placement.Job {
	p := placement.Job{
		ID: j.ID, Customer: j.Customer, Name: j.Spec.Name, Policy: j.Spec.Policy, Tasks: tasks,
		Need: j.Spec.Need, Runtime: j.Spec.Runtime, Urgent: j.Spec.Urgent, Idempotent: j.Spec.Idempotent,
		Submitted: fromUnixMilli(j.Submitted), Deadline: fromUnixMilli(j.Spec.Deadline),
	}
	for i := range j.Tasks {
		if j.Tasks[i].State == TaskQueued && j.Tasks[i].NotBefore > 0 {
			p.NotBefore = fromUnixMilli(max(j.Tasks[i].NotBefore, unixMilli(p.NotBefore)))
		}
	}
	return p
}

// placedTask returns running task i in the form that package placement uses.
func (j *Job) placedTask(i int) placement.Placed {
	t := &j.Tasks[i]
	return placement.Placed{
		Job: j.ID, Task: i, Worker: t.Worker, Customer: j.Customer, Name: j.Spec.Name, Policy: j.Spec.Policy,
		Need: j.ReservedResources(i), Urgent: j.Spec.Urgent, Idempotent: j.Spec.Idempotent,
		Started: fromUnixMilli(t.Started), Runtime: j.Spec.Runtime, Deadline: fromUnixMilli(j.Spec.Deadline),
	}
}

// ReservedResources returns the resources reserved on the worker for running task i:
// the declared need, or more if earlier runs used more.
func (j *Job) ReservedResources(i int) placement.Resources {
	return atLeast(j.Spec.Need, j.Tasks[i].RaisedNeed)
}

// Placed returns all running tasks in the form that package placement uses.
func (s *State) Placed() []placement.Placed {
	var placed []placement.Placed
	for _, j := range s.Jobs {
		for i := range j.Tasks {
			if j.Tasks[i].State == TaskRunning {
				placed = append(placed, j.placedTask(i))
			}
		}
	}
	return placed
}

// OverdueJobs returns the IDs of the jobs whose deadline has passed at now (Unix
// ms), sorted. Jobs that have ended, are closing or are pending handover are left
// out.
func (s *State) OverdueJobs(now int64) []string {
	var overdue []string
	for id, j := range s.Jobs {
		if j.startable() && j.Spec.Deadline > 0 && j.Spec.Deadline <= now {
			overdue = append(overdue, id)
		}
	}
	slices.Sort(overdue)
	return overdue
}

// markChanged gives the job the next revision and records the job in the changes.
func (s *State) markChanged(j *Job) {
	s.Revision++
	j.Revision = s.Revision
	s.changes.ChangedJobs[j.ID] = struct{}{}
}

// recordEvent adds an event for the event timeline.
func (s *State) recordEvent(kind, detail string, subjects ...string) {
	s.changes.Events = append(s.changes.Events, Event{Kind: kind, Subjects: subjects, Detail: detail})
}

// newID returns the ID of the next job. The ID contains the leader term and the
// home data centre, from which any instance that gets a request finds the owner of
// the job.
//
// The term prevents the reuse of an ID: if the log runs without a disk and the data
// centre loses power, jobs accepted in memory are lost together with the sequence
// number. A new job with the ID of a lost one could be mistaken for it by its
// customer, or by a worker that still reports on it. Terms increase even across
// such a loss.
func (s *State) newID() string {
	s.Sequence++
	sequence := strconv.FormatUint(s.Sequence, 10)
	if s.Term == 0 {
		return s.DataCentre + "." + sequence
	}
	return s.DataCentre + "." + strconv.FormatUint(s.Term, termRadix) + "-" + sequence
}

// termRadix is the number base of terms in IDs. A high base keeps them short.
const termRadix = 36

// HomeDataCentre returns the data centre that assigned a job ID, or "" if the
// ID names none.
func HomeDataCentre(id string) string {
	dot := strings.LastIndexByte(id, '.')
	if dot <= 0 {
		return ""
	}
	return id[:dot]
}

// assertWithinCapacity panics if more than the capacity of a worker, or less than
// nothing, is reserved. Every start is checked before it is applied, so such a
// state is a defect of this package, which must not go unnoticed.
func (w *Worker) assertWithinCapacity() {
	over := w.Used.CPU > w.Capacity.CPU || w.Used.Memory > w.Capacity.Memory || w.Used.Accelerators > w.Capacity.Accelerators
	if over || w.Used.CPU < 0 || w.Used.Memory < 0 || w.Used.Accelerators < 0 {
		panic(fmt.Sprintf("state: worker %s has %+v reserved of capacity %+v", w.ID, w.Used, w.Capacity))
	}
}
