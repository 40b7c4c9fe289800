// Package peer transports messages of replicated logs between the instances of the
// system, over HTTP/2 without TLS. A group is the set of members of one replicated log, and
// a payload is one encoded message of a group.
//
// All groups that two instances share use one sequence of calls. While maxCalls calls are
// in flight, further payloads wait in a queue and share the next call. The receiver
// processes calls in the order in which they were made, but waits only briefly for a lost
// call. A full queue drops its oldest payloads; the logs resend what still matters. A payload that is too
// large for one call is sent in parts, beside the calls of the queue.
package peer

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
)

// FormatVersion is the version of the payload format. A receiver refuses calls of another
// version.
const FormatVersion = 1

// Bounds on a queue, a batch and a call.
const (
	maxQueuePayloads = 4096
	maxQueueBytes    = 8 << 20
	// maxBatchBytes bounds the payloads of one Exchange call, unless a single payload is
	// larger.
	maxBatchBytes = 1 << 20

	// maxCalls bounds the calls in flight to one peer. With one call, each message
	// would wait for the round trip of the call before it.
	maxCalls = 4

	// callTimeout bounds the opening of a connection, and a call apart from the transfer
	// of its payloads. The timeout of a call also allows for a transfer at
	// minBytesPerSecond.
	callTimeout       = time.Second
	minBytesPerSecond = 4 << 20

	// minBackoff and maxBackoff bound the pause after a failed call, which doubles with
	// each failure.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Clock issues and observes the hybrid logical clock timestamps that each Exchange carries.
// wallMS is a wall time in Unix milliseconds, logical the counter that orders events of
// equal wall time.
type Clock interface {
	Timestamp() (wallMS int64, logical uint32)
	Observe(wallMS int64, logical uint32)
}

// Config configures a Transport and a Mux.
type Config struct {
	// ID identifies this instance.
	ID string
	// Bearer is the value of the Authorization header, such as "Bearer x".
	Bearer string
	// Clock may be nil; calls then carry no timestamps.
	Clock Clock
	// Dial opens connections to peers; nil means TCP.
	Dial rpc.Dial
	// BlockedPeers simulates network partitions in tests; nil otherwise.
	BlockedPeers *BlockedPeers
	// MaxTransferBytes bounds a payload that a Mux accepts in parts; 0 for the default.
	MaxTransferBytes int64
	// Logger logs the transfers of payloads in parts; nil for no log.
	Logger log.Logger
}

// log writes a log line if there is a logger.
func (c *Config) log(keyvals ...any) {
	if c.Logger != nil {
		_ = c.Logger.Log(keyvals...)
	}
}

// Transport sends payloads to peers. It is safe for concurrent use.
type Transport struct {
	cfg Config

	mu sync.Mutex
	// links holds the links by the ID of the peer.
	links map[string]*peerLink
	// goroutines holds the goroutines of the links, and ctx ends them. goroutines is nil
	// unless Run is running.
	goroutines *errgroup.Group
	ctx        context.Context
}

// New returns a transport without peers.
func New(cfg Config) *Transport {
	return &Transport{cfg: cfg, links: map[string]*peerLink{}}
}

// SetPeer sets the address of a peer as host:port. A changed address also applies to
// payloads that are already queued.
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

// start runs a link if Run is running. t.mu must be held.
func (t *Transport) start(l *peerLink) {
	if t.goroutines == nil {
		return
	}
	ctx := t.ctx
	t.goroutines.Go(func() error { return l.run(ctx) })
}

// Run sends queued payloads until ctx ends. It always returns nil.
func (t *Transport) Run(ctx context.Context) error {
	running, ctx := errgroup.WithContext(ctx)
	// This goroutine keeps Wait from returning while SetPeer may still start links.
	running.Go(func() error {
		<-ctx.Done()
		t.mu.Lock()
		t.goroutines = nil
		t.mu.Unlock()
		return nil
	})
	t.mu.Lock()
	t.goroutines, t.ctx = running, ctx
	for _, l := range t.links {
		t.start(l)
	}
	t.mu.Unlock()
	return running.Wait()
}

// Send queues a payload of a group for a peer. It doesn't block. Payloads for an
// unknown peer are dropped.
func (t *Transport) Send(group, to string, payload []byte) {
	t.mu.Lock()
	l := t.links[to]
	t.mu.Unlock()
	switch {
	case l == nil:
	case len(payload) > maxWholePayload:
		l.startTransfer(queuedPayload{group, payload})
	default:
		l.enqueue(queuedPayload{group, payload})
	}
}

// Stats returns the totals for each peer, by the peer's ID.
func (t *Transport) Stats() map[string]Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	statsByPeer := make(map[string]Stats, len(t.links))
	for id, l := range t.links {
		statsByPeer[id] = l.counters.stats()
	}
	return statsByPeer
}

// pack returns the request that sends a batch of payloads, collected by group, to the peer
// with the ID to.
func (c *Config) pack(to string, batch []queuedPayload) *apiv1.ExchangeRequest {
	request := &apiv1.ExchangeRequest{FormatVersion: FormatVersion, From: c.ID, To: to}
	byName := map[string]*apiv1.GroupMessages{}
	for _, p := range batch {
		g := byName[p.group]
		if g == nil {
			g = &apiv1.GroupMessages{Group: p.group}
			byName[p.group] = g
			request.Groups = append(request.Groups, g)
		}
		g.Messages = append(g.Messages, p.payload)
	}
	if c.Clock != nil {
		request.WallMs, request.Logical = c.Clock.Timestamp()
	}
	return request
}
