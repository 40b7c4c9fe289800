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

// Reasons for which a request was not written to a connection.
var (
	errLeaseExpired = errors.New("slot lease ended before the request was written")
	errAlreadySent  = errors.New("request was already written to another connection")
	errNoRequest    = errors.New("connection is used by no request")
)

// sending watches over the bytes of one attempt.
//
// Failure: the HTTP transport sends a request again by itself when a kept
// connection turns out to be closed, and a paused process sends one long after
// its slot lease ended. The minion then runs the request twice, or runs more
// than its slots. Guard: every write of a request passes permit, which lets it
// begin on one connection only and not after the lease.
type writeGuard struct {
	now        func() time.Duration
	validUntil time.Duration

	mu       sync.Mutex
	usedConn *guardedConn
	expired  bool
}

// permit says whether the attempt may write to the connection.
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

// wrote says whether any byte of the request may have left.
func (g *writeGuard) wrote() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usedConn != nil
}

// expiredUnsent says whether the lease ended before the first byte.
func (g *writeGuard) expiredUnsent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.expired
}

// trace hands the connection that the transport picked to the sending.
func (g *writeGuard) attachToConn(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*guardedConn); ok {
				c.guard.Store(g)
			}
		},
	})
}

// guardedConn is a connection to a minion that asks before it writes.
type guardedConn struct {
	net.Conn
	guard   atomic.Pointer[writeGuard]
	closed  sync.Once
	onClose func()
}

// Write writes for the attempt that holds the connection.
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

// Close closes the connection and counts it out.
func (c *guardedConn) Close() error {
	c.closed.Do(c.onClose)
	return c.Conn.Close()
}

// connCounter counts open connections by address.
type connCounter struct {
	mu   sync.Mutex
	open map[string]int
}

func newConnCounter() *connCounter {
	return &connCounter{open: make(map[string]int)}
}

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

// guard wraps the connections of a dialer.
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
