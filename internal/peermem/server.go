package peermem

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeaderBytes bounds the header of a request: twice what a deployment's configuration allows callers.
	maxHeaderBytes = 32 << 10
	// bodyTimeout bounds the time until a body has been received whole.
	bodyTimeout = 10 * time.Second
	// unreadBodyTimeout is how long the server goes on to receive a body that its handler has refused. Until then
	// the client can read the response; after that the connection is closed.
	unreadBodyTimeout = time.Second
	// writeTimeout bounds how long a client reads nothing of a response.
	writeTimeout = 10 * time.Second
)

// ErrMemory is the error of reading a request for which the budget has no room.
var ErrMemory = errors.New("no memory for the request")

// Serve makes a server that isn't serving yet count what it holds for its clients against the budget. refuse responds
// to a request whose announced body doesn't fit into it.
func (b *Budget) Serve(server *http.Server, refuse http.HandlerFunc) {
	server.MaxHeaderBytes = maxHeaderBytes
	server.Handler = b.limitBodies(server.Handler, refuse)
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	onStateChange := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if onStateChange != nil {
			onStateChange(c, state)
		}
		if counted, ok := c.(*conn); ok && state == http.StateIdle {
			b.finish(&counted.reservation)
		}
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// Listener wraps the listener of a server so that its connections are counted.
func (b *Budget) Listener(listener net.Listener) net.Listener {
	return &countingListener{Listener: listener, budget: b}
}

type countingListener struct {
	net.Listener
	budget *Budget
}

// Accept waits for the next connection.
func (l *countingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, budget: l.budget}
	c.reservation.end = func() { _ = accepted.Close() }
	return c, nil
}

// conn is a connection whose bytes are counted.
type conn struct {
	net.Conn
	budget      *Budget
	reservation reservation
	started     bool
}

// http2Preface is how the preface of an HTTP/2 connection begins.
var http2Preface = []byte("PRI * HTTP/2")

// Read reads from the connection. It fails if the budget has no room for what it has read.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	fits := false
	if !c.started && bytes.HasPrefix(p[:n], http2Preface) {
		fits = c.budget.fix(&c.reservation)
	} else {
		fits = c.budget.receive(&c.reservation, n)
	}
	c.started = true
	if !fits {
		// The server answers other errors in the header of a request as if the client were at fault.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: ErrMemory}
	}
	return n, err
}

// Write writes to the connection, and fails if the client reads nothing for writeTimeout.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection and gives back its reservation.
func (c *conn) Close() error {
	c.budget.close(&c.reservation)
	return c.Conn.Close()
}

// CloseWrite shuts down the writing side, which lets the server send a response before it closes the connection.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// limitBodies returns a handler that reserves announced bodies, bounds the time in which a body arrives, and doesn't
// wait for a body that next has left unread.
func (b *Budget) limitBodies(next http.Handler, refuse http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if r.ProtoMajor > 1 {
			b.serveStream(w, r, next)
			return
		}
		if r.ContentLength == 0 {
			b.complete(&c.reservation)
			next.ServeHTTP(w, r)
			return
		}
		controller := http.NewResponseController(w)
		body := &trackedBody{ReadCloser: r.Body, received: func() {
			b.complete(&c.reservation)
			_ = controller.SetReadDeadline(time.Time{})
		}}
		r.Body = body
		if b.announce(&c.reservation, min(max(r.ContentLength, 0), b.limit/largeShareDivisor)) {
			_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
			next.ServeHTTP(w, r)
		} else {
			refuse(w, r)
		}
		if !body.ended {
			_ = controller.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
		}
	})
}

// serveStream serves a request of an HTTP/2 connection, whose body is counted as it is read.
func (b *Budget) serveStream(w http.ResponseWriter, r *http.Request, next http.Handler) {
	controller := http.NewResponseController(w)
	stream := &reservation{end: func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) }}
	defer b.close(stream)
	r.Body = &streamBody{ReadCloser: r.Body, budget: b, reservation: stream}
	next.ServeHTTP(w, r)
}

// streamBody is the body of a request of an HTTP/2 connection.
type streamBody struct {
	io.ReadCloser
	budget      *Budget
	reservation *reservation
}

// Read reads from the body, and fails if the budget has no room for what it has read.
func (s *streamBody) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if n > 0 && !s.budget.receive(s.reservation, n) {
		return 0, ErrMemory
	}
	if err == io.EOF {
		s.budget.complete(s.reservation)
	}
	return n, err
}

// trackedBody is the body of a request that notices when it has been received whole.
type trackedBody struct {
	io.ReadCloser
	received func()
	ended    bool
}

// Read reads from the body.
func (t *trackedBody) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if err == io.EOF && !t.ended {
		t.ended = true
		t.received()
	}
	return n, err
}
