package descriptors

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// perHostDivisor is the ratio of the limit of a server to the limit of one remote host, on
// servers that limit each host.
const perHostDivisor = 8

// Counter counts events by name.
type Counter interface {
	Add(name string, n int64)
}

// InboundLimiter limits the open connections of a server. At the limit it closes the
// connection that has been idle for longest when a new one comes, or the new one if
// none is idle.
type InboundLimiter struct {
	// name is the prefix of the counters' names.
	name string
	// limit is the maximum number of all connections, perHostLimit that of the connections of
	// one remote host.
	limit, perHostLimit int
	counters            Counter

	mu sync.Mutex
	// hosts holds the remote hosts with open connections, by address without port.
	hosts map[string]*hostConns
	// idle holds the connections without a request, the longest idle first.
	idle  *list.List
	conns map[net.Conn]*inboundConn
}

// hostConns are the connections of one remote host: their number and the idle ones, the
// longest idle first.
type hostConns struct {
	connCount int
	idle      *list.List
}

// inboundConn is an open connection.
type inboundConn struct {
	// remote is the address of the remote host without port.
	remote string
	// idleElement and hostIdleElement are the elements of the connection in the idle lists
	// of the server and of its host. They are nil while it serves a request.
	idleElement, hostIdleElement *list.Element
}

// LimitServer limits the open connections of a server that isn't serving yet to limit. name
// is the prefix of its counters. limitPerHost also limits the connections of each remote
// host, so that one host can't take all connections; set it only if the clients run on
// different hosts.
func LimitServer(server *http.Server, name string, limit int, limitPerHost bool, counters Counter) *InboundLimiter {
	l := &InboundLimiter{
		name: name, limit: limit, perHostLimit: limit, counters: counters,
		hosts: map[string]*hostConns{}, idle: list.New(), conns: map[net.Conn]*inboundConn{},
	}
	if limitPerHost {
		l.perHostLimit = max(limit/perHostDivisor, 1)
	}
	server.ConnState = l.onStateChange
	return l
}

// onStateChange tracks the state of a connection. The server calls it for a new
// connection before it accepts the next one.
func (l *InboundLimiter) onStateChange(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		l.admit(conn)
	case http.StateActive:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.markActive(conn)
	case http.StateIdle:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.markIdle(conn)
	case http.StateClosed, http.StateHijacked:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.remove(conn)
	}
}

// admit counts a new connection as idle. At the limit of the server or of the host, it
// closes an idle connection, or the new one if none is idle.
func (l *InboundLimiter) admit(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	remote := remoteHost(conn)
	host := l.hosts[remote]
	if host == nil {
		host = &hostConns{idle: list.New()}
		l.hosts[remote] = host
	}
	evictFrom := l.idle
	if host.connCount >= l.perHostLimit {
		evictFrom = host.idle
	}
	atLimit := host.connCount >= l.perHostLimit || len(l.conns) >= l.limit
	host.connCount++
	l.conns[conn] = &inboundConn{remote: remote}
	if atLimit {
		l.evictOrReject(evictFrom, conn)
		return
	}
	l.markIdle(conn)
}

// evictOrReject closes the connection of a list that has been idle for longest, or the new
// one if the list is empty. l.mu must be held.
func (l *InboundLimiter) evictOrReject(idle *list.List, newConn net.Conn) {
	oldest := idle.Front()
	if oldest == nil {
		l.counters.Add(l.name+"_connections_refused", 1)
		l.remove(newConn)
		_ = newConn.Close()
		return
	}
	conn := oldest.Value.(net.Conn)
	l.counters.Add(l.name+"_connections_closed_idle", 1)
	l.remove(conn)
	_ = conn.Close()
	l.markIdle(newConn)
}

// markIdle adds a connection to the end of the idle lists. l.mu must be held.
func (l *InboundLimiter) markIdle(conn net.Conn) {
	c := l.conns[conn]
	if c == nil {
		return
	}
	l.markActive(conn)
	c.idleElement = l.idle.PushBack(conn)
	c.hostIdleElement = l.hosts[c.remote].idle.PushBack(conn)
}

// markActive removes a connection from the idle lists. l.mu must be held.
func (l *InboundLimiter) markActive(conn net.Conn) {
	c := l.conns[conn]
	if c == nil || c.idleElement == nil {
		return
	}
	l.idle.Remove(c.idleElement)
	l.hosts[c.remote].idle.Remove(c.hostIdleElement)
	c.idleElement, c.hostIdleElement = nil, nil
}

// remove stops counting a connection. l.mu must be held.
func (l *InboundLimiter) remove(conn net.Conn) {
	l.markActive(conn)
	c := l.conns[conn]
	if c == nil {
		return
	}
	delete(l.conns, conn)
	host := l.hosts[c.remote]
	host.connCount--
	if host.connCount == 0 {
		delete(l.hosts, c.remote)
	}
}

// remoteHost returns the remote address of a connection without the port.
func remoteHost(conn net.Conn) string {
	address := conn.RemoteAddr().String()
	name, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return name
}
