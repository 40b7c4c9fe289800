package carrier

import (
	"time"

	"github.com/cockroachdb/errors"
)

// errExpired is the result of an order whose time limit was over when the carrier processed it.
var errExpired = errors.New("the order had expired at the carrier")

// clock returns the carrier's own clock.
func (c *Carrier) clock() time.Duration { return time.Since(c.startedAt) }

// ageOf returns how long ago a call was sent, or a little more; 0 if it doesn't say.
//
// A carrier that was frozen finds the calls that arrived meanwhile when it goes on. The leader has
// given up their orders by then, and the workers to which they were addressed may have restarted.
func (c *Carrier) ageOf(call *CarryCall) time.Duration {
	if call.Incarnation != c.incarnation {
		return 0
	}
	return max(c.clock()-call.SentAt, 0)
}

// refuseExpired ends an order without carrying it out.
func (c *Carrier) refuseExpired(term uint64, order *Order) {
	c.cfg.Counters.Add("carried_orders_expired", 1)
	outcome := Outcome{ID: order.ID}
	outcome.recordErr(errExpired)
	c.addOutcome(term, outcome)
}

// carrierClock is a carrier's own clock as its leader knows it.
type carrierClock struct {
	incarnation uint64
	clock       time.Duration
	// receivedAt is when the reply with the clock arrived.
	receivedAt time.Time
}

// recordClock records the clock in a reply that has just arrived.
func (r *route) recordClock(reply *CollectReply, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock = carrierClock{incarnation: reply.Incarnation, clock: reply.Clock, receivedAt: now}
}

// stamp records in a call when it is sent.
func (r *route) stamp(call *CarryCall, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	call.Incarnation, call.SentAt = r.clock.incarnation, r.clock.clock+now.Sub(r.clock.receivedAt)
}
