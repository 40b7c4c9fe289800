package carrier

import (
	"container/list"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

const (
	// roundTripTimeout bounds a message's way to a carrier and back, and collectTimeout that
	// of a question for outcomes, the hold included. A carrier that answers later is
	// taken for silent.
	roundTripTimeout = 300 * time.Millisecond
	collectTimeout   = collectHold + roundTripTimeout
	// overdueAfter is how long an order may be without an outcome before its carrier
	// gets no further ones, looks excepted, which are held: some round trips of the
	// carrier and of the worker.
	overdueAfter = 120 * time.Millisecond
	// overdueThreshold is how many must be so. One or two may be a worker's fault.
	overdueThreshold = 4
	// unresponsiveRetryInterval lies between two questions to a carrier that is silent.
	unresponsiveRetryInterval = 250 * time.Millisecond
	// maxBatch bounds the orders of one message.
	maxBatch = 256
)

// route is the way to one carrier under one term.
type route struct {
	cfg     *ForwarderConfig
	address string
	term    uint64
	// ids numbers the orders of all routes.
	//
	// Failure guarded against: a member leaves and comes back within a term, and the
	// carrier still holds outcomes of the route that was closed. Numbered from 1 again,
	// an order would be given the outcome of another.
	lastOrderID *atomic.Uint64
	// queued has room for one: a set one means that orders are queued.
	wake chan struct{}
	// answered is closed once the carrier has answered for the first time, or failed to.
	contacted     chan struct{}
	contactedOnce sync.Once

	mu       sync.Mutex
	interval time.Duration
	// present says that the carrier answers under this term; dataCentre is its own.
	responsive bool
	dataCentre string
	queue      []*Order
	pending    map[uint64]*pendingOrder
	// prompt holds the orders that a worker answers at once, the oldest first.
	immediate *list.List
}

// pendingOrder is an order without an outcome.
type pendingOrder struct {
	enqueuedAt time.Time
	// settled has room for one: the outcome, or why none will come.
	result chan orderResult
	// place is where it stands in prompt; nil for a look.
	element *list.Element
}

// settlement ends the wait for an order's outcome.
type orderResult struct {
	outcome Outcome
	err     error
}

func newRoute(cfg *ForwarderConfig, address string, term uint64, lastOrderID *atomic.Uint64) *route {
	return &route{
		cfg: cfg, address: address, term: term, lastOrderID: lastOrderID, wake: make(chan struct{}, 1), contacted: make(chan struct{}),
		interval: baseMessageInterval, pending: map[uint64]*pendingOrder{}, immediate: list.New(),
	}
}

func (r *route) setInterval(interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interval = interval
}

func (r *route) messageInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.interval
}

// usable reports whether the carrier may be given orders, and where it is.
//
// Failure guarded against: a carrier is frozen or behind, and each order handed to it
// waits until the leader takes it for silent. Some orders that are overdue show it
// earlier.
func (r *route) usable(now time.Time) (usable bool, dataCentre string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.responsive && !r.backlogged(now), r.dataCentre
}

// behind reports whether several orders are overdue. r.mu is held.
func (r *route) backlogged(now time.Time) bool {
	overdue := 0
	for e := r.immediate.Front(); e != nil && overdue < overdueThreshold; e = e.Next() {
		if now.Sub(e.Value.(*pendingOrder).enqueuedAt) < overdueAfter {
			return false
		}
		overdue++
	}
	return overdue >= overdueThreshold
}

// carry queues an order and waits for its outcome.
func (r *route) forward(ctx context.Context, order *Order) (Outcome, error) {
	p := r.enqueue(ctx, order)
	select {
	case result := <-p.result:
		return result.outcome, result.err
	case <-ctx.Done():
		r.mu.Lock()
		defer r.mu.Unlock()
		r.remove(order.ID)
		return Outcome{}, errors.Wrap(errNoAnswer, ctx.Err().Error())
	}
}

func (r *route) enqueue(ctx context.Context, order *Order) *pendingOrder {
	p := &pendingOrder{enqueuedAt: time.Now(), result: make(chan orderResult, 1)}
	if deadline, ok := ctx.Deadline(); ok {
		order.CallTimeout = time.Until(deadline)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	order.ID = r.lastOrderID.Add(1)
	r.pending[order.ID] = p
	if order.Poll == nil {
		p.element = r.immediate.PushBack(p)
	}
	r.queue = append(r.queue, order)
	r.signal()
	return p
}

func (r *route) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// settle ends the wait for an order, if anybody still waits. r.mu is held.
func (r *route) complete(id uint64, result orderResult) {
	if p := r.pending[id]; p != nil {
		p.result <- result
		r.remove(id)
	}
}

// forget drops an order that nobody waits for any more. r.mu is held.
func (r *route) remove(id uint64) {
	p := r.pending[id]
	if p == nil {
		return
	}
	delete(r.pending, id)
	if p.element != nil {
		r.immediate.Remove(p.element)
	}
}

// send hands queued orders over until ctx ends.
func (r *route) sendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		batch := r.nextBatch()
		if len(batch) == 0 {
			continue
		}
		go r.sendBatch(ctx, batch)
		if !wait.For(ctx, r.messageInterval()) {
			return
		}
	}
}

// take takes the orders of the next message out of the queue, but for those that have
// been given up.
func (r *route) nextBatch() []*Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	var batch []*Order
	for len(r.queue) > 0 && len(batch) < maxBatch {
		if r.pending[r.queue[0].ID] != nil {
			batch = append(batch, r.queue[0])
		}
		r.queue[0] = nil
		r.queue = r.queue[1:]
	}
	if len(r.queue) == 0 {
		r.queue = nil
	} else {
		r.signal()
	}
	return batch
}

// sendBatch sends one message. Orders that can't have arrived go another way; those
// that may have count as under way.
func (r *route) sendBatch(ctx context.Context, batch []*Order) {
	ctx, cancel := context.WithTimeout(ctx, roundTripTimeout)
	defer cancel()
	call := &CarryCall{Term: r.term, Orders: make([]Order, 0, len(batch))}
	for _, order := range batch {
		call.Orders = append(call.Orders, *order)
	}
	r.cfg.Counters.Add("order_messages", 1)
	var reply CarryReply
	err := r.cfg.Transport.Call(ctx, r.address, MethodCarry, call, &reply)
	switch {
	case err == nil && reply.Term == r.term:
		return
	case err == nil:
		r.failBatch(batch, errors.Wrapf(errNoAnswer, "the carrier acts under term %d", reply.Term))
	case errors.Is(err, link.ErrUnsent):
		r.failBatch(batch, errNotForwarded)
	default:
		r.failBatch(batch, errors.Wrap(errNoAnswer, err.Error()))
	}
	if err != nil {
		r.setResponsive(false, err)
	}
}

func (r *route) failBatch(batch []*Order, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, order := range batch {
		r.complete(order.ID, orderResult{err: err})
	}
}

// collect takes in outcomes until ctx ends.
func (r *route) collectLoop(ctx context.Context) {
	var last CollectReply
	for ctx.Err() == nil {
		reply, err := r.collectOnce(ctx, &last)
		if err != nil {
			r.setResponsive(false, err)
			r.markContacted()
			r.failPending(err)
			wait.For(ctx, unresponsiveRetryInterval)
			continue
		}
		r.applyOutcomes(reply.Outcomes)
		if last.Incarnation != 0 && reply.Incarnation != last.Incarnation {
			r.failPending(errRestarted)
		}
		if len(reply.Heartbeats) > 0 {
			r.cfg.ApplyHeartbeats(reply.Heartbeats)
		}
		last = reply
		r.setDataCentre(reply.DataCentre)
		r.setResponsive(true, nil)
		r.markContacted()
		if len(reply.Outcomes) > 0 {
			wait.For(ctx, r.messageInterval())
		}
	}
	r.failPending(ctx.Err())
}

// markContacted lets a new leader that waits for the carrier's first answer go on.
func (r *route) markContacted() { r.contactedOnce.Do(func() { close(r.contacted) }) }

var errRestarted = errors.New("the carrier has started anew")

func (r *route) collectOnce(ctx context.Context, last *CollectReply) (CollectReply, error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	r.cfg.Counters.Add("outcome_messages", 1)
	var reply CollectReply
	call := &CollectCall{Term: r.term, Acknowledged: last.Last, Incarnation: last.Incarnation}
	err := r.cfg.Transport.Call(ctx, r.address, MethodCollect, call, &reply)
	if err == nil && reply.Term != r.term {
		err = errors.Newf("the carrier acts under term %d", reply.Term)
	}
	return reply, err
}

func (r *route) applyOutcomes(outcomes []Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, outcome := range outcomes {
		r.complete(outcome.ID, orderResult{outcome: outcome})
	}
}

func (r *route) setDataCentre(dataCentre string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dataCentre = dataCentre
}

// setResponsive notes whether the carrier answers.
func (r *route) setResponsive(responsive bool, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.responsive == responsive {
		return
	}
	r.responsive = responsive
	_ = r.cfg.Logger.Log("event", "carrier", "carrier", r.address, "term", r.term, "present", responsive, "err", cause)
}

// failPending ends the wait for all outcomes. The orders may have been carried out; whoever
// waits for them learns at once that no answer will come, and goes another way.
func (r *route) failPending(cause error) {
	err := errors.Wrap(errNoAnswer, cause.Error())
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.pending {
		r.complete(id, orderResult{err: err})
	}
	r.queue = nil
}
