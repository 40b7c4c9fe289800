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
type counts struct {
	mu sync.Mutex
	of map[string]int64
}

func (c *counts) Add(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.of == nil {
		c.of = map[string]int64{}
	}
	c.of[name] += n
}

func (c *counts) get(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.of[name]
}

// boundedServer serves / at once and /held until the test ends.
func boundedServer(t *testing.T, limit int, telling bool) (*httptest.Server, *Inbound, *counts) {
	released := make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/held", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-released
	})
	server := httptest.NewUnstartedServer(mux)
	counted := &counts{}
	in := BoundServer(server.Config, "test", limit, telling, counted)
	server.Start()
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(released) })
	return server, in, counted
}

// request makes one request on a new connection, which stays open, and returns whether
// it was answered.
func request(t *testing.T, server *httptest.Server, from, path string) (net.Conn, bool) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	conn, err := dialer.Dial("tcp", server.Listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn, ask(conn, path)
}

func ask(conn net.Conn, path string) bool {
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
func TestNewConnectionsTakeThePlacesOfIdleOnes(t *testing.T) {
	server, in, counted := boundedServer(t, 4, false)
	for range 40 {
		_, answered := request(t, server, local, "/")
		must.True(t, answered)
		in.awaitIdle(t)
	}
	must.LessEq(t, 4, in.open())
	must.Eq(t, 36, counted.get("test_connections_closed_idle"))
}

func TestARequestUnderWayIsNeverCutOffForANewConnection(t *testing.T) {
	server, in, counted := boundedServer(t, 3, false)
	for range 3 {
		_, answered := request(t, server, local, "/held")
		must.True(t, answered)
	}
	_, answered := request(t, server, local, "/")
	must.False(t, answered)
	must.Eq(t, 1, counted.get("test_connections_refused"))
	must.Eq(t, 3, in.open())
}

// One worker opens connections without end, and others lose theirs each time they have
// been idle for a moment.
func TestAHostWithManyConnectionsCostsOnlyItsOwn(t *testing.T) {
	server, in, counted := boundedServer(t, 16, true)
	calm, answered := request(t, server, "127.0.0.7", "/")
	must.True(t, answered)
	for range 50 {
		_, answered = request(t, server, "127.0.0.9", "/")
		must.True(t, answered, must.Sprintf("refused: %d", counted.get("test_connections_refused")))
		in.awaitIdle(t)
	}
	must.LessEq(t, 1+16/perHostShare, in.open())
	must.True(t, ask(calm, "/"))
}

func TestClosedConnectionsGiveTheirPlacesBack(t *testing.T) {
	server, in, _ := boundedServer(t, 2, true)
	conn, answered := request(t, server, local, "/")
	must.True(t, answered)
	must.NoError(t, conn.Close())
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return in.open() == 0 })))
	in.mu.Lock()
	defer in.mu.Unlock()
	must.MapEmpty(t, in.hosts)
	must.Eq(t, 0, in.idle.Len())
}

// open returns how many connections are open.
func (in *Inbound) open() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.conns)
}

// awaitIdle waits until the server has noted that its requests are answered: a client
// may read the answer before, and a connection that counts as busy isn't closed.
func (in *Inbound) awaitIdle(t *testing.T) {
	must.Wait(t, wait.InitialSuccess(wait.Gap(time.Millisecond), wait.BoolFunc(func() bool {
		in.mu.Lock()
		defer in.mu.Unlock()
		return in.idle.Len() == len(in.conns)
	})))
}
