package entry

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/directory"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/state"
	"github.com/bilberryferry/bilberryferry/internal/wire"
)

var _ apiv1.Scheduler = (*Entry)(nil)

// Submit forwards a job to its home data centre: the one that the request names, or
// that of this entry instance.
func (e *Entry) Submit(ctx context.Context, r *apiv1.SubmitRequest) (*apiv1.SubmitResponse, error) {
	if _, err := rpc.Require(ctx, settings.Customer); err != nil {
		return nil, err
	}
	if r.RequestId == "" {
		return nil, fault.Field("request_id", "missing")
	}
	// The leader checks the spec too. Checking it here keeps the load of invalid requests
	// off the leader. Only the leader checks the deadline, since a retried request gets its
	// first response even after its deadline. The time passed to CheckSpec is therefore
	// arbitrary, and its errors about the deadline are ignored.
	if _, err := wire.CheckSpec(r.Spec, e.base.Settings.Limits, time.Time{}.Add(time.Hour)); err != nil && fault.From(err).Field != "deadline_unix_ms" {
		return nil, err
	}
	home, err := e.homeOf(r)
	if err != nil {
		return nil, err
	}
	options := directory.CallOptions{SearchTimeout: leaderSearchTimeout, AttemptTimeout: submitAttemptTimeout}
	return forward(ctx, e, home, options, func(ctx context.Context, c clients) (*apiv1.SubmitResponse, error) {
		return c.scheduler.Submit(ctx, r)
	})
}

// Home returns the data centre of this entry instance.
func (e *Entry) Home(ctx context.Context, _ *apiv1.HomeRequest) (*apiv1.HomeResponse, error) {
	if _, err := rpc.Require(ctx, settings.Customer, settings.Operator); err != nil {
		return nil, err
	}
	return &apiv1.HomeResponse{DataCentre: e.base.Instance.DataCentre}, nil
}

// homeOf returns the home data centre of a submission, the one that deduplicates its
// request id. Its error is a fault.
//
// Failure guarded against: the response to a submission is lost, and the caller or the
// platform's balancer retries it at an entry instance of another data centre, which has
// never seen the request id and accepts the work again. The caller therefore names the
// home, and work that must not run twice is rejected without one. Idempotent work is
// accepted without a home: a duplicate wastes time and does no harm.
func (e *Entry) homeOf(r *apiv1.SubmitRequest) (string, error) {
	if r.Home != "" && r.Spec.DataCentre != "" && r.Home != r.Spec.DataCentre {
		return "", fault.Field("home", "is %q, but the spec names data centre %q", r.Home, r.Spec.DataCentre)
	}
	home := cmp.Or(r.Home, r.Spec.DataCentre)
	if home == "" && !r.Spec.Idempotent {
		return "", fault.Field("home", "work that isn't idempotent needs one: call Home once and send the data centre that it returns in each retry of the request")
	}
	if home == "" {
		home = e.base.Instance.DataCentre
	}
	if !e.base.Directory.HasDataCentre(home) {
		return "", fault.Field("data_centre", "no data centre %q", home)
	}
	return home, nil
}

// Status returns the status of one job or, if the request has no id, of all jobs of the
// caller's customer in all data centres.
func (e *Entry) Status(ctx context.Context, r *apiv1.StatusRequest) (*apiv1.StatusResponse, error) {
	if r.Id == "" {
		return e.listJobs(ctx, r)
	}
	return callOwner(ctx, e, r.Id, directory.CallOptions{SearchTimeout: leaderSearchTimeout}, func(ctx context.Context, c clients) (*apiv1.StatusResponse, error) {
		return c.scheduler.Status(ctx, r)
	})
}

// Watch waits until a job changes, for the time that the request names at most, and
// returns its status.
func (e *Entry) Watch(ctx context.Context, r *apiv1.WatchRequest) (*apiv1.StatusResponse, error) {
	hold := time.Duration(r.WaitMs) * time.Millisecond
	options := directory.CallOptions{SearchTimeout: leaderSearchTimeout, AttemptTimeout: hold + directory.AttemptTimeout}
	return callOwner(ctx, e, r.Id, options, func(ctx context.Context, c clients) (*apiv1.StatusResponse, error) {
		return c.scheduler.Watch(ctx, r)
	})
}

// callOwner makes a call on the data centre that issued a job id. If the job has been
// handed over, it repeats the call on the data centre that owns the job now.
func callOwner(ctx context.Context, e *Entry, id string, options directory.CallOptions, call func(context.Context, clients) (*apiv1.StatusResponse, error)) (*apiv1.StatusResponse, error) {
	home := state.HomeDataCentre(id)
	if home == "" || !e.base.Directory.HasDataCentre(home) {
		return nil, fault.New(fault.NotFound, "no job %q", id)
	}
	response, err := forward(ctx, e, home, options, call)
	if fault.Is(err, fault.Unavailable) {
		return e.searchOtherDataCentres(ctx, home, err, call)
	}
	if err != nil {
		return nil, err
	}
	if owner := response.Jobs[0].DataCentre; owner != home {
		return forward(ctx, e, owner, options, call)
	}
	return response, nil
}

// searchOtherDataCentres searches the other data centres for a job whose home is
// unreachable, since the job may have been handed over. If none of them has the job, the
// job may still exist at its home, so the error of the home is returned.
func (e *Entry) searchOtherDataCentres(ctx context.Context, home string, unavailable error, call func(context.Context, clients) (*apiv1.StatusResponse, error)) (*apiv1.StatusResponse, error) {
	for _, name := range e.base.Settings.DataCentres() {
		if name == home {
			continue
		}
		response, err := forward(ctx, e, name, directory.CallOptions{}, call)
		if err == nil {
			return response, nil
		}
	}
	return nil, unavailable
}

// listJobs lists the jobs of the caller's customer in all data centres, the newest
// first.
func (e *Entry) listJobs(ctx context.Context, r *apiv1.StatusRequest) (*apiv1.StatusResponse, error) {
	responses, unreachable, err := fanOut(ctx, e, func(ctx context.Context, c clients) (*apiv1.StatusResponse, error) {
		return c.scheduler.Status(ctx, r)
	})
	if err != nil {
		return nil, err
	}
	merged := &apiv1.StatusResponse{UnreachableDataCentres: unreachable}
	for _, response := range responses {
		merged.Jobs = append(merged.Jobs, response.Jobs...)
	}
	slices.SortFunc(merged.Jobs, func(a, b *apiv1.Job) int {
		if a.SubmittedUnixMs != b.SubmittedUnixMs {
			return int(b.SubmittedUnixMs - a.SubmittedUnixMs)
		}
		return strings.Compare(a.Id, b.Id)
	})
	if r.Limit > 0 {
		merged.Jobs = merged.Jobs[:min(int(r.Limit), len(merged.Jobs))]
	}
	return merged, nil
}

// Cancel cancels jobs in the data centres that own them.
func (e *Entry) Cancel(ctx context.Context, r *apiv1.CancelRequest) (*apiv1.CancelResponse, error) {
	if _, err := rpc.Require(ctx, settings.Customer); err != nil {
		return nil, err
	}
	if len(r.Ids) > 0 {
		return e.cancelIDs(ctx, r)
	}
	responses, unreachable, err := fanOut(ctx, e, func(ctx context.Context, c clients) (*apiv1.CancelResponse, error) {
		return c.scheduler.Cancel(ctx, r)
	})
	if err != nil {
		return nil, err
	}
	return mergeCancelResponses(responses, unreachable), nil
}

// mergeCancelResponses merges the cancelled ids of several data centres.
func mergeCancelResponses(responses []*apiv1.CancelResponse, unreachable []string) *apiv1.CancelResponse {
	merged := &apiv1.CancelResponse{UnreachableDataCentres: unreachable}
	for _, response := range responses {
		merged.Ids = append(merged.Ids, response.Ids...)
	}
	slices.Sort(merged.Ids)
	return merged
}

// cancelIDs cancels jobs by id, with one call for each data centre that owns any of the
// jobs.
func (e *Entry) cancelIDs(ctx context.Context, r *apiv1.CancelRequest) (*apiv1.CancelResponse, error) {
	if r.Name != "" || r.AllOfCustomer {
		return nil, fault.Field("selector", "exactly one of ids, name and all_of_customer is needed")
	}
	owners := make(map[string][]string)
	for _, id := range r.Ids {
		owner, err := e.ownerOf(ctx, id)
		if err != nil {
			return nil, err
		}
		owners[owner] = append(owners[owner], id)
	}
	merged := &apiv1.CancelResponse{}
	for owner, ids := range owners {
		request := proto.Clone(r).(*apiv1.CancelRequest)
		request.Ids = ids
		options := directory.CallOptions{SearchTimeout: leaderSearchTimeout}
		response, err := forward(ctx, e, owner, options, func(ctx context.Context, c clients) (*apiv1.CancelResponse, error) {
			return c.scheduler.Cancel(ctx, request)
		})
		if err != nil {
			return nil, err
		}
		merged.Ids = append(merged.Ids, response.Ids...)
	}
	slices.Sort(merged.Ids)
	return merged, nil
}

// Scale changes the number of tasks of a service.
func (e *Entry) Scale(ctx context.Context, r *apiv1.ScaleRequest) (*apiv1.ScaleResponse, error) {
	owner, err := e.ownerOf(ctx, r.Id)
	if err != nil {
		return nil, err
	}
	return forward(ctx, e, owner, directory.CallOptions{SearchTimeout: leaderSearchTimeout}, func(ctx context.Context, c clients) (*apiv1.ScaleResponse, error) {
		return c.scheduler.Scale(ctx, r)
	})
}

// Explain returns why a job waits or how it ended.
func (e *Entry) Explain(ctx context.Context, r *apiv1.ExplainRequest) (*apiv1.ExplainResponse, error) {
	owner, err := e.ownerOf(ctx, r.Id)
	if err != nil {
		return nil, err
	}
	return forward(ctx, e, owner, directory.CallOptions{SearchTimeout: leaderSearchTimeout}, func(ctx context.Context, c clients) (*apiv1.ExplainResponse, error) {
		return c.scheduler.Explain(ctx, r)
	})
}

// ownerOf returns the data centre that owns a job.
func (e *Entry) ownerOf(ctx context.Context, id string) (string, error) {
	if id == "" {
		// Status would return all jobs for an empty id.
		return "", fault.New(fault.NotFound, "no job %q", id)
	}
	status, err := e.Status(ctx, &apiv1.StatusRequest{Id: id})
	if err != nil {
		return "", err
	}
	return status.Jobs[0].DataCentre, nil
}
