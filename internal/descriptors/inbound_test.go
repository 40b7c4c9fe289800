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

// fakeCounter is a Counter that keeps its counts.
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

// startLimitedServer starts a limited server that completes requests for / immediately and
// keeps requests for /held open until the test ends.
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
	limiter := LimitServer(server.Config, "test", limit, limitPerHost, counter)
	server.Start()
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(released) })
	return server, limiter, counter
}

// requestOnNewConn makes one request on a new connection from a local address. It returns
// the connection, which stays open, and whether the request got a response.
func requestOnNewConn(t *testing.T, server *httptest.Server, from, path string) (net.Conn, bool) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	conn, err := dialer.Dial("tcp", server.Listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn, requestOn(conn, path)
}

// responseTimeout bounds the wait for a response.
const responseTimeout = 5 * time.Second

// requestOn makes one request on a connection and reports whether it got a response.
func requestOn(conn net.Conn, path string) bool {
	if _, err := conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(responseTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && response.StatusCode == http.StatusOK
}

const localAddress = "127.0.0.1"

// Guards against running out of descriptors: after a network partition a thousand callers
// reconnect at once while their old connections are still open, the log can't open a file
// and the process exits. Each new connection must be served and an idle one closed for it.
func TestNewConnectionClosesLongestIdleOne(t *testing.T) {
	server, limiter, counter := startLimitedServer(t, 4, false)
	for range 40 {
		_, responded := requestOnNewConn(t, server, localAddress, "/")
		must.True(t, responded)
		limiter.awaitIdle(t)
	}
	must.LessEq(t, 4, limiter.openCount())
	must.Eq(t, 36, counter.get("test_connections_closed_idle"))
}

// Guards against aborted requests: at the limit, with a request in flight on each
// connection, the new connection must be closed and the others stay.
func TestActiveConnectionIsNeverClosedForNewOne(t *testing.T) {
	server, limiter, counter := startLimitedServer(t, 3, false)
	for range 3 {
		_, responded := requestOnNewConn(t, server, localAddress, "/held")
		must.True(t, responded)
	}
	_, responded := requestOnNewConn(t, server, localAddress, "/")
	must.False(t, responded)
	must.Eq(t, 1, counter.get("test_connections_refused"))
	must.Eq(t, 3, limiter.openCount())
}

// Guards against one host that takes all connections: a worker opens more and
// more connections, and the idle connections of others are closed for them.
func TestHostAtItsLimitLosesOnlyItsOwnConnections(t *testing.T) {
	server, limiter, counter := startLimitedServer(t, 16, true)
	otherHost, responded := requestOnNewConn(t, server, "127.0.0.7", "/")
	must.True(t, responded)
	for range 50 {
		_, responded = requestOnNewConn(t, server, "127.0.0.9", "/")
		must.True(t, responded, must.Sprintf("refused: %d", counter.get("test_connections_refused")))
		limiter.awaitIdle(t)
	}
	must.LessEq(t, 1+16/perHostDivisor, limiter.openCount())
	must.True(t, requestOn(otherHost, "/"))
}

// Clients close their connections. If these were still counted, the server would reach its
// limit with few open connections.
func TestClosedConnectionsAreNoLongerCounted(t *testing.T) {
	server, limiter, _ := startLimitedServer(t, 2, true)
	conn, responded := requestOnNewConn(t, server, localAddress, "/")
	must.True(t, responded)
	must.NoError(t, conn.Close())
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return limiter.openCount() == 0 })))
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	must.MapEmpty(t, limiter.hosts)
	must.Eq(t, 0, limiter.idle.Len())
}

// openCount returns the number of open connections.
func (l *InboundLimiter) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// awaitIdle waits until the server counts all its connections as idle. A client may read
// the response earlier, and a connection that counts as active isn't closed for a new one.
func (l *InboundLimiter) awaitIdle(t *testing.T) {
	must.Wait(t, wait.InitialSuccess(wait.Gap(time.Millisecond), wait.BoolFunc(func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.idle.Len() == len(l.conns)
	})))
}
