package descriptors

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// counts is a Counter for tests.
type fakeCounter struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (c *fakeCounter) Add(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int64{}
	}
	c.counts[name] += n
}

func (c *fakeCounter) get(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[name]
}

// startLimitedServer serves / at once and /held until the test ends.
func startLimitedServer(t *testing.T, limit int, limitPerHost bool) (*httptest.Server, *InboundLimiter, *fakeCounter) {
	released := make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/held", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-released
	})
	server := httptest.NewUnstartedServer(mux)
	counter := &fakeCounter{}
	in := LimitServer(server.Config, "test", limit, limitPerHost, counter)
	server.Start()
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(released) })
	return server, in, counter
}

// request makes one request on a new connection, which stays open, and returns whether
// it was answered.
func requestOnNewConn(t *testing.T, server *httptest.Server, from, path string) (net.Conn, bool) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	conn, err := dialer.Dial("tcp", server.Listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn, requestOn(conn, path)
}

func requestOn(conn net.Conn, path string) bool {
	if _, err := conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && response.StatusCode == http.StatusOK
}

const local = "127.0.0.1"

// After a cut a thousand callers connect again at once, and their old connections are
// still open. The process had no descriptor left for its log and ended. Each of them is
// now answered, at the cost of connections that nobody uses.
func TestNewConnectionClosesLongestIdleOne(t *testing.T) {
	server, in, counter := startLimitedServer(t, 4, false)
	for range 40 {
		_, answered := requestOnNewConn(t, server, local, "/")
		must.True(t, answered)
		in.awaitIdle(t)
	}
	must.LessEq(t, 4, in.open())
	must.Eq(t, 36, counter.get("test_connections_closed_idle"))
}

func TestActiveConnectionIsNeverClosedForNewOne(t *testing.T) {
	server, in, counter := startLimitedServer(t, 3, false)
	for range 3 {
		_, answered := requestOnNewConn(t, server, local, "/held")
		must.True(t, answered)
	}
	_, answered := requestOnNewConn(t, server, local, "/")
	must.False(t, answered)
	must.Eq(t, 1, counter.get("test_connections_refused"))
	must.Eq(t, 3, in.open())
}

// One worker opens connections without end, and others lose theirs each time they have
// been idle for a moment.
func TestHostAtItsLimitLosesOnlyItsOwnConnections(t *testing.T) {
	server, in, counter := startLimitedServer(t, 16, true)
	otherHost, answered := requestOnNewConn(t, server, "127.0.0.7", "/")
	must.True(t, answered)
	for range 50 {
		_, answered = requestOnNewConn(t, server, "127.0.0.9", "/")
		must.True(t, answered, must.Sprintf("refused: %d", counter.get("test_connections_refused")))
		in.awaitIdle(t)
	}
	must.LessEq(t, 1+16/perHostDivisor, in.open())
	must.True(t, requestOn(otherHost, "/"))
}

func TestClosedConnectionsAreNoLongerCounted(t *testing.T) {
	server, in, _ := startLimitedServer(t, 2, true)
	conn, answered := requestOnNewConn(t, server, local, "/")
	must.True(t, answered)
	must.NoError(t, conn.Close())
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return in.open() == 0 })))
	in.mu.Lock()
	defer in.mu.Unlock()
	must.MapEmpty(t, in.hosts)
	must.Eq(t, 0, in.idle.Len())
}

// open returns how many connections are open.
func (in *InboundLimiter) open() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.conns)
}

// awaitIdle waits until the server has noted that its requests are answered: a client
// may read the answer before, and a connection that counts as busy isn't closed.
func (in *InboundLimiter) awaitIdle(t *testing.T) {
	must.Wait(t, wait.InitialSuccess(wait.Gap(time.Millisecond), wait.BoolFunc(func() bool {
		in.mu.Lock()
		defer in.mu.Unlock()
		return in.idle.Len() == len(in.conns)
	})))
}
