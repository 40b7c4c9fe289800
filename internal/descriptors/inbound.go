package descriptors

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// perHostShare is the part of a server's connections that one host may hold, where
// hosts are told apart.
const perHostShare = 8

// Counter counts events by name.
type Counter interface {
	Add(name string, n int64)
}

// Inbound bounds the connections of a server. At the bound the one that has been idle
// for longest is closed for a new one; without an idle one the new one is closed.
type Inbound struct {
	// name begins the counters' names.
	name string
	// limit bounds all connections, perHost those of one remote host.
	limit, perHost int
	counters       Counter

	mu    sync.Mutex
	hosts map[string]*host
	// idle holds connections without a request, the longest idle first.
	idle  *list.List
	conns map[net.Conn]*inboundConn
}

// host is what one remote host holds.
type host struct {
	conns int
	idle  *list.List
}

type inboundConn struct {
	remote string
	// place and hostPlace are where the connection stands in the lists of idle ones;
	// nil while it serves a request.
	place, hostPlace *list.Element
}

// BoundServer bounds the connections of a server that isn't serving yet. Its counters
// begin with name. telling says that its callers reach it from hosts of their own, so
// that one that opens very many connections is held to a share of them.
func BoundServer(server *http.Server, name string, limit int, telling bool, counters Counter) *Inbound {
	in := &Inbound{
		name: name, limit: limit, perHost: limit, counters: counters,
		hosts: map[string]*host{}, idle: list.New(), conns: map[net.Conn]*inboundConn{},
	}
	if telling {
		in.perHost = max(limit/perHostShare, 1)
	}
	server.ConnState = in.note
	return in
}

// note takes in a change of a connection's state. A server calls it for a new
// connection before it accepts the next one.
func (in *Inbound) note(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		in.take(conn)
	case http.StateActive:
		in.mu.Lock()
		defer in.mu.Unlock()
		in.noteBusy(conn)
	case http.StateIdle:
		in.mu.Lock()
		defer in.mu.Unlock()
		in.noteIdle(conn)
	case http.StateClosed, http.StateHijacked:
		in.mu.Lock()
		defer in.mu.Unlock()
		in.forget(conn)
	}
}

func (in *Inbound) take(conn net.Conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	remote := remoteHost(conn)
	h := in.hosts[remote]
	if h == nil {
		h = &host{idle: list.New()}
		in.hosts[remote] = h
	}
	from := in.idle
	if h.conns >= in.perHost {
		from = h.idle
	}
	over := h.conns >= in.perHost || len(in.conns) >= in.limit
	h.conns++
	in.conns[conn] = &inboundConn{remote: remote}
	if over {
		in.makeRoom(from, conn)
		return
	}
	in.noteIdle(conn)
}

// makeRoom closes the connection of a list that has been idle for longest, or the new
// one. in.mu is held.
func (in *Inbound) makeRoom(idle *list.List, fresh net.Conn) {
	oldest := idle.Front()
	if oldest == nil {
		in.counters.Add(in.name+"_connections_refused", 1)
		in.forget(fresh)
		_ = fresh.Close()
		return
	}
	conn := oldest.Value.(net.Conn)
	in.counters.Add(in.name+"_connections_closed_idle", 1)
	in.forget(conn)
	_ = conn.Close()
	in.noteIdle(fresh)
}

// noteIdle puts a connection behind the idle ones. in.mu is held.
func (in *Inbound) noteIdle(conn net.Conn) {
	c := in.conns[conn]
	if c == nil {
		return
	}
	in.noteBusy(conn)
	c.place = in.idle.PushBack(conn)
	c.hostPlace = in.hosts[c.remote].idle.PushBack(conn)
}

// noteBusy takes a connection out of the idle ones. in.mu is held.
func (in *Inbound) noteBusy(conn net.Conn) {
	c := in.conns[conn]
	if c == nil || c.place == nil {
		return
	}
	in.idle.Remove(c.place)
	in.hosts[c.remote].idle.Remove(c.hostPlace)
	c.place, c.hostPlace = nil, nil
}

// forget drops a connection that is closed. in.mu is held.
func (in *Inbound) forget(conn net.Conn) {
	in.noteBusy(conn)
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
