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

// realCarrier serves a carrier as an instance does, and returns its address.
func realCarrier(t *testing.T, workers control.Workers) (address string, stop func()) {
	mux := link.NewMux()
	newTestCarrier(workers, "dc").Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), func() {
		server.CloseClientConnections()
		server.Close()
	}
}

func TestOrdersGoOverTheLinkBetweenInstances(t *testing.T) {
	workers, own := &fakeWorkers{}, &fakeWorkers{}
	address, stop := realCarrier(t, workers)
	spread := NewSpread(Config{
		Own: "own", Members: func() []string { return []string{"own", address} }, Transport: link.NewClient(100),
		Direct: own, Heard: func([]control.BufferedHeartbeat) {}, Logger: log.NewNopLogger(), Counters: noCounters{},
	})
	spread.Lead(t.Context(), 3)
	to := control.Target{Worker: "w", Address: "a"}
	// Until the carrier has answered the leader calls by itself.
	must.Wait(t, wait.InitialSuccess(wait.Gap(time.Millisecond), wait.BoolFunc(func() bool { return spread.routeTo(to) != nil })))
	clock, err := spread.Start(t.Context(), to, control.StartOrder{Fence: 3, Payload: "p"})
	must.NoError(t, err)
	must.Eq(t, workerClockMS, clock)
	must.Eq(t, "p", workers.starts[0].Payload)
	_, err = spread.Stop(t.Context(), to, control.StopOrder{Fence: 3})
	must.NoError(t, err)
	_, err = spread.Throttle(t.Context(), to, control.ThrottleOrder{Fence: 3, Share: 40})
	must.NoError(t, err)

	stop()
	must.Wait(t, wait.InitialSuccess(wait.Timeout(5*time.Second), wait.BoolFunc(func() bool {
		return spread.routeTo(to) == nil
	})))
	_, err = spread.Start(t.Context(), to, control.StartOrder{Fence: 3})
	must.NoError(t, err)
	must.Eq(t, 1, own.started())
}
