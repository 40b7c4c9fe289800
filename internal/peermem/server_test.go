package peermem

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
)

// serveBudget serves a handler with a budget of limit bytes and returns the address.
func serveBudget(t *testing.T, limit int64, handler http.HandlerFunc) string {
	b := NewBudget("test", limit, 16<<10, log.NewNopLogger(), testCounter{})
	server := &http.Server{Handler: handler}
	b.Serve(server, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(b.Listener(listener)) }()
	return listener.Addr().String()
}

// sendStart sends a request that announces a body and sends only the beginning of it.
func sendStart(t *testing.T, address string, announced, sent int) net.Conn {
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", announced, strings.Repeat("a", sent))
	must.NoError(t, err)
	return conn
}

// sendPart is sendStart, and reads the response.
func sendPart(t *testing.T, address string, announced, sent int) (*http.Response, net.Conn) {
	conn := sendStart(t, address, announced, sent)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	return response, conn
}

// Guards against a client that is refused before its body has arrived and whose connection then stays open.
func TestRefusedBodyIsNotWaitedFor(t *testing.T) {
	address := serveBudget(t, 1<<20, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) })
	response, conn := sendPart(t, address, 1000, 10)
	must.Eq(t, http.StatusTooManyRequests, response.StatusCode)
	_, err := io.Copy(io.Discard, conn)
	must.NoError(t, err)
}

// Guards against an announced body that is received although there is no memory for it.
func TestAnnouncedBodyWithoutRoomIsRefused(t *testing.T) {
	const announced = 15 << 10
	served := make(chan struct{}, 4)
	address := serveBudget(t, 64<<10, func(_ http.ResponseWriter, r *http.Request) {
		served <- struct{}{}
		_, _ = io.Copy(io.Discard, r.Body)
	})
	for range 3 {
		conn := sendStart(t, address, announced, 10)
		defer conn.Close()
		<-served
	}
	response, _ := sendPart(t, address, 2*announced, 10)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Eq(t, 0, len(served))
}

// Guards against ordinary requests on one connection that use the budget up.
func TestRequestsOfOneConnectionGiveBackTheirBytes(t *testing.T) {
	address := serveBudget(t, 64<<10, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	client := &http.Client{}
	for range 50 {
		response, err := client.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("a", 10<<10)))
		must.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.Eq(t, 10<<10, len(body))
	}
}
