// Package peer carries messages of replicated logs between the instances of
// the system, over HTTP/2 without TLS.
//
// All groups that two instances share use one stream of calls: while maxCalls
// of them are under way, whatever else is meant for that peer waits and goes
// with the next one. The receiver takes the calls in in the order in which they
// were made, but waits for a lost one for a moment only. A queue that is full drops its oldest payloads; the logs
// send again what still matters.
package peer

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
)

// FormatVersion is the version of the payloads. Receivers refuse others.
const FormatVersion = 1

// Bounds of a queue, a batch and a call.
const (
	maxQueuePayloads = 4096
	maxQueueBytes    = 8 << 20
	// maxBatchBytes bounds the payloads of one Exchange, unless a single
	// payload, such as a snapshot, is longer.
	maxBatchBytes = 1 << 20

	// maxCalls bounds the calls under way to one peer. With one, each message
	// waits for the round trip of the call before it.
	maxCalls = 4

	callTimeout = time.Second
	// bytesPerSecond is the least speed a peer is given time for.
	bytesPerSecond = 4 << 20

	minBackoff = 20 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Stamper gives and takes the hybrid logical clock stamps that each Exchange carries.
type Clock interface {
	Timestamp() (wallMS int64, logical uint32)
	Observe(wallMS int64, logical uint32)
}

// Config is the fixed part of a Transport.
type Config struct {
	// ID is this instance.
	ID string
	// Bearer is the value of the Authorization header, such as "Bearer x".
	Bearer string
	// Stamper may be nil.
	Clock Clock
	// Dial opens connections to peers; nil means TCP.
	Dial rpc.Dial
	// Blocks cuts peers off in tests; nil otherwise.
	BlockedPeers *BlockedPeers
}

// Transport sends payloads to peers. It is safe for concurrent use.
type Transport struct {
	cfg Config

	mu      sync.Mutex
	links   map[string]*peerLink
	running *errgroup.Group
	ctx     context.Context
}

// New returns a transport without peers.
func New(cfg Config) *Transport {
	return &Transport{cfg: cfg, links: map[string]*peerLink{}}
}

// SetPeer says where a peer is reached, as host:port. Setting another address
// moves the peer; what is queued for it goes there.
func (t *Transport) SetPeer(id, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[id]
	if l == nil {
		l = newPeerLink(t.cfg, id)
		t.links[id] = l
		t.start(l)
	}
	l.setAddress(address)
}

// start runs a link once Run runs. t.mu is held.
func (t *Transport) start(l *peerLink) {
	if t.running == nil {
		return
	}
	ctx := t.ctx
	t.running.Go(func() error { return l.run(ctx) })
}

// Run sends what is queued until ctx ends.
func (t *Transport) Run(ctx context.Context) error {
	running, ctx := errgroup.WithContext(ctx)
	// Keeps the group open for peers that are set later.
	running.Go(func() error {
		<-ctx.Done()
		t.mu.Lock()
		t.running = nil
		t.mu.Unlock()
		return nil
	})
	t.mu.Lock()
	t.running, t.ctx = running, ctx
	for _, l := range t.links {
		t.start(l)
	}
	t.mu.Unlock()
	return running.Wait()
}

// Send queues a payload of a group for a peer. It doesn't block. Payloads for
// a peer that isn't set are dropped.
func (t *Transport) Send(group, to string, payload []byte) {
	t.mu.Lock()
	l := t.links[to]
	t.mu.Unlock()
	if l != nil {
		l.enqueue(queuedPayload{group, payload})
	}
}

// Stats returns the totals of each peer.
func (t *Transport) Stats() map[string]Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[string]Stats, len(t.links))
	for id, l := range t.links {
		all[id] = l.counters.stats()
	}
	return all
}

// pack makes the request of a batch, the payloads of a group side by side.
func (c *Config) pack(to string, batch []queuedPayload) *apiv1.ExchangeRequest {
	request := &apiv1.ExchangeRequest{FormatVersion: FormatVersion, From: c.ID, To: to}
	byName := map[string]*apiv1.GroupMessages{}
	for _, i := range batch {
		g := byName[i.group]
		if g == nil {
			g = &apiv1.GroupMessages{Group: i.group}
			byName[i.group] = g
			request.Groups = append(request.Groups, g)
		}
		g.Messages = append(g.Messages, i.payload)
	}
	if c.Clock != nil {
		request.WallMs, request.Logical = c.Clock.Timestamp()
	}
	return request
}
