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
	// beatHold is how long the answer to a heartbeat waits for an order, so that one
	// that comes up goes out at once.
	beatHold = 100 * time.Millisecond
	// beatAgain is when a worker is asked for its next heartbeat: with the hold, an
	// end is seen after 75 ms on average.
	beatAgain = 50 * time.Millisecond
	// beatTimeout is how long a worker waits for the answer to a heartbeat.
	beatTimeout = time.Second
	// promptBeat is the longest time from an answer to the next heartbeat of a
	// worker that has taken it: one that hasn't waits for the whole timeout.
	promptBeat = beatTimeout - beatHold
	// confirmations is how many prompt heartbeats in a row show that what the
	// answers before them carried has arrived. One may come from a connection that
	// broke before the answer was through.
	confirmations = 2
)

// BeatOrders is what the answer to a heartbeat carries for a worker that isn't
// called.
type BeatOrders struct {
	// Lease is how long what runs there may go on from the arrival of the answer.
	Lease time.Duration `cbor:"1,keyasint,omitempty"`
	// Seen is the last end that needn't be listed any more.
	Seen   uint64         `cbor:"2,keyasint,omitempty"`
	Fence  uint64         `cbor:"3,keyasint"`
	Starts []StartOrder   `cbor:"4,keyasint,omitempty"`
	Stops  []workflow.Run `cbor:"5,keyasint,omitempty"`
	// Again is when the next heartbeat is due.
	Again time.Duration `cbor:"6,keyasint"`
}

// errUnconfirmed says that no heartbeat has shown an order's effect in time.
var errUnconfirmed = errors.New("no heartbeat shows that the order arrived")

// beats gives orders in the answers to heartbeats. It is the other way to speak
// to workers, for deployments whose workers call and aren't called.
type beats struct {
	// throttler is used for the one order that isn't carried by heartbeats.
	throttler Workers

	mu    sync.Mutex
	boxes map[string]*beatBox
}

func newBeats(throttler Workers) *beats {
	return &beats{throttler: throttler, boxes: map[string]*beatBox{}}
}

// beatBox holds what one worker is to be told, and what it said last.
type beatBox struct {
	look LookOrder
	// starts and stops are repeated until a heartbeat shows that they arrived.
	starts map[workflow.TaskKey]*beatOrder
	stops  map[workflow.Run]*beatOrder
	// answeredAt is when the last answer was sent, confirmed counts the prompt
	// heartbeats since an answer first carried the fence.
	answeredAt time.Time
	fence      uint64
	confirmed  int
	// ordered is closed when an order comes up, heard at a heartbeat.
	ordered, heard chan struct{}
	report         Report
}

// beatOrder is an order on its way.
type beatOrder struct {
	start StartOrder
	// carried says that an answer had it, confirmed counts the prompt heartbeats
	// since then.
	carried   bool
	confirmed int
	// arrived is closed when it has.
	arrived chan struct{}
}

func (b *beats) box(worker string) *beatBox {
	box := b.boxes[worker]
	if box == nil {
		box = &beatBox{
			starts: map[workflow.TaskKey]*beatOrder{}, stops: map[workflow.Run]*beatOrder{},
			ordered: make(chan struct{}), heard: make(chan struct{}),
		}
		b.boxes[worker] = box
	}
	return box
}

// forget drops what is held for workers other than those that are there.
func (b *beats) forget(there func(worker string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for worker := range b.boxes {
		if !there(worker) {
			delete(b.boxes, worker)
		}
	}
}

// take takes a heartbeat's lists in and returns what its answer carries.
func (b *beats) take(ctx context.Context, worker string, fence uint64, report Report) BeatOrders {
	b.mu.Lock()
	box := b.box(worker)
	box.hear(report, time.Now())
	idle := len(box.starts) == 0 && len(box.stops) == 0
	ordered := box.ordered
	b.mu.Unlock()
	if idle {
		hold, cancel := context.WithTimeout(ctx, beatHold)
		defer cancel()
		select {
		case <-ordered:
		case <-hold.Done():
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return box.answer(fence, report, time.Now())
}

// hear takes in a heartbeat. Lists that don't show a run say nothing of a start
// on its way; that a stop or the fence has arrived is shown by the heartbeats
// that follow the answer promptly.
func (box *beatBox) hear(report Report, now time.Time) {
	prompt := !box.answeredAt.IsZero() && now.Sub(box.answeredAt) < promptBeat
	if prompt && box.fence > 0 {
		box.confirmed++
	} else {
		box.confirmed = 0
	}
	for _, r := range report.Running {
		box.startArrived(r.Task, r.Number)
	}
	for _, e := range report.Ended {
		box.startArrived(e.Task, e.Number)
	}
	for run, stop := range box.stops {
		if !stop.carried || !prompt {
			stop.confirmed = 0
			continue
		}
		stop.confirmed++
		if stop.confirmed >= confirmations {
			delete(box.stops, run)
			close(stop.arrived)
		}
	}
	box.report = report
	close(box.heard)
	box.heard = make(chan struct{})
}

func (box *beatBox) startArrived(task workflow.TaskKey, number int) {
	start := box.starts[task]
	if start != nil && number >= start.start.Run.Number {
		delete(box.starts, task)
		close(start.arrived)
	}
}

// answer makes up an answer. The lease that a look wants ends at a time on the
// worker's clock; the worker counts from the arrival, at latest when it would
// have given the answer up.
func (box *beatBox) answer(fence uint64, report Report, now time.Time) BeatOrders {
	if box.fence != fence {
		box.fence, box.confirmed = fence, 0
	}
	box.answeredAt = now
	orders := BeatOrders{Fence: fence, Seen: box.look.Seen, Again: beatAgain}
	if box.look.LeaseEndMS > 0 {
		left := time.Duration(box.look.LeaseEndMS-report.ClockMS)*time.Millisecond - beatTimeout
		orders.Lease = max(left, 0)
	}
	for _, start := range box.starts {
		start.carried = true
		orders.Starts = append(orders.Starts, start.start)
	}
	for run, stop := range box.stops {
		stop.carried = true
		orders.Stops = append(orders.Stops, run)
	}
	return orders
}

// Look returns the lists of the next heartbeat that comes once the worker has
// taken this leader's fence: it refuses older orders from then on.
func (b *beats) Look(ctx context.Context, to Target, order LookOrder) (Report, error) {
	for {
		b.mu.Lock()
		box := b.box(to.Worker)
		box.look = order
		heard := box.heard
		b.mu.Unlock()
		select {
		case <-ctx.Done():
			return Report{}, ctx.Err()
		case <-heard:
		}
		b.mu.Lock()
		report, sure := box.report, box.fence == order.Fence && box.confirmed >= confirmations
		b.mu.Unlock()
		if sure {
			return report, nil
		}
	}
}

// noClock stands for the worker's clock in answers that heartbeats confirm: what
// those show of it comes with the lists.
const noClock = 0

// Start returns once a heartbeat lists the run.
func (b *beats) Start(ctx context.Context, to Target, order StartOrder) (int64, error) {
	return noClock, deliver(ctx, b, to, order.Run.Task, &beatOrder{start: order},
		func(box *beatBox) map[workflow.TaskKey]*beatOrder { return box.starts })
}

// Stop returns once heartbeats show that the order has arrived.
func (b *beats) Stop(ctx context.Context, to Target, order StopOrder) (int64, error) {
	return noClock, deliver(ctx, b, to, order.Run, &beatOrder{},
		func(box *beatBox) map[workflow.Run]*beatOrder { return box.stops })
}

// deliver repeats an order under a key of one of a worker's lists until a
// heartbeat shows that it arrived. One that nobody waits for any more is dropped,
// unless a newer one has taken its place.
func deliver[Key comparable](ctx context.Context, b *beats, to Target, key Key, order *beatOrder,
	list func(*beatBox) map[Key]*beatOrder) error {
	order.arrived = make(chan struct{})
	b.mu.Lock()
	box := b.box(to.Worker)
	list(box)[key] = order
	box.wake()
	b.mu.Unlock()
	if wait.Closed(ctx, order.arrived) {
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
func (b *beats) Throttle(ctx context.Context, to Target, order ThrottleOrder) (int64, error) {
	return b.throttler.Throttle(ctx, to, order)
}

// wake lets a heartbeat that is held be answered.
func (box *beatBox) wake() {
	close(box.ordered)
	box.ordered = make(chan struct{})
}
