package descriptors

import (
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// listen returns the address of a listener that is closed with the test.
func listen(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

const (
	// testDialTimeout bounds the opening of a connection, including the wait at the limit.
	testDialTimeout = 50 * time.Millisecond
	// closeDelay is how long after the start of a dial another connection is closed.
	closeDelay = 10 * time.Millisecond
)

// Guards against running out of descriptors: a leader calls so many workers in parallel that
// its log can't open a file. At the limit a dial must wait until a connection is closed.
func TestDialWaitsAtTheConnectionLimit(t *testing.T) {
	address := listen(t)
	limiter := NewOutboundLimiter(2, testDialTimeout)
	firstConn, err := limiter.DialContext(t.Context(), "tcp", address)
	must.NoError(t, err)
	_, err = limiter.DialContext(t.Context(), "tcp", address)
	must.NoError(t, err)

	_, err = limiter.DialContext(t.Context(), "tcp", address)
	must.True(t, errors.Is(err, ErrLimitReached))

	time.AfterFunc(closeDelay, func() {
		_ = firstConn.Close()
		_ = firstConn.Close()
	})
	_, err = limiter.DialContext(t.Context(), "tcp", address)
	must.NoError(t, err)
	_, err = limiter.DialContext(t.Context(), "tcp", address)
	must.True(t, errors.Is(err, ErrLimitReached), must.Sprint("a slot was released twice"))
}

// A host refuses connections. If a failed dial counted as an open connection, the client
// could open no connections after a few failures.
func TestFailedDialReleasesItsSlot(t *testing.T) {
	limiter := NewOutboundLimiter(1, time.Second)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	for range 2 {
		_, err := limiter.DialContext(t.Context(), "tcp", listener.Addr().String())
		must.Error(t, err)
		must.False(t, errors.Is(err, ErrLimitReached))
	}
}
