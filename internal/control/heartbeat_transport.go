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
	// heartbeatHold is how long the response to a heartbeat is held if there is no order, so
	// that a new order can be sent immediately.
	heartbeatHold = 100 * time.Millisecond
	// heartbeatInterval is the time from a response to the worker's next heartbeat. Together
	// with the hold, the end of a run is noticed after 75 ms on average.
	heartbeatInterval = 50 * time.Millisecond
	// heartbeatTimeout is how long a worker waits for the response to a heartbeat.
	heartbeatTimeout = time.Second
	// promptHeartbeatMax is the longest time from a response to the worker's next heartbeat
	// if the worker received the response. A worker that didn't receive it waits for the
	// full timeout.
	promptHeartbeatMax = heartbeatTimeout - heartbeatHold
	// requiredConfirmations is how many consecutive prompt heartbeats prove that the orders
	// in the responses before them arrived. A single one may come from a connection that
	// broke before the response was delivered.
	requiredConfirmations = 2
)

// HeartbeatOrders are the orders in the response to a heartbeat, for workers that the
// leader doesn't call.
type HeartbeatOrders struct {
	// Lease is how long runs on the worker may continue, counted from the arrival of the
	// response.
	Lease time.Duration `cbor:"1,keyasint,omitempty"`
	// LastEnd is the position of the last end that the worker needn't list any more.
	LastEnd uint64 `cbor:"2,keyasint,omitempty"`
	// Fence is the fencing token of all orders in the response.
	Fence  uint64         `cbor:"3,keyasint"`
	Starts []StartOrder   `cbor:"4,keyasint,omitempty"`
	Stops  []workflow.Run `cbor:"5,keyasint,omitempty"`
	// NextIn is the time until the next heartbeat is due.
	NextIn time.Duration `cbor:"6,keyasint"`
}

// errUnconfirmed is returned when no heartbeat confirmed an order before the call ended.
// The worker may still carry out the order.
var errUnconfirmed = errors.New("no heartbeat confirmed that the order arrived")

// heartbeatTransport implements Workers for deployments in which workers call the leader
// and the leader doesn't call them: it delivers orders in the responses to heartbeats.
type heartbeatTransport struct {
	// direct sends throttle orders, the only ones that heartbeats don't carry.
	direct Workers

	mu        sync.Mutex
	mailboxes map[string]*mailbox
}

// newHeartbeatTransport returns a transport that sends only throttle orders through direct.
func newHeartbeatTransport(direct Workers) *heartbeatTransport {
	return &heartbeatTransport{direct: direct, mailboxes: map[string]*mailbox{}}
}

// mailbox holds the undelivered orders for one worker and the worker's last report.
type mailbox struct {
	poll PollOrder
	// starts and stops are sent repeatedly until a heartbeat shows that they arrived.
	starts map[workflow.TaskKey]*heartbeatOrder
	stops  map[workflow.Run]*heartbeatOrder
	// respondedAt is when the last response was sent. fence is the fencing token of that
	// response, and confirmations counts the prompt heartbeats since a response first
	// carried this token.
	respondedAt   time.Time
	fence         uint64
	confirmations int
	// orderAdded is closed when an order is added, heartbeatReceived when a heartbeat
	// arrives.
	orderAdded, heartbeatReceived chan struct{}
	// report is the report of the heartbeat with the highest sequence number, which is sequence.
	report   Report
	sequence uint64
}

// heartbeatOrder is an order whose arrival isn't confirmed yet. start is empty in a stop.
type heartbeatOrder struct {
	start StartOrder
	// sent says that a response carried the order. confirmations counts the prompt
	// heartbeats since then.
	sent          bool
	confirmations int
	// delivered is closed when the order is known to have arrived.
	delivered chan struct{}
}

// mailboxOf returns the mailbox of a worker, and creates it if there is none. h.mu must
// be held.
func (h *heartbeatTransport) mailboxOf(worker string) *mailbox {
	box := h.mailboxes[worker]
	if box == nil {
		box = &mailbox{
			starts: map[workflow.TaskKey]*heartbeatOrder{}, stops: map[workflow.Run]*heartbeatOrder{},
			orderAdded: make(chan struct{}), heartbeatReceived: make(chan struct{}),
		}
		h.mailboxes[worker] = box
	}
	return box
}

// removeMailboxes removes the mailboxes of workers for which exists returns false.
func (h *heartbeatTransport) removeMailboxes(exists func(worker string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for worker := range h.mailboxes {
		if !exists(worker) {
			delete(h.mailboxes, worker)
		}
	}
}

// exchange records the report of a heartbeat and returns the orders for its response. If
// there is no order, it waits up to heartbeatHold for one.
//
// It ignores a heartbeat that arrives after a later one of the worker: its report may have been made
// before the worker received an order, and would prove that the order never arrived. A sequence of 0
// is unknown.
func (h *heartbeatTransport) exchange(ctx context.Context, worker string, fence, sequence uint64, report Report) HeartbeatOrders {
	h.mu.Lock()
	box := h.mailboxOf(worker)
	if sequence > 0 && sequence <= box.sequence {
		h.mu.Unlock()
		return HeartbeatOrders{Fence: fence, NextIn: heartbeatInterval}
	}
	box.sequence = max(box.sequence, sequence)
	box.recordHeartbeat(report, time.Now())
	idle := len(box.starts) == 0 && len(box.stops) == 0
	orderAdded := box.orderAdded
	h.mu.Unlock()
	if idle {
		hold, cancel := context.WithTimeout(ctx, heartbeatHold)
		defer cancel()
		select {
		case <-orderAdded:
		case <-hold.Done():
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return box.makeResponse(fence, report, time.Now())
}

// recordHeartbeat records a heartbeat and confirms the orders whose arrival it proves. A
// start has arrived if the report lists its run; a report without the run proves nothing.
// A stop or the fencing token has arrived if enough prompt heartbeats followed the
// response that carried it.
func (box *mailbox) recordHeartbeat(report Report, now time.Time) {
	prompt := !box.respondedAt.IsZero() && now.Sub(box.respondedAt) < promptHeartbeatMax && box.madePromptly(report)
	if prompt && box.fence > 0 {
		box.confirmations++
	} else {
		box.confirmations = 0
	}
	for _, r := range report.Running {
		box.recordStartDelivered(r.Task, r.Number)
	}
	for _, e := range report.Ended {
		box.recordStartDelivered(e.Task, e.Number)
	}
	for run, stop := range box.stops {
		if !stop.sent || !prompt {
			stop.confirmations = 0
			continue
		}
		stop.confirmations++
		if stop.confirmations >= requiredConfirmations {
			delete(box.stops, run)
			close(stop.delivered)
		}
	}
	box.report = report
	close(box.heartbeatReceived)
	box.heartbeatReceived = make(chan struct{})
}

// madePromptly reports whether the worker made a report, by its own clock, soon after its last one. Heartbeats that
// were held back on their way may arrive together, although the worker waited in vain for each response.
func (box *mailbox) madePromptly(report Report) bool {
	return time.Duration(report.ClockMS-box.report.ClockMS)*time.Millisecond < promptHeartbeatMax
}

// recordStartDelivered confirms the start of a task if a report shows its run or a later
// one.
func (box *mailbox) recordStartDelivered(task workflow.TaskKey, number int) {
	start := box.starts[task]
	if start != nil && number >= start.start.Run.Number {
		delete(box.starts, task)
		close(start.delivered)
	}
}

// makeResponse returns the response to a heartbeat. The end of the lease that the leader
// has set, on the worker's clock, is converted to a duration that the worker counts from
// the arrival of the response. The response may arrive as late as the worker's timeout,
// so heartbeatTimeout is subtracted.
func (box *mailbox) makeResponse(fence uint64, report Report, now time.Time) HeartbeatOrders {
	if box.fence != fence {
		box.fence, box.confirmations = fence, 0
	}
	box.respondedAt = now
	orders := HeartbeatOrders{Fence: fence, LastEnd: box.poll.LastEnd, NextIn: heartbeatInterval}
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

// Poll waits for the first heartbeat that follows the worker's acceptance of this
// leader's fencing token, and returns its report. From then on the worker refuses orders
// of earlier leaders.
func (h *heartbeatTransport) Poll(ctx context.Context, to Target, order PollOrder) (Report, error) {
	for {
		h.mu.Lock()
		box := h.mailboxOf(to.Worker)
		box.poll = order
		received := box.heartbeatReceived
		h.mu.Unlock()
		select {
		case <-ctx.Done():
			return Report{}, ctx.Err()
		case <-received:
		}
		h.mu.Lock()
		report, confirmed := box.report, box.fence == order.Fence && box.confirmations >= requiredConfirmations
		h.mu.Unlock()
		if confirmed {
			return report, nil
		}
	}
}

// clockUnknown is returned as the worker's clock for orders that heartbeats confirm. The
// leader gets the clock from the worker's reports instead.
const clockUnknown = 0

// Start returns nil once a heartbeat lists the run, and errUnconfirmed if ctx ends first.
func (h *heartbeatTransport) Start(ctx context.Context, to Target, order StartOrder) (int64, error) {
	return clockUnknown, deliver(ctx, h, to, order.Run.Task, &heartbeatOrder{start: order},
		func(box *mailbox) map[workflow.TaskKey]*heartbeatOrder { return box.starts })
}

// Stop returns nil once heartbeats prove that the order arrived, and errUnconfirmed if ctx
// ends first.
func (h *heartbeatTransport) Stop(ctx context.Context, to Target, order StopOrder) (int64, error) {
	return clockUnknown, deliver(ctx, h, to, order.Run, &heartbeatOrder{},
		func(box *mailbox) map[workflow.Run]*heartbeatOrder { return box.stops })
}

// deliver adds an order to the worker's mailbox, and returns nil once a heartbeat proves
// that the order arrived. Responses carry the order repeatedly until then. ordersOf
// selects the mailbox's orders of the same kind, in which key identifies the order. If
// ctx ends first, deliver removes the order, unless a newer one has replaced it, and
// returns errUnconfirmed.
func deliver[Key comparable](ctx context.Context, h *heartbeatTransport, to Target, key Key, order *heartbeatOrder,
	ordersOf func(*mailbox) map[Key]*heartbeatOrder) error {
	order.delivered = make(chan struct{})
	h.mu.Lock()
	box := h.mailboxOf(to.Worker)
	ordersOf(box)[key] = order
	box.wake()
	h.mu.Unlock()
	if wait.Closed(ctx, order.delivered) {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if ordersOf(box)[key] == order {
		delete(ordersOf(box), key)
	}
	return errUnconfirmed
}

// Throttle calls the worker directly, because heartbeats don't carry this order.
func (h *heartbeatTransport) Throttle(ctx context.Context, to Target, order ThrottleOrder) (int64, error) {
	return h.direct.Throttle(ctx, to, order)
}

// wake ends the hold of the response to a heartbeat, so that the response is sent
// immediately.
func (box *mailbox) wake() {
	close(box.orderAdded)
	box.orderAdded = make(chan struct{})
}
