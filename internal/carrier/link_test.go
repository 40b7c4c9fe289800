package carrier

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
)

// startCarrierServer serves a carrier over HTTP and returns its address.
func startCarrierServer(t *testing.T, workers control.Workers) (address string, stop func()) {
	mux := link.NewMux()
	newTestCarrier(workers, "dc").Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), func() {
		server.CloseClientConnections()
		server.Close()
	}
}

func TestOrdersAreForwardedOverLink(t *testing.T) {
	workers, direct := &fakeWorkers{}, &fakeWorkers{}
	address, stop := startCarrierServer(t, workers)
	forwarder := NewForwarder(ForwarderConfig{
		OwnAddress: "own", Members: func() []string { return []string{"own", address} }, Transport: link.NewClient(100),
		DirectWorkers: direct, ApplyHeartbeats: func([]control.BufferedHeartbeat) {}, Logger: log.NewNopLogger(), Counters: noCounters{},
	})
	forwarder.Lead(t.Context(), 3)
	to := control.Target{Worker: "w", Address: "a"}
	// The leader calls workers directly until the carrier has responded.
	must.Wait(t, wait.InitialSuccess(wait.Gap(time.Millisecond), wait.BoolFunc(func() bool { return forwarder.routeTo(to) != nil })))
	clock, err := forwarder.Start(t.Context(), to, control.StartOrder{Fence: 3, Payload: "p"})
	must.NoError(t, err)
	must.Eq(t, workerClockMS, clock)
	must.Eq(t, "p", workers.starts[0].Payload)
	_, err = forwarder.Stop(t.Context(), to, control.StopOrder{Fence: 3})
	must.NoError(t, err)
	_, err = forwarder.Throttle(t.Context(), to, control.ThrottleOrder{Fence: 3, Share: 40})
	must.NoError(t, err)

	stop()
	must.Wait(t, wait.InitialSuccess(wait.Timeout(5*time.Second), wait.BoolFunc(func() bool {
		return forwarder.routeTo(to) == nil
	})))
	_, err = forwarder.Start(t.Context(), to, control.StartOrder{Fence: 3})
	must.NoError(t, err)
	must.Eq(t, 1, direct.started())
}
