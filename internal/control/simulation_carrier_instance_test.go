package control_test

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryferry/bilberryferry/internal/carrier"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

const (
	// minMessageTime and maxMessageTime bound the way of a message between a leader and a carrier.
	minMessageTime, maxMessageTime = 200 * time.Microsecond, 1500 * time.Microsecond
	// minOrderDelay and maxOrderDelay bound how long an order waits in a slow carrier.
	minOrderDelay, maxOrderDelay = 10 * time.Millisecond, 80 * time.Millisecond
)

// errNoResponse is the error of a call that may or may not have been carried out.
var errNoResponse = errors.New("no response")

// carrierInstance is one incarnation of a simulated carrier. It stands between the Carrier, the
// leaders and the workers.
type carrierInstance struct {
	network *carrierNetwork
	name    string
	carrier *carrier.Carrier
	// ended is closed when the process ends.
	ended chan struct{}

	mu sync.Mutex
	// closed says that the process accepts no further message.
	closed bool
	// until is when each fault ends.
	until [carrierFaultCount]time.Time
	// held counts the orders other than polls that have arrived and have no outcome yet.
	held int
	// polling counts the polls of each worker that are under way.
	polling map[string]int
}

// newInstance starts an incarnation of a carrier.
func (n *carrierNetwork) newInstance(name string) *carrierInstance {
	c := &carrierInstance{network: n, name: name, ended: make(chan struct{}), polling: map[string]int{}}
	c.carrier = carrier.NewCarrier(carrier.CarrierConfig{
		Workers: c, DataCentre: name, Counters: noCounters{}, Clock: virtualClock, CollectHeartbeats: func() []control.BufferedHeartbeat { return nil },
	})
	return c
}

// stopListening makes the carrier refuse further messages.
func (c *carrierInstance) stopListening() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// kill ends the process, and returns how many orders it held.
func (c *carrierInstance) kill() (held int) {
	close(c.ended)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return c.held
}

func (c *carrierInstance) setFault(kind carrierFault, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until[kind] = until
}

// endFaults ends all faults. A frozen carrier goes on when its fault would have ended.
func (c *carrierInstance) endFaults() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for kind := range c.until {
		if carrierFault(kind) != faultFreeze {
			c.until[kind] = time.Time{}
		}
	}
}

// remaining returns how long a fault still lasts.
func (c *carrierInstance) remaining(kind carrierFault) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Until(c.until[kind])
}

func (c *carrierInstance) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// awaitThaw waits while the process is frozen, and reports whether it goes on then.
func (c *carrierInstance) awaitThaw() (alive bool) {
	for {
		select {
		case <-c.ended:
			return false
		default:
		}
		frozen := c.remaining(faultFreeze)
		if frozen <= 0 {
			return true
		}
		select {
		case <-c.ended:
		case <-time.After(frozen):
		}
	}
}

// Call sends a message of a leader to a carrier.
func (n *carrierNetwork) Call(ctx context.Context, address, method string, request, reply any) error {
	wait.For(ctx, n.drawDuration(minMessageTime, maxMessageTime))
	c := n.instance(address)
	if c == nil || c.isClosed() {
		return errors.Mark(errors.New("connection refused"), link.ErrUnsent)
	}
	if c.remaining(faultCutFromLeader) > 0 {
		<-ctx.Done()
		return errNoResponse
	}
	encoded, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	served := make(chan []byte, 1)
	// A message that has arrived is processed although its sender may have given up.
	go c.serve(ctx, method, encoded, served)
	select {
	case <-ctx.Done():
		return errNoResponse
	case <-c.ended:
		return errors.Wrap(errNoResponse, "connection reset")
	case response := <-served:
		wait.For(ctx, n.drawDuration(minMessageTime, maxMessageTime))
		if c.remaining(faultCutFromLeader) > 0 {
			<-ctx.Done()
			return errNoResponse
		}
		return cbor.Unmarshal(response, reply)
	}
}

func (n *carrierNetwork) drawDuration(low, high time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return randomDuration(n.cfg.Random, low, high)
}

// serve processes a message as soon as the process isn't frozen.
func (c *carrierInstance) serve(ctx context.Context, method string, encoded []byte, served chan<- []byte) {
	if !c.awaitThaw() {
		return
	}
	response, err := c.handle(ctx, method, encoded)
	if err != nil || !c.awaitThaw() {
		return
	}
	if encoded, err := cbor.Marshal(response); err == nil {
		served <- encoded
	}
}

func (c *carrierInstance) handle(ctx context.Context, method string, encoded []byte) (any, error) {
	if method == carrier.MethodCarry {
		var call carrier.CarryCall
		if err := cbor.Unmarshal(encoded, &call); err != nil {
			return nil, err
		}
		c.checkArrivals(&call)
		return c.carrier.Carry(ctx, &call)
	}
	var call carrier.CollectCall
	if err := cbor.Unmarshal(encoded, &call); err != nil {
		return nil, err
	}
	return c.carrier.Collect(ctx, &call)
}

// checkArrivals counts the starts of a call for which no leader waits any more.
func (c *carrierInstance) checkArrivals(call *carrier.CarryCall) {
	for i := range call.Orders {
		if start := call.Orders[i].Start; start != nil {
			c.network.cfg.Counts.CheckArrival(start.Run)
		}
	}
}

// Start makes a call of the carrier to a worker.
func (c *carrierInstance) Start(ctx context.Context, to control.Target, order control.StartOrder) (clockMS int64, err error) {
	defer c.hold()()
	err = c.callWorker(ctx, func() error {
		awaited := c.network.cfg.Counts.CheckCall(order.Run)
		c.network.cfg.Logf("%s sends the start of task=%s run=%d to %s, awaited by a leader: %t", c.name, order.Run.Task, order.Run.Number, to.Worker, awaited)
		clockMS, err = c.network.cfg.Workers.Start(ctx, to, order)
		return err
	})
	return clockMS, err
}

// Stop makes a call of the carrier to a worker.
func (c *carrierInstance) Stop(ctx context.Context, to control.Target, order control.StopOrder) (clockMS int64, err error) {
	defer c.hold()()
	err = c.callWorker(ctx, func() error {
		clockMS, err = c.network.cfg.Workers.Stop(ctx, to, order)
		return err
	})
	return clockMS, err
}

// Throttle makes a call of the carrier to a worker.
func (c *carrierInstance) Throttle(ctx context.Context, to control.Target, order control.ThrottleOrder) (clockMS int64, err error) {
	defer c.hold()()
	err = c.callWorker(ctx, func() error {
		clockMS, err = c.network.cfg.Workers.Throttle(ctx, to, order)
		return err
	})
	return clockMS, err
}

// Poll makes a call of the carrier to a worker.
func (c *carrierInstance) Poll(ctx context.Context, to control.Target, order control.PollOrder) (report control.Report, err error) {
	c.countPoll(to.Worker, 1)
	defer c.countPoll(to.Worker, -1)
	err = c.callWorker(ctx, func() error {
		report, err = c.network.cfg.Workers.Poll(ctx, to, order)
		return err
	})
	return report, err
}

func (c *carrierInstance) countPoll(worker string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.polling[worker] += n
}

func (c *carrierInstance) isPolling(worker string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.polling[worker] > 0
}

// hold counts an order while the carrier holds it, until the returned function is called.
func (c *carrierInstance) hold() (release func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.held--
	}
}

// callWorker makes a call to a worker with the faults of the carrier. A process that has ended
// makes no call, one that is frozen makes it afterwards if its time isn't over by then.
func (c *carrierInstance) callWorker(ctx context.Context, call func() error) error {
	if c.remaining(faultSlow) > 0 {
		wait.For(ctx, c.network.drawDuration(minOrderDelay, maxOrderDelay))
	}
	if !c.awaitThaw() || c.remaining(faultCutFromWorkers) > 0 {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return errNoResponse
	}
	err := call()
	if !c.awaitThaw() || c.remaining(faultCutFromWorkers) > 0 {
		<-ctx.Done()
		return errNoResponse
	}
	return err
}
