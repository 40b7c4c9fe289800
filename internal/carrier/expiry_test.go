package carrier

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/control"
)

// stallTime is how long a carrier stands still: longer than any order is waited for.
const stallTime = 20 * time.Second

// stalledCluster returns a cluster with one carrier that stands still from now on.
func stalledCluster(t *testing.T) *cluster {
	c := newCluster(t, 1)
	c.lead(5)
	c.setFault(c.stalled, "carrier-0", true)
	return c
}

// Guards against this failure: a task runs twice. A carrier stands still while orders wait in its
// socket buffers. When it goes on, it carries them out, long after the leader has given them up, and
// the worker's next incarnation starts what its predecessor has done.
func TestStalledCarrierCarriesOutNoExpiredOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := stalledCluster(t)
		must.Eq(t, 0, c.startMany(10))
		_, err := c.routeToCarrier().forward(pollContext(t), &Order{Poll: &control.PollOrder{LastEnd: 41}})
		must.ErrorIs(t, err, errNoResponse)
		time.Sleep(stallTime)
		c.setFault(c.stalled, "carrier-0", false)
		time.Sleep(settleTime)
		must.Eq(t, 0, c.workers["carrier-0"].started())
		must.Eq(t, 0, c.workers["carrier-0"].polled())
		must.Eq(t, 11, c.counters.value("carried_orders_expired"))
		must.Eq(t, 10, c.startMany(10), must.Sprint("a carrier that goes on must get orders"))
		c.endTerm()
		time.Sleep(settleTime)
	})
}

// pollContext returns a context for a poll that isn't held.
func pollContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	t.Cleanup(cancel)
	return ctx
}

// routeToCarrier returns the route to the only carrier.
func (c *cluster) routeToCarrier() *route { return c.forwarder.routes[0] }

// Guards against a call that outlasts its order: an order arrives late, and its call to the worker
// gets the full time limit from then on.
func TestDelayedOrderGetsOnlyTheRemainingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const remaining = 150 * time.Millisecond
		workers := &fakeWorkers{hangStarts: true}
		carrier := newTestCarrier(workers, "dc")
		arrived := time.Now()
		_, err := carrier.Carry(t.Context(), &CarryCall{Term: 1, Incarnation: carrier.incarnation, Orders: []Order{
			{ID: 1, Start: &control.StartOrder{}, CallTimeout: startTimeout, Expiry: carrierClock() + remaining},
		}})
		must.NoError(t, err)
		reply, err := carrier.Collect(t.Context(), &CollectCall{Term: 1, Incarnation: carrier.incarnation})
		for err == nil && len(reply.Outcomes) == 0 {
			reply, err = carrier.Collect(t.Context(), &CollectCall{Term: 1, Incarnation: carrier.incarnation})
		}
		must.NoError(t, err)
		must.Eq(t, remaining, time.Since(arrived))
		must.False(t, reply.Outcomes[0].Expired, must.Sprint("the call may have been carried out"))
	})
}

// Guards against an order that is lost although it is still awaited: it expires at its carrier, since
// the leader takes the carrier's clock for less than it is.
func TestLeaderCallsWorkerOfExpiredOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.lead(1)
		r := c.routeToCarrier()
		r.mu.Lock()
		r.reading.carrier -= startTimeout
		r.mu.Unlock()
		must.NoError(t, c.start("w"))
		must.Eq(t, 0, c.workers["carrier-0"].started())
		must.Eq(t, 1, c.workers["leader"].started())
		c.endTerm()
		time.Sleep(settleTime)
	})
}

// Guards against orders with an expiry on the clock of another machine: a carrier starts again at
// the same address before the leader has heard of it.
func TestNextIncarnationOfCarrierRefusesOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.lead(1)
		c.restart("carrier-0")
		must.NoError(t, c.start("w"))
		must.Eq(t, 0, c.workers["carrier-0"].started())
		must.Eq(t, 1, c.workers["leader"].started())
		time.Sleep(settleTime)
		must.NoError(t, c.start("w"))
		must.Eq(t, 1, c.workers["carrier-0"].started())
		c.endTerm()
		time.Sleep(settleTime)
	})
}

// Guards against an expiry that is too late: it must hold for a carrier whose clock is slow, and a
// reply that took long must not shorten the orders after it by that time.
func TestExpiryIsReckonedFromBestReading(t *testing.T) {
	const start = time.Hour
	reading := clockReading{carrier: start, leader: 0, incarnation: 1}
	must.Eq(t, start+980*time.Millisecond, reading.lowerBound(time.Second).Round(time.Millisecond))

	delayed := clockReading{carrier: start + time.Second, leader: time.Second + 300*time.Millisecond, incarnation: 1}
	must.Eq(t, reading, reading.best(delayed))
	prompt := clockReading{carrier: start + time.Second, leader: time.Second, incarnation: 1}
	must.Eq(t, prompt, reading.best(prompt))
	restarted := clockReading{carrier: time.Second, leader: time.Second, incarnation: 2}
	must.Eq(t, restarted, reading.best(restarted))
}
