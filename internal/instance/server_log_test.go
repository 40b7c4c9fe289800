package instance

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/rpc"
)

func panickingHandler(http.ResponseWriter, *http.Request) { panic("first line\nsecond line") }

// Guards against a panic of a handler that is only on standard error, as text of many lines.
func TestPanicOfHandlerIsOneLine(t *testing.T) {
	clients := map[string]*http.Client{"HTTP/1.1": {Transport: &http.Transport{}}, "HTTP/2": rpc.NewClient(nil)}
	for protocol, client := range clients {
		var lines lockedBuffer
		server := newInternalServer("10.0.0.1:1", http.HandlerFunc(panickingHandler))
		logServerErrors(server, log.NewLogfmtLogger(&lines))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		served := make(chan error)
		go func() { served <- server.Serve(listener) }()
		_, err = client.Get("http://" + listener.Addr().String())
		must.Error(t, err, must.Sprint(protocol))
		client.CloseIdleConnections()
		must.NoError(t, server.Close())
		must.ErrorIs(t, <-served, http.ErrServerClosed)
		awaitLine(t, &lines)
		line := lines.String()
		must.Eq(t, 1, strings.Count(line, "\n"), must.Sprint(line))
		must.StrContains(t, line, `event=handler_panic address=10.0.0.1:1 client=127.0.0.1:`, must.Sprint(protocol))
		must.StrContains(t, line, `reason="first line; second line" place="internal/instance.panickingHandler server_log_test.go:`)
	}
}

// awaitLine waits until a line has been written.
func awaitLine(t *testing.T, lines *lockedBuffer) {
	t.Helper()
	for deadline := time.Now().Add(daemonTimeout); lines.String() == ""; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(deadline), must.Sprint("no line"))
	}
}

// Guards against other messages of a server that are taken for panics or lose their text.
func TestServerErrorIsOneLine(t *testing.T) {
	var lines bytes.Buffer
	server := &http.Server{Addr: "10.0.0.1:1"}
	logServerErrors(server, log.NewLogfmtLogger(&lines))
	server.ErrorLog.Printf("http: Accept error: %v; retrying", io.ErrUnexpectedEOF)
	must.Eq(t, "level=warn event=http_server address=10.0.0.1:1 err=\"http: Accept error: unexpected EOF; retrying\"\n", lines.String())
}
