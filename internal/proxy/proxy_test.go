package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/routing"
)

const (
	testService = "inspect-hub"
	testSlots   = 8
	// waitTimeout bounds the wait for an event that a test expects.
	waitTimeout = 10 * time.Second
	// pollInterval is the interval at which tests check a condition.
	pollInterval = time.Millisecond
	// longAgo is a reading of a leader's clock. All leases that were in force at that
	// time have expired.
	longAgo = -time.Hour
)

// fakeMinion is an HTTP server that counts the requests that it has served, the requests
// that are running, and the maximum number that ran at the same time.
type fakeMinion struct {
	server     *httptest.Server
	address    string
	served     atomic.Int64
	running    atomic.Int64
	maxRunning atomic.Int64
}

// startMinion starts a minion that serves its requests with handle.
func startMinion(tb testing.TB, handle http.HandlerFunc) *fakeMinion {
	m := &fakeMinion{}
	m.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.served.Add(1)
		n := m.running.Add(1)
		defer m.running.Add(-1)
		for previousMax := m.maxRunning.Load(); n > previousMax && !m.maxRunning.CompareAndSwap(previousMax, n); previousMax = m.maxRunning.Load() {
		}
		handle(w, r)
	}))
	m.address = m.server.Listener.Addr().String()
	tb.Cleanup(func() {
		m.server.CloseClientConnections()
		m.server.Close()
	})
	return m
}

// testCluster is one data centre with a slot allocator, one entry instance and minions.
type testCluster struct {
	slots       *SlotAllocator
	handler     *Handler
	server      *httptest.Server
	stop        context.CancelFunc
	background  sync.WaitGroup
	minionCount int
	ctx         context.Context
}

// startTestCluster starts a cluster without minions. configure, if not nil, changes the
// configuration of its handler.
func startTestCluster(tb testing.TB, configure func(*Config)) *testCluster {
	cfg := Config{
		Balancer:     routing.NewBalancer(routing.Options{Entry: "e1", Incarnation: 1, Seed: 1}),
		Authenticate: func(r *http.Request) (string, error) { return r.Header.Get("Authorization"), nil },
	}
	if configure != nil {
		configure(&cfg)
	}
	c := &testCluster{slots: NewSlotAllocator(routing.LeaseOptions{}, nil), handler: New(cfg)}
	c.slots.Lead(1, nil)
	c.slots.allocator.Lead(1, nil, longAgo) // the leases of a predecessor have expired
	c.server = httptest.NewServer(c.handler)
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.ctx = ctx
	c.background.Go(func() { c.handler.RenewSlotLeases(ctx, c.allocate) })
	tb.Cleanup(func() {
		c.server.CloseClientConnections()
		c.server.Close()
		stop()
		c.background.Wait()
	})
	return c
}

func (c *testCluster) allocate(_ context.Context, req *apiv1.ShareSlotsRequest) (*apiv1.ShareSlotsResponse, error) {
	return c.slots.Allocate(req)
}

// announce adds a minion, waits until its slots are granted, and renews its
// announcement until the cluster stops.
func (c *testCluster) announce(m *fakeMinion) {
	c.minionCount++
	a := &apiv1.AnnounceRequest{
		Minion:         fmt.Sprintf("m%d", c.minionCount),
		Service:        testService,
		Address:        m.address,
		Slots:          testSlots,
		MaxConnections: 60,
		Incarnation:    1,
	}
	c.handler.Announce(a)
	for c.handler.Stats().GrantedSlots < c.minionCount*testSlots {
		time.Sleep(pollInterval)
	}
	c.background.Go(func() {
		for c.ctx.Err() == nil {
			select {
			case <-c.ctx.Done():
			case <-time.After(announceInterval):
				c.handler.Announce(a)
			}
		}
	})
}

// announceInterval is the interval at which a minion of a testCluster repeats its
// announcement.
const announceInterval = 500 * time.Millisecond

// callerResponse is the response that a caller received, or the error.
type callerResponse struct {
	status int
	kind   string
	body   string
	err    error
}

// send sends a request for the test service through the handler.
func (c *testCluster) send(header http.Header, method, path string, body io.Reader) callerResponse {
	req, err := http.NewRequest(method, c.server.URL+Prefix+testService+path, body)
	if err != nil {
		return callerResponse{err: err}
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return callerResponse{status: resp.StatusCode, kind: resp.Header.Get(fault.HeaderKind), body: string(got), err: err}
}

func TestRequestReachesMinionWithoutToken(t *testing.T) {
	cluster := startTestCluster(t, nil)
	cluster.announce(startMinion(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s?%s %s token=%q customer=%q", r.Method, r.URL.EscapedPath(), r.URL.RawQuery, body,
			r.Header.Get("Authorization"), r.Header.Get(HeaderCustomer))
	}))
	header := http.Header{"Authorization": {"rackwise"}, HeaderCustomer: {"forged"}}
	got := cluster.send(header, http.MethodPost, "/tags/a%2Fb?x=1", strings.NewReader("hello"))
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, `POST /tags/a%2Fb?x=1 hello token="" customer="rackwise"`, got.body)
}

// Guards against a caller that takes part of a response for the whole: the minion dies
// after it has sent half of its response, either a short one with a length or a long one
// in chunks.
func TestTruncatedResponseNeverLooksComplete(t *testing.T) {
	cluster := startTestCluster(t, nil)
	size := atomic.Int64{}
	cluster.announce(startMinion(t, func(w http.ResponseWriter, _ *http.Request) {
		if size.Load() < defaultResponseBuffer {
			w.Header().Set("Content-Length", fmt.Sprint(size.Load()))
		}
		_, _ = w.Write(make([]byte, size.Load()/2))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	size.Store(100)
	got := cluster.send(nil, http.MethodGet, "/report", nil)
	must.NoError(t, got.err)
	must.Eq(t, fault.Unknown.String(), got.kind)
	size.Store(8 * defaultResponseBuffer)
	got = cluster.send(nil, http.MethodGet, "/report", nil)
	must.Error(t, got.err)
}

// Guards against a truncated response that looks complete: a response with neither length
// nor chunks ends with its connection, and the death of the minion closes the connection
// in the same way.
func TestCloseDelimitedResponseCountsAsTruncated(t *testing.T) {
	cluster := startTestCluster(t, nil)
	cluster.announce(startMinion(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it"))
	}))
	got := cluster.send(nil, http.MethodGet, "/report", nil)
	must.NoError(t, got.err)
	must.Eq(t, fault.Unknown.String(), got.kind)
}

// Guards against a request that runs twice, such as a check-in that is billed twice:
// the minion receives the request on a kept-alive connection and dies before it responds,
// and the HTTP transport retries the request by itself. Transports regard GET as
// safe to retry, so the test uses GET.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	cluster := startTestCluster(t, nil)
	var dying atomic.Bool
	m := startMinion(t, func(w http.ResponseWriter, _ *http.Request) {
		if !dying.Load() {
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			conn.Close()
		}
	})
	cluster.announce(m)
	must.Eq(t, http.StatusOK, cluster.send(nil, http.MethodGet, "/checkin", nil).status)
	dying.Store(true)
	const requests = 3
	before := m.served.Load()
	for range requests {
		header := http.Header{"Idempotency-Key": {"k"}}
		got := cluster.send(header, http.MethodGet, "/checkin", nil)
		must.NoError(t, got.err)
		must.StrContains(t, "Unknown Overloaded", got.kind)
	}
	must.LessEq(t, before+requests, m.served.Load())
	must.LessEq(t, int64(cluster.handler.Stats().Balancer.Started), m.served.Load())
}

// Guards against a request that fails because its minion has died and the entry instance
// doesn't know yet. The connection is refused, so nothing was sent, and even a request
// that isn't idempotent is retried on another minion.
func TestRefusedConnectionIsRetriedOnAnotherMinion(t *testing.T) {
	cluster := startTestCluster(t, nil)
	dead := startMinion(t, func(http.ResponseWriter, *http.Request) {})
	dead.server.Close()
	cluster.announce(dead)
	cluster.announce(startMinion(t, func(http.ResponseWriter, *http.Request) {}))
	for range 30 {
		got := cluster.send(nil, http.MethodPost, "/tag", strings.NewReader("x"))
		must.NoError(t, got.err)
		must.Eq(t, http.StatusOK, got.status)
	}
}

// Guards against a minion that keeps working for a caller that has
// disconnected: the disconnect must cancel the request on the minion.
func TestCallerDisconnectCancelsMinionRequest(t *testing.T) {
	cluster := startTestCluster(t, nil)
	cancelled, started := make(chan struct{}), make(chan struct{})
	cluster.announce(startMinion(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(cancelled)
	}))
	ctx, disconnect := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, cluster.server.URL+Prefix+testService+"/x", nil)
	must.NoError(t, err)
	go func() {
		<-started
		disconnect()
	}()
	_, err = http.DefaultClient.Do(req)
	must.ErrorIs(t, err, context.Canceled)
	waitFor(t, cancelled)
}

// waitFor fails the test if done isn't closed within waitTimeout.
func waitFor(t *testing.T, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(waitTimeout):
		t.Fatal("timed out waiting for the minion")
	}
}

// Guards against a rolling restart that drops requests: the process exits while a minion
// still works on a request.
func TestDrainFinishesRequestsInFlight(t *testing.T) {
	cluster := startTestCluster(t, nil)
	started, unblock := make(chan struct{}), make(chan struct{})
	cluster.announce(startMinion(t, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-unblock
		_, _ = io.WriteString(w, "whole")
	}))
	responses := make(chan callerResponse, 1)
	go func() { responses <- cluster.send(nil, http.MethodGet, "/slow", nil) }()
	waitFor(t, started)
	cluster.handler.StopAccepting()
	must.Eq(t, fault.Overloaded.String(), cluster.send(nil, http.MethodGet, "/new", nil).kind)
	shortCtx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	must.Error(t, cluster.handler.Wait(shortCtx))
	close(unblock)
	must.Eq(t, "whole", (<-responses).body)
	must.NoError(t, cluster.handler.Wait(context.Background()))
	cluster.stop()
	cluster.background.Wait()
	must.True(t, cluster.slots.allocator.Occupied("m1") == 0)
}

// Guards against an overloaded minion: more requests are sent at the same time than the
// minion has slots. The minion must never run more requests at the same time than it has
// slots.
func TestMinionNeverExceedsItsSlots(t *testing.T) {
	const callerCount, requestsEach = 40, 10
	const requestDuration = 2 * time.Millisecond
	cluster := startTestCluster(t, nil)
	m := startMinion(t, func(http.ResponseWriter, *http.Request) { time.Sleep(requestDuration) })
	cluster.announce(m)
	var callers sync.WaitGroup
	var succeeded atomic.Int64
	for range callerCount {
		callers.Go(func() {
			for range requestsEach {
				if cluster.send(nil, http.MethodGet, "/x", nil).status == http.StatusOK {
					succeeded.Add(1)
				}
			}
		})
	}
	callers.Wait()
	must.LessEq(t, int64(testSlots), m.maxRunning.Load())
	must.Positive(t, succeeded.Load())
}

func TestOversizedBodiesAndInvalidHeadersAreRejected(t *testing.T) {
	cluster := startTestCluster(t, func(cfg *Config) { cfg.MaxBody = 10 })
	cluster.announce(startMinion(t, func(http.ResponseWriter, *http.Request) {}))
	must.Eq(t, "Invalid", cluster.send(nil, http.MethodPost, "/x", strings.NewReader("longer than ten")).kind)
	must.Eq(t, "Invalid", cluster.send(nil, http.MethodPost, "/x", struct{ io.Reader }{strings.NewReader("longer than ten")}).kind)
	must.Eq(t, "Invalid", cluster.send(http.Header{HeaderDeadline: {"soon"}}, http.MethodGet, "/x", nil).kind)
	must.Eq(t, "Invalid", cluster.send(http.Header{HeaderIdempotent: {"maybe"}}, http.MethodGet, "/x", nil).kind)
	must.Eq(t, int64(0), cluster.handler.bufferedBytes.Load())
}

// Guards against a request without a slot: a process that was paused resumes after
// its slot lease expired and writes the request, while the slot belongs to another
// entry instance.
func TestNothingIsWrittenAfterLeaseExpiry(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	defer local.Close()
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	now := time.Second
	conn := &guardedConn{Conn: local, onClose: func() {}}
	g := &writeGuard{now: func() time.Duration { return now }, validUntil: time.Second}
	conn.guard.Store(g)
	_, err := conn.Write([]byte("GET"))
	must.ErrorIs(t, err, errLeaseExpired)
	must.False(t, g.wrote())
	must.True(t, g.expiredUnsent())
}
