package state

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/placement"
	"github.com/bilberryferry/bilberryferry/quota"
)

// Defaults of the retry rules.
const (
	// DefaultMaxAttempts bounds the tries of an idempotent task whose spec names none.
	DefaultMaxAttempts = 5
	// retryBackoffMillis is the wait after a first failure; it doubles with each one.
	retryBackoffMillis = 250
	// maxRetryBackoffMillis bounds the wait, in ms.
	maxRetryBackoffMillis = 30_000
)

// State is everything that one data centre's log decides.
type State struct {
	Format     uint32 `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// Sequence numbers job ids.
	Sequence uint64 `cbor:"3,keyasint"`
	// Revision grows with every change of a job.
	Revision uint64                   `cbor:"4,keyasint"`
	Jobs     map[string]*Job          `cbor:"5,keyasint"`
	Workers  map[string]*Worker       `cbor:"6,keyasint"`
	Requests map[string]RequestRecord `cbor:"7,keyasint"`
	// Offers remembers the answers given to other data centres' offers.
	HandoverAnswers map[string]HandoverAnswerRecord `cbor:"8,keyasint"`
	// Config is the adopted configuration.
	Config AdoptConfig `cbor:"9,keyasint"`
	// Applied is the index of the last applied command.
	Applied uint64 `cbor:"10,keyasint"`
	// Ledger is the encoded quota ledger.
	Ledger []byte `cbor:"11,keyasint,omitempty"`
	// Term is the highest term of a command.
	Term uint64 `cbor:"12,keyasint,omitempty"`

	// onWorker lists the attempts that occupy each worker; derived.
	onWorker map[string]map[AttemptRef]struct{}
	// used is what each customer's running tasks hold; derived.
	used    map[string]placement.Resources
	ledger  *quota.Ledger
	changes Changes
}

// RequestRecord is the first answer given to a request id.
type RequestRecord struct {
	Digest uint64       `cbor:"1,keyasint"`
	At     int64        `cbor:"2,keyasint"`
	Job    string       `cbor:"3,keyasint,omitempty"`
	Jobs   []string     `cbor:"4,keyasint,omitempty"`
	Fault  *FaultRecord `cbor:"5,keyasint,omitempty"`
}

// FaultRecord is a refusal as it was first answered.
type FaultRecord struct {
	Kind       fault.Kind `cbor:"1,keyasint"`
	Detail     string     `cbor:"2,keyasint,omitempty"`
	RetryAfter int64      `cbor:"3,keyasint,omitempty"`
}

// HandoverAnswerRecord is the committed answer to a handover offer.
type HandoverAnswerRecord struct {
	Accepted bool       `cbor:"1,keyasint,omitempty"`
	Kind     fault.Kind `cbor:"2,keyasint,omitempty"`
	Detail   string     `cbor:"3,keyasint,omitempty"`
	At       int64      `cbor:"4,keyasint"`
}

// Changes is what a run of commands has changed, for caches and time lines.
type Changes struct {
	Placed   []placement.Placed
	Unplaced []Unplaced
	// Queues names jobs whose count of queued tasks may have changed.
	Queues map[string]struct{}
	// Workers names workers that may have changed.
	Workers map[string]struct{}
	// Stops are attempts whose workers are to be told to stop.
	Stops   []StartedAttempt
	Samples []placement.Sample
	// Failures and Successes tell of attempts that a worker brought to an end.
	AttemptResults []AttemptResult
	Events         []Event
	// Quota says that allotments may have changed.
	Quota bool
}

// Unplaced is a task that no longer occupies its worker.
type Unplaced struct {
	Job  string
	Task int
}

// Try is an attempt that failed or succeeded on a worker.
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

// Encode writes a snapshot of the state.
func (s *State) Encode() ([]byte, error) {
	ledger, err := s.ledger.MarshalBinary()
	if err != nil {
		return nil, errors.Wrap(err, "encode quota ledger")
	}
	s.Ledger = ledger
	data, err := cbor.Marshal(s)
	return data, errors.Wrap(err, "encode state")
}

// DecodeState reads a snapshot of this or an earlier format version.
func DecodeState(data []byte) (*State, error) {
	s := new(State)
	if err := cbor.Unmarshal(data, s); err != nil {
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

// derive rebuilds what follows from the stored fields.
func (s *State) rebuildDerived() {
	s.resetChanges()
	s.onWorker = make(map[string]map[AttemptRef]struct{})
	s.used = make(map[string]placement.Resources)
	for _, j := range s.Jobs {
		for i := range j.Tasks {
			if j.Tasks[i].State == TaskRunning {
				s.occupy(j.Tasks[i].Worker, j.attemptRef(i))
				s.used[j.Customer] = add(s.used[j.Customer], j.HeldResources(i))
			}
		}
	}
}

func (s *State) resetChanges() {
	s.changes = Changes{Queues: make(map[string]struct{}), Workers: make(map[string]struct{})}
}

// TakeChanges returns the changes since the last call.
func (s *State) TakeChanges() Changes {
	c := s.changes
	s.resetChanges()
	return c
}

func (s *State) occupy(worker string, ref AttemptRef) {
	set := s.onWorker[worker]
	if set == nil {
		set = make(map[AttemptRef]struct{})
		s.onWorker[worker] = set
	}
	set[ref] = struct{}{}
}

// AttemptsOnWorker returns the attempts that occupy a worker, in a fixed order.
func (s *State) AttemptsOnWorker(worker string) []AttemptRef {
	refs := make([]AttemptRef, 0, len(s.onWorker[worker]))
	for ref := range s.onWorker[worker] {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, compareRefs)
	return refs
}

func compareRefs(a, b AttemptRef) int {
	if c := strings.Compare(a.Job, b.Job); c != 0 {
		return c
	}
	if a.Task != b.Task {
		return int(a.Task - b.Task)
	}
	return int(a.Attempt - b.Attempt)
}

func (j *Job) attemptRef(i int) AttemptRef {
	return AttemptRef{Job: j.ID, Task: int32(i), Attempt: j.Tasks[i].Attempt}
}

// task finds the task of a reference, if the attempt is its latest.
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

// Queued returns the job as placement sees it, and whether tasks wait.
func (j *Job) PlacementJob() (placement.Job, bool) {
	queued, _, _ := j.Counts()
	p := j.placementJob(queued)
	return p, queued > 0 && j.startable()
}

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

// placed returns a running task as placement sees it.
func (j *Job) placedTask(i int) placement.Placed {
	t := &j.Tasks[i]
	return placement.Placed{
		Job: j.ID, Task: i, Worker: t.Worker, Customer: j.Customer, Name: j.Spec.Name, Policy: j.Spec.Policy,
		Need: j.HeldResources(i), Urgent: j.Spec.Urgent, Idempotent: j.Spec.Idempotent,
		Started: fromUnixMilli(t.Started), Runtime: j.Spec.Runtime, Deadline: fromUnixMilli(j.Spec.Deadline),
	}
}

// Held is what the account of the worker carries for a running task: the
// declared need, and more where earlier runs used more.
func (j *Job) HeldResources(i int) placement.Resources {
	return atLeast(j.Spec.Need, j.Tasks[i].RaisedNeed)
}

// Placed returns every running task as placement sees it.
func (s *State) Placed() []placement.Placed {
	var all []placement.Placed
	for _, j := range s.Jobs {
		for i := range j.Tasks {
			if j.Tasks[i].State == TaskRunning {
				all = append(all, j.placedTask(i))
			}
		}
	}
	return all
}

// Overdue names the unfinished jobs whose deadline has passed, in a fixed order.
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

// touch marks a job as changed.
func (s *State) markChanged(j *Job) {
	s.Revision++
	j.Revision = s.Revision
	s.changes.Queues[j.ID] = struct{}{}
}

func (s *State) recordEvent(kind, detail string, subjects ...string) {
	s.changes.Events = append(s.changes.Events, Event{Kind: kind, Subjects: subjects, Detail: detail})
}

// newID names the next job. The id carries the home data centre, so that any
// entry instance finds the owner, and the term.
//
// Failure guarded against: the log went on without a disk, the data centre lost
// its power, and jobs that were accepted in memory are forgotten with the count
// of them. A new job under the id of a forgotten one could be taken for it, by
// its customer or by a worker that still reports on it. Terms only grow, over
// such a loss too.
func (s *State) newID() string {
	s.Sequence++
	sequence := strconv.FormatUint(s.Sequence, 10)
	if s.Term == 0 {
		return s.DataCentre + "." + sequence
	}
	return s.DataCentre + "." + strconv.FormatUint(s.Term, termBase) + "-" + sequence
}

// termBase keeps terms short in ids.
const termBase = 36

// Home returns the data centre that an id was given in, or "".
func HomeDataCentre(id string) string {
	dot := strings.LastIndexByte(id, '.')
	if dot <= 0 {
		return ""
	}
	return id[:dot]
}

// assertWithinCapacity panics when a worker is given more than it has. Every start is
// rechecked against the account before it, so reaching this is a defect of
// this package that must not go unseen.
func (w *Worker) assertWithinCapacity() {
	over := w.Used.CPU > w.Capacity.CPU || w.Used.Memory > w.Capacity.Memory || w.Used.Accelerators > w.Capacity.Accelerators
	if over || w.Used.CPU < 0 || w.Used.Memory < 0 || w.Used.Accelerators < 0 {
		panic(fmt.Sprintf("state: worker %s is given %+v of %+v", w.ID, w.Used, w.Capacity))
	}
}
