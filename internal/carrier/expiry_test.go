package carrier

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/control"
)

// delayedTransport delivers the carry calls to a cluster's carriers with a delay, whether or not their
// senders still wait.
type delayedTransport struct {
	*cluster
	delay time.Duration
}

func (t *delayedTransport) Call(ctx context.Context, address, method string, request, reply any) error {
	if method == MethodCarry {
		time.Sleep(t.delay)
		ctx = context.WithoutCancel(ctx)
	}
	return t.cluster.Call(ctx, address, method, request, reply)
}

// startThroughDelay sends a start with a time limit through a carrier that processes it after a
// delay, and returns how many starts the worker got.
func startThroughDelay(t *testing.T, timeout, delay time.Duration) (started int) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.forwarder.cfg.Transport = &delayedTransport{cluster: c, delay: delay}
		c.lead(1)
		// The leader has to know the carrier's clock.
		time.Sleep(settleTime)
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := c.forwarder.Start(ctx, control.Target{Worker: "w"}, control.StartOrder{})
		if delay >= timeout {
			must.True(t, errors.Is(err, errNoResponse))
		}
		time.Sleep(2*delay + settleTime)
		c.endTerm()
		time.Sleep(settleTime)
		started = c.workers["carrier-0"].started()
	})
	return started
}

// Guards against this failure: a carrier that was frozen carries out orders whose time limit is
// over when it goes on, and their workers have restarted meanwhile.
func TestOrderThatExpiredOnItsWayIsNotCarriedOut(t *testing.T) {
	const timeout = 200 * time.Millisecond
	must.Eq(t, 0, startThroughDelay(t, timeout, timeout))
	must.Eq(t, 0, startThroughDelay(t, timeout, 20*timeout))
}

// Guards against this failure: an order that takes a little longer on its way is dropped.
func TestOrderThatArrivesInTimeIsCarriedOut(t *testing.T) {
	const timeout = 200 * time.Millisecond
	must.Eq(t, 1, startThroughDelay(t, timeout, timeout/2))
}

// Guards against this failure: a carrier refuses the orders of a leader that only knows the clock of
// its earlier incarnation.
func TestClockOfEarlierIncarnationExpiresNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		carrier := newTestCarrier(&fakeWorkers{}, "dc")
		time.Sleep(time.Hour)
		must.Eq(t, 0, carrier.ageOf(&CarryCall{Incarnation: carrier.incarnation + 2}))
		must.Eq(t, time.Hour, carrier.ageOf(&CarryCall{Incarnation: carrier.incarnation}))
	})
}
