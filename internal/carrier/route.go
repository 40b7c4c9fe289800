package carrier

import (
	"cmp"
	"container/list"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/panics"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/internal/worktime"
)

const (
	// roundTripTimeout bounds a message to a carrier and its reply. A carrier that
	// takes longer counts as unresponsive.
	roundTripTimeout = 300 * time.Millisecond
	// collectTimeout bounds a collect call, including the time for which the carrier holds it.
	collectTimeout = collectHold + roundTripTimeout
	// overdueAfter is the age at which an order without an outcome is overdue: several
	// round trips to the carrier and the worker. Polls are never overdue because
	// workers hold them.
	overdueAfter = 120 * time.Millisecond
	// overdueThreshold is the number of overdue orders at which the leader sends a carrier no
	// further orders. Fewer overdue orders may be due to a single slow worker.
	overdueThreshold = 4
	// unresponsiveRetryInterval is the pause between collect calls to an unresponsive
	// carrier.
	unresponsiveRetryInterval = 250 * time.Millisecond
	// maxBatch bounds the orders in one carry call.
	maxBatch = 256
)

// route forwards orders to one carrier in one leader term.
type route struct {
	cfg     *ForwarderConfig
	address string
	// rank orders the carriers of a data centre; those with the lowest ranks get orders.
	rank uint64
	term uint64
	// lastOrderID is the ID of the last order on any route.
	//
	// All routes share the counter because a member may leave and return within a term while
	// its carrier still holds outcomes for the closed route. If each route counted from 1, a
	// new order would get the outcome of an old one.
	lastOrderID *atomic.Uint64
	// wake has a buffer of one; a buffered value means that orders are queued.
	wake chan struct{}
	// contacted is closed after the first collect call has succeeded or failed.
	contacted     chan struct{}
	contactedOnce sync.Once

	mu sync.Mutex
	// interval is the pause between two messages in the same direction.
	interval time.Duration
	// responsive says that a collect call has succeeded since the last failed call;
	// dataCentre is the data centre of the carrier.
	responsive bool
	dataCentre string
	// reading is the reading of the carrier's clock by which orders expire.
	reading clockReading
	queue   []*Order
	// withdrawn are the repeated polls that the carrier is to repeat no longer.
	withdrawn []uint64
	// ended says that the loops of the route have ended.
	ended   bool
	pending map[uint64]*pendingOrder
	// nonPolls lists the pending orders other than polls, the oldest first. Workers respond
	// to them immediately.
	nonPolls *list.List
}

// stage is how far an order has got on its way to the carrier.
type stage uint8

const (
	// stageQueued: the order is in the queue and can't have reached the carrier.
	stageQueued stage = iota
	// stageSending: the result of the order's message isn't known yet.
	stageSending
	// stageSent: the carrier has received the order.
	stageSent
)

// pendingOrder is an order without an outcome.
type pendingOrder struct {
	enqueuedAt time.Time
	// deadline is when the leader gives up the order, by its own clock.
	deadline time.Duration
	stage    stage
	// result receives the outcome or an error; it has a buffer of one.
	result chan orderResult
	// element is the order's entry in nonPolls; nil for a poll.
	element *list.Element
	// onResponse is called when a repeated poll was answered; nil for other orders.
	onResponse func()
}

// orderResult is the outcome of an order, or an error if the order has no outcome.
type orderResult struct {
	outcome Outcome
	err     error
}

func newRoute(cfg *ForwarderConfig, address string, term uint64, lastOrderID *atomic.Uint64) *route {
	return &route{
		cfg: cfg, address: address, rank: xxhash.Sum64String(address), term: term, lastOrderID: lastOrderID, wake: make(chan struct{}, 1), contacted: make(chan struct{}),
		interval: baseMessageInterval, pending: map[uint64]*pendingOrder{}, nonPolls: list.New(),
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

// usable reports whether orders may be sent to the carrier, and returns its data centre. A
// carrier with several overdue orders isn't usable even if it responds to collect calls: it
// may be frozen or backlogged, and orders sent to it would wait until it counts as
// unresponsive.
func (r *route) usable(now time.Time) (usable bool, dataCentre string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.responsive && !r.backlogged(now), r.dataCentre
}

// backlogged reports whether at least overdueThreshold orders are overdue. r.mu must be held.
func (r *route) backlogged(now time.Time) bool {
	overdue := 0
	for e := r.nonPolls.Front(); e != nil && overdue < overdueThreshold; e = e.Next() {
		if now.Sub(e.Value.(*pendingOrder).enqueuedAt) < overdueAfter {
			return false
		}
		overdue++
	}
	return overdue >= overdueThreshold
}

// forward queues an order and waits for its outcome. The error is errNotForwarded if the
// order can't have reached the carrier, and errNoResponse if it may have been executed.
func (r *route) forward(ctx context.Context, order *Order) (Outcome, error) {
	p := r.enqueue(ctx, order)
	select {
	case result := <-p.result:
		return result.outcome, result.err
	case <-ctx.Done():
		r.mu.Lock()
		defer r.mu.Unlock()
		r.remove(order.ID)
		return Outcome{}, errors.Wrap(errNoResponse, ctx.Err().Error())
	}
}

func (r *route) enqueue(ctx context.Context, order *Order) *pendingOrder {
	p := &pendingOrder{enqueuedAt: time.Now(), result: make(chan orderResult, 1)}
	if deadline, ok := ctx.Deadline(); ok {
		order.CallTimeout = time.Until(deadline)
	}
	p.deadline = r.cfg.Clock() + cmp.Or(order.CallTimeout, maxCallTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		p.result <- orderResult{err: errNotForwarded}
		return p
	}
	order.ID = r.lastOrderID.Add(1)
	r.pending[order.ID] = p
	if order.Poll == nil {
		p.element = r.nonPolls.PushBack(p)
	} else {
		p.onResponse = order.Poll.OnResponse
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

// complete passes the result of an order to the caller that waits for it, if the order is
// still pending. r.mu must be held.
func (r *route) complete(id uint64, result orderResult) {
	if p := r.pending[id]; p != nil {
		p.result <- result
		r.remove(id)
	}
}

// remove removes an order from the pending ones. r.mu must be held.
func (r *route) remove(id uint64) {
	p := r.pending[id]
	if p == nil {
		return
	}
	delete(r.pending, id)
	if p.element != nil {
		r.nonPolls.Remove(p.element)
	}
}

// sendLoop sends queued orders until ctx ends.
func (r *route) sendLoop(ctx context.Context) {
	defer panics.Handle()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		batch, withdrawn := r.nextBatch(), r.takeWithdrawn()
		if len(batch)+len(withdrawn) == 0 {
			continue
		}
		go r.sendBatch(ctx, batch, withdrawn)
		if !wait.For(ctx, r.messageInterval()) {
			return
		}
	}
}

// nextBatch removes the orders of the next message from the queue and returns those that are
// still pending.
func (r *route) nextBatch() []*Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	var batch []*Order
	for len(r.queue) > 0 && len(batch) < maxBatch {
		if p := r.pending[r.queue[0].ID]; p != nil {
			p.stage = stageSending
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

// sendBatch sends the orders of a batch in one message. If the message can't have arrived,
// the orders fail with errNotForwarded, and the leader calls their workers itself. If it may
// have arrived, the orders fail with errNoResponse.
func (r *route) sendBatch(ctx context.Context, batch []*Order, withdrawn []uint64) {
	defer panics.Handle()
	ctx, cancel := context.WithTimeout(ctx, roundTripTimeout)
	defer cancel()
	call, ok := r.newCarryCall(batch, withdrawn)
	if !ok {
		r.failBatch(batch, errNotForwarded)
		return
	}
	r.cfg.Counters.Add("order_messages", 1)
	var reply CarryReply
	err := r.cfg.Transport.Call(ctx, r.address, MethodCarry, call, &reply)
	switch {
	case err == nil && reply.Term == r.term && reply.OtherIncarnation:
		r.failBatch(batch, errors.Wrap(errNotForwarded, errRestarted.Error()))
	case err == nil && reply.Term == r.term:
		r.markSent(batch)
		return
	case err == nil:
		r.failBatch(batch, errors.Wrapf(errNoResponse, "the carrier is in term %d", reply.Term))
	case errors.Is(err, link.ErrUnsent):
		r.failBatch(batch, errNotForwarded)
	default:
		r.failBatch(batch, errors.Wrap(errNoResponse, err.Error()))
	}
	if err != nil {
		r.setResponsive(false, err)
	}
}

// markSent records that the carrier has received the orders of a batch.
func (r *route) markSent(batch []*Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, order := range batch {
		if p := r.pending[order.ID]; p != nil {
			p.stage = stageSent
		}
	}
}

// failBatch completes the orders of a batch with err.
func (r *route) failBatch(batch []*Order, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, order := range batch {
		r.complete(order.ID, orderResult{err: err})
	}
}

// collectLoop collects outcomes and heartbeats until ctx ends. When a collect call fails or
// the carrier has restarted, the orders that it may have received fail.
func (r *route) collectLoop(ctx context.Context) {
	defer panics.Handle()
	var last CollectReply
	for ctx.Err() == nil {
		reply, err := r.collectOnce(ctx, &last)
		if err != nil {
			r.setResponsive(false, err)
			r.markContacted()
			r.failUncollected(err)
			wait.For(ctx, unresponsiveRetryInterval)
			continue
		}
		processed := r.cfg.Work.Track(worktime.Collect)
		r.recordClock(&reply)
		r.applyRepeated(reply.Repeated)
		r.applyOutcomes(reply.Outcomes)
		if last.Incarnation != 0 && reply.Incarnation != last.Incarnation {
			r.failSent(errRestarted)
		}
		if len(reply.Heartbeats) > 0 {
			r.cfg.ApplyHeartbeats(reply.Heartbeats)
		}
		processed()
		last = reply
		r.setDataCentre(reply.DataCentre)
		r.setResponsive(true, nil)
		r.markContacted()
		if len(reply.Outcomes) > 0 {
			wait.For(ctx, r.messageInterval())
		}
	}
	r.end(ctx.Err())
}

// markContacted ends a new leader's wait for the first response of the carrier.
func (r *route) markContacted() { r.contactedOnce.Do(func() { close(r.contacted) }) }

// collectOnce makes one collect call that acknowledges the outcomes of the last reply. It
// fails if the carrier is in another term.
func (r *route) collectOnce(ctx context.Context, last *CollectReply) (CollectReply, error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	r.cfg.Counters.Add("outcome_messages", 1)
	var reply CollectReply
	call := &CollectCall{Term: r.term, Acknowledged: last.LastNumber, Incarnation: last.Incarnation}
	err := r.cfg.Transport.Call(ctx, r.address, MethodCollect, call, &reply)
	if err == nil && reply.Term != r.term {
		err = errors.Wrapf(errOtherTerm, "the carrier is in term %d", reply.Term)
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

// dataCentreName returns the data centre of the carrier, empty while it isn't known.
func (r *route) dataCentreName() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dataCentre
}

// setResponsive records whether the carrier responds, and logs a change.
func (r *route) setResponsive(responsive bool, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.responsive == responsive {
		return
	}
	r.responsive = responsive
	_ = r.cfg.Logger.Log("event", "carrier", "carrier", r.address, "term", r.term, "present", responsive, "err", cause)
}
