package ownedconn

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// MaxClosedConns is how many responses in a row may close their connection before an incarnation gets
// one bound body on a new connection: no connection is ever known to be its own.
const MaxClosedConns = 3

// ownedConn is a connection to an incarnation. A process that ends takes its connections with it, so a
// request on a connection reaches the incarnation that has responded on it, or none.
type ownedConn struct {
	net.Conn
	// incarnation is the incarnation that has responded on the connection; nil for none.
	incarnation atomic.Pointer[string]
}

func (c *ownedConn) belongsTo(incarnation string) bool {
	owner := c.incarnation.Load()
	return owner != nil && *owner == incarnation
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialOwned returns a function that opens connections with dial, as *ownedConn.
func dialOwned(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &ownedConn{Conn: conn}, nil
	}
}

// request is the body of a request. The part of it that is meant for one incarnation is sent only on a
// connection that belongs to this incarnation.
//
// The connection is known only when the request is about to be written, and the HTTP client may
// replace it by a new one and write the request again.
type request struct {
	incarnation string
	// bound is the body for a connection of the incarnation, unbound that for another connection.
	// Both have the same length.
	bound, unbound []byte
	// anyConn lets bound go out on any connection.
	anyConn bool

	mu   sync.Mutex
	conn *ownedConn
}

// newAnyConnRequest returns a request with the same body for all connections.
func newAnyConnRequest(incarnation string, body []byte) *request {
	return &request{incarnation: incarnation, bound: body, anyConn: true}
}

// newBoundRequest returns a request with the body bound for a connection of the incarnation, and unbound for
// others. Both are JSON, so that spaces make them equally long.
func newBoundRequest(incarnation string, bound, unbound []byte) *request {
	padding := bytes.Repeat([]byte(" "), len(bound)-len(unbound))
	return &request{incarnation: incarnation, bound: bound, unbound: append(unbound, padding...)}
}

// attach makes the body that of an HTTP request, and returns the result.
func (r *request) attach(post *http.Request) *http.Request {
	ctx := post.Context()
	post.ContentLength = int64(len(r.bound))
	post.GetBody = func() (io.ReadCloser, error) { return &connBody{request: r, ctx: ctx}, nil }
	post.Body = &connBody{request: r, ctx: ctx}
	return post.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: r.gotConn}))
}

// gotConn records the connection on which the request is written next.
func (r *request) gotConn(info httptrace.GotConnInfo) {
	conn, _ := info.Conn.(*ownedConn)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conn = conn
}

// bodyForConn returns the body for the current connection.
func (r *request) bodyForConn() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.anyConn || r.conn != nil && r.conn.belongsTo(r.incarnation) {
		return r.bound
	}
	return r.unbound
}

// confirmConn records that the incarnation has responded on the current connection.
func (r *request) confirmConn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil {
		r.conn.incarnation.Store(&r.incarnation)
	}
}

// disownConn records that the incarnation doesn't respond on the current connection any more.
func (r *request) disownConn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil {
		r.conn.incarnation.Store(nil)
	}
}

// connBody is the body of one attempt to write a request. The connection is known when it is first
// read.
type connBody struct {
	request *request
	// ctx is the context of the request.
	ctx    context.Context
	reader *bytes.Reader
}

// Read fails if the deadline of the request has passed, so that the request isn't written. In a process
// that stood still, the timer of the context may not have run yet.
func (b *connBody) Read(p []byte) (int, error) {
	if b.reader == nil {
		if deadline, ok := b.ctx.Deadline(); ok && !time.Now().Before(deadline) {
			return 0, context.DeadlineExceeded
		}
		b.reader = bytes.NewReader(b.request.bodyForConn())
	}
	return b.reader.Read(p)
}

func (b *connBody) Close() error { return nil }

// closedConns counts, by incarnation, the messages in a row that differ by connection and whose
// responses closed their connection. It is safe for concurrent use.
type closedConns struct {
	mu     sync.Mutex
	counts map[string]int
}

// takeExhausted reports whether the next message to an incarnation is bound on any connection, and
// counts anew. Otherwise all further ones would be, also those that reach the next incarnation.
func (c *closedConns) takeExhausted(incarnation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[incarnation] < MaxClosedConns {
		return false
	}
	delete(c.counts, incarnation)
	return true
}

// record records a response, and whether it closed its connection.
func (c *closedConns) record(incarnation string, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !closed {
		delete(c.counts, incarnation)
		return
	}
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[incarnation]++
}
