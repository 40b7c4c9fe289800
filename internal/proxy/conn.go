package proxy

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/internal/rpc"
)

// Errors of guardedConn.Write. A write that returns one of them has written nothing.
var (
	errLeaseExpired = errors.New("slot lease expired before the request was written")
	errAlreadySent  = errors.New("request was already written to another connection")
	errNoRequest    = errors.New("no request is assigned to the connection")
)

// writeGuard decides whether the bytes of one attempt may be written to a connection.
//
// Failure guarded against: the HTTP transport retries a request by itself when a
// kept-alive connection turns out to be closed, and a process that was paused sends a
// request long after its slot lease expired. The minion then runs the request twice, or
// more requests than it has slots. Each write therefore goes through allowWrite, which
// allows writes to one connection only, and no first write after the lease expired.
type writeGuard struct {
	now        func() time.Duration
	validUntil time.Duration // when the slot lease expires, on the clock that now reads

	mu       sync.Mutex
	usedConn *guardedConn // the connection of the first write
	expired  bool         // a first write was rejected because the lease had expired
}

// allowWrite returns nil if the attempt may write to the connection, and binds
// the attempt to it. Its errors are errAlreadySent and errLeaseExpired.
func (g *writeGuard) allowWrite(c *guardedConn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.usedConn == c {
		return nil
	}
	if g.usedConn != nil {
		return errAlreadySent
	}
	if g.now() >= g.validUntil {
		g.expired = true
		return errLeaseExpired
	}
	g.usedConn = c
	return nil
}

// wrote reports whether any byte of the request may have been sent.
func (g *writeGuard) wrote() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usedConn != nil
}

// expiredUnsent reports whether the slot lease expired before the first byte
// was sent.
func (g *writeGuard) expiredUnsent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.expired
}

// attachToConn returns a context for a request. Once the transport has picked a connection
// for the request, g guards that connection.
func (g *writeGuard) attachToConn(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*guardedConn); ok {
				c.guard.Store(g)
			}
		},
	})
}

// guardedConn is a connection to a minion. Each write must be allowed by the writeGuard
// of the request that uses the connection.
type guardedConn struct {
	net.Conn
	guard   atomic.Pointer[writeGuard]
	closed  sync.Once
	onClose func()
}

// Write writes for the attempt that uses the connection, if the guard of the attempt
// allows that.
func (c *guardedConn) Write(p []byte) (int, error) {
	g := c.guard.Load()
	if g == nil {
		return 0, errNoRequest
	}
	if err := g.allowWrite(c); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from the count of open connections.
func (c *guardedConn) Close() error {
	c.closed.Do(c.onClose)
	return c.Conn.Close()
}

// connCounter counts the open connections by address. It is safe for concurrent
// use.
type connCounter struct {
	mu   sync.Mutex
	open map[string]int
}

func newConnCounter() *connCounter {
	return &connCounter{open: make(map[string]int)}
}

// add adds n to the open connections of an address.
func (c *connCounter) add(address string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[address] += n
	if c.open[address] <= 0 {
		delete(c.open, address)
	}
}

func (c *connCounter) count(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[address]
}

// guardDial returns a dial function whose connections are counted and guarded.
func guardDial(dial rpc.Dial, counter *connCounter) rpc.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		counter.add(address, 1)
		return &guardedConn{Conn: conn, onClose: func() { counter.add(address, -1) }}, nil
	}
}
