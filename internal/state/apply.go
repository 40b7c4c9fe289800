package state

import (
	"fmt"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/placement"
)

// fromUnixMilli converts Unix ms to a time; zero becomes the zero time.
func fromUnixMilli(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// unixMilli converts a time to Unix ms; the zero time becomes zero.
func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// Apply applies the committed command at a log index and returns the result for its
// proposer.
func (s *State) Apply(index uint64, c *Command) Result {
	s.Applied = index
	s.Term = max(s.Term, c.Term)
	switch {
	case c.Submit != nil:
		return s.submit(c.Now, c.Submit)
	case c.Start != nil:
		return s.start(c.Now, c.Start)
	case c.End != nil:
		return s.endAttempts(c.Now, c.End)
	case c.WorkerUp != nil:
		return s.workerUp(c.Now, c.WorkerUp)
	case c.WorkerDown != nil:
		return s.workerDown(c.Now, c.WorkerDown)
	case c.Drain != nil:
		return s.drain(c.Now, c.Drain)
	case c.Cancel != nil:
		return s.cancel(c.Now, c.Cancel)
	case c.Scale != nil:
		return s.scale(c.Now, c.Scale)
	case c.Refuse != nil:
		return s.refuse(c.Now, c.Refuse)
	case c.Preempt != nil:
		return s.preempt(c.Preempt)
	case c.RecordHandoverAnswer != nil:
		return s.recordHandoverAnswer(c.Now, c.RecordHandoverAnswer)
	case c.AnswerHandoverOffer != nil:
		return s.answerHandoverOffer(c.Now, c.AnswerHandoverOffer)
	case c.AdoptConfig != nil:
		return s.adoptConfig(c.AdoptConfig)
	case c.Quota != nil:
		return s.applyQuota(c.Quota)
	case c.Prune != nil:
		return s.prune(c.Prune)
	}
	return Result{Err: fault.New(fault.Internal, "command of an unknown type")}
}

// firstResponse returns the recorded response to a request, if there is one, and a
// Conflict if the ID was used with other content. The record prevents a caller
// whose response was lost from creating the work twice by resending the request.
func (s *State) firstResponse(r Request) (Result, bool) {
	record, ok := s.Requests[r.key()]
	if !ok {
		return Result{}, false
	}
	if record.Digest != r.Digest {
		return Result{Err: fault.New(fault.Conflict, "request id %q was used with other content", r.ID)}, true
	}
	if f := record.Fault; f != nil {
		err := fault.Retry(f.Kind, time.Duration(f.RetryAfter), "%s", f.Detail)
		return Result{Err: err, Job: record.Job}, true
	}
	return Result{Job: record.Job, Jobs: record.Jobs}, true
}

// FirstResponse returns the recorded response to a request, if there is one, and a
// Conflict if the ID was used with other content. Proposers call it before they
// propose a command.
func (s *State) FirstResponse(r Request) (Result, bool) { return s.firstResponse(r) }

// key returns the key of the idempotency record of the request. It contains the
// customer, since request IDs are unique per customer only.
func (r Request) key() string { return r.Customer + "\x00" + r.ID }

// recordResponse stores the first response to a request, made at now (Unix ms).
func (s *State) recordResponse(r Request, now int64, record RequestRecord) {
	record.Digest = r.Digest
	record.At = now
	s.Requests[r.key()] = record
}

// submit records the admission or refusal of a job and returns the job ID, or the
// refusal as an error.
func (s *State) submit(now int64, c *Submit) Result {
	if first, ok := s.firstResponse(c.Request); ok {
		return first
	}
	if c.Refused {
		f := &FaultRecord{Kind: c.Kind, Detail: c.Detail, RetryAfter: int64(c.RetryAfter)}
		s.recordResponse(c.Request, now, RequestRecord{Fault: f})
		s.recordEvent("job refused", c.Kind.String()+": "+c.Detail, c.Customer, c.Spec.Name)
		return Result{Err: fault.Retry(c.Kind, c.RetryAfter, "%s", c.Detail)}
	}
	if err := c.Spec.check(); err != nil {
		return Result{Err: err}
	}
	j := s.newJob(s.newID(), c.Customer, c.Spec, now)
	if c.HandoverTo != "" {
		j.State = JobPendingHandover
		j.HandoverDataCentre = c.HandoverTo
		s.recordEvent("job offered", "to "+c.HandoverTo, j.ID, j.Customer)
	}
	s.recordResponse(c.Request, now, RequestRecord{Job: j.ID})
	s.recordEvent("job accepted", c.Spec.Name, j.ID, j.Customer)
	return Result{Job: j.ID}
}

// newJob adds a job with all its tasks queued.
func (s *State) newJob(id, customer string, spec Spec, submitted int64) *Job {
	j := &Job{ID: id, Customer: customer, Spec: spec, State: JobQueued, Submitted: submitted}
	j.Tasks = make([]Task, spec.Tasks)
	for i := range j.Tasks {
		j.Tasks[i].State = TaskQueued
	}
	s.Jobs[id] = j
	s.markChanged(j)
	return j
}

// endAttempts applies the reports of a worker. A report counts once, and only for
// the latest attempt of its task on that worker and incarnation. Late and duplicate
// reports are acknowledged without effect.
func (s *State) endAttempts(now int64, c *End) Result {
	var r Result
	for _, report := range c.Reports {
		r.Acknowledged = append(r.Acknowledged, report.Ref)
		j, t := s.latestAttempt(report.Ref)
		if t == nil || t.State != TaskRunning || t.Worker != c.Worker || t.Incarnation != c.Incarnation {
			continue
		}
		s.endTask(now, j, int(report.Ref.Task), report)
	}
	return r
}

// endTask applies the reported end of the latest attempt of task i.
func (s *State) endTask(now int64, j *Job, i int, report Report) {
	t := &j.Tasks[i]
	s.releaseWorker(j, i)
	t.Ended = now
	switch report.Outcome {
	case Finished:
		t.State = TaskFinished
		s.changes.Samples = append(s.changes.Samples, placement.Sample{
			Customer: j.Customer, Name: j.Spec.Name, DeclaredRuntime: j.Spec.Runtime, MeasuredRuntime: report.Runtime,
			Need: j.Spec.Need, Peak: report.Peak,
		})
		s.changes.AttemptResults = append(s.changes.AttemptResults, AttemptResult{Worker: t.Worker, Job: j.ID})
	case NotStarted:
		t.Runs--
		s.requeueOrEnd(now, j, t, finalStateWithoutRun(t))
	case Stopped:
		s.requeueOrEnd(now, j, t, TaskCancelled)
	default:
		s.changes.AttemptResults = append(s.changes.AttemptResults, AttemptResult{Worker: t.Worker, Job: j.ID, Failed: true})
		s.failTask(now, j, t)
	}
	s.recordEvent("attempt ended", fmt.Sprintf("task %d attempt %d: %s %s", i, t.Attempt, outcomeNames[report.Outcome%outcomeNameCount], report.Detail), j.ID, t.Worker)
	s.updateJobState(now, j, report.Detail)
}

// outcomeNameCount is the length of outcomeNames.
const outcomeNameCount = 5

// outcomeNames are the names of the outcomes in events.
var outcomeNames = [...]string{"failed", "finished", "failed", "stopped", "not started"}

// finalStateWithoutRun returns the final state of a task that has no attempt or whose
// last attempt never ran: cancelled if an earlier attempt may have run, otherwise not
// run.
func finalStateWithoutRun(t *Task) TaskState {
	if t.Runs > 0 {
		return TaskCancelled
	}
	return TaskNotRun
}

// requeueOrEnd queues a task again whose attempt was stopped, lost or never
// started. The task gets the state final instead if it may not run again, if the
// job is closing or if the task was being stopped for another reason than a
// preemption.
func (s *State) requeueOrEnd(now int64, j *Job, t *Task, final TaskState) {
	cancelled := t.Stopping && !t.Preempted
	requeue := !j.Closing && !cancelled && (j.Spec.Idempotent || t.Runs == 0)
	if requeue {
		t.State = TaskQueued
		t.NotBefore = 0
		return
	}
	t.State = final
}

// failTask queues the task again after an exponential backoff. It fails the task instead
// if the task is not idempotent, is being stopped or has used up its attempts (services
// have no limit), if the job is closing or if its deadline has passed.
func (s *State) failTask(now int64, j *Job, t *Task) {
	t.Failures++
	limit := j.Spec.MaxAttempts
	if limit == 0 {
		limit = DefaultMaxAttempts
	}
	attemptsUsedUp := t.Failures >= limit && j.Spec.Policy != placement.Service
	deadlinePassed := j.Spec.Deadline > 0 && now >= j.Spec.Deadline
	if j.Closing || t.Stopping || !j.Spec.Idempotent || attemptsUsedUp || deadlinePassed {
		t.State = TaskFailed
		return
	}
	t.State = TaskQueued
	backoff := int64(retryBackoffMillis) << min(t.Failures-1, maxBackoffDoublings)
	t.NotBefore = now + min(backoff, maxRetryBackoffMillis)
}

// releaseWorker frees the resources that running task i has reserved on its worker.
func (s *State) releaseWorker(j *Job, i int) {
	t := &j.Tasks[i]
	delete(s.onWorker[t.Worker], j.attemptRef(i))
	s.used[j.Customer] = sub(s.used[j.Customer], j.ReservedResources(i))
	if w := s.Workers[t.Worker]; w != nil && w.Incarnation == t.Incarnation {
		w.Used = sub(w.Used, j.ReservedResources(i))
		w.assertWithinCapacity()
	}
	s.changes.Unplaced = append(s.changes.Unplaced, Unplaced{Job: j.ID, Task: i})
}

// updateJobState updates the state of a job after one of its tasks changed. A
// failed task closes the job, unless it is a service.
func (s *State) updateJobState(now int64, j *Job, detail string) {
	s.markChanged(j)
	queued, running, _ := j.Counts()
	failed := slices.ContainsFunc(j.Tasks, func(t Task) bool { return t.State == TaskFailed || t.State == TaskUnknown })
	if failed && !j.Closing && j.Spec.Policy != placement.Service {
		s.closeJob(j, fault.Failed, textOrDefault(detail, "a task failed"))
		queued, running, _ = j.Counts()
	}
	if running > 0 {
		return
	}
	if queued > 0 {
		j.State = JobQueued
		return
	}
	s.finishJob(now, j)
}

// textOrDefault returns text, or fallback if text is empty.
func textOrDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

// closeJob ends the queued tasks of a job and starts to stop the running ones. kind
// and reason say why the job ends.
func (s *State) closeJob(j *Job, kind fault.Kind, reason string) {
	if j.Closing || j.State.Ended() {
		return
	}
	j.Closing = true
	j.Kind, j.Reason = kind, reason
	for i := range j.Tasks {
		t := &j.Tasks[i]
		switch t.State {
		case TaskQueued:
			t.State = finalStateWithoutRun(t)
		case TaskRunning:
			s.stopTask(j, i)
		}
	}
	s.markChanged(j)
}

// stopTask marks running task i as stopping and records that its worker must
// stop it.
func (s *State) stopTask(j *Job, i int) {
	t := &j.Tasks[i]
	t.Stopping = true
	s.changes.Stops = append(s.changes.Stops, StartedAttempt{Ref: j.attemptRef(i), Worker: t.Worker, Incarnation: t.Incarnation})
}

// finishJob sets the final state of a job without queued or running tasks.
func (s *State) finishJob(now int64, j *Job) {
	if j.State.Ended() {
		return
	}
	var finished, notRun, unknown int
	for i := range j.Tasks {
		switch j.Tasks[i].State {
		case TaskFinished:
			finished++
		case TaskNotRun:
			notRun++
		case TaskUnknown:
			unknown++
		}
	}
	j.Ended = now
	j.Spec.Payload = nil // No later attempt needs the payload.
	switch {
	case finished == len(j.Tasks):
		j.State, j.Kind, j.Reason = JobFinished, fault.Internal, ""
	case notRun == len(j.Tasks):
		j.State = JobNotRun
	case unknown > 0:
		j.State, j.Kind = JobUnknown, fault.Unknown
	case j.Kind == fault.Cancelled:
		j.State = JobCancelled
	default:
		j.State = JobFailed
	}
	s.recordEvent("job ended", j.State.String()+" "+j.Reason, j.ID, j.Customer)
	s.markChanged(j)
}

// jobStateNames are the names of the job states in events.
var jobStateNames = [...]string{"unspecified", "queued", "pending handover", "running", "finished", "failed", "cancelled", "not run", "unknown"}

// String returns the name of the state.
func (s JobState) String() string { return jobStateNames[min(int(s), len(jobStateNames)-1)] }

// add returns the sum of two amounts.
func add(a, b placement.Resources) placement.Resources {
	return placement.Resources{CPU: a.CPU + b.CPU, Memory: a.Memory + b.Memory, Accelerators: a.Accelerators + b.Accelerators}
}

// sub returns a less b.
func sub(a, b placement.Resources) placement.Resources { return add(a, times(b, -1)) }

// times multiplies each resource by n.
func times(a placement.Resources, n int) placement.Resources {
	m := int64(n)
	return placement.Resources{CPU: a.CPU * m, Memory: a.Memory * m, Accelerators: a.Accelerators * m}
}

// atLeast returns the larger amount of each resource.
func atLeast(a, b placement.Resources) placement.Resources {
	return placement.Resources{CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators)}
}

// fits reports whether no resource of a exceeds the same resource of in.
func fits(a, in placement.Resources) bool {
	return a.CPU <= in.CPU && a.Memory <= in.Memory && a.Accelerators <= in.Accelerators
}
