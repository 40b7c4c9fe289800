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
	longWait    = 10 * time.Second
)

// fakeMinion is an HTTP server that counts the requests in progress.
type fakeMinion struct {
	server  *httptest.Server
	address string
	served  atomic.Int64
	running atomic.Int64
	most    atomic.Int64
}

func startMinion(tb testing.TB, handle http.HandlerFunc) *fakeMinion {
	m := &fakeMinion{}
	m.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.served.Add(1)
		n := m.running.Add(1)
		defer m.running.Add(-1)
		for most := m.most.Load(); n > most && !m.most.CompareAndSwap(most, n); most = m.most.Load() {
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

// hall is one data centre: a leader, one entry instance and its minions.
type hall struct {
	leader  *Leader
	handler *Handler
	front   *httptest.Server
	stop    context.CancelFunc
	shared  sync.WaitGroup
	count   int
	ctx     context.Context
}

func startHall(tb testing.TB, change func(*Config)) *hall {
	cfg := Config{
		Balancer:     routing.NewBalancer(routing.Options{Entry: "e1", Incarnation: 1, Seed: 1}),
		Authenticate: func(r *http.Request) (string, error) { return r.Header.Get("Authorization"), nil },
	}
	if change != nil {
		change(&cfg)
	}
	h := &hall{leader: NewLeader(routing.LeaseOptions{}, nil), handler: New(cfg)}
	h.leader.Lead(1, nil)
	h.leader.divider.Lead(1, nil, -time.Hour) // nothing of a predecessor is left
	h.front = httptest.NewServer(h.handler)
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	h.ctx = ctx
	h.shared.Go(func() { h.handler.ShareSlots(ctx, h.share) })
	tb.Cleanup(func() {
		h.front.CloseClientConnections()
		h.front.Close()
		stop()
		h.shared.Wait()
	})
	return h
}

func (h *hall) share(_ context.Context, req *apiv1.ShareSlotsRequest) (*apiv1.ShareSlotsResponse, error) {
	return h.leader.Share(req)
}

// announce adds a minion and returns when its slots are granted.
func (h *hall) announce(m *fakeMinion) {
	h.count++
	a := &apiv1.AnnounceRequest{
		Minion:         fmt.Sprintf("m%d", h.count),
		Service:        testService,
		Address:        m.address,
		Slots:          testSlots,
		MaxConnections: 60,
		Incarnation:    1,
	}
	h.handler.Announce(a)
	for h.handler.Stats().GrantedSlots < h.count*testSlots {
		time.Sleep(time.Millisecond)
	}
	h.shared.Go(func() {
		for h.ctx.Err() == nil {
			select {
			case <-h.ctx.Done():
			case <-time.After(announceEvery):
				h.handler.Announce(a)
			}
		}
	})
}

const announceEvery = 500 * time.Millisecond

// answer is what a caller got.
type answer struct {
	status int
	kind   string
	body   string
	err    error
}

func (h *hall) call(header http.Header, method, path string, body io.Reader) answer {
	req, err := http.NewRequest(method, h.front.URL+Prefix+testService+path, body)
	if err != nil {
		return answer{err: err}
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, kind: resp.Header.Get(fault.HeaderKind), body: string(got), err: err}
}

func TestRequestReachesMinionWithoutToken(t *testing.T) {
	h := startHall(t, nil)
	h.announce(startMinion(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s?%s %s token=%q customer=%q", r.Method, r.URL.EscapedPath(), r.URL.RawQuery, body,
			r.Header.Get("Authorization"), r.Header.Get(HeaderCustomer))
	}))
	header := http.Header{"Authorization": {"rackwise"}, HeaderCustomer: {"forged"}}
	got := h.call(header, http.MethodPost, "/tags/a%2Fb?x=1", strings.NewReader("hello"))
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, `POST /tags/a%2Fb?x=1 hello token="" customer="rackwise"`, got.body)
}

// A caller would see half a report and take it for all of it. The minion dies
// after it has sent part of an answer, a short one with a length or a long one
// in chunks.
func TestCutAnswerNeverLooksWhole(t *testing.T) {
	h := startHall(t, nil)
	size := atomic.Int64{}
	h.announce(startMinion(t, func(w http.ResponseWriter, _ *http.Request) {
		if size.Load() < defaultAnswerBuffer {
			w.Header().Set("Content-Length", fmt.Sprint(size.Load()))
		}
		_, _ = w.Write(make([]byte, size.Load()/2))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	size.Store(100)
	got := h.call(nil, http.MethodGet, "/report", nil)
	must.NoError(t, got.err)
	must.Eq(t, fault.Unknown.String(), got.kind)
	size.Store(8 * defaultAnswerBuffer)
	got = h.call(nil, http.MethodGet, "/report", nil)
	must.Error(t, got.err)
}

// The same with an answer that has neither length nor chunks: the end of the
// connection is its only end, and a dying minion makes one too.
func TestAnswerWithoutMarkedEndIsNoAnswer(t *testing.T) {
	h := startHall(t, nil)
	h.announce(startMinion(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it"))
	}))
	got := h.call(nil, http.MethodGet, "/report", nil)
	must.NoError(t, got.err)
	must.Eq(t, fault.Unknown.String(), got.kind)
}

// A guest is billed twice: the minion takes the check-in on a kept connection
// and dies before it answers, and the HTTP transport sends the request again
// by itself. GET is the worst case, since transports hold it for safe.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	h := startHall(t, nil)
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
	h.announce(m)
	must.Eq(t, http.StatusOK, h.call(nil, http.MethodGet, "/checkin", nil).status)
	dying.Store(true)
	before := m.served.Load()
	for range 3 {
		header := http.Header{"Idempotency-Key": {"k"}}
		got := h.call(header, http.MethodGet, "/checkin", nil)
		must.NoError(t, got.err)
		must.StrContains(t, "Unknown Overloaded", got.kind)
	}
	must.LessEq(t, before+3, m.served.Load())
	must.LessEq(t, int64(h.handler.Stats().Balancer.Started), m.served.Load())
}

// A minion is gone but not yet known to be: connecting is refused. Nothing was
// sent, so even a request that isn't idempotent goes on to another minion.
func TestRefusedConnectionIsTriedElsewhere(t *testing.T) {
	h := startHall(t, nil)
	dead := startMinion(t, func(http.ResponseWriter, *http.Request) {})
	dead.server.Close()
	h.announce(dead)
	h.announce(startMinion(t, func(http.ResponseWriter, *http.Request) {}))
	for range 30 {
		got := h.call(nil, http.MethodPost, "/tag", strings.NewReader("x"))
		must.NoError(t, got.err)
		must.Eq(t, http.StatusOK, got.status)
	}
}

// The caller hangs up while the minion works: the minion must see it, and no
// answer goes anywhere else.
func TestCallerGoneCancelsMinion(t *testing.T) {
	h := startHall(t, nil)
	seen, started := make(chan struct{}), make(chan struct{})
	h.announce(startMinion(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(seen)
	}))
	ctx, hangUp := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.front.URL+Prefix+testService+"/x", nil)
	must.NoError(t, err)
	go func() {
		<-started
		hangUp()
	}()
	_, err = http.DefaultClient.Do(req)
	must.ErrorIs(t, err, context.Canceled)
	waitFor(t, seen)
}

func waitFor(t *testing.T, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(longWait):
		t.Fatal("never happened")
	}
}

// A rolling restart drops requests: the process exits while a minion still
// works for a caller.
func TestDrainFinishesRequestsInProgress(t *testing.T) {
	h := startHall(t, nil)
	started, goOn := make(chan struct{}), make(chan struct{})
	h.announce(startMinion(t, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-goOn
		_, _ = io.WriteString(w, "whole")
	}))
	answers := make(chan answer, 1)
	go func() { answers <- h.call(nil, http.MethodGet, "/slow", nil) }()
	waitFor(t, started)
	h.handler.StopAccepting()
	must.Eq(t, fault.Overloaded.String(), h.call(nil, http.MethodGet, "/new", nil).kind)
	short, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	must.Error(t, h.handler.Wait(short))
	close(goOn)
	must.Eq(t, "whole", (<-answers).body)
	must.NoError(t, h.handler.Wait(context.Background()))
	h.stop()
	h.shared.Wait()
	must.True(t, h.leader.divider.Occupied("m1") == 0)
}

// More requests than slots: the minion must never see more than its slots.
func TestMinionNeverOverItsSlots(t *testing.T) {
	h := startHall(t, nil)
	m := startMinion(t, func(http.ResponseWriter, *http.Request) { time.Sleep(2 * time.Millisecond) })
	h.announce(m)
	var callers sync.WaitGroup
	var answered atomic.Int64
	for range 40 {
		callers.Go(func() {
			for range 10 {
				if h.call(nil, http.MethodGet, "/x", nil).status == http.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	callers.Wait()
	must.LessEq(t, int64(testSlots), m.most.Load())
	must.Positive(t, answered.Load())
}

func TestLimitsAndBadHeaders(t *testing.T) {
	h := startHall(t, func(c *Config) { c.MaxBody = 10 })
	h.announce(startMinion(t, func(http.ResponseWriter, *http.Request) {}))
	must.Eq(t, "Invalid", h.call(nil, http.MethodPost, "/x", strings.NewReader("longer than ten")).kind)
	must.Eq(t, "Invalid", h.call(nil, http.MethodPost, "/x", struct{ io.Reader }{strings.NewReader("longer than ten")}).kind)
	must.Eq(t, "Invalid", h.call(http.Header{HeaderDeadline: {"soon"}}, http.MethodGet, "/x", nil).kind)
	must.Eq(t, "Invalid", h.call(http.Header{HeaderIdempotent: {"maybe"}}, http.MethodGet, "/x", nil).kind)
	must.Eq(t, int64(0), h.handler.buffered.Load())
}

// A paused process wakes up after its slot lease ended and goes on to write
// the request: the slot belongs to another entry instance by then.
func TestNoByteAfterTheLease(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	defer near.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	now := time.Second
	c := &guardedConn{Conn: near, onClose: func() {}}
	s := &sending{now: func() time.Duration { return now }, validUntil: time.Second}
	c.sending.Store(s)
	_, err := c.Write([]byte("GET"))
	must.ErrorIs(t, err, errLeaseEnded)
	must.False(t, s.wrote())
	must.True(t, s.wasLate())
}
