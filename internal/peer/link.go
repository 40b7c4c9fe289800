package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

// queuedPayload is a payload with the name of its group.
type queuedPayload struct {
	group   string
	payload []byte
}

// peerLink sends payloads to one peer. It has a queue and makes up to maxCalls calls at
// a time.
type peerLink struct {
	cfg  Config
	id   string
	http *http.Client

	mu          sync.Mutex
	queue       []queuedPayload
	queuedBytes int
	address     string
	client      apiv1.Peer

	// session identifies this sender process and is never 0, sequence is the number of its
	// last call, and inFlight is the number of calls that haven't ended. Only run uses
	// them.
	session  uint32
	sequence uint64
	inFlight int
	// results receives, for each ended call, whether it succeeded. Its buffer has space
	// for all calls in flight.
	results chan bool

	// transfers passes large payloads to runTransfers, one at a time: transferring says that one is being sent. It
	// has a buffer of one, so that the sender doesn't wait for runTransfers.
	transfers    chan queuedPayload
	transferring atomic.Bool

	// wake has a buffer of one. A buffered value makes run send the next batch.
	wake     chan struct{}
	counters counters
}

func newPeerLink(cfg Config, id string) *peerLink {
	l := &peerLink{cfg: cfg, id: id, session: rand.Uint32() | 1, wake: make(chan struct{}, 1), transfers: make(chan queuedPayload, 1), results: make(chan bool, maxCalls)}
	l.http = rpc.NewClient(l.dial)
	return l
}

func (l *peerLink) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dial := l.cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: callTimeout}).DialContext
	}
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	l.counters.dials.Add(1)
	return &countedConn{Conn: conn, sent: &l.counters.bytesSent, received: &l.counters.bytesReceived}, nil
}

func (l *peerLink) setAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address == address {
		return
	}
	l.address = address
	l.client = apiv1.NewPeerProtobufClient("http://"+address, l.http)
}

// enqueue adds a payload to the queue, and drops the oldest ones while the queue is
// over its bounds: newer payloads have most likely superseded them.
func (l *peerLink) enqueue(p queuedPayload) {
	l.mu.Lock()
	l.queue = append(l.queue, p)
	l.queuedBytes += len(p.payload)
	for len(l.queue) > maxQueuePayloads || l.queuedBytes > maxQueueBytes && len(l.queue) > 1 {
		l.queuedBytes -= len(l.queue[0].payload)
		l.queue[0] = queuedPayload{}
		l.queue = l.queue[1:]
		l.counters.dropped.Add(1)
	}
	l.mu.Unlock()
	l.signal()
}

// signal makes run send the next batch.
func (l *peerLink) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// nextBatch removes the next batch from the queue. It returns the batch, the size of its
// payloads in bytes, and the client to send the batch with.
func (l *peerLink) nextBatch() ([]queuedPayload, int, apiv1.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, size := 0, 0
	for n < len(l.queue) && (n == 0 || size+len(l.queue[n].payload) <= maxBatchBytes) {
		size += len(l.queue[n].payload)
		n++
	}
	batch := l.queue[:n:n]
	l.queue = l.queue[n:]
	l.queuedBytes -= size
	if len(l.queue) == 0 {
		l.queue = nil
	} else {
		l.signal()
	}
	return batch, size, l.client
}

// run makes calls until ctx ends. While maxCalls are in flight, payloads collect in the
// queue and share the next call.
func (l *peerLink) run(ctx context.Context) error {
	defer l.http.CloseIdleConnections()
	defer l.awaitInFlight()
	var transfers sync.WaitGroup
	transfers.Go(func() { l.runTransfers(ctx) })
	defer transfers.Wait()
	backoff := time.Duration(0)
	for {
		wake := l.wake
		if l.inFlight >= maxCalls {
			wake = nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
			l.sendNext(ctx)
		case ok := <-l.results:
			l.inFlight--
			if ok {
				backoff = 0
				continue
			}
			l.awaitInFlight()
			backoff = min(max(2*backoff, minBackoff), maxBackoff)
			if !wait.For(ctx, backoff) {
				return nil
			}
		}
	}
}

// awaitInFlight waits for the calls in flight and then closes idle connections. After a
// failure no call may start before all have ended: every call on a connection to a vanished
// peer is lost, and the connection can be closed only when no call uses it.
func (l *peerLink) awaitInFlight() {
	for ; l.inFlight > 0; l.inFlight-- {
		<-l.results
	}
	l.http.CloseIdleConnections()
}

// sendNext starts a call with the next batch, if there is one.
func (l *peerLink) sendNext(ctx context.Context) {
	batch, size, client := l.nextBatch()
	if len(batch) == 0 {
		return
	}
	if l.cfg.BlockedPeers.blocked(l.id) {
		l.counters.dropped.Add(uint64(len(batch)))
		return
	}
	l.sequence++
	request := l.cfg.pack(l.id, batch)
	request.Session, request.Sequence = l.session, l.sequence
	l.inFlight++
	go func() { l.results <- l.exchange(ctx, client, request, len(batch), size) }()
}

// timeoutFor returns the timeout of a call whose payloads have size bytes.
func timeoutFor(size int) time.Duration {
	return callTimeout + time.Duration(size)*time.Second/minBytesPerSecond
}

// exchange makes one call with a batch of payloads of size bytes, and reports whether the
// call succeeded. The batch of a failed call is dropped: the logs resend what still
// matters, and resending an old batch would only delay newer payloads.
func (l *peerLink) exchange(ctx context.Context, client apiv1.Peer, request *apiv1.ExchangeRequest, payloads, size int) bool {
	ctx, cancel := context.WithTimeout(ctx, timeoutFor(size))
	defer cancel()
	ctx, err := rpc.WithBearer(ctx, l.cfg.Bearer)
	if err == nil {
		_, err = client.Exchange(ctx, request)
	}
	l.counters.calls.Add(1)
	if err != nil {
		l.counters.failures.Add(1)
		l.counters.dropped.Add(uint64(payloads))
		return false
	}
	l.counters.payloads.Add(uint64(payloads))
	return true
}
