// Package ownedconn posts JSON to processes that may be replaced by a next incarnation at the same
// address. It sends what is meant for one incarnation only on connections on which that incarnation
// has responded.
package ownedconn

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/internal/jsonbody"
)

// maxResponseBytes bounds a response. 500 ended and 500 running runs take 100 KB.
const maxResponseBytes = 4 << 20

// Client posts messages. It is safe for concurrent use.
type Client struct {
	httpClient *http.Client
	closed     closedConns
}

// NewClient returns a client that uses the transport, whose DialContext must be set.
func NewClient(transport *http.Transport) *Client {
	transport.DialContext = dialOwned(transport.DialContext)
	return &Client{httpClient: &http.Client{Transport: transport}}
}

// Message is a POST request to one incarnation.
type Message struct {
	Incarnation, Address, Path string
	Header                     http.Header
	// Bound is the body for a connection of the incarnation, Unbound that for any other connection; it
	// must not be longer. If Unbound is nil, Bound is sent on any connection.
	Bound, Unbound any
}

// Response is the response to a message.
type Response struct {
	Status int
	Data   []byte

	client  *Client
	request *request
	closed  bool
}

// Confirm records that the addressed incarnation has responded.
func (r *Response) Confirm() {
	r.request.confirmConn()
	if !r.request.anyConn {
		r.client.closed.record(r.request.incarnation, r.closed)
	}
}

// Disown records that the incarnation doesn't respond on the current connection any more. Something
// between the two processes keeps the connection open then.
func (r *Response) Disown() { r.request.disownConn() }

// Send sends a message. It isn't written after the deadline of ctx.
func (c *Client) Send(ctx context.Context, m *Message) (*Response, error) {
	body, err := c.newRequest(m)
	if err != nil {
		return nil, err
	}
	request, err := newPost(ctx, m.Address, m.Path, nil)
	if err != nil {
		return nil, err
	}
	maps.Copy(request.Header, m.Header)
	response, data, err := c.roundTrip(body.attach(request))
	if err != nil {
		return nil, err
	}
	return &Response{Status: response.StatusCode, Data: data, client: c, request: body, closed: response.Close}, nil
}

func (c *Client) newRequest(m *Message) (*request, error) {
	bound, err := json.Marshal(m.Bound)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", m.Path)
	}
	if m.Unbound == nil || c.closed.takeExhausted(m.Incarnation) {
		return newAnyConnRequest(m.Incarnation, bound), nil
	}
	unbound, err := json.Marshal(m.Unbound)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", m.Path)
	}
	return newBoundRequest(m.Incarnation, bound, unbound), nil
}

// Post posts a body on any connection and returns the status and the body of the response.
func (c *Client) Post(ctx context.Context, address, path string, header http.Header, body any) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "encode %s", path)
	}
	request, err := newPost(ctx, address, path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	maps.Copy(request.Header, header)
	return c.Do(request)
}

func newPost(ctx context.Context, address, path string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, body)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	request.Header.Set("Content-Type", jsonbody.ContentType)
	return request, nil
}

// Do sends a request and returns the status and the body of the response.
func (c *Client) Do(request *http.Request) (int, []byte, error) {
	response, data, err := c.roundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	return response.StatusCode, data, nil
}

// roundTrip sends a request and reads its whole response, up to maxResponseBytes.
func (c *Client) roundTrip(request *http.Request) (*http.Response, []byte, error) {
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return response, data, err
}
