package carrier

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/control"
)

// routeWithOrders returns a route without loops, and a pending order at each stage.
func routeWithOrders(t *testing.T) (r *route, queued, sending, sent *pendingOrder) {
	r = newRoute(&ForwarderConfig{Logger: log.NewNopLogger(), Counters: noCounters{}, Clock: leaderClock}, "a", 1, &atomic.Uint64{})
	sent = r.enqueue(t.Context(), &Order{})
	r.markSent(r.nextBatch())
	sending = r.enqueue(t.Context(), &Order{})
	must.SliceLen(t, 1, r.nextBatch())
	queued = r.enqueue(t.Context(), &Order{})
	return r, queued, sending, sent
}

// resultOf returns the error of an order, nil while the order is pending.
func resultOf(p *pendingOrder) error {
	select {
	case result := <-p.result:
		return result.err
	default:
		return nil
	}
}

// Guards against runs that start late: a collect call fails while orders are queued, and the
// leader takes these orders for ones that may have been executed and waits until their runs are
// settled.
func TestFailedCollectCallSettlesOrdersByStage(t *testing.T) {
	r, queued, sending, sent := routeWithOrders(t)
	r.failUncollected(errors.New("timeout"))
	must.ErrorIs(t, resultOf(queued), errNotForwarded)
	must.NoError(t, resultOf(sending))
	must.ErrorIs(t, resultOf(sent), errNoResponse)
	must.SliceEmpty(t, r.queue)
}

// Guards against a former leader that calls workers itself after a carrier has shown another
// leader.
func TestOtherTermLeavesNoOrderToTheLeader(t *testing.T) {
	r, queued, sending, sent := routeWithOrders(t)
	r.failUncollected(errors.Wrap(errOtherTerm, "term 2"))
	for _, p := range []*pendingOrder{queued, sending, sent} {
		must.ErrorIs(t, resultOf(p), errNoResponse)
	}
}

// Guards against orders that fail although they were never sent: they are queued while the
// carrier restarts, and its next incarnation can execute them.
func TestQueuedOrdersGoToRestartedCarrier(t *testing.T) {
	r, queued, sending, sent := routeWithOrders(t)
	r.failSent(errRestarted)
	must.ErrorIs(t, resultOf(sending), errNoResponse)
	must.ErrorIs(t, resultOf(sent), errNoResponse)
	must.NoError(t, resultOf(queued))
	must.SliceLen(t, 1, r.nextBatch())
}

// Guards against orders that wait for their whole timeout: a member leaves, its route ends, and
// an order is queued that was routed before.
func TestOrderOnEndedRouteIsNotForwarded(t *testing.T) {
	r, queued, _, _ := routeWithOrders(t)
	r.end(context.Canceled)
	must.ErrorIs(t, resultOf(queued), errNotForwarded)
	started := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	_, err := r.forward(ctx, &Order{})
	must.ErrorIs(t, err, errNotForwarded)
	must.Less(t, startTimeout, time.Since(started))
}

// overloadedTransport refuses every call because of load.
type overloadedTransport struct{}

func (overloadedTransport) Call(context.Context, string, string, any, any) error {
	return fault.Retry(fault.Overloaded, time.Second, "too many calls")
}

// Guards against orders that wait for an outcome although the carrier has refused their message because of load, and
// against a carrier that gets further orders meanwhile.
func TestOverloadedCarrierCountsAsLostCall(t *testing.T) {
	r := newRoute(&ForwarderConfig{Transport: overloadedTransport{}, Logger: log.NewNopLogger(), Counters: noCounters{}, Clock: leaderClock}, "a", 1, &atomic.Uint64{})
	r.recordClock(&CollectReply{Incarnation: 1})
	r.setResponsive(true, nil)
	order := r.enqueue(t.Context(), &Order{})
	r.sendBatch(t.Context(), r.nextBatch(), nil)
	must.ErrorIs(t, resultOf(order), errNoResponse)
	usable, _ := r.usable(time.Now())
	must.False(t, usable)
}

// Guards against orders that wait longer the more carriers a data centre has, and against workers that
// nobody calls when the carriers in use fail.
func TestFewCarriersOfDataCentreGetOrders(t *testing.T) {
	f := NewForwarder(ForwarderConfig{Logger: log.NewNopLogger(), Counters: noCounters{}})
	var routes []*route
	for i := range 10 {
		r := newRoute(&f.cfg, fmt.Sprint("carrier", i), 1, &atomic.Uint64{})
		r.setDataCentre(fmt.Sprint("dc", i%2))
		r.setResponsive(true, nil)
		routes = append(routes, r)
	}
	must.Eq(t, 2*maxCarriersPerDataCentre, carriersInUse(routes))
	f.routes = routes
	inUse := func() map[*route]int {
		counts := map[*route]int{}
		for i := range 100 {
			counts[f.routeTo(control.Target{Worker: fmt.Sprint("w", i), DataCentre: "dc1"})]++
		}
		return counts
	}
	counts := inUse()
	must.MapLen(t, maxCarriersPerDataCentre, counts)
	for r, orders := range counts {
		must.Eq(t, "dc1", r.dataCentreName())
		must.Between(t, 30, orders, 70)
		r.setResponsive(false, nil)
	}
	for r := range inUse() {
		must.Eq(t, "dc1", r.dataCentreName())
		must.MapNotContainsKey(t, counts, r)
	}
}

// Guards against a leader that is short of processor and takes a large part of it for messages with few orders each,
// and against orders that wait for ever longer.
func TestMessagesAreRarerWhileProcessorIsShort(t *testing.T) {
	must.Eq(t, 5*time.Millisecond, messageInterval(5, 0))
	must.Eq(t, 5*time.Millisecond, messageInterval(5, time.Millisecond))
	must.Eq(t, 15*time.Millisecond, messageInterval(5, 15*time.Millisecond))
	must.Eq(t, maxMessageInterval, messageInterval(5, time.Second))
	must.Eq(t, 60*time.Millisecond, messageInterval(60, time.Second))
}
