package instance

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/oplog"
	"github.com/bilberryferry/bilberryferry/internal/peermem"
)

// heldFor is how long another socket holds an address in these tests.
const heldFor = time.Second

// Guards against a process that ends because another socket holds one of its addresses for a moment.
func TestProcessWaitsForAddressInUse(t *testing.T) {
	for _, role := range []string{edgeRole, coreRole} {
		settings := newDaemonSettings(t, role)
		metrics := freeAddress(t)
		addresses := append(settings.addresses(), metrics)
		for _, address := range addresses {
			holder, err := net.Listen("tcp", address)
			must.NoError(t, err)
			time.AfterFunc(heldFor, func() { _ = holder.Close() })
		}
		daemon := startDaemon(t, role, writeSettings(t, settings.text("metrics_address = \""+metrics+"\"")))
		daemon.awaitLog(t, "outcome=address_in_use")
		for _, address := range addresses {
			daemon.awaitLog(t, "event=listen address="+address+" outcome=listening")
			conn, err := net.Dial("tcp", address)
			must.NoError(t, err)
			must.NoError(t, conn.Close())
		}
		must.Eq(t, len(addresses), strings.Count(daemon.output.String(), "outcome=address_in_use"))
		daemon.stop(t)
	}
}

// Guards against a process that doesn't stop because it waits for an address.
func TestProcessStopsWhileAddressIsInUse(t *testing.T) {
	settings := newDaemonSettings(t, coreRole)
	for _, address := range settings.addresses() {
		holder, err := net.Listen("tcp", address)
		must.NoError(t, err)
		defer holder.Close()
	}
	daemon := startDaemon(t, coreRole, writeSettings(t, settings.text()))
	daemon.awaitLog(t, "outcome=address_in_use")
	daemon.stop(t)
}

// Guards against a process that ends because the machine doesn't have its address yet.
func TestListenWaitsForAddressOfTheMachine(t *testing.T) {
	const documentationAddress = "192.0.2.1:0" // which no machine has
	ctx, cancel := context.WithTimeout(t.Context(), 3*listenRetryInterval)
	defer cancel()
	_, err := listenWhenFree(ctx, documentationAddress, 16<<10, log.NewNopLogger())
	must.ErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against a process that is told to stop and ends as failed, because an accept fails meanwhile.
func TestErrorOfAcceptWhileStoppingIsNoFailure(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	flaky := &flakyListener{Listener: listener, failures: []error{syscall.ENOMEM}}
	must.NoError(t, serveListener(ctx, newServer("", http.NewServeMux()), flaky, log.NewNopLogger()))
}

// Guards against an instance that counts as ready before it listens, and a wait that doesn't end
// when the process stops.
func TestAddressInUseDoesNotCountAsListening(t *testing.T) {
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer holder.Close()
	listening := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	server := newServer(holder.Addr().String(), http.NewServeMux())
	go func() {
		ended <- listenAndServe(ctx, server, peermem.NewBudget("test", 1<<20, 16<<10, log.NewNopLogger(), oplog.NewMetrics()), log.NewNopLogger(), func() { close(listening) })
	}()
	select {
	case <-listening:
		t.Fatal("listens on an address in use")
	case <-time.After(2 * listenRetryInterval):
	}
	cancel()
	must.NoError(t, <-ended)
}

// flakyListener is a listener whose first accepts fail.
type flakyListener struct {
	net.Listener
	failures []error
}

func (l *flakyListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		err := l.failures[0]
		l.failures = l.failures[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
	}
	return l.Listener.Accept()
}

// Guards against a process that ends because the kernel can't accept one connection.
func TestServerSurvivesErrorsOfAccept(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	flaky := &flakyListener{Listener: listener, failures: []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EPERM,
	}}
	var logged bytes.Buffer
	server := newServer("", http.NewServeMux())
	ended := make(chan error)
	go func() { ended <- serveListener(t.Context(), server, flaky, log.NewLogfmtLogger(&logged)) }()
	client := &http.Client{Timeout: daemonTimeout}
	response, err := client.Get("http://" + listener.Addr().String())
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.NoError(t, server.Close())
	must.NoError(t, <-ended)
	must.Eq(t, 1, strings.Count(logged.String(), "event=accept"), must.Sprint(logged.String()))
}
