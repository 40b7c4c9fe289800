package workflow

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/codec"
	"github.com/bilberryferry/bilberryferry/customer"
)

// Command is one change of the state. Exactly one field is set, except that Crashed
// accompanies GoneWorker.
type Command struct {
	Submit *Submission `cbor:"1,keyasint,omitempty"`
	// Cancel is the ID of the job to cancel.
	Cancel string `cbor:"2,keyasint,omitempty"`
	// Start holds runs to start; Apply sets their Number.
	Start []Run    `cbor:"3,keyasint,omitempty"`
	Ends  *RunEnds `cbor:"4,keyasint,omitempty"`
	// Worker is an incarnation of a worker that announces itself.
	Worker *Worker `cbor:"5,keyasint,omitempty"`
	// GoneWorker is the ID of an incarnation that has ended.
	GoneWorker string `cbor:"6,keyasint,omitempty"`
	// Crashed says that the worker named by GoneWorker has crashed.
	Crashed bool `cbor:"11,keyasint,omitempty"`
	// DeleteJobs are the IDs of ended jobs to delete.
	DeleteJobs    []string     `cbor:"7,keyasint,omitempty"`
	Configuration *Document    `cbor:"8,keyasint,omitempty"`
	Wave          *Wave        `cbor:"9,keyasint,omitempty"`
	Maintenance   *Maintenance `cbor:"10,keyasint,omitempty"`
	// Instance changes the list of known instances.
	Instance *InstanceChange `cbor:"13,keyasint,omitempty"`
	// Speeds holds the workers that became slow or stopped being slow.
	Speeds []WorkerSpeed `cbor:"12,keyasint,omitempty"`
}

// RunEnds are the ends of runs on one worker.
type RunEnds struct {
	Worker string `cbor:"1,keyasint"`
	// LastEnd is the highest sequence number of Ends; the worker numbers the ends that it
	// reports.
	LastEnd uint64   `cbor:"2,keyasint,omitempty"`
	Ends    []RunEnd `cbor:"3,keyasint"`
	// Returned says that the worker is responsive again after its lease had expired.
	Returned bool `cbor:"4,keyasint,omitempty"`
	// Unmonitored says that the worker has been unresponsive for so long that it is no
	// longer monitored: runs that ended with its lease now count as ended by a crash.
	Unmonitored bool `cbor:"5,keyasint,omitempty"`
}

// Encode returns the command as the log stores it.
func (c *Command) Encode() ([]byte, error) {
	encoded, err := codec.Marshal(c)
	return encoded, errors.Wrap(err, "encode a workflow command")
}

// Decode decodes a command that Encode encoded.
func Decode(encoded []byte) (Command, error) {
	var c Command
	err := codec.Unmarshal(encoded, &c)
	return c, errors.Wrap(err, "decode a workflow command")
}

// SubmitResult is the outcome of a submission.
type SubmitResult uint8

// Results of a submission.
const (
	SubmitAccepted SubmitResult = iota + 1
	// SubmitKnown: the same job was accepted before.
	SubmitKnown
	// SubmitConflict: the ID belongs to a job of another queue or another customer.
	SubmitConflict
	// SubmitInvalid: Check refuses the job.
	SubmitInvalid
)

// Result is what Apply returns to the proposer of the command.
type Result struct {
	Submit SubmitResult
	// Started are the runs that were started, with their numbers. Runs that the state no longer
	// allows are left out.
	Started []Run
	// Found says that the job to cancel exists.
	Found bool
	// InForce is the current configuration after the command.
	InForce Document
}

// Apply applies one committed command, whose log index is given.
func (s *State) Apply(index uint64, c *Command) Result {
	switch {
	case c.Submit != nil:
		return Result{Submit: s.submit(index, c.Submit)}
	case c.Cancel != "":
		return Result{Found: s.cancel(c.Cancel)}
	case len(c.Start) > 0:
		return Result{Started: s.start(c.Start)}
	case c.Ends != nil:
		s.end(c.Ends)
	case c.Worker != nil:
		s.announce(c.Worker)
	case c.GoneWorker != "":
		s.workerGone(c.GoneWorker, c.Crashed)
	case len(c.DeleteJobs) > 0:
		s.deleteJobs(c.DeleteJobs)
	case c.Configuration != nil:
		s.configure(c.Configuration)
		return Result{InForce: s.Configuration}
	case c.Wave != nil:
		s.startWave(c.Wave)
	case c.Maintenance != nil:
		s.recordMaintenance(c.Maintenance)
	case c.Instance != nil:
		s.changeInstances(c.Instance)
	case len(c.Speeds) > 0:
		s.recordSpeeds(c.Speeds)
	}
	return Result{}
}

// submit accepts a job. A repeated submission is recognized by its ID.
func (s *State) submit(index uint64, sub *Submission) SubmitResult {
	if known := s.Jobs[sub.ID]; known != nil {
		if known.Queue != sub.Queue || !known.VisibleTo(sub.Customer) {
			return SubmitConflict
		}
		return SubmitKnown
	}
	if !sub.canBeApplied() {
		return SubmitInvalid
	}
	job := &Job{Submission: *sub, Index: index}
	// The configuration may have changed since the submission was proposed.
	s.followQueue(job)
	for range max(sub.Schedule.Times, 1) {
		steps := make([]StepState, len(sub.Steps))
		for i := range sub.Steps {
			steps[i].Tasks = make([]Task, sub.Steps[i].Count)
			job.Unfinished += sub.Steps[i].Count
		}
		job.Occurrences = append(job.Occurrences, steps)
	}
	s.Jobs[sub.ID] = job
	if !job.Ended() {
		s.addOpenJob(job)
	}
	return SubmitAccepted
}

// canBeApplied reports whether the state can hold the job. A job without steps ends at once.
func (s *Submission) canBeApplied() bool {
	if len(s.Steps) == 0 {
		return s.Schedule.Times >= 0 && s.Schedule.Times <= MaxOccurrences
	}
	return Check(s.Payload, s.Steps, s.Schedule) == nil
}

// cancel cancels a job and reports whether it exists.
func (s *State) cancel(id string) bool {
	job := s.Jobs[id]
	if job == nil {
		return false
	}
	if !job.Ended() {
		job.Cancelled = true
		s.closeJob(job)
	}
	return true
}

// closeJob removes a job from the open jobs and drops its payload.
func (s *State) closeJob(job *Job) {
	s.removeOpenJob(job)
	job.Payload = ""
}

// start starts the runs that the state still allows. A gang starts whole or not at all.
func (s *State) start(runs []Run) []Run {
	var started []Run
	for len(runs) > 0 {
		n := 1
		for n < len(runs) && runs[n].Task.StepKey == runs[0].Task.StepKey {
			n++
		}
		started = append(started, s.startStep(runs[:n])...)
		runs = runs[n:]
	}
	return started
}

// startStep starts runs that belong to one step.
func (s *State) startStep(runs []Run) []Run {
	key := runs[0].Task.StepKey
	job, step := s.step(key)
	if job == nil || job.Ended() || !job.StepReady(key.Occurrence, key.Step) {
		return nil
	}
	spec := &job.Steps[key.Step]
	gang := spec.Gang
	if gang && (len(runs) != len(step.Tasks) || step.Live() > 0 || step.Done > 0) {
		return nil
	}
	if gang && !s.mayStartGang(job, step, runs) {
		return nil
	}
	var started []Run
	for _, run := range runs {
		if !s.mayStart(job, step, run) {
			continue
		}
		task := &step.Tasks[run.Task.Index]
		task.Runs++
		run.Number = task.Runs
		if gang {
			run.Number = step.GangRun + 1
		}
		task.Live++
		s.addRun(run)
		started = append(started, run)
	}
	if gang && len(started) > 0 {
		step.GangRun++
	}
	return started
}

// maxLiveRuns is how many runs of a task may be alive at once if speculative copies are
// allowed.
const maxLiveRuns = 2

// mayStart reports whether a run may start. It refuses a second run alongside one that may
// be alive, unless the step allows speculative copies, the other run is on another worker
// and no worker has crashed under the task. It also refuses a worker that is gone or lacks
// free resources: a worker may announce less capacity while starts that were decided
// earlier are being committed, which would overcommit the worker. The limit of the customer
// is checked for the same reason: it may be lowered meanwhile, and a new leader may decide
// without knowing of starts that its predecessor had proposed.
func (s *State) mayStart(job *Job, step *StepState, run Run) bool {
	spec := &job.Steps[run.Task.Step]
	if s.limitFitCount(job, spec) == 0 {
		return false
	}
	worker := s.Workers[run.Worker]
	task := step.task(run.Task.Index)
	if worker == nil || worker.Gone || task == nil || s.fitCountOn(worker, spec) == 0 {
		return false
	}
	if task.Done || task.AwaitsCrashOutcome() {
		return false
	}
	_, runsThere := s.Runs[run.Worker][run.Task]
	return task.Live == 0 || spec.AllowsCopies() && !task.IsCrashSuspect() && task.Live < maxLiveRuns && !runsThere
}

// fitCountOn returns how many more tasks of a step fit on a worker.
func (s *State) fitCountOn(worker *WorkerState, spec *Step) int {
	used, _ := s.Used(worker.ID)
	return spec.Demand().FitCount(worker.Capacity.Minus(used))
}

// mayStartGang reports whether all members of a gang may start, those on one worker together.
func (s *State) mayStartGang(job *Job, step *StepState, runs []Run) bool {
	spec := &job.Steps[runs[0].Task.Step]
	if s.limitFitCount(job, spec) < len(runs) {
		return false
	}
	members, indexes := map[string]int{}, map[int]bool{}
	for _, run := range runs {
		if indexes[run.Task.Index] || !s.mayStart(job, step, run) {
			return false
		}
		indexes[run.Task.Index] = true
		members[run.Worker]++
	}
	for id, n := range members {
		if s.fitCountOn(s.Workers[id], spec) < n {
			return false
		}
	}
	return true
}

// end applies ends of runs on one worker.
func (s *State) end(e *RunEnds) {
	if worker := s.Workers[e.Worker]; worker != nil {
		worker.LastEnd = max(worker.LastEnd, e.LastEnd)
		if e.Returned {
			s.dropUnresolved(worker)
		}
		if e.Unmonitored {
			s.countUnresolvedAsCrashes(worker)
		}
	}
	for _, end := range e.Ends {
		s.endRun(e.Worker, end)
	}
}

// endRun applies the end of a run that may be alive. It ignores other ends: they are
// duplicates, or belong to runs that already count as lost because the lease of their worker
// expired.
func (s *State) endRun(worker string, end RunEnd) {
	run, ok := s.Runs[worker][end.Task]
	if !ok || run.Number != end.Number {
		return
	}
	s.removeRun(run)
	task := s.Task(end.Task)
	if task == nil {
		return
	}
	job, step := s.step(end.Task.StepKey)
	task.Live--
	spec := &job.Steps[end.Task.Step]
	if end.Checkpoint != "" {
		task.Checkpoint = end.Checkpoint
	}
	job.Started = job.Started || end.Outcome.provesStart()
	s.recordLoss(worker, job, task, end)
	if spec.Gang {
		s.endGangMember(job, spec, step, end)
		return
	}
	switch {
	case spec.LongRunning:
	case task.Done:
		// Another run has already finished the task.
	case end.Outcome == OutcomeDone:
		s.finishTask(job, step, task)
	case end.Outcome == OutcomeFailed:
		task.Failures++
		s.failIfAttemptsExhausted(job, task.Failures)
	}
}

// endGangMember applies the end of a member of a gang. One member that is done finishes all
// tasks. A failed run of the gang counts as one failure, however many of its members fail.
func (s *State) endGangMember(job *Job, spec *Step, step *StepState, end RunEnd) {
	if end.Outcome != OutcomeDone {
		step.GangEndedRun = max(step.GangEndedRun, end.Number)
	}
	if end.Checkpoint != "" {
		for i := range step.Tasks {
			step.Tasks[i].Checkpoint = end.Checkpoint
		}
	}
	switch {
	case spec.LongRunning:
	case end.Outcome == OutcomeDone:
		for i := range step.Tasks {
			s.finishTask(job, step, &step.Tasks[i])
		}
	case end.Outcome == OutcomeFailed && step.GangFailedRun < end.Number:
		step.GangFailedRun = end.Number
		step.GangFailures++
		s.failIfAttemptsExhausted(job, step.GangFailures)
	}
}

// finishTask marks a task as done, and closes the job if no unfinished task is left.
func (s *State) finishTask(job *Job, step *StepState, task *Task) {
	if task.Done {
		return
	}
	task.Done = true
	step.Done++
	job.Unfinished--
	if job.Unfinished == 0 {
		s.closeJob(job)
	}
}

// failIfAttemptsExhausted fails a job whose number of failures has reached the attempt limit.
func (s *State) failIfAttemptsExhausted(job *Job, failures int) {
	limit := job.Policy.MaxAttempts
	if limit > 0 && failures >= limit && !job.Ended() {
		job.Failed = true
		s.closeJob(job)
	}
}

// announce records a worker. A new incarnation doesn't replace an earlier one at the same
// address; the earlier one ends only with a command whose GoneWorker names it. If
// heartbeats of an incarnation are committed out of order, the one with the highest
// Sequence is kept. Its name and start are those of the first one.
func (s *State) announce(w *Worker) {
	known := s.Workers[w.ID]
	if known == nil {
		s.Workers[w.ID] = &WorkerState{Worker: *w}
		s.recordIncarnation(w)
		return
	}
	if w.Sequence < known.Sequence {
		return
	}
	name, startedAtMS := known.Name, known.StartedAtMS
	known.Worker = *w
	known.Name, known.StartedAtMS = name, startedAtMS
}

// recordSpeeds records which workers are slow or fast. It ignores workers that are gone.
func (s *State) recordSpeeds(speeds []WorkerSpeed) {
	for _, speed := range speeds {
		if worker := s.Workers[speed.Worker]; worker != nil && !worker.Gone {
			worker.SpeedPercent = speed.SpeedPercent
		}
	}
}

// workerGone ends every run of a worker whose incarnation has ended.
func (s *State) workerGone(id string, crashed bool) {
	worker := s.Workers[id]
	if worker == nil {
		return
	}
	worker.Gone, worker.SpeedPercent = true, 0
	if crashed {
		s.countUnresolvedAsCrashes(worker)
	} else {
		s.dropUnresolved(worker)
	}
	for _, run := range sortedRuns(s.Runs[id]) {
		s.endRun(id, RunEnd{Task: run.Task, Number: run.Number, Outcome: OutcomeLost})
	}
	delete(s.Runs, id)
	delete(s.loads, id)
}

// sortedRuns returns runs in the order of their tasks, so that every replica applies them in
// the same order.
func sortedRuns(runs map[TaskKey]Run) []Run {
	sorted := make([]Run, 0, len(runs))
	for _, run := range runs {
		sorted = append(sorted, run)
	}
	slices.SortFunc(sorted, func(a, b Run) int { return CompareTasks(a.Task, b.Task) })
	return sorted
}

// deleteJobs deletes the listed jobs that have ended and have no run that may be alive. The end of such a run
// would otherwise count for another job that was submitted under the same ID.
func (s *State) deleteJobs(ids []string) {
	deleted := map[string]bool{}
	for _, id := range ids {
		if job := s.Jobs[id]; job != nil && job.Ended() && !job.HasLiveRuns() {
			delete(s.Jobs, id)
			deleted[id] = true
		}
	}
	if len(deleted) > 0 {
		s.forgetUnresolved(deleted)
	}
}

// configure keeps the document with the highest version and ignores older ones.
func (s *State) configure(d *Document) {
	if s.Configuration.Source != nil && d.Version <= s.Configuration.Version {
		return
	}
	// Once keys are required, a document that leaves the customers out must not open the queues to
	// everybody.
	next := *d
	next.KeysRequired = d.KeysRequired || s.Configuration.KeysRequired
	previous := s.queues
	s.queues = next.queuesByIdentity()
	s.Changes.record(&s.Configuration, &next, previous, s.queues)
	s.Configuration = next
	s.followChangedQueues(previous)
	s.customers = customer.NewDirectory(s.Configuration.Customers)
}
