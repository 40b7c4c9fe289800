package e2e

import (
	"io"
	"net"
	"slices"
	"sync"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/settings"
)

// network routes the connections between data centres through relays, so that a test can
// partition a data centre. During a partition no connection is closed or refused, but no
// connection carries bytes.
type network struct {
	mu sync.Mutex
	// relays holds the relays by link: the data centre that connects and the one to which
	// it connects.
	relays map[[2]string][]*relay
}

// relay forwards connections to one process. While blocked, it forwards nothing.
type relay struct {
	listener net.Listener
	// destination is the address of the process.
	destination string

	mu sync.Mutex
	// changed is signalled when blocked changes.
	changed *sync.Cond
	blocked bool
	// conns holds the two connections, from the client and to the destination, of each
	// forwarded connection.
	conns []net.Conn
}

// settingsSeenFrom returns the settings for the processes of a data centre, with the
// addresses of all other data centres replaced by those of relays.
func (n *network) settingsSeenFrom(c *cluster, dataCentre string) *settings.Settings {
	adjusted := *c.deployment.Settings
	adjusted.Instances = slices.Clone(adjusted.Instances)
	for i := range adjusted.Instances {
		instance := &adjusted.Instances[i]
		if instance.DataCentre == dataCentre {
			continue
		}
		link := [2]string{dataCentre, instance.DataCentre}
		instance.Entry = n.relay(c, link, instance.Entry)
		instance.Cell = n.relay(c, link, instance.Cell)
	}
	return &adjusted
}

// relay starts a relay to destination on a link and returns the relay's address.
func (n *network) relay(c *cluster, link [2]string, destination string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(c.t, err)
	c.t.Cleanup(func() { _ = listener.Close() })
	r := &relay{listener: listener, destination: destination}
	r.changed = sync.NewCond(&r.mu)
	n.mu.Lock()
	n.relays[link] = append(n.relays[link], r)
	n.mu.Unlock()
	go r.accept()
	return listener.Addr().String()
}

// setPartitioned starts or ends the partition of a data centre from all others.
func (n *network) setPartitioned(dataCentre string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for link, relays := range n.relays {
		if link[0] != dataCentre && link[1] != dataCentre {
			continue
		}
		for _, r := range relays {
			r.setBlocked(partitioned)
		}
	}
}

// setBlocked starts or ends the blocking of all bytes. When the blocking ends, it closes
// the connections that were blocked.
func (r *relay) setBlocked(blocked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.blocked && !blocked {
		for _, conn := range r.conns {
			_ = conn.Close()
		}
		r.conns = nil
	}
	r.blocked = blocked
	r.changed.Broadcast()
}

// accept forwards all connections until the listener is closed.
func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

// forward forwards one connection in both directions until either side is closed.
func (r *relay) forward(from net.Conn) {
	defer from.Close()
	r.waitWhileBlocked()
	to, err := net.Dial("tcp", r.destination)
	if err != nil {
		return
	}
	defer to.Close()
	r.mu.Lock()
	r.conns = append(r.conns, from, to)
	r.mu.Unlock()
	go func() {
		r.copyBytes(to, from)
		_ = to.Close()
	}()
	r.copyBytes(from, to)
}

// copyBufferBytes is the size of the buffer of copyBytes.
const copyBufferBytes = 32 << 10

// copyBytes forwards bytes in one direction until a read or a write fails.
func (r *relay) copyBytes(to io.Writer, from io.Reader) {
	buffer := make([]byte, copyBufferBytes)
	for {
		count, err := from.Read(buffer)
		r.waitWhileBlocked()
		if _, writeErr := to.Write(buffer[:count]); err != nil || writeErr != nil {
			return
		}
	}
}

// waitWhileBlocked returns once the relay isn't blocked.
func (r *relay) waitWhileBlocked() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.blocked {
		r.changed.Wait()
	}
}
