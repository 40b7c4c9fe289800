package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/bilberryferry/bilberryferry/internal/rpc"
)

// counters holds the running totals that Stats reports.
type counters struct {
	bytesSent, bytesReceived, dials    atomic.Uint64
	calls, failures, payloads, dropped atomic.Uint64
}

// Stats are totals for one peer, counted on the connections that this instance opened.
type Stats struct {
	// BytesSent and BytesReceived are the bytes that went through the sockets. They
	// include the overhead of HTTP but not that of TCP and IP.
	BytesSent, BytesReceived uint64
	// Dials is the number of connections opened.
	Dials uint64
	// Calls is the number of calls made, Failures that of calls that failed.
	Calls, Failures uint64
	// Payloads is the number of payloads in successful calls. Dropped is the number of
	// payloads that didn't fit into the queue, were for a blocked peer, or were in a failed
	// call; those of a failed call may have arrived nevertheless.
	Payloads, Dropped uint64
}

func (c *counters) stats() Stats {
	return Stats{
		BytesSent:     c.bytesSent.Load(),
		BytesReceived: c.bytesReceived.Load(),
		Dials:         c.dials.Load(),
		Calls:         c.calls.Load(),
		Failures:      c.failures.Load(),
		Payloads:      c.payloads.Load(),
		Dropped:       c.dropped.Load(),
	}
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	sent, received *atomic.Uint64
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(uint64(n))
	return n, err
}

// Listener counts the bytes of all connections that it accepts.
type Listener struct {
	net.Listener
	sent, received atomic.Uint64
}

// NewListener returns a Listener that wraps l.
func NewListener(l net.Listener) *Listener { return &Listener{Listener: l} }

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, sent: &l.sent, received: &l.received}, nil
}

// Bytes returns the bytes sent and received on accepted connections.
func (l *Listener) Bytes() (sent, received uint64) {
	return l.sent.Load(), l.received.Load()
}

// Dialer counts the bytes of all connections that it opens.
type Dialer struct {
	// Dial opens the connections.
	Dial           rpc.Dial
	sent, received atomic.Uint64
}

// DialContext opens a connection.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, sent: &d.sent, received: &d.received}, nil
}

// Bytes returns the bytes sent and received on opened connections.
func (d *Dialer) Bytes() (sent, received uint64) {
	return d.sent.Load(), d.received.Load()
}

// BlockedPeers blocks traffic from and to peers, so that tests can simulate network
// partitions. The zero value and a nil BlockedPeers block none. Only code in this process
// can block a peer, no call over the network.
type BlockedPeers struct {
	mu    sync.Mutex
	peers map[string]bool
}

// SetBlocked blocks or unblocks the traffic from and to a peer.
func (b *BlockedPeers) SetBlocked(id string, blocked bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.peers == nil {
		b.peers = map[string]bool{}
	}
	b.peers[id] = blocked
}

func (b *BlockedPeers) blocked(id string) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peers[id]
}
