package instance

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/customer"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/gateway"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/oplog"
)

// flowGate serves every call and records the flow of the last call of each method.
type flowGate struct {
	mu    sync.Mutex
	flows map[string]uint64
}

func (g *flowGate) Arrive(method string, flow uint64) (func(context.Context) error, func(), error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.flows[method] = flow
	return nil, func() {}, nil
}

// take returns the recorded flows and forgets them.
func (g *flowGate) take() map[string]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	flows := g.flows
	g.flows = map[string]uint64{}
	return flows
}

// newFlowOperations returns operations with load control off that are in contact with a leader, and the gate of
// that leader.
func newFlowOperations(t *testing.T) (*Operations, *flowGate) {
	gate := &flowGate{flows: map[string]uint64{}}
	mux := link.NewMux()
	mux.SetGate(gate)
	link.Handle(mux, control.MethodSubmit, func(context.Context, *control.SubmitCall) (control.SubmitReply, error) {
		return control.SubmitReply{}, nil
	})
	link.Handle(mux, control.MethodState, func(context.Context, *control.StateCall) (control.StateReply, error) {
		return control.StateReply{}, nil
	})
	link.Handle(mux, control.MethodCancel, func(context.Context, *control.CancelCall) (control.Empty, error) {
		return control.Empty{}, nil
	})
	link.Handle(mux, control.MethodConfiguration, func(context.Context, *control.Empty) (control.ConfigurationReply, error) {
		return control.ConfigurationReply{}, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	o := newOperations(gateway.New(link.NewClient(testMaxSubmissions), "own", []string{strings.TrimPrefix(server.URL, "http://")}, log.NewNopLogger()), log.NewNopLogger())
	_, err := o.Configuration(t.Context())
	must.NoError(t, err)
	gate.take()
	return o, gate
}

// callAll makes the calls of a caller that carry its flow.
func callAll(t *testing.T, o *Operations, p control.Principal) {
	address := control.JobAddress{Host: "h", Path: "/q/1"}
	_, err := o.Submit(t.Context(), &control.SubmitCall{Address: address, Principal: p})
	must.NoError(t, err)
	_, err = o.State(t.Context(), &control.StateCall{Address: address, Principal: p})
	must.NoError(t, err)
	must.NoError(t, o.Cancel(t.Context(), &control.CancelCall{Address: address, Principal: p}))
}

// Guards against callers whom the gate of the leader can't tell apart, and against calls that change while load
// control is off.
func TestCallsCarryTheFlowOfTheirCaller(t *testing.T) {
	o, gate := newFlowOperations(t)
	key := customer.DigestOf("k")
	callAll(t, o, control.Principal{Key: &key})
	must.Eq(t, map[string]uint64{control.MethodSubmit: 0, control.MethodState: 0, control.MethodCancel: 0}, gate.take())

	o.loadControl = newLoadControl(testMaxSubmissions, oplog.NewMetrics(), log.NewNopLogger())
	flow := xxhash.Sum64(key[:])
	callAll(t, o, control.Principal{Key: &key})
	must.Eq(t, map[string]uint64{control.MethodSubmit: flow, control.MethodState: flow, control.MethodCancel: flow}, gate.take())
	callAll(t, o, control.Principal{})
	must.Eq(t, map[string]uint64{control.MethodSubmit: 0, control.MethodState: 0, control.MethodCancel: 0}, gate.take())
}
