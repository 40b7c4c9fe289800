package state

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/placement"
	"github.com/bilberryferry/bilberryferry/quota"
)

// workerUp applies the announcement of a worker. A higher incarnation proves that
// the process of the earlier one has ended, and its attempts with it. An
// incarnation that is down never returns: a delayed duplicate of its announcement
// must not revive it.
func (s *State) workerUp(now int64, c *WorkerUp) Result {
	w := s.Workers[c.ID]
	if w != nil && (c.Incarnation < w.Incarnation || c.Incarnation == w.Incarnation && w.Down) {
		return Result{Err: fault.New(fault.Conflict, "incarnation %d of worker %s has ended", c.Incarnation, c.ID)}
	}
	if w != nil && c.Incarnation == w.Incarnation {
		return Result{}
	}
	draining := false
	if w != nil {
		s.loseAttempts(now, w, "worker restarted", !w.Down && !w.Draining)
		draining = w.Draining
	}
	s.Workers[c.ID] = &Worker{ID: c.ID, Incarnation: c.Incarnation, Rack: c.Rack, Capacity: c.Capacity, Draining: draining}
	s.changes.Workers[c.ID] = struct{}{}
	s.recordEvent("worker up", fmt.Sprintf("incarnation %d", c.Incarnation), c.ID)
	return Result{}
}

// workerDown ends an incarnation and its attempts. A command for an incarnation
// that is not the current one is ignored.
func (s *State) workerDown(now int64, c *WorkerDown) Result {
	w := s.Workers[c.ID]
	if w == nil || w.Incarnation != c.Incarnation || w.Down {
		return Result{}
	}
	s.loseAttempts(now, w, "lease of worker ended", false)
	w.Down = true
	s.changes.Workers[c.ID] = struct{}{}
	reason := "lease ended"
	if c.Left {
		reason = "left"
	}
	s.recordEvent("worker down", reason, c.ID)
	return Result{}
}

// loseAttempts ends every attempt of an incarnation that has ended. Idempotent
// tasks are queued again. The outcome of non-idempotent ones is unknown: the start
// may or may not have reached the worker. If crashed is set, the crash counts of
// the tasks are raised.
func (s *State) loseAttempts(now int64, w *Worker, detail string, crashed bool) {
	for _, ref := range s.AttemptsOnWorker(w.ID) {
		j, t := s.latestAttempt(ref)
		s.releaseWorker(j, int(ref.Task))
		t.Ended = now
		if crashed {
			t.Crashes++
		}
		if t.crashLimitReached(j) {
			t.State = TaskFailed
		} else if j.Spec.Idempotent {
			s.requeueOrEnd(now, j, t, TaskCancelled)
		} else {
			t.State = TaskUnknown
		}
		s.recordEvent("attempt lost", detail, j.ID, w.ID)
		s.updateJobState(now, j, detail)
	}
}

// maxTaskCrashes is the number of worker restarts during the attempts of a task
// after which the task fails.
const maxTaskCrashes = 5

// crashLimitReached reports whether the task fails because too many workers
// restarted during its attempts. Otherwise a task that crashes its workers
// would be queued again forever. Services are exempt: they run long enough to
// see many restarts that they do not cause.
func (t *Task) crashLimitReached(j *Job) bool {
	return t.Crashes >= maxTaskCrashes && j.Spec.Idempotent && j.Spec.Policy != placement.Service
}

// drain takes a worker out of placement or puts it back.
func (s *State) drain(now int64, c *Drain) Result {
	if first, ok := s.firstResponse(c.Request); ok {
		return first
	}
	w := s.Workers[c.Worker]
	if w == nil {
		return Result{Err: fault.New(fault.NotFound, "no worker %q", c.Worker)}
	}
	w.Draining = !c.Undo
	s.changes.Workers[c.Worker] = struct{}{}
	s.recordResponse(c.Request, now, RequestRecord{})
	s.recordEvent("worker draining", fmt.Sprint(w.Draining), c.Worker)
	return Result{}
}

// cancel cancels the selected jobs and returns their IDs.
func (s *State) cancel(now int64, c *Cancel) Result {
	if first, ok := s.firstResponse(c.Request); ok {
		return first
	}
	jobs, err := s.SelectForCancel(c)
	if err != nil {
		return Result{Err: err}
	}
	var ids []string
	for _, j := range jobs {
		ids = append(ids, j.ID)
		s.cancelJob(now, j)
	}
	s.recordResponse(c.Request, now, RequestRecord{Jobs: ids})
	return Result{Jobs: ids}
}

// SelectForCancel returns the unfinished jobs that a cancellation selects. It
// returns NotFound if a listed ID is unknown or belongs to another customer.
func (s *State) SelectForCancel(c *Cancel) ([]*Job, error) {
	if len(c.IDs) > 0 {
		return s.selectIDs(c)
	}
	var jobs []*Job
	for _, j := range s.Jobs {
		named := c.All || j.Spec.Name == c.Name
		if j.Customer == c.Customer && named && !j.Closing && !j.State.Ended() && !j.HandoverDone {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.Submitted, b.Submitted), strings.Compare(a.ID, b.ID))
	})
	return jobs, nil
}

// selectIDs returns the unfinished jobs with the listed IDs, or NotFound if one of
// the IDs is unknown or belongs to another customer.
func (s *State) selectIDs(c *Cancel) ([]*Job, error) {
	var jobs []*Job
	for _, id := range c.IDs {
		j := s.Jobs[id]
		if j == nil || j.Customer != c.Customer {
			return nil, fault.New(fault.NotFound, "no job %q", id)
		}
		if !j.Closing && !j.State.Ended() && !j.HandoverDone {
			jobs = append(jobs, j)
		}
	}
	return jobs, nil
}

// cancelJob ends a job on request of its customer. While the job is offered to
// another data centre, only the cancellation is recorded: the job cannot end before
// that data centre has answered.
func (s *State) cancelJob(now int64, j *Job) {
	s.recordEvent("job cancelled", "", j.ID, j.Customer)
	if j.State == JobPendingHandover {
		j.Kind, j.Reason = fault.Cancelled, "cancelled by the customer"
		s.markChanged(j)
		return
	}
	s.closeJob(j, fault.Cancelled, "cancelled by the customer")
	s.updateJobState(now, j, "")
}

// scale changes the number of tasks of a service.
func (s *State) scale(now int64, c *Scale) Result {
	if first, ok := s.firstResponse(c.Request); ok {
		return first
	}
	j := s.Jobs[c.Job]
	if j == nil || j.Customer != c.Customer {
		return Result{Err: fault.New(fault.NotFound, "no job %q", c.Job)}
	}
	if j.Spec.Policy != placement.Service || !j.startable() {
		return Result{Err: fault.New(fault.Conflict, "job %s is not a running service", c.Job)}
	}
	if !isTaskCount(c.Tasks) {
		return Result{Err: fault.Field("tasks", "%d isn't from 0 to %d", c.Tasks, maxTasks)}
	}
	s.resize(j, c.Tasks)
	s.recordResponse(c.Request, now, RequestRecord{Job: j.ID})
	s.recordEvent("service scaled", fmt.Sprintf("to %d", c.Tasks), j.ID)
	s.updateJobState(now, j, "")
	return Result{Job: j.ID}
}

// resize changes the number of tasks of a service. It adds queued tasks or ends
// surplus ones, queued tasks before running ones.
func (s *State) resize(j *Job, tasks int) {
	active := 0
	for i := range j.Tasks {
		if !j.Tasks[i].State.Ended() && !j.Tasks[i].Stopping {
			active++
		}
	}
	for ; active < tasks; active++ {
		j.Tasks = append(j.Tasks, Task{State: TaskQueued})
	}
	for i := len(j.Tasks) - 1; i >= 0 && active > tasks; i-- {
		if j.Tasks[i].State == TaskQueued {
			j.Tasks[i].State = TaskCancelled
			active--
		}
	}
	for i := len(j.Tasks) - 1; i >= 0 && active > tasks; i-- {
		if j.Tasks[i].State == TaskRunning && !j.Tasks[i].Stopping {
			s.stopTask(j, i)
			active--
		}
	}
	j.Spec.Tasks = tasks
}

// refuse ends an accepted job that can no longer meet its deadline. Jobs that are
// closing, ended or pending handover are ignored.
func (s *State) refuse(now int64, c *Refuse) Result {
	j := s.Jobs[c.Job]
	if j == nil || j.Closing || j.State.Ended() || j.State == JobPendingHandover {
		return Result{}
	}
	s.closeJob(j, c.Kind, c.Detail)
	s.updateJobState(now, j, "")
	return Result{Job: j.ID}
}

// preempt stops running idempotent tasks. Items that no longer match the state
// are ignored.
func (s *State) preempt(c *Preempt) Result {
	for _, item := range c.Items {
		j := s.Jobs[item.Job]
		if j == nil || item.Task < 0 || item.Task >= len(j.Tasks) || !j.Spec.Idempotent {
			continue
		}
		t := &j.Tasks[item.Task]
		if t.State != TaskRunning || t.Worker != item.Worker || t.Stopping {
			continue
		}
		t.Preempted = true
		s.stopTask(j, item.Task)
		s.recordEvent("attempt preempted", "", j.ID, item.Worker)
		s.markChanged(j)
	}
	return Result{}
}

// recordHandoverAnswer applies the committed answer of another data centre to an offer.
// Only a committed refusal returns the job: a timeout does not show what the other data
// centre has committed, and a job returned after one could run in both data centres.
func (s *State) recordHandoverAnswer(now int64, c *RecordHandoverAnswer) Result {
	j := s.Jobs[c.Job]
	if j == nil || j.State != JobPendingHandover || j.HandoverDataCentre != c.To || j.HandoverDone {
		return Result{}
	}
	if c.Accepted && j.Kind == fault.Cancelled && !c.Withdrawn {
		// The customer cancelled while the offer was in flight. The job stays
		// pending until the data centre that accepted it knows of the
		// cancellation.
		s.markChanged(j)
		return Result{}
	}
	if c.Accepted {
		j.HandoverDone = true
		s.recordEvent("handover accepted", "by "+c.To, j.ID)
		s.markChanged(j)
		return Result{}
	}
	j.RefusedBy = append(j.RefusedBy, c.To)
	s.recordEvent("handover refused", "by "+c.To+": "+c.Detail, j.ID)
	if c.Next != "" && j.Kind != fault.Cancelled {
		j.HandoverDataCentre = c.Next
		s.markChanged(j)
		return Result{}
	}
	j.HandoverDataCentre = ""
	j.State = JobQueued
	kind, reason := c.Kind, c.Detail
	if j.Kind == fault.Cancelled {
		kind, reason = j.Kind, j.Reason
	}
	s.closeJob(j, kind, reason)
	s.updateJobState(now, j, "")
	return Result{}
}

// answerHandoverOffer accepts or refuses a job of another data centre. The
// first committed answer also answers every duplicate of the offer.
func (s *State) answerHandoverOffer(now int64, c *AnswerHandoverOffer) Result {
	if record, ok := s.HandoverAnswers[c.Job]; ok {
		return record.result(c.Job)
	}
	if err := c.Spec.check(); err != nil {
		return Result{Err: err}
	}
	record := HandoverAnswerRecord{Accepted: !c.Refused, Kind: c.Kind, Detail: c.Detail, At: now}
	s.HandoverAnswers[c.Job] = record
	if record.Accepted {
		j := s.newJob(c.Job, c.Customer, c.Spec, c.Submitted)
		j.OriginDataCentre = c.From
		s.recordEvent("job taken over", "from "+c.From, j.ID, j.Customer)
	}
	return record.result(c.Job)
}

// result returns the recorded answer for a job.
func (r HandoverAnswerRecord) result(job string) Result {
	if r.Accepted {
		return Result{Job: job}
	}
	return Result{Err: fault.New(r.Kind, "%s", r.Detail)}
}

// adoptConfig puts a configuration version into force. It ignores versions up to
// the one in force, so the version never decreases if commands are late or
// duplicated.
func (s *State) adoptConfig(c *AdoptConfig) Result {
	if c.ConfigVersion <= s.Config.ConfigVersion {
		return Result{}
	}
	s.Config = *c
	s.recordEvent("configuration adopted", fmt.Sprintf("version %d", c.ConfigVersion), fmt.Sprintf("config.%d", c.ConfigVersion))
	s.changes.QuotaChanged = true
	if len(c.Quota.InitialOwners) == 0 {
		return Result{}
	}
	if err := s.ledger.Configure(c.Quota); err != nil {
		s.recordEvent("quota not changed", err.Error(), fmt.Sprintf("config.%d", c.ConfigVersion))
	}
	return Result{}
}

// applyQuota applies one step of a quota transfer.
func (s *State) applyQuota(c *Quota) Result {
	s.changes.QuotaChanged = true
	switch {
	case c.Debit != nil:
		transfer, err := s.ledger.Debit(*c.Debit, s.Used)
		if err == nil {
			s.recordEvent("quota given", fmt.Sprintf("transfer %d to %s", transfer.Sequence, transfer.To))
		}
		return Result{Err: err}
	case c.Credit != nil:
		err := s.ledger.Credit(*c.Credit)
		if err == nil {
			s.recordEvent("quota taken", fmt.Sprintf("transfer %d from %s", c.Credit.Sequence, c.Credit.From))
		}
		return Result{Err: err}
	case c.Acknowledge != nil:
		s.ledger.Acknowledge(*c.Acknowledge)
	}
	return Result{}
}

// Used returns the resources that the running tasks of a customer have reserved in
// this data centre.
func (s *State) Used(customer string) placement.Resources { return s.used[customer] }

// Demand returns the resources that the queued and running tasks of each customer
// need in this data centre.
func (s *State) Demand() map[string]placement.Resources {
	demand := make(map[string]placement.Resources)
	for _, j := range s.Jobs {
		if queued, running, _ := j.Counts(); j.startable() && queued+running > 0 {
			demand[j.Customer] = add(demand[j.Customer], times(j.Spec.Need, queued+running))
		}
	}
	return demand
}

// Customers returns all customers with running tasks or a quota in this data
// centre.
func (s *State) Customers() map[string]struct{} {
	customers := make(map[string]struct{})
	for name := range s.used {
		customers[name] = struct{}{}
	}
	for name := range s.Config.Quota.Limits {
		customers[name] = struct{}{}
	}
	return customers
}

// Quota returns the quota ledger. Callers must not modify it.
func (s *State) Quota() *quota.Ledger { return s.ledger }

// Allotment returns the resources that a customer may use at once in this data
// centre. They are unlimited before the first configuration.
func (s *State) Allotment(customer string) placement.Resources {
	if s.ledger.Version() == 0 {
		return placement.Resources{CPU: quota.Unlimited, Memory: quota.Unlimited, Accelerators: quota.Unlimited}
	}
	return s.ledger.Allotment(customer)
}

// withinQuota reports whether the customer may use need in addition to the resources
// of its running tasks.
func (s *State) withinQuota(customer string, need placement.Resources) bool {
	limit := s.Allotment(customer)
	used := add(s.used[customer], need)
	within := func(amount, most int64) bool { return most < 0 || amount <= most }
	return within(used.CPU, limit.CPU) && within(used.Memory, limit.Memory) && within(used.Accelerators, limit.Accelerators)
}

// prune deletes the jobs that ended, and the request records and handover answers
// that were made, before c.Before. A job that was handed over stays until its
// deadline has passed, so that callers are redirected to its owner.
func (s *State) prune(c *Prune) Result {
	for id, j := range s.Jobs {
		ended := j.State.Ended() && j.Ended < c.Before
		handedOver := j.HandoverDone && max(j.Submitted, j.Spec.Deadline) < c.Before
		if ended || handedOver {
			delete(s.Jobs, id)
		}
	}
	for key, record := range s.Requests {
		if record.At < c.Before {
			delete(s.Requests, key)
		}
	}
	for id, record := range s.HandoverAnswers {
		if record.At < c.Before && s.Jobs[id] == nil {
			delete(s.HandoverAnswers, id)
		}
	}
	return Result{}
}
