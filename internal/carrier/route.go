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
	// wayTimeout bounds a message's way to a carrier and back, and collectTimeout that
	// of a question for outcomes, the hold included. A carrier that answers later is
	// taken for silent.
	wayTimeout     = 300 * time.Millisecond
	collectTimeout = collectHold + wayTimeout
	// overdueAfter is how long an order may be without an outcome before its carrier
	// gets no further ones, looks excepted, which are held: some round trips of the
	// carrier and of the worker.
	overdueAfter = 120 * time.Millisecond
	// overdueOrders is how many must be so. One or two may be a worker's fault.
	overdueOrders = 4
	// silentPause lies between two questions to a carrier that is silent.
	silentPause = 250 * time.Millisecond
	// maxBatch bounds the orders of one message.
	maxBatch = 256
)

// route is the way to one carrier under one term.
type route struct {
	cfg     *Config
	address string
	term    uint64
	// ids numbers the orders of all routes.
	//
	// Failure guarded against: a member leaves and comes back within a term, and the
	// carrier still holds outcomes of the route that was closed. Numbered from 1 again,
	// an order would be given the outcome of another.
	ids *atomic.Uint64
	// queued has room for one: a set one means that orders are queued.
	queued chan struct{}
	// answered is closed once the carrier has answered for the first time, or failed to.
	answered chan struct{}
	tried    sync.Once

	mu    sync.Mutex
	pause time.Duration
	// present says that the carrier answers under this term; dataCentre is its own.
	present    bool
	dataCentre string
	queue      []*Order
	pending    map[uint64]*pendingOrder
	// prompt holds the orders that a worker answers at once, the oldest first.
	prompt *list.List
}

// pendingOrder is an order without an outcome.
type pendingOrder struct {
	since time.Time
	// settled has room for one: the outcome, or why none will come.
	settled chan settlement
	// place is where it stands in prompt; nil for a look.
	place *list.Element
}

// settlement ends the wait for an order's outcome.
type settlement struct {
	outcome Outcome
	err     error
}

func newRoute(cfg *Config, address string, term uint64, ids *atomic.Uint64) *route {
	return &route{
		cfg: cfg, address: address, term: term, ids: ids, queued: make(chan struct{}, 1), answered: make(chan struct{}),
		pause: messagePause, pending: map[uint64]*pendingOrder{}, prompt: list.New(),
	}
}

func (r *route) setPause(pause time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pause = pause
}

func (r *route) messagePause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pause
}

// usable reports whether the carrier may be given orders, and where it is.
//
// Failure guarded against: a carrier is frozen or behind, and each order handed to it
// waits until the leader takes it for silent. Some orders that are overdue show it
// earlier.
func (r *route) usable(now time.Time) (usable bool, dataCentre string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.present && !r.behind(now), r.dataCentre
}

// behind reports whether several orders are overdue. r.mu is held.
func (r *route) behind(now time.Time) bool {
	overdue := 0
	for e := r.prompt.Front(); e != nil && overdue < overdueOrders; e = e.Next() {
		if now.Sub(e.Value.(*pendingOrder).since) < overdueAfter {
			return false
		}
		overdue++
	}
	return overdue >= overdueOrders
}

// carry queues an order and waits for its outcome.
func (r *route) carry(ctx context.Context, order *Order) (Outcome, error) {
	p := r.enqueue(ctx, order)
	select {
	case settled := <-p.settled:
		return settled.outcome, settled.err
	case <-ctx.Done():
		r.mu.Lock()
		defer r.mu.Unlock()
		r.forget(order.ID)
		return Outcome{}, errors.Wrap(errNoAnswer, ctx.Err().Error())
	}
}

func (r *route) enqueue(ctx context.Context, order *Order) *pendingOrder {
	p := &pendingOrder{since: time.Now(), settled: make(chan settlement, 1)}
	if deadline, ok := ctx.Deadline(); ok {
		order.Within = time.Until(deadline)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	order.ID = r.ids.Add(1)
	r.pending[order.ID] = p
	if order.Look == nil {
		p.place = r.prompt.PushBack(p)
	}
	r.queue = append(r.queue, order)
	r.signal()
	return p
}

func (r *route) signal() {
	select {
	case r.queued <- struct{}{}:
	default:
	}
}

// settle ends the wait for an order, if anybody still waits. r.mu is held.
func (r *route) settle(id uint64, by settlement) {
	if p := r.pending[id]; p != nil {
		p.settled <- by
		r.forget(id)
	}
}

// forget drops an order that nobody waits for any more. r.mu is held.
func (r *route) forget(id uint64) {
	p := r.pending[id]
	if p == nil {
		return
	}
	delete(r.pending, id)
	if p.place != nil {
		r.prompt.Remove(p.place)
	}
}

// send hands queued orders over until ctx ends.
func (r *route) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.queued:
		}
		batch := r.take()
		if len(batch) == 0 {
			continue
		}
		go r.handOver(ctx, batch)
		if !wait.For(ctx, r.messagePause()) {
			return
		}
	}
}

// take takes the orders of the next message out of the queue, but for those that have
// been given up.
func (r *route) take() []*Order {
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

// handOver sends one message. Orders that can't have arrived go another way; those
// that may have count as under way.
func (r *route) handOver(ctx context.Context, batch []*Order) {
	ctx, cancel := context.WithTimeout(ctx, wayTimeout)
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
		r.fail(batch, errors.Wrapf(errNoAnswer, "the carrier acts under term %d", reply.Term))
	case errors.Is(err, link.ErrUnsent):
		r.fail(batch, errNotCarried)
	default:
		r.fail(batch, errors.Wrap(errNoAnswer, err.Error()))
	}
	if err != nil {
		r.setPresent(false, err)
	}
}

func (r *route) fail(batch []*Order, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, order := range batch {
		r.settle(order.ID, settlement{err: err})
	}
}

// collect takes in outcomes until ctx ends.
func (r *route) collect(ctx context.Context) {
	var last CollectReply
	for ctx.Err() == nil {
		reply, err := r.collectOnce(ctx, &last)
		if err != nil {
			r.setPresent(false, err)
			r.noteTried()
			r.giveUp(err)
			wait.For(ctx, silentPause)
			continue
		}
		r.takeIn(reply.Outcomes)
		if last.Epoch != 0 && reply.Epoch != last.Epoch {
			r.giveUp(errRestarted)
		}
		if len(reply.Heard) > 0 {
			r.cfg.Heard(reply.Heard)
		}
		last = reply
		r.noteDataCentre(reply.DataCentre)
		r.setPresent(true, nil)
		r.noteTried()
		if len(reply.Outcomes) > 0 {
			wait.For(ctx, r.messagePause())
		}
	}
	r.giveUp(ctx.Err())
}

// noteTried lets a new leader that waits for the carrier's first answer go on.
func (r *route) noteTried() { r.tried.Do(func() { close(r.answered) }) }

var errRestarted = errors.New("the carrier has started anew")

func (r *route) collectOnce(ctx context.Context, last *CollectReply) (CollectReply, error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	r.cfg.Counters.Add("outcome_messages", 1)
	var reply CollectReply
	call := &CollectCall{Term: r.term, Seen: last.Last, Epoch: last.Epoch}
	err := r.cfg.Transport.Call(ctx, r.address, MethodCollect, call, &reply)
	if err == nil && reply.Term != r.term {
		err = errors.Newf("the carrier acts under term %d", reply.Term)
	}
	return reply, err
}

func (r *route) takeIn(outcomes []Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, outcome := range outcomes {
		r.settle(outcome.ID, settlement{outcome: outcome})
	}
}

func (r *route) noteDataCentre(dataCentre string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dataCentre = dataCentre
}

// setPresent notes whether the carrier answers.
func (r *route) setPresent(present bool, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.present == present {
		return
	}
	r.present = present
	_ = r.cfg.Logger.Log("event", "carrier", "carrier", r.address, "term", r.term, "present", present, "err", cause)
}

// giveUp ends the wait for all outcomes. The orders may have been carried out; whoever
// waits for them learns at once that no answer will come, and goes another way.
func (r *route) giveUp(cause error) {
	err := errors.Wrap(errNoAnswer, cause.Error())
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.pending {
		r.settle(id, settlement{err: err})
	}
	r.queue = nil
}
