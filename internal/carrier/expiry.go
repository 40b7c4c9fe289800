package carrier

import (
	"context"
	"sync"
	"time"
)

const (
	// clockDriftFactor allows for a carrier's clock that runs up to 2 % slower than the leader's.
	clockDriftFactor = 1 / 0.98
	// maxCallTime bounds the call of an order whose context has no deadline.
	maxCallTime = 3 * time.Second
	// expiryLogInterval is the least time between two log lines about expired orders.
	expiryLogInterval = time.Second
)

// clockReading is what a carrier's clock showed at or before a time on the leader's clock. The zero
// value stands for no reading.
//
// A carrier that stood still can't tell how long an order has waited, so a duration doesn't bound the
// order. A time on the carrier's own clock does. The leader knows a lower bound of that clock: it has
// advanced since the reading.
type clockReading struct {
	carrier, leader time.Duration
	// incarnation is the carrier's incarnation; another one may have another clock.
	incarnation uint64
}

// lowerBound returns a time that the carrier's clock doesn't show before the leader's clock shows
// the given time.
func (r clockReading) lowerBound(leader time.Duration) time.Duration {
	return r.carrier + time.Duration(float64(leader-r.leader)/clockDriftFactor)
}

// best returns the reading that gives the higher lower bounds from the later reading on. A reply that
// took long gives a low one.
func (r clockReading) best(later clockReading) clockReading {
	if r.incarnation == later.incarnation && r.lowerBound(later.leader) > later.carrier {
		return r
	}
	return later
}

// recordClock records the reading of the carrier's clock in a reply that has just arrived.
func (r *route) recordClock(reply *CollectReply) {
	now := r.cfg.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reading = r.reading.best(clockReading{carrier: reply.Clock, leader: now, incarnation: reply.Incarnation})
}

// newCarryCall returns the call that forwards those orders of a batch that are still pending. It
// returns false if the carrier's clock isn't known yet.
func (r *route) newCarryCall(batch []*Order, withdrawn []uint64) (*CarryCall, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	call := &CarryCall{Term: r.term, Withdrawn: withdrawn, Incarnation: r.reading.incarnation}
	for _, order := range batch {
		if p := r.pending[order.ID]; p != nil {
			expiring := *order
			expiring.Expiry = r.reading.lowerBound(p.deadline)
			call.Orders = append(call.Orders, expiring)
		}
	}
	return call, r.reading.incarnation != 0
}

// remainingTime returns how long the first call of an order may take, or false if the order has
// expired. Orders of a leader of an earlier version have no expiry.
func (c *Carrier) remainingTime(order *Order) (time.Duration, bool) {
	if order.Expiry == 0 {
		return order.CallTimeout, true
	}
	remaining := order.Expiry - c.cfg.Clock()
	if remaining > 0 {
		return remaining, true
	}
	c.expired.record(&c.cfg, -remaining)
	return 0, false
}

// callOnce makes the first call of an order to its worker unless the order has expired.
func (c *Carrier) callOnce(ctx context.Context, order *Order) (Outcome, error) {
	remaining, ok := c.remainingTime(order)
	if !ok {
		return Outcome{Expired: true}, nil
	}
	return c.call(ctx, order, remaining)
}

// expiredOrders counts the expired orders that haven't been logged yet.
type expiredOrders struct {
	mu       sync.Mutex
	unlogged int
	// loggedAt is when expired orders were last logged, by the carrier's clock.
	loggedAt time.Duration
}

// record counts an expired order, and logs the orders counted since the last line.
func (e *expiredOrders) record(cfg *CarrierConfig, late time.Duration) {
	cfg.Counters.Add("carried_orders_expired", 1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unlogged++
	now := cfg.Clock()
	if e.loggedAt != 0 && now-e.loggedAt < expiryLogInterval {
		return
	}
	_ = cfg.Logger.Log("event", "carrier", "outcome", "orders expired", "orders", e.unlogged, "late_ms", late.Milliseconds())
	e.loggedAt, e.unlogged = now, 0
}
