package instance

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/gateway"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// Operations makes the calls of the leader: directly where this instance leads,
// through the gateway elsewhere.
type Operations struct {
	gateway *gateway.Gateway
	local   atomic.Pointer[control.Controller]
}

// lead lets calls go to this instance's own controller.
func (o *Operations) setLocal(c *control.Controller) { o.local.Store(c) }

// call tries the own controller first; it refuses at once where it doesn't lead.
func call[Request, Reply any](ctx context.Context, o *Operations, method string, request *Request,
	callLocal func(*control.Controller, context.Context, *Request) (Reply, error)) (Reply, error) {
	if reply, err := tryLocal(ctx, o, request, callLocal); !errors.Is(err, link.ErrNotLeader) {
		return reply, err
	}
	return gateway.Call[Reply](ctx, o.gateway, method, request)
}

// callForCaller is call for a request that a caller made at begun, and whose outcome
// shows the caller which version of the configuration was in force.
func callForCaller[Request, Reply any](ctx context.Context, o *Operations, receivedAt time.Time, method string, request *Request,
	callLocal func(*control.Controller, context.Context, *Request) (Reply, error)) (Reply, error) {
	recorderCtx, recorder := link.WithVersionRecorder(ctx)
	if reply, err := tryLocal(recorderCtx, o, request, callLocal); !errors.Is(err, link.ErrNotLeader) {
		return reply, o.checkOrder(receivedAt, method, recorder.Version(), err)
	}
	return gateway.CallForCaller[Reply](ctx, o.gateway, receivedAt, method, request)
}

// checkOrder is the error of an outcome that this instance has made itself.
func (o *Operations) checkOrder(receivedAt time.Time, method string, version uint64, err error) error {
	return o.gateway.WithholdOutOfOrder(gateway.Outcome{Method: method, ReceivedAt: receivedAt, Version: version, AnsweredBy: fromSelf, Err: err})
}

// fromSelf stands in lines for the address of the instance that answered.
const fromSelf = "self"

// tryLocal makes a call of the own controller. The error is marked ErrNotLeader where
// another instance has to be asked.
func tryLocal[Request, Reply any](ctx context.Context, o *Operations, request *Request,
	callLocal func(*control.Controller, context.Context, *Request) (Reply, error)) (Reply, error) {
	c := o.local.Load()
	if c == nil {
		var zero Reply
		return zero, link.ErrNotLeader
	}
	reply, err := callLocal(c, ctx, request)
	if leader := link.LeaderOf(err); leader != "" {
		o.gateway.SuggestLeader(leader)
	}
	return reply, err
}

// Submit hands a job in. Without contact to the leader it refuses at once.
func (o *Operations) Submit(ctx context.Context, r *control.SubmitCall) (control.SubmitReply, error) {
	receivedAt := time.Now()
	if !o.gateway.InContact() {
		return control.SubmitReply{}, fault.Retry(fault.Unavailable, gateway.RetryAfter, "no leader is reached")
	}
	return callForCaller(ctx, o, receivedAt, control.MethodSubmit, r, (*control.Controller).Submit)
}

// State asks for a job or a queue: first for one that has ended, which any instance
// of the core can tell, then the leader.
func (o *Operations) State(ctx context.Context, r *control.StateCall) (control.StateReply, error) {
	receivedAt := time.Now()
	if phase, known := o.endedPhase(ctx, receivedAt, r.Address); known {
		return control.StateReply{Phase: phase}, nil
	}
	return callForCaller(ctx, o, receivedAt, control.MethodState, r, (*control.Controller).State)
}

func (o *Operations) endedPhase(ctx context.Context, receivedAt time.Time, address control.JobAddress) (workflow.Phase, bool) {
	c := o.local.Load()
	if c == nil {
		return o.gateway.Ended(ctx, receivedAt, address)
	}
	recorderCtx, recorder := link.WithVersionRecorder(ctx)
	reply, err := c.Ended(recorderCtx, &control.EndedCall{Address: address, Version: o.gateway.Version()})
	known := err == nil && reply.Known && o.checkOrder(receivedAt, control.MethodState, recorder.Version(), nil) == nil
	return reply.Phase, known
}

// Cancel cancels a job.
func (o *Operations) Cancel(ctx context.Context, r *control.CancelCall) error {
	_, err := callForCaller(ctx, o, time.Now(), control.MethodCancel, r, (*control.Controller).Cancel)
	return err
}

// Announce passes a worker's heartbeat on, unless it says nothing new.
func (o *Operations) Announce(ctx context.Context, r *control.Announcement) (control.AnnouncementReply, error) {
	if c := o.local.Load(); c != nil {
		if reply, ok := c.AnnounceKnown(r); ok {
			return reply, nil
		}
	}
	return call(ctx, o, control.MethodAnnounce, r, (*control.Controller).Announce)
}

// Leave passes on that a worker ends.
func (o *Operations) Leave(ctx context.Context, r *control.LeaveCall) error {
	_, err := call(ctx, o, control.MethodLeave, r, (*control.Controller).Leave)
	return err
}

// Configure hands a configuration in.
func (o *Operations) Configure(ctx context.Context, r *control.ConfigureCall) error {
	_, err := call(ctx, o, control.MethodConfigure, r, (*control.Controller).Configure)
	return err
}

// Explain tells what a job waits for.
func (o *Operations) Explain(ctx context.Context, r *control.ExplainCall) (control.ExplainReply, error) {
	return call(ctx, o, control.MethodExplain, r, (*control.Controller).Explain)
}

// StartWave starts a wave of maintenance.
func (o *Operations) StartWave(ctx context.Context, r *control.WaveCall) error {
	_, err := call(ctx, o, control.MethodStartWave, r, (*control.Controller).StartWave)
	return err
}

// WaveState returns how far a wave has come.
func (o *Operations) WaveState(ctx context.Context, r *control.WaveStateCall) (control.WaveStateReply, error) {
	return call(ctx, o, control.MethodWaveState, r, (*control.Controller).WaveState)
}

// Configuration returns the newest configuration.
func (o *Operations) Configuration(ctx context.Context) (control.ConfigurationReply, error) {
	return call(ctx, o, control.MethodConfiguration, &control.Empty{}, (*control.Controller).Configuration)
}
