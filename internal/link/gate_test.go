package link

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
)

// fakeGate decides as its fields say.
type fakeGate struct {
	refuse atomic.Bool
	// wait is nil if calls needn't wait.
	wait func(context.Context) error
	// served gets the method of each call that is done.
	served chan string
	// flow is that of the last call.
	flow atomic.Uint64
}

func (g *fakeGate) Arrive(method string, flow uint64) (func(context.Context) error, func(), error) {
	g.flow.Store(flow)
	if g.refuse.Load() {
		return nil, nil, fault.Retry(fault.Overloaded, 1e9, "too many calls")
	}
	return g.wait, func() { g.served <- method }, nil
}

// countedRequest counts how often a body is decoded.
type countedRequest struct{}

var decoded atomic.Int64

func (*countedRequest) UnmarshalCBOR([]byte) error {
	decoded.Add(1)
	return nil
}

// serveGated serves the method "m" behind a gate. It returns the address and the number of connections opened.
func serveGated(t *testing.T, gate Gate) (address string, opened *atomic.Int64) {
	mux := NewMux()
	mux.SetGate(gate)
	Handle(mux, "m", func(context.Context, *countedRequest) (string, error) { return "reply", nil })
	opened = &atomic.Int64{}
	server := httptest.NewUnstartedServer(mux)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), opened
}

// Guards against refusals that cost the leader the decoding of the call or a new connection, and against
// connections on which later calls fail.
func TestRefusedCallIsNotDecodedAndKeepsConnection(t *testing.T) {
	gate := &fakeGate{served: make(chan string, 1)}
	address, opened := serveGated(t, gate)
	client := NewClient(maxConnections)
	decoded.Store(0)
	for _, size := range []int{10, 200 << 10} {
		gate.refuse.Store(true)
		err := client.Call(t.Context(), address, "m", make([]byte, size), nil)
		must.Eq(t, fault.Overloaded, fault.KindOf(err))
		must.Eq(t, 1e9, fault.From(err).RetryAfter)
		must.Eq(t, 0, decoded.Load())
	}
	gate.refuse.Store(false)
	var reply string
	must.NoError(t, client.Call(t.Context(), address, "m", "request", &reply))
	must.Eq(t, "reply", reply)
	must.Eq(t, "m", <-gate.served)
	must.Eq(t, 1, decoded.Load())
	must.Eq(t, 1, opened.Load())
}

// Guards against a call with a long body that loses a part of the body while it waits, and against a call that gives up
// its place before it has been served.
func TestWaitingCallKeepsItsBodyAndItsPlace(t *testing.T) {
	for _, size := range []int{10, maxWaitingBody, 3 * maxWaitingBody} {
		gate := &fakeGate{wait: func(context.Context) error { return nil }, served: make(chan string, 1)}
		mux := NewMux()
		mux.SetGate(gate)
		Handle(mux, "length", func(_ context.Context, body *[]byte) (int, error) {
			must.Zero(t, len(gate.served))
			return len(*body), nil
		})
		server := httptest.NewServer(mux)
		var length int
		must.NoError(t, NewClient(maxConnections).Call(t.Context(), strings.TrimPrefix(server.URL, "http://"), "length", make([]byte, size), &length))
		must.Eq(t, size, length)
		must.Eq(t, "length", <-gate.served)
		server.Close()
	}
}

// Guards against calls that go on waiting after their callers have disconnected. The server doesn't notice that
// before the body is read.
func TestWaitEndsWhenCallerDisconnects(t *testing.T) {
	waiting, left := make(chan struct{}), make(chan error, 1)
	gate := &fakeGate{wait: func(ctx context.Context) error {
		close(waiting)
		<-ctx.Done()
		left <- ctx.Err()
		return ctx.Err()
	}}
	address, _ := serveGated(t, gate)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-waiting
		cancel()
	}()
	must.Error(t, NewClient(maxConnections).Call(ctx, address, "m", "request", nil))
	must.ErrorIs(t, <-left, context.Canceled)
}

// Guards against a caller that stops sending in the middle of a call and keeps its place in service.
func TestStalledCallReleasesItsPlace(t *testing.T) {
	gate := &fakeGate{served: make(chan string, 1)}
	address, _ := serveGated(t, gate)
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "POST /link/m HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\npart")
	must.NoError(t, err)
	must.Eq(t, "m", <-gate.served)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.True(t, response.Close)
	must.NoError(t, response.Body.Close())
}

// Guards against a waiting call that is served although the gate has refused it.
func TestCallRefusedAfterWaitIsNotServed(t *testing.T) {
	gate := &fakeGate{wait: func(context.Context) error { return errors.WithStack(&fault.Error{Kind: fault.Overloaded}) }}
	address, _ := serveGated(t, gate)
	decoded.Store(0)
	err := NewClient(maxConnections).Call(t.Context(), address, "m", "request", nil)
	must.Eq(t, fault.Overloaded, fault.KindOf(err))
	must.Eq(t, 0, decoded.Load())
}

// Guards against a gate that can't tell the callers of calls apart, that takes a call without a flow, or with an
// invalid one, for one of another flow, and against flows in errors.
func TestFlowArrivesAtGate(t *testing.T) {
	gate := &fakeGate{}
	gate.refuse.Store(true)
	address, _ := serveGated(t, gate)
	client := NewClient(maxConnections)
	for _, flow := range []uint64{1, 0, 0xfedcba9876543210, 1<<64 - 1} {
		err := client.Call(WithFlow(t.Context(), flow), address, "m", "request", nil)
		must.Eq(t, fault.Overloaded, fault.KindOf(err))
		must.Eq(t, flow, gate.flow.Load())
		must.StrNotContains(t, fmt.Sprintf("%+v", err), "fedcba9876543210")
	}
	must.Error(t, client.Call(t.Context(), address, "m", "request", nil))
	must.Zero(t, gate.flow.Load())
	for _, header := range []string{"", "x", "-1", "10000000000000000"} {
		gate.flow.Store(1)
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+pathPrefix+"m", http.NoBody)
		must.NoError(t, err)
		r.Header.Set(flowHeader, header)
		response, err := http.DefaultClient.Do(r)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		must.Zero(t, gate.flow.Load(), must.Sprint(header))
	}
}
