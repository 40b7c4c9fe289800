package instance

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/gateway"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// Operations calls the leader: the local controller if this instance leads, otherwise
// the leader that the gateway knows. It is safe for concurrent use.
type Operations struct {
	gateway         *gateway.Gateway
	logger          log.Logger
	localController atomic.Pointer[control.Controller]
	unknownKeys     *unknownKeys
	// loadControl is nil if load control is off.
	loadControl *loadControl
}

func newOperations(g *gateway.Gateway, logger log.Logger) *Operations {
	return &Operations{gateway: g, logger: logger, unknownKeys: newUnknownKeys(time.Now)}
}

// forPrincipal makes a call for a principal, unless too many calls with unknown keys were denied.
func (o *Operations) forPrincipal(p control.Principal, call func() error) error {
	done, err := o.unknownKeys.admit(p)
	if err != nil {
		return err
	}
	err = call()
	done(err)
	return err
}

// setLocalController makes calls try the controller of this instance first.
func (o *Operations) setLocalController(c *control.Controller) { o.localController.Store(c) }

// call calls the local controller. If that controller doesn't lead, it rejects the call
// immediately, and the gateway forwards the call to the leader.
func call[Request, Reply any](ctx context.Context, o *Operations, method string, request *Request,
	callLocal func(*control.Controller, context.Context, *Request) (Reply, error)) (Reply, error) {
	if reply, err := tryLocal(ctx, o, request, callLocal); !errors.Is(err, link.ErrNotLeader) {
		return reply, err
	}
	return gateway.Call[Reply](ctx, o.gateway, method, request)
}

// callForCaller calls the local controller or, if that controller doesn't lead, the leader.
// It is for a request that was received at receivedAt and whose outcome reveals to the
// caller which version of the configuration was in force. It withholds an outcome that
// would make the configuration appear to go back.
func callForCaller[Request, Reply any](ctx context.Context, o *Operations, receivedAt time.Time, method string, request *Request,
	callLocal func(*control.Controller, context.Context, *Request) (Reply, error)) (Reply, error) {
	recorderCtx, recorder := link.WithVersionRecorder(ctx)
	if reply, err := tryLocal(recorderCtx, o, request, callLocal); !errors.Is(err, link.ErrNotLeader) {
		return reply, o.checkVersionOrder(receivedAt, method, recorder.Versions(), err)
	}
	return gateway.CallForCaller[Reply](ctx, o.gateway, receivedAt, method, request)
}

// checkVersionOrder returns err, or another error if the outcome of the local controller
// must be withheld because its configuration version is out of order.
func (o *Operations) checkVersionOrder(receivedAt time.Time, method string, versions link.Versions, err error) error {
	return o.gateway.WithholdOutOfOrder(gateway.Outcome{Method: method, ReceivedAt: receivedAt, Versions: versions, RespondedBy: fromSelf, Err: err})
}

// fromSelf stands in log lines for the address of this instance if its own controller
// responded.
const fromSelf = "self"

// tryLocal calls the local controller. Its error is marked ErrNotLeader if the call must
// go to another instance.
func tryLocal[Request, Reply any](ctx context.Context, o *Operations, request *Request,
	callLocal func(*control.Controller, context.Context, *Request) (Reply, error)) (Reply, error) {
	c := o.localController.Load()
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

// withFlow makes calls to the leader carry the flow of a principal, by which the gate of the leader divides its
// capacity. Calls without a key carry none, nor do calls while load control is off.
func (o *Operations) withFlow(ctx context.Context, p control.Principal) context.Context {
	if o.loadControl == nil || p.Key == nil {
		return ctx
	}
	return link.WithFlow(ctx, xxhash.Sum64(p.Key[:]))
}

// Admit decides about a submission before its body is read. An error means that nothing was done. Otherwise
// done must be called when the call has ended; it is nil if load control is off.
func (o *Operations) Admit(p control.Principal, address control.JobAddress) (done func(), err error) {
	if o.loadControl == nil {
		return nil, nil
	}
	return o.loadControl.admit(p, address, o.gateway.InContact())
}

// Submit submits a job. It fails immediately if the leader can't be reached.
func (o *Operations) Submit(ctx context.Context, r *control.SubmitCall) (reply control.SubmitReply, err error) {
	receivedAt := time.Now()
	defer func() {
		if err = o.loadControl.recordSubmission(r, err); err == nil {
			_ = o.logger.Log("event", "request", "method", http.MethodPost, "path", r.Address.Path, "outcome", "accepted", "ms", time.Since(receivedAt).Milliseconds())
		}
	}()
	ctx = o.withFlow(ctx, r.Principal)
	if !o.gateway.InContact() {
		return control.SubmitReply{}, fault.Retry(fault.Unavailable, gateway.RetryAfter, "no leader is reached")
	}
	err = o.forPrincipal(r.Principal, func() error {
		r.AlikeSince = o.gateway.AlikeSince(receivedAt)
		reply, err = callForCaller(ctx, o, receivedAt, control.MethodSubmit, r, (*control.Controller).Submit)
		return err
	})
	return reply, err
}

// State returns the state of a job or a queue. The state of an ended job comes from any
// core instance, that of other jobs from the leader.
func (o *Operations) State(ctx context.Context, r *control.StateCall) (reply control.StateReply, err error) {
	receivedAt := time.Now()
	ctx = o.withFlow(ctx, r.Principal)
	defer func() {
		if err == nil && reply.Phase.Ended() {
			_ = o.logger.Log("event", "request", "method", http.MethodGet, "path", r.Address.Path, "outcome", reply.Phase)
		}
	}()
	err = o.forPrincipal(r.Principal, func() error {
		if phase, known := o.endedPhase(ctx, receivedAt, r); known {
			reply = control.StateReply{Phase: phase}
			return nil
		}
		reply, err = callForCaller(ctx, o, receivedAt, control.MethodState, r, (*control.Controller).State)
		return err
	})
	return reply, o.loadControl.countRefusal(err)
}

// endedPhase returns the phase of a job if it is known to have ended.
func (o *Operations) endedPhase(ctx context.Context, receivedAt time.Time, r *control.StateCall) (workflow.Phase, bool) {
	c := o.localController.Load()
	if c == nil {
		return o.gateway.EndedJobPhase(ctx, receivedAt, r)
	}
	if !o.gateway.Informed() {
		return 0, false
	}
	recorderCtx, recorder := link.WithVersionRecorder(ctx)
	reply, err := c.Ended(recorderCtx, &control.EndedCall{Address: r.Address, Version: o.gateway.Version(), Principal: r.Principal})
	known := err == nil && reply.Known && o.checkVersionOrder(receivedAt, control.MethodState, recorder.Versions(), nil) == nil
	return reply.Phase, known
}

// Cancel cancels a job.
func (o *Operations) Cancel(ctx context.Context, r *control.CancelCall) error {
	receivedAt := time.Now()
	ctx = o.withFlow(ctx, r.Principal)
	err := o.forPrincipal(r.Principal, func() error {
		r.AlikeSince = o.gateway.AlikeSince(receivedAt)
		_, err := callForCaller(ctx, o, receivedAt, control.MethodCancel, r, (*control.Controller).Cancel)
		return err
	})
	return o.loadControl.countRefusal(err)
}

// Announce forwards a worker's heartbeat to the leader. The local controller itself
// acknowledges a heartbeat that reports nothing new.
func (o *Operations) Announce(ctx context.Context, r *control.Announcement) (control.AnnouncementReply, error) {
	if c := o.localController.Load(); c != nil {
		if reply, ok := c.AcknowledgeHeartbeat(r); ok {
			return reply, nil
		}
	}
	return call(ctx, o, control.MethodAnnounce, r, (*control.Controller).Announce)
}

// Leave forwards a worker's announcement that it shuts down to the leader, until the leader
// confirms it. While runs of the worker are ending, it fails with kind Unavailable once ctx ends.
func (o *Operations) Leave(ctx context.Context, r *control.LeaveCall) error {
	for {
		reply, err := call(ctx, o, control.MethodLeave, r, (*control.Controller).Leave)
		switch {
		case err != nil || !reply.RunsEnding:
			return err
		case ctx.Err() != nil:
			return fault.New(fault.Unavailable, "runs of the worker are ending")
		}
	}
}

// Configure submits a configuration.
func (o *Operations) Configure(ctx context.Context, r *control.ConfigureCall) error {
	_, err := call(ctx, o, control.MethodConfigure, r, (*control.Controller).Configure)
	return err
}

// Explain returns the progress of a job and why its steps wait.
func (o *Operations) Explain(ctx context.Context, r *control.ExplainCall) (control.ExplainReply, error) {
	return call(ctx, o, control.MethodExplain, r, (*control.Controller).Explain)
}

// Customers returns the figures of all customers.
func (o *Operations) Customers(ctx context.Context) (control.CustomersReply, error) {
	return call(ctx, o, control.MethodCustomers, &control.Empty{}, (*control.Controller).Customers)
}

// StartWave starts a maintenance wave.
func (o *Operations) StartWave(ctx context.Context, r *control.WaveCall) error {
	_, err := call(ctx, o, control.MethodStartWave, r, (*control.Controller).StartWave)
	return err
}

// WaveState returns the progress of a maintenance wave.
func (o *Operations) WaveState(ctx context.Context, r *control.WaveStateCall) (control.WaveStateReply, error) {
	return call(ctx, o, control.MethodWaveState, r, (*control.Controller).WaveState)
}

// Configuration returns the newest configuration.
func (o *Operations) Configuration(ctx context.Context) (control.ConfigurationReply, error) {
	return call(ctx, o, control.MethodConfiguration, &control.Empty{}, (*control.Controller).Configuration)
}
