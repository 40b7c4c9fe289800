package descriptors

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// idleDivisor is the ratio of the limit of a client to the number of connections that it
// keeps open without a call. The rest is left for calls in flight; a call waits while the
// limit is reached.
const idleDivisor = 4

// ErrLimitReached means that no connection could be opened in time because the limit of
// open connections was reached.
var ErrLimitReached = errors.New("the limit of open connections is reached")

// OutboundLimiter limits the open connections of a client. It is safe for concurrent use.
type OutboundLimiter struct {
	limit   int
	slots   *semaphore.Weighted
	timeout time.Duration
	dialer  net.Dialer
}

// NewOutboundLimiter returns a limiter for at most limit open connections. timeout bounds
// the opening of a connection, including the wait at the limit.
func NewOutboundLimiter(limit int, timeout time.Duration) *OutboundLimiter {
	return &OutboundLimiter{limit: limit, slots: semaphore.NewWeighted(int64(limit)), timeout: timeout}
}

// MaxIdle returns how many idle connections a client keeps. Beyond that it closes the
// least recently used one.
func (l *OutboundLimiter) MaxIdle() int { return max(l.limit/idleDivisor, 1) }

// DialContext opens a connection. At the limit it waits, in the order of the calls, until
// another connection is closed. If that takes too long, the error wraps ErrLimitReached.
func (l *OutboundLimiter) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	if err := l.slots.Acquire(ctx, 1); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: errors.CombineErrors(ErrLimitReached, err)}
	}
	conn, err := l.dialer.DialContext(ctx, network, address)
	if err != nil {
		l.slots.Release(1)
		return nil, err
	}
	return &outboundConn{Conn: conn, release: sync.OnceFunc(func() { l.slots.Release(1) })}, nil
}

// outboundConn is a connection that counts towards the limit until it is closed.
type outboundConn struct {
	net.Conn
	release func()
}

func (c *outboundConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
