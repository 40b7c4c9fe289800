package peer

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
)

const bearer = "Bearer peer"

// instance is a Transport and the server that its peers call.
type instance struct {
	*Transport
	mux          *Mux
	blockedPeers *BlockedPeers
	listener     *Listener
	server       *http.Server
	// beforeExchange, if set, is called at the start of each Exchange and may delay it.
	beforeExchange func()

	mu       sync.Mutex
	payloads []string
	requests int
}

// service implements apiv1.Peer with the Mux of an instance, as a daemon does.
type service struct {
	apiv1.Peer
	*instance
}

func (s service) Exchange(ctx context.Context, r *apiv1.ExchangeRequest) (*apiv1.ExchangeResponse, error) {
	if s.beforeExchange != nil {
		s.beforeExchange()
	}
	s.mu.Lock()
	s.requests++
	s.mu.Unlock()
	return s.mux.Exchange(ctx, r)
}

func newInstance(t *testing.T, id string, cfg Config) *instance {
	cfg.ID, cfg.Bearer, cfg.BlockedPeers = id, bearer, new(BlockedPeers)
	i := &instance{Transport: New(cfg), mux: NewMux(cfg), blockedPeers: cfg.BlockedPeers}
	i.mux.Register("log", func(from string, payload []byte) error {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.payloads = append(i.payloads, from+":"+string(payload))
		return nil
	})
	i.serve(t, "127.0.0.1:0")
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- i.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-ended)
		_ = i.server.Close()
	})
	return i
}

func (i *instance) serve(t *testing.T, address string) {
	l, err := net.Listen("tcp", address)
	must.NoError(t, err)
	i.listener = NewListener(l)
	twirpServer := apiv1.NewPeerServer(service{instance: i}, twirp.WithServerInterceptors(rpc.ErrorInterceptor()))
	i.server = rpc.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != bearer {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		twirpServer.ServeHTTP(w, r)
	}))
	go func(s *http.Server, l net.Listener) { _ = s.Serve(l) }(i.server, i.listener)
}

func (i *instance) address() string { return i.listener.Addr().String() }

func (i *instance) delivered() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]string(nil), i.payloads...)
}

// eventuallyTimeout bounds the wait for a condition.
const eventuallyTimeout = 30 * time.Second

// eventually waits until condition holds; awaited names the condition in the error.
func eventually(t *testing.T, awaited string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(eventuallyTimeout); !condition(); time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprint("timed out waiting for: "+awaited))
	}
}

func TestPayloadsArriveInOrderAndAreCounted(t *testing.T) {
	a, b := newInstance(t, "a", Config{}), newInstance(t, "b", Config{})
	a.SetPeer("b", b.address())
	a.Send("log", "b", []byte("1"))
	a.Send("unknown group", "b", []byte("x"))
	a.Send("log", "nobody", []byte("x"))
	a.Send("log", "b", []byte("2"))
	eventually(t, "both payloads", func() bool { return len(b.delivered()) == 2 })
	must.Eq(t, []string{"a:1", "a:2"}, b.delivered())
	eventually(t, "the response", func() bool { return a.Stats()["b"].Payloads == 3 })
	received, refused := b.mux.Counters()
	must.Eq(t, 2, received)
	must.Eq(t, 1, refused)
	stats := a.Stats()["b"]
	must.Eq(t, 1, stats.Dials)
	must.Positive(t, stats.BytesSent)
	must.Positive(t, stats.BytesReceived)
	// Frames that follow the response, such as a window update, may still be in flight.
	eventually(t, "all bytes", func() bool {
		_, in := b.listener.Bytes()
		return a.Stats()["b"].BytesSent == in
	})
}

// queuedPayloads is the number of payloads sent while a peer's response is awaited.
const queuedPayloads = 100

// A peer responds slowly. Payloads that are queued while a response is awaited must share
// one call. With one call for each payload, a slow peer would cost more than a fast one.
func TestQueuedPayloadsShareOneCall(t *testing.T) {
	a, b := newInstance(t, "a", Config{}), newInstance(t, "b", Config{})
	release, entered := make(chan struct{}), make(chan struct{}, 100)
	b.beforeExchange = func() {
		entered <- struct{}{}
		<-release
	}
	a.SetPeer("b", b.address())
	for range maxCalls {
		a.Send("log", "b", []byte("first"))
		<-entered
	}
	for range queuedPayloads {
		a.Send("log", "b", []byte("more"))
		// The pause gives a surplus call time to start; the assertions don't depend on it.
		time.Sleep(100 * time.Microsecond)
	}
	close(release)
	eventually(t, "all payloads", func() bool { return len(b.delivered()) == maxCalls+queuedPayloads })
	must.Eq(t, maxCalls+1, b.requests)
}

// A peer vanishes with several calls in flight. Its connection stays open while any call
// uses it, and a new call on it would be lost too. After a failure no call may start until
// all have ended.
func TestNoCallStartsAfterFailureUntilAllEnd(t *testing.T) {
	a, b := newInstance(t, "a", Config{}), newInstance(t, "b", Config{})
	entered, fail, finish := make(chan int, 100), make(chan struct{}), make(chan struct{})
	var calls atomic.Int64
	b.beforeExchange = func() {
		n := calls.Add(1)
		entered <- int(n)
		switch n {
		case 1:
			<-fail
			panic(http.ErrAbortHandler)
		case 2:
			<-finish
		}
	}
	a.SetPeer("b", b.address())
	a.Send("log", "b", []byte("fails"))
	must.Eq(t, 1, <-entered)
	a.Send("log", "b", []byte("hangs"))
	must.Eq(t, 2, <-entered)
	close(fail)
	eventually(t, "the failure", func() bool { return a.Stats()["b"].Failures == 1 })
	a.Send("log", "b", []byte("waits"))
	// The pause gives a premature call time to start; the assertions don't depend on it.
	time.Sleep(3 * minBackoff)
	close(finish)
	must.Eq(t, 3, <-entered)
	eventually(t, "the payloads", func() bool { return len(b.delivered()) == 2 })
	must.Eq(t, 2, a.Stats()["b"].Dials)
}

// A peer is unreachable for a long time. The queue must stay bounded. It must drop the
// oldest payloads first, because the logs no longer need them.
func TestFullQueueDropsOldestPayloads(t *testing.T) {
	l := newPeerLink(Config{}, "b")
	for i := range maxQueuePayloads + 3 {
		l.enqueue(queuedPayload{"log", []byte{byte(i)}})
	}
	must.Len(t, maxQueuePayloads, l.queue)
	must.Eq(t, byte(3), l.queue[0].payload[0])
	must.Eq(t, 3, l.counters.dropped.Load())
	l.enqueue(queuedPayload{"log", make([]byte, 2*maxQueueBytes)})
	must.Len(t, 1, l.queue)
	batch, size, _ := l.nextBatch()
	must.Len(t, 1, batch)
	must.Eq(t, 2*maxQueueBytes, size)
	must.Zero(t, l.queuedBytes)
}

// A peer restarts, and calls on the old connection fail. The link must connect to the
// new process without a busy retry loop.
func TestLinkReconnectsAfterPeerRestart(t *testing.T) {
	a, b := newInstance(t, "a", Config{}), newInstance(t, "b", Config{})
	a.SetPeer("b", b.address())
	a.Send("log", "b", []byte("before"))
	eventually(t, "the first payload", func() bool { return len(b.delivered()) == 1 })
	must.NoError(t, b.server.Close())
	a.Send("log", "b", []byte("lost"))
	eventually(t, "a failure", func() bool { return a.Stats()["b"].Failures > 0 })
	b.serve(t, b.address())
	eventually(t, "a payload after the restart", func() bool {
		a.Send("log", "b", []byte("after"))
		got := b.delivered()
		return strings.HasSuffix(got[len(got)-1], "after")
	})
}

// A test simulates a partition at one instance only. Payloads must be dropped whether the
// sender or the receiver is the one that blocks its peer.
func TestBlockedPeerIsBlockedBothWays(t *testing.T) {
	a, b := newInstance(t, "a", Config{}), newInstance(t, "b", Config{})
	a.SetPeer("b", b.address())
	a.blockedPeers.SetBlocked("b", true)
	a.Send("log", "b", []byte("blocked by a"))
	eventually(t, "the drop", func() bool { return a.Stats()["b"].Dropped == 1 })
	a.blockedPeers.SetBlocked("b", false)
	b.blockedPeers.SetBlocked("a", true)
	a.Send("log", "b", []byte("blocked by b"))
	eventually(t, "the call", func() bool { return a.Stats()["b"].Payloads == 1 })
	b.blockedPeers.SetBlocked("a", false)
	a.Send("log", "b", []byte("open"))
	eventually(t, "the payload", func() bool { return len(b.delivered()) == 1 })
	must.Eq(t, []string{"a:open"}, b.delivered())
}

// An address is reassigned to another instance, or to a program with another format
// version. Its logs must not accept payloads that aren't meant for them.
func TestExchangeForOtherInstanceOrVersionIsRefused(t *testing.T) {
	m := NewMux(Config{ID: "b"})
	for _, r := range []*apiv1.ExchangeRequest{
		{FormatVersion: FormatVersion, From: "a", To: "c"},
		{FormatVersion: FormatVersion + 1, From: "a", To: "b"},
	} {
		_, err := m.Exchange(t.Context(), r)
		must.True(t, fault.Is(err, fault.Invalid))
	}
	a, b := newInstance(t, "a", Config{}), newInstance(t, "b", Config{})
	a.SetPeer("c", b.address())
	a.Send("log", "c", []byte("for c"))
	eventually(t, "the refusal", func() bool { return a.Stats()["c"].Failures == 1 })
	must.SliceEmpty(t, b.delivered())
}

// fixedClock is a Clock with a constant timestamp. It sends the sum of the wall time and the
// counter of each observed timestamp to observed.
type fixedClock struct{ observed chan int64 }

func (c fixedClock) Timestamp() (int64, uint32) { return 1234, 5 }

func (c fixedClock) Observe(wallMS int64, logical uint32) { c.observed <- wallMS + int64(logical) }

func TestTimestampsAreExchanged(t *testing.T) {
	clock := fixedClock{make(chan int64, 1)}
	a, b := newInstance(t, "a", Config{Clock: clock}), newInstance(t, "b", Config{Clock: clock})
	a.SetPeer("b", b.address())
	a.Send("log", "b", []byte("1"))
	must.Eq(t, 1239, <-clock.observed)
}
