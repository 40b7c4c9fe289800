package descriptors

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// idleDivisor is the part of its connections that a client keeps open without a call.
// The others are for calls: while all of these are under way a further one waits.
const idleDivisor = 4

// ErrLimitReached says that no connection could be opened in time because as many as allowed
// were open.
var ErrLimitReached = errors.New("as many connections as allowed are open")

// Outbound bounds the connections that a client opens.
type OutboundLimiter struct {
	limit   int
	slots   *semaphore.Weighted
	timeout time.Duration
	dialer  net.Dialer
}

// NewOutboundLimiter returns the bound of a client that may have limit connections, none of
// which may take longer than timeout to open, the wait for a place included.
func NewOutboundLimiter(limit int, timeout time.Duration) *OutboundLimiter {
	return &OutboundLimiter{limit: limit, slots: semaphore.NewWeighted(int64(limit)), timeout: timeout}
}

// Idle is how many connections a client keeps without a call; the least used one is
// closed for another.
func (o *OutboundLimiter) MaxIdle() int { return max(o.limit/idleDivisor, 1) }

// DialContext opens a connection once there is room for it. Those that wait get their
// places in order.
func (o *OutboundLimiter) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	if err := o.slots.Acquire(ctx, 1); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: errors.CombineErrors(ErrLimitReached, err)}
	}
	conn, err := o.dialer.DialContext(ctx, network, address)
	if err != nil {
		o.slots.Release(1)
		return nil, err
	}
	return &outboundConn{Conn: conn, release: sync.OnceFunc(func() { o.slots.Release(1) })}, nil
}

// outboundConn gives its place back when it is closed.
type outboundConn struct {
	net.Conn
	release func()
}

func (c *outboundConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
