package cli

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
)

const (
	// dialTimeout bounds the time to connect to an entry instance.
	dialTimeout = 2 * time.Second
	// attemptTimeout bounds one call to one entry instance, so that an unresponsive
	// instance doesn't use up the time for the others.
	attemptTimeout = 8 * time.Second
	// maxResponseBytes bounds the size of a response body.
	maxResponseBytes = 64 << 20
)

// endpoint is one entry instance with a client for each service.
type endpoint struct {
	address    string
	scheduler  apiv1.Scheduler
	operations apiv1.Operations
	workflows  apiv1.Workflows
}

// client calls the entry instances one after the other until one responds.
type client struct {
	endpoints []*endpoint
}

// newClient returns a client for the entry addresses. It speaks HTTP/2 without TLS.
func newClient(entries []string, token string) *client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols:       protocols,
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:    len(entries),
		IdleConnTimeout: time.Minute,
	}
	httpClient := &http.Client{
		Transport: &bearerTransport{base: transport, token: token},
		// Following a redirect would send the token to another server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	c := &client{}
	for _, entry := range entries {
		base := "http://" + entry
		c.endpoints = append(c.endpoints, &endpoint{
			address:    entry,
			scheduler:  apiv1.NewSchedulerProtobufClient(base, httpClient),
			operations: apiv1.NewOperationsProtobufClient(base, httpClient),
			workflows:  apiv1.NewWorkflowsProtobufClient(base, httpClient),
		})
	}
	return c
}

// bearerTransport adds the bearer token to requests and bounds response bodies.
type bearerTransport struct {
	base  http.RoundTripper
	token string
}

// RoundTrip implements http.RoundTripper.
func (t *bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+t.token)
	response, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = &boundedBody{Reader: io.LimitReader(response.Body, maxResponseBytes), Closer: response.Body}
	return response, nil
}

// boundedBody is a response body of bounded size.
type boundedBody struct {
	io.Reader
	io.Closer
}

// call sends a call to one entry instance after the other until one returns a
// result or an error other than Unavailable. Unavailable means that the outcome of
// the call is unknown, so the next instance gets the same message with the same
// request id. The instance that responded is called first next time. When no instance
// responds, the error is Unavailable and lists the cause at each instance.
func call[Req, Resp any](ctx context.Context, c *client, timeout time.Duration, request Req, method func(*endpoint) func(context.Context, Req) (Resp, error)) (Resp, error) {
	var none Resp
	var causes []string
	for i, e := range c.endpoints {
		response, err := callOne(ctx, timeout, method(e), request)
		if err == nil {
			c.moveToFront(i)
			return response, nil
		}
		f := fault.From(err)
		if f.Kind != fault.Unavailable {
			c.moveToFront(i)
			return none, f
		}
		causes = append(causes, e.address+": "+rootCause(f.Message))
		if ctx.Err() != nil {
			break
		}
	}
	return none, &fault.Error{Kind: fault.Unavailable, Message: strings.Join(causes, "; ")}
}

// callOne sends a call to one entry instance and waits at most for timeout.
func callOne[Req, Resp any](ctx context.Context, timeout time.Duration, method func(context.Context, Req) (Resp, error), request Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return method(ctx, request)
}

// moveToFront moves endpoint i to the front, so that later calls try it first.
func (c *client) moveToFront(i int) {
	chosen := c.endpoints[i]
	copy(c.endpoints[1:i+1], c.endpoints[:i])
	c.endpoints[0] = chosen
}

// rootCause returns a transport error's message without the prefixes of HTTP and twirp, or
// "no response in time" for a timeout.
func rootCause(message string) string {
	for _, marker := range []string{"failed to do request: ", "connect: "} {
		if i := strings.LastIndex(message, marker); i >= 0 {
			message = message[i+len(marker):]
		}
	}
	if strings.Contains(message, context.DeadlineExceeded.Error()) {
		return "no response in time"
	}
	return message
}

// schedulerCall calls a method of the Scheduler service with the retries and errors of
// call.
func schedulerCall[Req, Resp any](ctx context.Context, c *client, request Req, method func(apiv1.Scheduler) func(context.Context, Req) (Resp, error)) (Resp, error) {
	return call(ctx, c, attemptTimeout, request, func(e *endpoint) func(context.Context, Req) (Resp, error) { return method(e.scheduler) })
}

// operationsCall calls a method of the Operations service with the retries and errors of
// call.
func operationsCall[Req, Resp any](ctx context.Context, c *client, request Req, method func(apiv1.Operations) func(context.Context, Req) (Resp, error)) (Resp, error) {
	return call(ctx, c, attemptTimeout, request, func(e *endpoint) func(context.Context, Req) (Resp, error) { return method(e.operations) })
}
