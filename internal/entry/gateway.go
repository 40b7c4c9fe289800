package entry

import (
	"context"
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/directory"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
)

var _ apiv1.WorkerGateway = (*Entry)(nil)

// Renew forwards a worker's renewal to the leader of this data centre.
//
// Failure guarded against: the leader is paused or partitioned and the renewal hangs.
// Without a response the worker's lease expires, and the outcome of tasks that must not
// run twice becomes unknown. The first attempt therefore lasts for the hold plus
// holdMargin at most, and a retry is held only for the time that the first hold has left,
// so that the response of a new leader arrives before the lease expires. The settings
// guarantee a lease that is longer than the first attempt (see settings.Timing).
func (e *Entry) Renew(ctx context.Context, r *apiv1.RenewRequest) (*apiv1.RenewResponse, error) {
	if _, err := rpc.Require(ctx, settings.Worker); err != nil {
		return nil, err
	}
	hold := min(time.Duration(r.HoldMs)*time.Millisecond, time.Duration(e.base.Settings.Timing.RenewHold))
	holdUntil := time.Now().Add(hold)
	options := directory.CallOptions{SearchTimeout: leaderSearchTimeout, AttemptTimeout: hold + holdMargin}
	ctx, cancel := e.cancelOnDrain(ctx)
	defer cancel()
	return forward(ctx, e, e.base.Instance.DataCentre, options, func(ctx context.Context, c clients) (*apiv1.RenewResponse, error) {
		r.HoldMs = max(0, time.Until(holdUntil).Milliseconds())
		return c.workers.Renew(ctx, r)
	})
}

// cancelOnDrain returns a context that ends when the instance drains. A held call with
// this context ends immediately and doesn't delay the shutdown; its worker renews at
// another entry instance.
func (e *Entry) cancelOnDrain(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-e.draining:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// Report forwards a worker's report of ended attempts to the leader of this data
// centre.
func (e *Entry) Report(ctx context.Context, r *apiv1.ReportRequest) (*apiv1.ReportResponse, error) {
	if _, err := rpc.Require(ctx, settings.Worker); err != nil {
		return nil, err
	}
	return forward(ctx, e, e.base.Instance.DataCentre, directory.CallOptions{SearchTimeout: leaderSearchTimeout}, func(ctx context.Context, c clients) (*apiv1.ReportResponse, error) {
		return c.workers.Report(ctx, r)
	})
}

// LeaveWorker forwards a worker's announcement that it shuts down to the leader of
// this data centre.
func (e *Entry) LeaveWorker(ctx context.Context, r *apiv1.LeaveWorkerRequest) (*apiv1.LeaveResponse, error) {
	if _, err := rpc.Require(ctx, settings.Worker); err != nil {
		return nil, err
	}
	return forward(ctx, e, e.base.Instance.DataCentre, directory.CallOptions{SearchTimeout: leaderSearchTimeout}, func(ctx context.Context, c clients) (*apiv1.LeaveResponse, error) {
		return c.workers.LeaveWorker(ctx, r)
	})
}
