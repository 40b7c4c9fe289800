package standin

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

const (
	// submitTimeout bounds one try of a Home, Submit or Cancel call.
	submitTimeout = 5 * time.Second
	// watchPollDuration is how long a Watch may wait for a change of the job.
	watchPollDuration = 10 * time.Second
	// watchSlack is how long after watchPollDuration the response to a Watch may still arrive.
	watchSlack = 2 * time.Second
)

// StateName returns the name of a job's state in lower case, without the prefix
// JOB_STATE_ of the enum.
func StateName(s apiv1.JobState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "JOB_STATE_"))
}

// callWithRetry calls entry address number i with a customer's token. While the outcome
// is unknown, it retries on the next address with an exponential backoff. A call either
// only reads or carries the same request id in all tries, so retries are safe.
// callWithRetry returns nil or an error once the outcome is known. After RetryTimeout or
// the end of ctx it returns the last error, marked with errOutcomeUnknown.
func (j *Jobs) callWithRetry(ctx context.Context, customer string, i int, timeout time.Duration, call func(context.Context, apiv1.Scheduler) error) error {
	clients := j.clients[customer]
	retryUntil := time.Now().Add(j.cfg.RetryTimeout)
	backoff := initialBackoff
	for ; ; i++ {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		err := call(callCtx, clients[i%len(clients)])
		cancel()
		if err == nil || fault.KindOf(err).RetryAdvice() != fault.SameRequestID {
			return err
		}
		if ctx.Err() != nil || time.Now().After(retryUntil) {
			return errors.Mark(err, errOutcomeUnknown)
		}
		wait.For(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// errOutcomeUnknown marks the error of a call that may or may not have been executed.
var errOutcomeUnknown = errors.New("the outcome of the call is unknown")

// resolveHome sets the home of a submission, the data centre that deduplicates
// submissions by request id: the data centre in the spec, or else the one that the entry
// instance names. With the home in the request, retries through other entry instances
// reach the same data centre.
func (j *Jobs) resolveHome(ctx context.Context, i int, request *apiv1.SubmitRequest) error {
	return j.callWithRetry(ctx, j.cfg.Arrivals[i].Customer, i, submitTimeout, func(ctx context.Context, s apiv1.Scheduler) error {
		home, err := s.Home(ctx, &apiv1.HomeRequest{})
		request.Home = cmp.Or(request.Spec.DataCentre, home.GetDataCentre())
		return err
	})
}

// sendSubmit sends the submission of arrival number i and stores its response.
func (j *Jobs) sendSubmit(ctx context.Context, i int, request *apiv1.SubmitRequest, response **apiv1.SubmitResponse) error {
	return j.callWithRetry(ctx, j.cfg.Arrivals[i].Customer, i, submitTimeout, func(ctx context.Context, s apiv1.Scheduler) (err error) {
		*response, err = s.Submit(ctx, request)
		return err
	})
}

// submit submits the job of arrival number i and returns the job's id, or "" when the
// submission was refused or its outcome is unknown.
func (j *Jobs) submit(ctx context.Context, i int, spec *apiv1.Spec) string {
	request := &apiv1.SubmitRequest{RequestId: fmt.Sprintf("%s-%d", j.runID, i), Spec: spec}
	var response *apiv1.SubmitResponse
	err := j.resolveHome(ctx, i, request)
	if err == nil {
		err = j.sendSubmit(ctx, i, request, &response)
	}
	now := time.Now()
	switch {
	case errors.Is(err, errOutcomeUnknown):
		j.update(i, func(r *JobResult) { r.Reason = err.Error() })
		return ""
	case err != nil:
		f := fault.From(err)
		j.update(i, func(r *JobResult) { r.Decided, r.Kind, r.Reason = now, f.Kind.String(), f.Message })
		return ""
	}
	if !spec.Idempotent && spec.Policy != apiv1.Policy_POLICY_SERVICE {
		j.cfg.Ledger.MarkNonIdempotent(response.Id)
	}
	j.update(i, func(r *JobResult) { r.Decided, r.ID, r.State = now, response.Id, response.State })
	return response.Id
}

// watch follows a job by long polls until JobResult.Done holds or a poll fails.
func (j *Jobs) watch(ctx context.Context, i int, id string) {
	customer := j.cfg.Arrivals[i].Customer
	revision := uint64(0)
	for ctx.Err() == nil {
		var response *apiv1.StatusResponse
		request := &apiv1.WatchRequest{Id: id, AfterRevision: revision, WaitMs: watchPollDuration.Milliseconds()}
		err := j.callWithRetry(ctx, customer, i, watchPollDuration+watchSlack, func(ctx context.Context, s apiv1.Scheduler) (err error) {
			response, err = s.Watch(ctx, request)
			return err
		})
		if err != nil {
			j.update(i, func(r *JobResult) { r.Reason = err.Error() })
			return
		}
		if len(response.Jobs) == 0 {
			continue
		}
		revision = response.Jobs[0].Revision
		if j.recordStatus(i, response.Jobs[0]) {
			return
		}
	}
}

// recordStatus updates the result of arrival number i from the job's status and reports
// whether JobResult.Done holds.
func (j *Jobs) recordStatus(i int, job *apiv1.Job) bool {
	done := false
	started, known := j.cfg.Ledger.FirstStart(job.Id, 0)
	j.update(i, func(r *JobResult) {
		r.State = job.State
		r.Kind = job.ReasonKind
		r.Reason = job.Reason
		switch {
		case known:
			r.Started = started
		case job.StartedUnixMs > 0:
			r.Started = time.UnixMilli(job.StartedUnixMs)
		}
		if job.EndedUnixMs > 0 {
			r.Ended = time.UnixMilli(job.EndedUnixMs)
		}
		done = r.Done()
	})
	return done
}

// cancelServices cancels the running services with one call per customer.
func (j *Jobs) cancelServices(ctx context.Context) {
	idsByCustomer := make(map[string][]string)
	for _, r := range j.Results() {
		if r.Policy == apiv1.Policy_POLICY_SERVICE && r.State == apiv1.JobState_JOB_STATE_RUNNING {
			idsByCustomer[r.Customer] = append(idsByCustomer[r.Customer], r.ID)
		}
	}
	for customer, serviceIDs := range idsByCustomer {
		request := &apiv1.CancelRequest{RequestId: j.runID + "-cancel-" + customer, Ids: serviceIDs}
		err := j.callWithRetry(ctx, customer, 0, submitTimeout, func(ctx context.Context, s apiv1.Scheduler) error {
			_, err := s.Cancel(ctx, request)
			return err
		})
		if err != nil {
			_ = j.cfg.Logger.Log("event", "services not cancelled", "customer", customer, "error", err)
		}
	}
}
