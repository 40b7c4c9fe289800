package instance

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/settings"
)

// Guards against a request that waits for the leader longer than the process may take to stop, and whose
// connection ends without a response.
func TestDrainGivesRequestsInFlightAFinalResponse(t *testing.T) {
	received := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(received)
		<-r.Context().Done()
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "stopping")
	}))
	drainer := newDrainer(server.Config)
	server.Start()
	defer server.Close()
	defer drainer.cancelRequests()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		<-received
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		drainer.drain(ctx)
	}()
	client := &http.Client{Timeout: 5 * time.Second}
	response, err := client.Get(server.URL)
	must.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Eq(t, "stopping", string(body))
	<-drained
}

// delayedListener accepts each connection, and reads from it, later than its client sent.
type delayedListener struct {
	net.Listener
	delay time.Duration
}

func (l delayedListener) Accept() (net.Conn, error) {
	time.Sleep(l.delay)
	conn, err := l.Listener.Accept()
	return delayedConn{conn, l.delay}, err
}

type delayedConn struct {
	net.Conn
	delay time.Duration
}

func (c delayedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	time.Sleep(c.delay)
	return n, err
}

// Guards against a busy process that closes its listener, or an idle connection, when a request has arrived there
// that it hasn't read yet.
func TestSettledServerRespondsToRequestsThatItReadsLate(t *testing.T) {
	for _, c := range []struct {
		name      string
		keptAlive bool
	}{{"idle connection", true}, {"connection in the listen queue", false}} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			server.Listener = delayedListener{server.Listener, settleInterval / 4}
			drainer := newDrainer(server.Config)
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			must.NoError(t, err)
			defer conn.Close()
			reader := bufio.NewReader(conn)
			exchange := func(afterSend func()) *http.Response {
				_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				must.NoError(t, err)
				afterSend()
				response, err := http.ReadResponse(reader, nil)
				must.NoError(t, err)
				return response
			}
			if c.keptAlive {
				must.False(t, exchange(func() {}).Close)
			}
			stopped := make(chan struct{})
			response := exchange(func() {
				go func() {
					defer close(stopped)
					drainer.settle(t.Context())
					drainer.drain(t.Context())
				}()
			})
			must.Eq(t, http.StatusOK, response.StatusCode)
			must.True(t, response.Close)
			<-stopped
		})
	}
}

// pipeListener accepts the server's ends of pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// Guards against an edge instance that waits for a request whose body stays incomplete until the
// process is killed, with the time for its other work used up.
func TestStoppingEdgeLeavesTimeForItsExit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body) })}
		drainer := newDrainer(server)
		listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		go func() { _ = server.Serve(listener) }()
		client, accepted := net.Pipe()
		defer func() { _, _ = client.Close(), server.Close() }()
		defer drainer.cancelRequests()
		listener.conns <- accepted
		_, err := io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
		must.NoError(t, err)
		p := &process{settings: &Settings{}}
		const shutdownTimeout = 6 * time.Second
		p.settings.Bounds.ShutdownTimeout = settings.Duration(shutdownTimeout)
		stopped := time.Now()
		p.stopEdge(t.Context(), drainer)
		must.LessEq(t, shutdownTimeout-exitReserve*3/4, time.Since(stopped))
	})
}
