package dev

import (
	"context"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// memoryNetwork is a Network in memory. In a synctest bubble, waiting for its connections
// counts as durably blocked, unlike waiting for sockets, so a whole run takes only
// virtual time. A connection buffers any number of bytes and delivers each of them after
// hopDelay. Without the delay each request would end at the instant it starts, and no two
// requests would be in flight at the same time.
type memoryNetwork struct {
	mu sync.Mutex
	// portsUsed is the number of ports in use so far.
	portsUsed int
	// listeners holds the open listeners, by address.
	listeners map[string]*memoryListener
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{listeners: make(map[string]*memoryListener)}
}

const (
	// basePort is one less than the first port that newAddress returns.
	basePort = 10_000
	// backlog bounds the connections that wait at a listener to be accepted.
	backlog = 1024
	// hopDelay is the latency of a connection in each direction.
	hopDelay = 5 * time.Millisecond
)

// LogClock returns the virtual clock of the bubble. The default of package node is a clock of the machine, which hardly
// moves while a bubble plays seconds.
func (n *memoryNetwork) LogClock() func() time.Time { return time.Now }

func (n *memoryNetwork) Listen() (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memoryListener{
		network: n,
		address: n.newAddress(),
		pending: make(chan net.Conn, backlog),
		closed:  make(chan struct{}),
	}
	n.listeners[l.address.String()] = l
	return l, nil
}

func (n *memoryNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	local := n.newAddress()
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	client, server := newConnPair(local, l.address)
	select {
	case l.pending <- server:
		return client, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// newAddress returns an unused address. n.mu must be held.
func (n *memoryNetwork) newAddress() *net.TCPAddr {
	n.portsUsed++
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: basePort + n.portsUsed}
}

// memoryListener accepts connections of a memoryNetwork.
type memoryListener struct {
	network *memoryNetwork
	address *net.TCPAddr
	// pending holds the connections that wait to be accepted.
	pending   chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

func (l *memoryListener) Addr() net.Addr { return l.address }

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.pending:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes the listener refuse new connections and closes the connections that wait to
// be accepted.
func (l *memoryListener) Close() error {
	l.closeOnce.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address.String())
		l.network.mu.Unlock()
		close(l.closed)
	})
	for {
		select {
		case conn := <-l.pending:
			_ = conn.Close()
		default:
			return nil
		}
	}
}

// chunk holds the bytes of one write and the time at which they arrive at the reader.
type chunk struct {
	bytes     []byte
	arrivesAt time.Time
}

// stream is one direction of a connection.
type stream struct {
	mu           sync.Mutex
	chunks       []chunk
	writeClosed  bool // set by the writer; the chunks can still be read
	readClosed   bool // set by the reader
	readDeadline time.Time
	// changed is closed and replaced at each change of the stream.
	changed chan struct{}
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

// update calls f, which changes the stream, and wakes a waiting reader.
func (s *stream) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	var err error
	s.update(func() {
		if s.writeClosed || s.readClosed {
			err = io.ErrClosedPipe
			return
		}
		s.chunks = append(s.chunks, chunk{bytes: slices.Clone(p), arrivesAt: time.Now().Add(hopDelay)})
	})
	return err
}

func (s *stream) read(p []byte) (int, error) {
	for {
		n, until, changed, err := s.readArrived(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		waitForChange(changed, until)
	}
}

// readArrived reads bytes that have arrived into p and returns their number n. If no
// bytes have arrived, the caller must try again when changed is closed, which happens at
// the next change of the stream, or at the time until, whichever comes first. A zero
// until means no time bound.
func (s *stream) readArrived(p []byte) (n int, until time.Time, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case s.readClosed:
		return 0, until, nil, net.ErrClosed
	case !s.readDeadline.IsZero() && !now.Before(s.readDeadline):
		return 0, until, nil, os.ErrDeadlineExceeded
	case len(s.chunks) == 0 && s.writeClosed:
		return 0, until, nil, io.EOF
	case len(s.chunks) > 0 && !now.Before(s.chunks[0].arrivesAt):
		return s.readFirstChunk(p), until, nil, nil
	}
	until = s.readDeadline
	if len(s.chunks) > 0 && (until.IsZero() || s.chunks[0].arrivesAt.Before(until)) {
		until = s.chunks[0].arrivesAt
	}
	return 0, until, s.changed, nil
}

// readFirstChunk copies bytes of the first chunk into p, removes the copied bytes from
// the stream and returns their number. s.mu must be held.
func (s *stream) readFirstChunk(p []byte) int {
	n := copy(p, s.chunks[0].bytes)
	s.chunks[0].bytes = s.chunks[0].bytes[n:]
	if len(s.chunks[0].bytes) == 0 {
		s.chunks = s.chunks[1:]
	}
	return n
}

// waitForChange waits until changed is closed, or until the given time at most if that
// time isn't zero.
func waitForChange(changed <-chan struct{}, until time.Time) {
	if until.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// memoryConn is one end of a connection.
type memoryConn struct {
	// in is the stream that this end reads, out the one that it writes.
	in, out       *stream
	local, remote net.Addr
}

// newConnPair returns the two ends of a new connection.
func newConnPair(local, remote net.Addr) (client, server *memoryConn) {
	toServer, toClient := newStream(), newStream()
	client = &memoryConn{in: toClient, out: toServer, local: local, remote: remote}
	server = &memoryConn{in: toServer, out: toClient, local: remote, remote: local}
	return client, server
}

func (c *memoryConn) Read(p []byte) (int, error) { return c.in.read(p) }

func (c *memoryConn) Write(p []byte) (int, error) {
	if err := c.out.write(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *memoryConn) Close() error {
	c.in.update(func() { c.in.readClosed = true })
	c.out.update(func() { c.out.writeClosed = true })
	return nil
}

func (c *memoryConn) LocalAddr() net.Addr  { return c.local }
func (c *memoryConn) RemoteAddr() net.Addr { return c.remote }

func (c *memoryConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

func (c *memoryConn) SetReadDeadline(t time.Time) error {
	c.in.update(func() { c.in.readDeadline = t })
	return nil
}

// SetWriteDeadline does nothing, because writes never block.
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }
