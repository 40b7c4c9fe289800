package descriptors

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// perHostDivisor is the part of a server's connections that one host may hold, where
// hosts are told apart.
const perHostDivisor = 8

// Counter counts events by name.
type Counter interface {
	Add(name string, n int64)
}

// Inbound bounds the connections of a server. At the bound the one that has been idle
// for longest is closed for a new one; without an idle one the new one is closed.
type InboundLimiter struct {
	// name begins the counters' names.
	name string
	// limit bounds all connections, perHost those of one remote host.
	limit, perHost int
	counters       Counter

	mu    sync.Mutex
	hosts map[string]*hostConns
	// idle holds connections without a request, the longest idle first.
	idle  *list.List
	conns map[net.Conn]*inboundConn
}

// host is what one remote host holds.
type hostConns struct {
	conns int
	idle  *list.List
}

type inboundConn struct {
	remote string
	// place and hostIdleElement are where the connection stands in the lists of idle ones;
	// nil while it serves a request.
	idleElement, hostIdleElement *list.Element
}

// LimitServer bounds the connections of a server that isn't serving yet. Its counters
// begin with name. telling says that its callers reach it from hosts of their own, so
// that one that opens very many connections is held to a share of them.
func LimitServer(server *http.Server, name string, limit int, limitPerHost bool, counters Counter) *InboundLimiter {
	in := &InboundLimiter{
		name: name, limit: limit, perHost: limit, counters: counters,
		hosts: map[string]*hostConns{}, idle: list.New(), conns: map[net.Conn]*inboundConn{},
	}
	if limitPerHost {
		in.perHost = max(limit/perHostDivisor, 1)
	}
	server.ConnState = in.onStateChange
	return in
}

// note takes in a change of a connection's state. A server calls it for a new
// connection before it accepts the next one.
func (in *InboundLimiter) onStateChange(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		in.admit(conn)
	case http.StateActive:
		in.mu.Lock()
		defer in.mu.Unlock()
		in.markActive(conn)
	case http.StateIdle:
		in.mu.Lock()
		defer in.mu.Unlock()
		in.markIdle(conn)
	case http.StateClosed, http.StateHijacked:
		in.mu.Lock()
		defer in.mu.Unlock()
		in.remove(conn)
	}
}

func (in *InboundLimiter) admit(conn net.Conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	remote := remoteHost(conn)
	h := in.hosts[remote]
	if h == nil {
		h = &hostConns{idle: list.New()}
		in.hosts[remote] = h
	}
	evictFrom := in.idle
	if h.conns >= in.perHost {
		evictFrom = h.idle
	}
	full := h.conns >= in.perHost || len(in.conns) >= in.limit
	h.conns++
	in.conns[conn] = &inboundConn{remote: remote}
	if full {
		in.evictOrReject(evictFrom, conn)
		return
	}
	in.markIdle(conn)
}

// evictOrReject closes the connection of a list that has been idle for longest, or the new
// one. in.mu is held.
func (in *InboundLimiter) evictOrReject(idle *list.List, newConn net.Conn) {
	oldest := idle.Front()
	if oldest == nil {
		in.counters.Add(in.name+"_connections_refused", 1)
		in.remove(newConn)
		_ = newConn.Close()
		return
	}
	conn := oldest.Value.(net.Conn)
	in.counters.Add(in.name+"_connections_closed_idle", 1)
	in.remove(conn)
	_ = conn.Close()
	in.markIdle(newConn)
}

// markIdle puts a connection behind the idle ones. in.mu is held.
func (in *InboundLimiter) markIdle(conn net.Conn) {
	c := in.conns[conn]
	if c == nil {
		return
	}
	in.markActive(conn)
	c.idleElement = in.idle.PushBack(conn)
	c.hostIdleElement = in.hosts[c.remote].idle.PushBack(conn)
}

// markActive takes a connection out of the idle ones. in.mu is held.
func (in *InboundLimiter) markActive(conn net.Conn) {
	c := in.conns[conn]
	if c == nil || c.idleElement == nil {
		return
	}
	in.idle.Remove(c.idleElement)
	in.hosts[c.remote].idle.Remove(c.hostIdleElement)
	c.idleElement, c.hostIdleElement = nil, nil
}

// forget drops a connection that is closed. in.mu is held.
func (in *InboundLimiter) remove(conn net.Conn) {
	in.markActive(conn)
	c := in.conns[conn]
	if c == nil {
		return
	}
	delete(in.conns, conn)
	h := in.hosts[c.remote]
	h.conns--
	if h.conns == 0 {
		delete(in.hosts, c.remote)
	}
}

func remoteHost(conn net.Conn) string {
	address := conn.RemoteAddr().String()
	name, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return name
}
