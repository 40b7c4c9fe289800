package carrier

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// errOtherTerm is the cause when a carrier follows another leader.
var errOtherTerm = errors.New("the carrier follows another leader")

// errRestarted is the cause when pending orders fail because a new incarnation of the carrier
// has responded.
var errRestarted = errors.New("the carrier has restarted")

// failUncollected completes orders after a failed collect call, so that callers don't wait
// for outcomes that may not arrive. Orders that were sent fail with errNoResponse, because
// they may have been executed. Queued orders fail with errNotForwarded, because they can't
// have arrived; without that distinction a leader would wait for runs that never started.
// Orders whose message is in flight are left to sendBatch, which is told what became of it.
//
// After a call that shows another leader all orders fail with errNoResponse: this leader
// must not call the workers itself any more.
func (r *route) failUncollected(cause error) {
	if errors.Is(cause, errOtherTerm) {
		r.failStages(cause, func(stage) error { return errNoResponse })
		return
	}
	r.failStages(cause, func(s stage) error {
		switch s {
		case stageQueued:
			return errNotForwarded
		case stageSent:
			return errNoResponse
		}
		return nil
	})
}

// failSent completes the orders that a previous incarnation of the carrier may have
// received with errNoResponse. Queued orders go to the new incarnation.
func (r *route) failSent(cause error) {
	r.failStages(cause, func(s stage) error {
		if s == stageQueued {
			return nil
		}
		return errNoResponse
	})
}

// end completes all orders, and makes later ones fail with errNotForwarded.
func (r *route) end(cause error) {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.failStages(cause, func(s stage) error {
		if s == stageQueued {
			return errNotForwarded
		}
		return errNoResponse
	})
}

// failStages completes each pending order with the error that errOf returns for its stage;
// orders for which it returns nil stay pending.
func (r *route) failStages(cause error, errOf func(stage) error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, p := range r.pending {
		if err := errOf(p.stage); err != nil {
			r.complete(id, orderResult{err: errors.Wrap(err, cause.Error())})
		}
	}
	r.queue = slices.DeleteFunc(r.queue, func(order *Order) bool { return r.pending[order.ID] == nil })
}
