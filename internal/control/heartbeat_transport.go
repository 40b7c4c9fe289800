package control

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// heartbeatHold is how long the answer to a heartbeat waits for an order, so that one
	// that comes up goes out at once.
	heartbeatHold = 100 * time.Millisecond
	// heartbeatInterval is when a worker is asked for its next heartbeat: with the hold, an
	// end is seen after 75 ms on average.
	heartbeatInterval = 50 * time.Millisecond
	// heartbeatTimeout is how long a worker waits for the answer to a heartbeat.
	heartbeatTimeout = time.Second
	// promptHeartbeatMax is the longest time from an answer to the next heartbeat of a
	// worker that has taken it: one that hasn't waits for the whole timeout.
	promptHeartbeatMax = heartbeatTimeout - heartbeatHold
	// confirmations is how many prompt heartbeats in a row show that what the
	// answers before them carried has arrived. One may come from a connection that
	// broke before the answer was through.
	requiredConfirmations = 2
)

// HeartbeatOrders is what the answer to a heartbeat carries for a worker that isn't
// called.
type HeartbeatOrders struct {
	// Lease is how long what runs there may go on from the arrival of the answer.
	Lease time.Duration `cbor:"1,keyasint,omitempty"`
	// Seen is the last end that needn't be listed any more.
	Seen   uint64         `cbor:"2,keyasint,omitempty"`
	Fence  uint64         `cbor:"3,keyasint"`
	Starts []StartOrder   `cbor:"4,keyasint,omitempty"`
	Stops  []workflow.Run `cbor:"5,keyasint,omitempty"`
	// Again is when the next heartbeat is due.
	NextIn time.Duration `cbor:"6,keyasint"`
}

// errUnconfirmed says that no heartbeat has shown an order's effect in time.
var errUnconfirmed = errors.New("no heartbeat shows that the order arrived")

// beats gives orders in the answers to heartbeats. It is the other way to speak
// to workers, for deployments whose workers call and aren't called.
type heartbeatTransport struct {
	// throttler is used for the one order that isn't carried by heartbeats.
	direct Workers

	mu        sync.Mutex
	mailboxes map[string]*mailbox
}

func newHeartbeatTransport(throttler Workers) *heartbeatTransport {
	return &heartbeatTransport{direct: throttler, mailboxes: map[string]*mailbox{}}
}

// mailbox holds what one worker is to be told, and what it said last.
type mailbox struct {
	poll PollOrder
	// starts and stops are repeated until a heartbeat shows that they arrived.
	starts map[workflow.TaskKey]*heartbeatOrder
	stops  map[workflow.Run]*heartbeatOrder
	// answeredAt is when the last answer was sent, confirmed counts the prompt
	// heartbeats since an answer first carried the fence.
	answeredAt time.Time
	fence      uint64
	confirmed  int
	// ordered is closed when an order comes up, heard at a heartbeat.
	orderAdded, heartbeatReceived chan struct{}
	report                        Report
}

// heartbeatOrder is an order on its way.
type heartbeatOrder struct {
	start StartOrder
	// carried says that an answer had it, confirmed counts the prompt heartbeats
	// since then.
	sent      bool
	confirmed int
	// arrived is closed when it has.
	delivered chan struct{}
}

func (b *heartbeatTransport) mailboxOf(worker string) *mailbox {
	box := b.mailboxes[worker]
	if box == nil {
		box = &mailbox{
			starts: map[workflow.TaskKey]*heartbeatOrder{}, stops: map[workflow.Run]*heartbeatOrder{},
			orderAdded: make(chan struct{}), heartbeatReceived: make(chan struct{}),
		}
		b.mailboxes[worker] = box
	}
	return box
}

// forget drops what is held for workers other than those that are there.
func (b *heartbeatTransport) forget(exists func(worker string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for worker := range b.mailboxes {
		if !exists(worker) {
			delete(b.mailboxes, worker)
		}
	}
}

// take takes a heartbeat's lists in and returns what its answer carries.
func (b *heartbeatTransport) exchange(ctx context.Context, worker string, fence uint64, report Report) HeartbeatOrders {
	b.mu.Lock()
	box := b.mailboxOf(worker)
	box.recordHeartbeat(report, time.Now())
	idle := len(box.starts) == 0 && len(box.stops) == 0
	orderAdded := box.orderAdded
	b.mu.Unlock()
	if idle {
		hold, cancel := context.WithTimeout(ctx, heartbeatHold)
		defer cancel()
		select {
		case <-orderAdded:
		case <-hold.Done():
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return box.makeAnswer(fence, report, time.Now())
}

// hear takes in a heartbeat. Lists that don't show a run say nothing of a start
// on its way; that a stop or the fence has arrived is shown by the heartbeats
// that follow the answer promptly.
func (box *mailbox) recordHeartbeat(report Report, now time.Time) {
	prompt := !box.answeredAt.IsZero() && now.Sub(box.answeredAt) < promptHeartbeatMax
	if prompt && box.fence > 0 {
		box.confirmed++
	} else {
		box.confirmed = 0
	}
	for _, r := range report.Running {
		box.recordStartDelivered(r.Task, r.Number)
	}
	for _, e := range report.Ended {
		box.recordStartDelivered(e.Task, e.Number)
	}
	for run, stop := range box.stops {
		if !stop.sent || !prompt {
			stop.confirmed = 0
			continue
		}
		stop.confirmed++
		if stop.confirmed >= requiredConfirmations {
			delete(box.stops, run)
			close(stop.delivered)
		}
	}
	box.report = report
	close(box.heartbeatReceived)
	box.heartbeatReceived = make(chan struct{})
}

func (box *mailbox) recordStartDelivered(task workflow.TaskKey, number int) {
	start := box.starts[task]
	if start != nil && number >= start.start.Run.Number {
		delete(box.starts, task)
		close(start.delivered)
	}
}

// answer makes up an answer. The lease that a look wants ends at a time on the
// worker's clock; the worker counts from the arrival, at latest when it would
// have given the answer up.
func (box *mailbox) makeAnswer(fence uint64, report Report, now time.Time) HeartbeatOrders {
	if box.fence != fence {
		box.fence, box.confirmed = fence, 0
	}
	box.answeredAt = now
	orders := HeartbeatOrders{Fence: fence, Seen: box.poll.Seen, NextIn: heartbeatInterval}
	if box.poll.LeaseEndMS > 0 {
		lease := time.Duration(box.poll.LeaseEndMS-report.ClockMS)*time.Millisecond - heartbeatTimeout
		orders.Lease = max(lease, 0)
	}
	for _, start := range box.starts {
		start.sent = true
		orders.Starts = append(orders.Starts, start.start)
	}
	for run, stop := range box.stops {
		stop.sent = true
		orders.Stops = append(orders.Stops, run)
	}
	return orders
}

// Look returns the lists of the next heartbeat that comes once the worker has
// taken this leader's fence: it refuses older orders from then on.
func (b *heartbeatTransport) Poll(ctx context.Context, to Target, order PollOrder) (Report, error) {
	for {
		b.mu.Lock()
		box := b.mailboxOf(to.Worker)
		box.poll = order
		received := box.heartbeatReceived
		b.mu.Unlock()
		select {
		case <-ctx.Done():
			return Report{}, ctx.Err()
		case <-received:
		}
		b.mu.Lock()
		report, confirmed := box.report, box.fence == order.Fence && box.confirmed >= requiredConfirmations
		b.mu.Unlock()
		if confirmed {
			return report, nil
		}
	}
}

// clockUnknown stands for the worker's clock in answers that heartbeats confirm: what
// those show of it comes with the lists.
const clockUnknown = 0

// Start returns once a heartbeat lists the run.
func (b *heartbeatTransport) Start(ctx context.Context, to Target, order StartOrder) (int64, error) {
	return clockUnknown, deliver(ctx, b, to, order.Run.Task, &heartbeatOrder{start: order},
		func(box *mailbox) map[workflow.TaskKey]*heartbeatOrder { return box.starts })
}

// Stop returns once heartbeats show that the order has arrived.
func (b *heartbeatTransport) Stop(ctx context.Context, to Target, order StopOrder) (int64, error) {
	return clockUnknown, deliver(ctx, b, to, order.Run, &heartbeatOrder{},
		func(box *mailbox) map[workflow.Run]*heartbeatOrder { return box.stops })
}

// deliver repeats an order under a key of one of a worker's lists until a
// heartbeat shows that it arrived. One that nobody waits for any more is dropped,
// unless a newer one has taken its place.
func deliver[Key comparable](ctx context.Context, b *heartbeatTransport, to Target, key Key, order *heartbeatOrder,
	list func(*mailbox) map[Key]*heartbeatOrder) error {
	order.delivered = make(chan struct{})
	b.mu.Lock()
	box := b.mailboxOf(to.Worker)
	list(box)[key] = order
	box.wake()
	b.mu.Unlock()
	if wait.Closed(ctx, order.delivered) {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if list(box)[key] == order {
		delete(list(box), key)
	}
	return errUnconfirmed
}

// Throttle calls the worker: heartbeats don't carry this order.
func (b *heartbeatTransport) Throttle(ctx context.Context, to Target, order ThrottleOrder) (int64, error) {
	return b.direct.Throttle(ctx, to, order)
}

// wake lets a heartbeat that is held be answered.
func (box *mailbox) wake() {
	close(box.orderAdded)
	box.orderAdded = make(chan struct{})
}
