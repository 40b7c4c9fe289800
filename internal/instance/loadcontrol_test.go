package instance

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/customer"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/descriptors"
	"github.com/bilberryferry/bilberryferry/internal/gateway"
	"github.com/bilberryferry/bilberryferry/internal/ingress"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/oplog"
)

const testMaxSubmissions = 8

// submission returns a submission of a job with a key.
func submission(key, path string) *control.SubmitCall {
	digest := customer.DigestOf(key)
	return &control.SubmitCall{Address: control.JobAddress{Host: "h", Path: path}, Principal: control.Principal{Key: &digest}}
}

// newEdgeOperations returns the operations of an edge instance whose leader responds to submissions with
// the error of respond, and the log lines.
func newEdgeOperations(t *testing.T, respond func() error) (*Operations, *bytes.Buffer) {
	mux := link.NewMux()
	link.Handle(mux, control.MethodSubmit, func(context.Context, *control.SubmitCall) (control.SubmitReply, error) {
		return control.SubmitReply{}, respond()
	})
	link.Handle(mux, control.MethodConfiguration, func(context.Context, *control.Empty) (control.ConfigurationReply, error) {
		return control.ConfigurationReply{}, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	lines := &bytes.Buffer{}
	g := gateway.New(link.NewClient(testMaxSubmissions), "own", []string{strings.TrimPrefix(server.URL, "http://")}, log.NewNopLogger())
	o := newOperations(g, log.NewNopLogger())
	o.loadControl = newLoadControl(testMaxSubmissions, oplog.NewMetrics(), log.NewLogfmtLogger(lines))
	return o, lines
}

// submitOnce passes a submission through Admit and Submit, as the entry handler does.
func submitOnce(t *testing.T, o *Operations, call *control.SubmitCall) error {
	done, err := o.Admit(call.Principal, call.Address)
	if err != nil {
		return err
	}
	if done != nil {
		defer done()
	}
	_, err = o.Submit(t.Context(), call)
	return err
}

// Guards against calls that are read and held while the instance is cut off from the leader, and against an
// instance that goes on refusing after it is back.
func TestInstanceThatWasCutOffAdmitsAgain(t *testing.T) {
	o, _ := newEdgeOperations(t, func() error { return nil })
	call := submission("k", "/q/1")
	must.Eq(t, fault.Unavailable, fault.KindOf(submitOnce(t, o, call)))
	_, err := o.Configuration(t.Context())
	must.NoError(t, err)
	must.NoError(t, submitOnce(t, o, call))
	must.Zero(t, o.loadControl.inFlight.Total())
}

// Guards against a caller whose refused calls go on taking the leader's time, and against calls of another
// caller, or to another queue, that are refused with them.
func TestRefusalsOfTheLeaderThrottleOneCallerAndQueue(t *testing.T) {
	var response atomic.Value
	response.Store(fault.New(fault.Conflict, "the ID is taken"))
	var served atomic.Int64
	o, _ := newEdgeOperations(t, func() error {
		served.Add(1)
		return response.Load().(error)
	})
	_, err := o.Configuration(t.Context())
	must.NoError(t, err)
	const calls = 60
	for range calls {
		must.Eq(t, fault.Conflict, fault.KindOf(submitOnce(t, o, submission("k", "/q/1"))))
	}
	must.Eq(t, calls, served.Load())
	response.Store(fault.Retry(fault.Overloaded, 7*time.Second, "full"))
	local := 0
	for range 10 * calls {
		err := fault.From(submitOnce(t, o, submission("k", "/q/2")))
		must.Eq(t, fault.Overloaded, err.Kind)
		if err.RetryAfter != 7*time.Second {
			must.Between(t, time.Second, err.RetryAfter, 2*time.Second)
			local++
		}
	}
	must.Positive(t, local)
	for _, other := range []*control.SubmitCall{submission("l", "/q/1"), submission("k", "/r/1")} {
		must.Eq(t, 7*time.Second, fault.From(submitOnce(t, o, other)).RetryAfter)
	}
}

// Guards against one caller that holds all places of an instance, and against places that aren't returned.
func TestSubmissionsInProgressAreBounded(t *testing.T) {
	l := newLoadControl(testMaxSubmissions, oplog.NewMetrics(), log.NewNopLogger())
	begin := func(key string) (func(), error) {
		call := submission(key, "/q/1")
		return l.admit(call.Principal, call.Address, true)
	}
	var ends []func()
	for range testMaxSubmissions * 3 / 4 {
		done, err := begin("k")
		must.NoError(t, err)
		ends = append(ends, done)
	}
	_, err := begin("k")
	must.Eq(t, fault.Overloaded, fault.KindOf(err))
	must.Eq(t, inFlightRetryAfter, fault.From(err).RetryAfter)
	done, err := begin("l")
	must.NoError(t, err)
	for _, end := range append(ends, done) {
		end()
	}
	must.Zero(t, l.inFlight.Total())
}

// Guards against a log line for each refused call, and against keys or digests in the line that sums up.
func TestRefusalsAreSummedUpInOneLine(t *testing.T) {
	o, lines := newEdgeOperations(t, func() error { return nil })
	uncounted := 0
	for range 1000 {
		if !ingress.IsCounted(submitOnce(t, o, submission("k", "/q/1"))) {
			uncounted++
		}
	}
	must.Eq(t, maxRefusalLines, uncounted)
	ctx, cancel := context.WithTimeout(t.Context(), refusalLogInterval*5/2)
	defer cancel()
	must.NoError(t, o.loadControl.logRefusals(ctx))
	must.Eq(t, "event=ingress refused_here=0 refused_in_flight=0 refused_by_leader=0 unavailable=1000 in_progress=0\n", lines.String())
}

// Guards against a change of behaviour where load control is off.
func TestNothingIsRefusedHereWithoutLoadControl(t *testing.T) {
	o, _ := newEdgeOperations(t, func() error { return fault.New(fault.Overloaded, "full") })
	o.loadControl = nil
	must.NoError(t, o.loadControl.logRefusals(t.Context()))
	_, err := o.Configuration(t.Context())
	must.NoError(t, err)
	for range 50 {
		err := submitOnce(t, o, submission("k", "/q/1"))
		must.Eq(t, fault.Overloaded, fault.KindOf(err))
		must.Zero(t, fault.From(err).RetryAfter)
		must.False(t, ingress.IsCounted(err))
	}
}

// Guards against one caller that takes all connections to the leader: they bound submissions as the memory
// does.
func TestMaxSubmissionsFollowsMemoryAndConnections(t *testing.T) {
	s := &Settings{MemoryMB: 144}
	must.Eq(t, 288, s.maxSubmissions(descriptors.Budget{ToInstances: 1000}))
	must.Eq(t, 30, s.maxSubmissions(descriptors.Budget{ToInstances: 30}))
}
