package cell

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/state"
	"github.com/bilberryferry/bilberryferry/internal/wire"
	"github.com/bilberryferry/bilberryferry/placement"
)

var _ apiv1.Scheduler = (*Cell)(nil)

// Bounds of long polls and lists.
const (
	maxWatchLongPoll = 20 * time.Second
	maxListedJobs    = 1000
	// maxHandoverWait bounds how long a submission waits for the answer to the handover
	// offer of its job.
	maxHandoverWait = time.Second
)

// Home returns the name of this data centre.
func (c *Cell) Home(ctx context.Context, _ *apiv1.HomeRequest) (*apiv1.HomeResponse, error) {
	if _, err := rpc.Require(ctx, settings.Customer, settings.Operator); err != nil {
		return nil, err
	}
	return &apiv1.HomeResponse{DataCentre: c.base.Instance.DataCentre}, nil
}

// Submit admits a job, hands it over or refuses it, and commits the decision.
func (c *Cell) Submit(ctx context.Context, r *apiv1.SubmitRequest) (*apiv1.SubmitResponse, error) {
	caller, err := rpc.Require(ctx, settings.Customer)
	if err != nil {
		return nil, err
	}
	if r.Home != "" && r.Home != c.base.Instance.DataCentre {
		return nil, fault.Field("home", "is %q, this is %q", r.Home, c.base.Instance.DataCentre)
	}
	request, err := wire.CheckRequest(r.RequestId, caller.Customer, r.Spec)
	if err != nil {
		return nil, err
	}
	t, err := c.currentLeaderTerm()
	if err != nil {
		return nil, err
	}
	if first, ok := c.firstResponse(request); ok {
		return c.awaitHandover(ctx, first)
	}
	spec, err := wire.CheckSpec(r.Spec, c.base.Settings.Limits, c.now())
	if err != nil {
		return nil, err
	}
	submit := &state.Submit{Request: request, Customer: caller.Customer, Spec: spec}
	release := c.admitOrHandOver(ctx, t, submit, r.Spec)
	c.stats.Submissions.Add(1)
	result, err := c.propose(ctx, &state.Command{Submit: submit})
	t.wakeUp()
	release()
	if err != nil {
		return nil, err
	}
	return c.awaitHandover(ctx, result)
}

// firstResponse returns the committed response to an earlier request with the same id,
// and whether there is one.
func (c *Cell) firstResponse(request state.Request) (first state.Result, ok bool) {
	c.stateMachine.View(func(s *state.State) { first, ok = s.FirstResponse(request) })
	return first, ok
}

// admitOrHandOver decides whether the job is admitted here, offered to another data
// centre or refused. The resources for an admitted job are reserved until release is
// called.
func (c *Cell) admitOrHandOver(ctx context.Context, t *leaderTerm, submit *state.Submit, spec *apiv1.Spec) (release func()) {
	decision, release := c.admitAndReserve(t, submit.Customer, submit.Spec, c.now())
	if decision.Admitted {
		return release
	}
	if spec.DataCentre == "" {
		submit.HandoverTo = c.findAcceptingDataCentre(ctx, t, &apiv1.OfferRequest{
			FromDataCentre: c.base.Instance.DataCentre, Customer: submit.Customer, Spec: spec, Probe: true,
			SubmittedUnixMs: c.now().UnixMilli(),
		}, nil)
	}
	if submit.HandoverTo != "" {
		return release
	}
	c.stats.Refusals.Add(1)
	submit.Refused = true
	submit.Kind = faultKind(decision.Reason)
	submit.Detail = decision.Detail
	submit.RetryAfter = decision.RetryAfter
	return release
}

// reservationPrefix begins the IDs of jobs whose submission is in flight. No committed
// job has such an ID.
const reservationPrefix = "accepting."

// admitAndReserve evaluates whether a job would finish in time here, and reserves the
// resources for it until release is called.
//
// Failure guarded against: many jobs are submitted together, each is evaluated before the
// others are committed, all are admitted on the same free resources, and accepted jobs
// miss their deadlines. A reservation is a queued job with an ID of its own. It can't
// start within proposeTimeout, in which the proposal of the submitted job is decided.
func (c *Cell) admitAndReserve(t *leaderTerm, customer string, spec state.Spec, now time.Time) (decision placement.AdmissionDecision, release func()) {
	job := placement.Job{
		ID: reservationPrefix + strconv.FormatUint(t.reservationCount.Add(1), 10), Customer: customer, Name: spec.Name,
		Policy: spec.Policy, Tasks: spec.Tasks, Need: spec.Need, Runtime: spec.Runtime, Submitted: now,
		Urgent: spec.Urgent, Idempotent: spec.Idempotent,
	}
	if spec.Deadline > 0 {
		job.Deadline = time.UnixMilli(spec.Deadline)
	}
	limit := c.customerLimit(customer)
	c.refresh(t)
	t.mu.Lock()
	defer t.mu.Unlock()
	decision = t.cluster.Admit(job, now, limit)
	if !decision.Admitted {
		return decision, func() {}
	}
	job.NotBefore = now.Add(proposeTimeout)
	t.cluster.Enqueue(job)
	return decision, func() {
		c.refresh(t)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.cluster.Dequeue(job.ID)
	}
}

// awaitHandover returns the response to a submission from the committed state. For a job
// that is offered to another data centre it waits up to maxHandoverWait for the answer, so
// that most callers get the final outcome at once.
func (c *Cell) awaitHandover(ctx context.Context, result state.Result) (*apiv1.SubmitResponse, error) {
	if result.Err != nil {
		return nil, result.Err
	}
	ctx, cancel := context.WithTimeout(ctx, maxHandoverWait)
	defer cancel()
	for {
		changed := c.stateMachine.Changed()
		j := c.job(result.Job)
		if j == nil {
			return nil, fault.New(fault.NotFound, "the record of job %s was removed after its end", result.Job)
		}
		if j.State != state.JobPendingHandover || j.HandoverDone || !c.waitForChange(ctx, changed) {
			return c.submitResponse(j)
		}
	}
}

// waitForChange waits until changed is closed. It returns false if ctx ends or the cell
// drains first.
func (c *Cell) waitForChange(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	case <-c.draining:
		return false
	}
}

// submitResponse returns the response to the submission of a job, or an error if the job
// has ended because the data centres to which it was offered refused it.
func (c *Cell) submitResponse(j *state.Job) (*apiv1.SubmitResponse, error) {
	if j.State.Ended() && len(j.RefusedBy) > 0 && j.Kind != fault.Cancelled {
		return nil, fault.New(j.Kind, "%s", j.Reason)
	}
	home := c.base.Instance.DataCentre
	jobState := apiv1.JobState(j.State)
	if j.HandoverDone {
		home = j.HandoverDataCentre
		jobState = apiv1.JobState_JOB_STATE_QUEUED
	}
	return &apiv1.SubmitResponse{Id: j.ID, DataCentre: home, State: jobState}, nil
}

// job returns a copy of a job, or nil.
func (c *Cell) job(id string) *state.Job {
	var found *state.Job
	c.stateMachine.View(func(s *state.State) {
		if j := s.Jobs[id]; j != nil {
			copied := *j
			copied.Tasks = slices.Clone(j.Tasks)
			found = &copied
		}
	})
	return found
}

// Cancel ends jobs of the caller's customer that this data centre owns.
func (c *Cell) Cancel(ctx context.Context, r *apiv1.CancelRequest) (*apiv1.CancelResponse, error) {
	caller, err := rpc.Require(ctx, settings.Customer)
	if err != nil {
		return nil, err
	}
	if err := checkSelector(r); err != nil {
		return nil, err
	}
	request, err := wire.CheckRequest(r.RequestId, caller.Customer, withoutRequestID(r))
	if err != nil {
		return nil, err
	}
	if _, err := c.currentLeaderTerm(); err != nil {
		return nil, err
	}
	cancel := &state.Cancel{Request: request, Customer: caller.Customer, IDs: r.Ids, Name: r.Name, All: r.AllOfCustomer}
	if r.DryRun {
		return c.dryRunCancel(cancel)
	}
	result, err := c.propose(ctx, &state.Command{Cancel: cancel})
	if err != nil {
		return nil, err
	}
	return &apiv1.CancelResponse{Ids: result.Jobs}, result.Err
}

// checkSelector returns a fault unless the request selects jobs in exactly one way.
func checkSelector(r *apiv1.CancelRequest) error {
	selectors := 0
	for _, isSet := range []bool{len(r.Ids) > 0, r.Name != "", r.AllOfCustomer} {
		if isSet {
			selectors++
		}
	}
	if selectors != 1 {
		return fault.Field("selector", "exactly one of ids, name and all_of_customer is needed")
	}
	return nil
}

// withoutRequestID returns a copy of a request with an empty request id.
func withoutRequestID(r *apiv1.CancelRequest) *apiv1.CancelRequest {
	content := proto.Clone(r).(*apiv1.CancelRequest)
	content.RequestId = ""
	return content
}

// dryRunCancel returns the IDs of the jobs that a cancellation would end.
func (c *Cell) dryRunCancel(cancel *state.Cancel) (*apiv1.CancelResponse, error) {
	response := &apiv1.CancelResponse{}
	var err error
	c.stateMachine.View(func(s *state.State) {
		var jobs []*state.Job
		jobs, err = s.SelectForCancel(cancel)
		for _, j := range jobs {
			response.Ids = append(response.Ids, j.ID)
		}
	})
	return response, err
}

// Scale changes the number of tasks of a service.
func (c *Cell) Scale(ctx context.Context, r *apiv1.ScaleRequest) (*apiv1.ScaleResponse, error) {
	caller, err := rpc.Require(ctx, settings.Customer)
	if err != nil {
		return nil, err
	}
	if r.Tasks <= 0 || int(r.Tasks) > c.base.Settings.Limits.MaxTasks {
		return nil, fault.Field("tasks", "must be 1 to %d", c.base.Settings.Limits.MaxTasks)
	}
	request, err := wire.CheckRequest(r.RequestId, caller.Customer, &apiv1.ScaleRequest{Id: r.Id, Tasks: r.Tasks})
	if err != nil {
		return nil, err
	}
	if _, err := c.currentLeaderTerm(); err != nil {
		return nil, err
	}
	scale := &state.Scale{Request: request, Customer: caller.Customer, Job: r.Id, Tasks: int(r.Tasks)}
	result, err := c.propose(ctx, &state.Command{Scale: scale})
	if err != nil {
		return nil, err
	}
	if result.Err != nil {
		return nil, result.Err
	}
	return &apiv1.ScaleResponse{Job: wire.JobToAPI(c.job(r.Id), c.base.Instance.DataCentre, false)}, nil
}

// Status returns one job, or all jobs that the caller may see.
func (c *Cell) Status(ctx context.Context, r *apiv1.StatusRequest) (*apiv1.StatusResponse, error) {
	caller, err := rpc.Require(ctx, settings.Customer, settings.Operator)
	if err != nil {
		return nil, err
	}
	if _, err := c.currentLeaderTerm(); err != nil {
		return nil, err
	}
	if err := barrier(ctx, c.log); err != nil {
		return nil, err
	}
	if r.Id != "" {
		return c.jobStatus(caller, r.Id, r.WithTasks)
	}
	return c.listJobs(caller, r), nil
}

// jobStatus returns one job. Its error is NotFound if the job doesn't exist or the caller
// may not see it.
func (c *Cell) jobStatus(caller rpc.Caller, id string, withTasks bool) (*apiv1.StatusResponse, error) {
	j := c.job(id)
	if j == nil || !mayView(caller, j) {
		return nil, fault.New(fault.NotFound, "no job %q", id)
	}
	return &apiv1.StatusResponse{Jobs: []*apiv1.Job{wire.JobToAPI(j, c.base.Instance.DataCentre, withTasks)}}, nil
}

// mayView reports whether the caller may see a job: any job for an operator, the jobs of
// its own customer for a customer.
func mayView(caller rpc.Caller, j *state.Job) bool {
	return caller.Role == settings.Operator || j.Customer == caller.Customer
}

// listJobs returns the jobs that the caller may see, the newest first.
func (c *Cell) listJobs(caller rpc.Caller, r *apiv1.StatusRequest) *apiv1.StatusResponse {
	response := &apiv1.StatusResponse{}
	c.stateMachine.View(func(s *state.State) {
		for _, j := range s.Jobs {
			if mayView(caller, j) && !j.HandoverDone && (r.IncludeEnded || !j.State.Ended()) {
				response.Jobs = append(response.Jobs, wire.JobToAPI(j, c.base.Instance.DataCentre, r.WithTasks))
			}
		}
	})
	slices.SortFunc(response.Jobs, func(a, b *apiv1.Job) int {
		if a.SubmittedUnixMs != b.SubmittedUnixMs {
			return int(b.SubmittedUnixMs - a.SubmittedUnixMs)
		}
		return strings.Compare(a.Id, b.Id)
	})
	limit := int(r.Limit)
	if limit <= 0 || limit > maxListedJobs {
		limit = maxListedJobs
	}
	response.Jobs = response.Jobs[:min(limit, len(response.Jobs))]
	return response
}

// Watch returns a job once it is newer than the caller's revision, or when the long
// poll ends.
func (c *Cell) Watch(ctx context.Context, r *apiv1.WatchRequest) (*apiv1.StatusResponse, error) {
	caller, err := rpc.Require(ctx, settings.Customer, settings.Operator)
	if err != nil {
		return nil, err
	}
	if _, err := c.currentLeaderTerm(); err != nil {
		return nil, err
	}
	hold := min(time.Duration(r.WaitMs)*time.Millisecond, maxWatchLongPoll)
	pollCtx, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	for {
		changed := c.stateMachine.Changed()
		response, err := c.jobStatus(caller, r.Id, false)
		if err != nil {
			return nil, err
		}
		if response.Jobs[0].Revision > r.AfterRevision || !c.waitForChange(pollCtx, changed) {
			return response, nil
		}
	}
}

// Explain says why a job waits or how it ended.
func (c *Cell) Explain(ctx context.Context, r *apiv1.ExplainRequest) (*apiv1.ExplainResponse, error) {
	caller, err := rpc.Require(ctx, settings.Customer, settings.Operator)
	if err != nil {
		return nil, err
	}
	t, err := c.currentLeaderTerm()
	if err != nil {
		return nil, err
	}
	j := c.job(r.Id)
	if j == nil || !mayView(caller, j) {
		return nil, fault.New(fault.NotFound, "no job %q", r.Id)
	}
	if queued, _ := j.PlacementJob(); queued.Tasks == 0 || j.State.Ended() {
		return &apiv1.ExplainResponse{Summary: endSummary(j)}, nil
	}
	t.mu.Lock()
	explanation := t.cluster.Explain(r.Id, c.now())
	t.mu.Unlock()
	response := &apiv1.ExplainResponse{Summary: explanation.Summary}
	if !explanation.ExpectedStart.IsZero() {
		response.ExpectedStartUnixMs = explanation.ExpectedStart.UnixMilli()
	}
	for _, f := range explanation.Filters {
		response.Filters = append(response.Filters, &apiv1.FilterCount{Filter: f.Filter, Workers: int32(f.Workers), ExampleWorker: f.Example})
	}
	return response, nil
}

// endSummary describes a job that has ended or has no waiting tasks.
func endSummary(j *state.Job) string {
	if !j.State.Ended() {
		return fmt.Sprintf("the job is %s; no task waits", j.State)
	}
	if j.Reason == "" {
		return "the job is " + j.State.String()
	}
	return fmt.Sprintf("the job is %s: %s: %s", j.State, j.Kind, j.Reason)
}
