// Package link makes calls between the system's own processes: one POST request per
// call, with CBOR bodies, over persistent HTTP/1.1 connections. A call that gets no
// response in time closes its connection, so a dead connection costs only one call.
package link

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryferry/bilberryferry/codec"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/descriptors"
)

const (
	// dialTimeout bounds the opening of a connection. A round trip within a region
	// takes a few milliseconds, and the operating system resends a lost first packet
	// only after 1 s.
	dialTimeout = 500 * time.Millisecond
	// maxBodyBytes bounds the body of a request or response. The longest request has a configuration of 8 MiB and its
	// parsed form.
	maxBodyBytes = 20 << 20
	// maxIdlePerHost is the number of idle connections kept open per host: the usual
	// number of concurrent calls.
	maxIdlePerHost = 16
	idleTimeout    = 30 * time.Second
	pathPrefix     = "/link/"
	contentType    = "application/cbor"
)

// ErrUnsent marks the error of a call that can't have reached the server, because no
// connection was opened.
var ErrUnsent = errors.New("not sent")

// ErrNotLeader marks the error of a call to an instance that isn't the leader and did
// nothing. LeaderOf returns the leader that the error names.
var ErrNotLeader = errors.New("not the leader")

// Client makes calls. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// version is the highest configuration version that a response has named.
	version atomic.Uint64
}

// Version returns the highest configuration version that a response to this client has
// named, 0 for none.
func (c *Client) Version() uint64 { return c.version.Load() }

// raiseVersion records a version if it is the highest so far.
func (c *Client) raiseVersion(version uint64) {
	for {
		current := c.version.Load()
		if version <= current || c.version.CompareAndSwap(current, version) {
			return
		}
	}
}

// NewClient returns a client that opens at most limit connections.
func NewClient(limit int) *Client {
	connections := descriptors.NewOutboundLimiter(limit, dialTimeout)
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         connections.DialContext,
		MaxIdleConns:        connections.MaxIdle(),
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}}
}

// envelope is the body of every response.
type envelope struct {
	Kind       fault.Kind      `cbor:"1,keyasint,omitempty"`
	Failed     bool            `cbor:"2,keyasint,omitempty"`
	Message    string          `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration   `cbor:"4,keyasint,omitempty"`
	NotLeader  bool            `cbor:"5,keyasint,omitempty"`
	Leader     string          `cbor:"6,keyasint,omitempty"`
	Value      cbor.RawMessage `cbor:"7,keyasint,omitempty"`
	// Version is the configuration version that was in force where the call was served, 0
	// if the server names none. Oldest is the oldest version with the same response.
	Version uint64 `cbor:"8,keyasint,omitempty"`
	Oldest  uint64 `cbor:"9,keyasint,omitempty"`
}

// Call calls a method of the server at address and decodes the value of the response into
// reply. An error marked ErrUnsent or ErrNotLeader means that nothing was done. Errors have
// a kind of package fault, unless the request can't be encoded or the value can't be
// decoded.
func (c *Client) Call(ctx context.Context, address, method string, request, reply any) error {
	_, err := c.CallVersioned(ctx, address, method, request, reply)
	return err
}

// CallVersioned is Call, and also returns the configuration versions that the response
// names, even if the call was refused.
func (c *Client) CallVersioned(ctx context.Context, address, method string, request, reply any) (Versions, error) {
	e, err := c.exchange(ctx, address, method, request)
	if err != nil {
		return Versions{}, err
	}
	c.raiseVersion(e.Version)
	versions := Versions{Oldest: e.Oldest, Newest: e.Version}
	if e.Failed {
		return versions, e.err()
	}
	return versions, errors.Wrapf(codec.UnmarshalMessage(e.Value, reply), "decode the response of %s", method)
}

// exchange sends a call and reads the body of the response.
func (c *Client) exchange(ctx context.Context, address, method string, request any) (envelope, error) {
	var e envelope
	body, err := codec.Marshal(request)
	if err != nil {
		return e, errors.Wrapf(err, "encode a call of %s", method)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathPrefix+method, bytes.NewReader(body))
	if err != nil {
		return e, errors.Wrapf(err, "call %s", method)
	}
	r.Header.Set("Content-Type", contentType)
	setRequestFlow(r)
	response, err := c.http.Do(r)
	if err != nil {
		return e, callError(method, err)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return e, fault.New(fault.Unknown, "%s: the response is incomplete: %v", method, err)
	}
	if err := codec.UnmarshalMessage(responseBody, &e); err != nil {
		return e, fault.New(fault.Unknown, "%s: the response with status %d can't be decoded: %v", method, response.StatusCode, err)
	}
	return e, nil
}

// callError converts an error of the HTTP client. If the connection wasn't opened, the
// error is marked ErrUnsent and of kind Unavailable, and otherwise of kind Unknown.
func callError(method string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Mark(fault.New(fault.Unavailable, "%s: %v", method, err), ErrUnsent)
	}
	return fault.New(fault.Unknown, "%s: no response: %v", method, err)
}

// err returns the error that the response of a failed call carries.
func (e *envelope) err() error {
	err := errors.WithStack(&fault.Error{Kind: e.Kind, Message: e.Message, RetryAfter: e.RetryAfter})
	if e.NotLeader {
		return errors.Mark(&notLeaderError{leader: e.Leader, cause: err}, ErrNotLeader)
	}
	return err
}

// notLeaderError is the error of an instance that isn't the leader. leader is the address
// of the leader, empty if unknown.
type notLeaderError struct {
	leader string
	cause  error
}

func (e *notLeaderError) Error() string { return e.cause.Error() }
func (e *notLeaderError) Unwrap() error { return e.cause }

// NotLeader returns the error of an instance that isn't the leader. leader is the address
// of the leader, empty if unknown.
func NotLeader(leader string) error {
	return errors.Mark(&notLeaderError{leader: leader, cause: fault.New(fault.Unavailable, "not the leader")}, ErrNotLeader)
}

// LeaderOf returns the leader's address that an error names, empty for none.
func LeaderOf(err error) string {
	var e *notLeaderError
	if errors.As(err, &e) {
		return e.leader
	}
	return ""
}

// Gate decides which calls are served, wait or are refused.
type Gate interface {
	// Arrive decides on a call of a method and a flow, 0 for none. An error refuses the call. Otherwise done must be called after the
	// call has been served. If wait isn't nil, the call may be served only after wait has returned nil; if wait
	// returns an error, the call is refused and done must not be called.
	Arrive(method string, flow uint64) (wait func(context.Context) error, done func(), err error)
}

// Mux serves calls by method.
type Mux struct {
	http *http.ServeMux
	// gate is nil until SetGate is called.
	gate atomic.Pointer[Gate]
	// version is nil until SetVersion is called.
	version atomic.Pointer[func() uint64]
	// recorder is nil until SetRecorder is called.
	recorder atomic.Pointer[Recorder]
}

// Recorder is told of each call that was served or refused: how long that took, and whether its caller had
// disconnected by then, so that nobody gets the response.
type Recorder func(method string, took time.Duration, abandoned bool)

// NewMux returns a Mux without methods. It responds to calls of other methods as an instance that
// isn't the leader does: an instance that is still starting doesn't serve all methods, and did
// nothing.
func NewMux() *Mux {
	m := &Mux{http: http.NewServeMux()}
	m.http.HandleFunc(pathPrefix, func(w http.ResponseWriter, _ *http.Request) {
		writeResponse(w, errorEnvelope(NotLeader("")))
	})
	return m
}

// SetVersion makes each response name configuration versions: those recorded with
// RecordVersions while the call was served, or else the result of version from before the
// call was served. That result is never newer than the version with which the call was
// served.
func (m *Mux) SetVersion(version func() uint64) { m.version.Store(&version) }

// SetGate makes m ask gate about each call after the header of its request was read and before the body is.
// Requests of a pattern passed to HandleHTTP don't pass the gate.
func (m *Mux) SetGate(gate Gate) { m.gate.Store(&gate) }

// SetRecorder makes m tell recorder of each call.
func (m *Mux) SetRecorder(recorder Recorder) { m.recorder.Store(&recorder) }

// record tells the recorder of a call that began at start.
func (m *Mux) record(r *http.Request, method string, start time.Time) {
	if recorder := m.recorder.Load(); recorder != nil {
		(*recorder)(method, time.Since(start), r.Context().Err() != nil)
	}
}

func (m *Mux) currentVersion() uint64 {
	if version := m.version.Load(); version != nil {
		return (*version)()
	}
	return 0
}

// ServeHTTP serves a call, or a request of a pattern passed to HandleHTTP.
func (m *Mux) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.http.ServeHTTP(w, r) }

// HandleHTTP serves requests that aren't calls and match an http.ServeMux pattern.
func (m *Mux) HandleHTTP(pattern string, handler http.Handler) { m.http.Handle(pattern, handler) }

// Handle makes m serve the calls of a method with serve.
func Handle[Request, Reply any](m *Mux, method string, serve func(context.Context, *Request) (Reply, error)) {
	m.http.HandleFunc("POST "+pathPrefix+method, func(w http.ResponseWriter, r *http.Request) {
		defer m.record(r, method, time.Now())
		done, err := m.enter(w, r, method)
		if err != nil {
			// The server discards a body of up to 256 KB and keeps the connection open, which takes less time
			// than opening another one. It closes the connection if the body is longer.
			writeResponse(w, errorEnvelope(err))
			return
		}
		done = sync.OnceFunc(done)
		defer done()
		version := m.currentVersion()
		ctx, recorder := WithVersionRecorder(context.WithValue(r.Context(), gateDoneKey{}, done))
		e := m.serveRequest(ctx, w, r, func(ctx context.Context, body []byte) envelope { return serveBody(ctx, body, serve) })
		versions := cmp.Or(recorder.Versions(), Versions{Oldest: version, Newest: version})
		e.Version, e.Oldest = versions.Newest, versions.Oldest
		writeResponse(w, e)
	})
}

const (
	// bodyTimeout bounds how long the body of a call may take if m has a gate, so that a caller that stops
	// sending doesn't keep others from being served. A gateway gives up a try after 900 ms.
	bodyTimeout = time.Second
	// maxWaitingBody bounds the body that is read while a call waits. Nearly all calls are smaller.
	maxWaitingBody = 64 << 10
)

// enter asks the gate about a call. If err is nil, the call may be served, and done must be called afterwards.
func (m *Mux) enter(w http.ResponseWriter, r *http.Request, method string) (done func(), err error) {
	gate := m.gate.Load()
	if gate == nil {
		return func() {}, nil
	}
	wait, done, err := (*gate).Arrive(method, requestFlow(r))
	setBodyDeadline(w)
	if err != nil || wait == nil {
		return done, err
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if !prefetchBody(r) {
		cancel()
	}
	// The deadline must not expire while the call waits: that would end the context of the request.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	if err := wait(ctx); err != nil {
		return nil, err
	}
	setBodyDeadline(w)
	return done, nil
}

// gateDoneKey is the key of the context value that ends the place of a call at the gate.
type gateDoneKey struct{}

// LeaveGate ends the place at the gate of the call that ctx belongs to. A call that goes on to wait for something
// other than the processor calls it, so that it doesn't keep others from being served.
func LeaveGate(ctx context.Context) {
	if done, ok := ctx.Value(gateDoneKey{}).(func()); ok {
		done()
	}
}

// setBodyDeadline makes reading the body fail after bodyTimeout.
func setBodyDeadline(w http.ResponseWriter) {
	// A writer that isn't that of a server can't set deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
}

// prefetchBody reads the body of a request into memory, up to maxWaitingBody, without decoding it. It returns
// false if the body can't be read. The server notices that the caller has disconnected only after the whole
// body was read, so the call would otherwise go on waiting.
func prefetchBody(r *http.Request) bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxWaitingBody))
	r.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(body), r.Body), r.Body}
	return err == nil
}

// serveRequest reads the body of a request, serves it, and returns the body of the response.
func (m *Mux) serveRequest(ctx context.Context, w http.ResponseWriter, r *http.Request, serve func(context.Context, []byte) envelope) envelope {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return errorEnvelope(fault.New(fault.Unavailable, "the call can't be read: %v", err))
	}
	if len(body) > maxBodyBytes {
		return errorEnvelope(fault.New(fault.Unavailable, "the call is longer than %d bytes", maxBodyBytes))
	}
	if m.gate.Load() != nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	return serve(ctx, body)
}

// serveBody decodes the body of a request, serves it, and returns the body of the response.
func serveBody[Request, Reply any](ctx context.Context, body []byte, serve func(context.Context, *Request) (Reply, error)) envelope {
	request := new(Request)
	if err := codec.UnmarshalMessage(body, request); err != nil {
		return errorEnvelope(fault.Field("body", "%v", err))
	}
	reply, err := serve(ctx, request)
	if err != nil {
		return errorEnvelope(err)
	}
	value, err := codec.Marshal(reply)
	if err != nil {
		return errorEnvelope(fault.New(fault.Internal, "encode the response: %v", err))
	}
	return envelope{Value: value}
}

// errorEnvelope returns the body of the response for an error.
func errorEnvelope(err error) envelope {
	e := envelope{Failed: true, Kind: fault.Internal, Message: err.Error()}
	var f *fault.Error
	if errors.As(err, &f) {
		e.Kind, e.Message, e.RetryAfter = f.Kind, f.Message, f.RetryAfter
	}
	if errors.Is(err, ErrNotLeader) {
		e.NotLeader, e.Leader = true, LeaderOf(err)
	}
	return e
}

// writeResponse writes a response with e as its body.
func writeResponse(w http.ResponseWriter, e envelope) {
	w.Header().Set("Content-Type", contentType)
	body, err := codec.Marshal(&e)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// A write error means that the caller has disconnected.
	_, _ = w.Write(body)
}
