package carrier

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// networkDelay is the one-way delay of a message between two instances.
const networkDelay = time.Millisecond

const (
	// startTimeout bounds a start.
	startTimeout = 600 * time.Millisecond
	// settleTime exceeds the timeouts of starts and collect calls and the retry interval, so
	// that calls in flight have ended and faults have been noticed.
	settleTime = time.Second
)

// cluster is a leader's Forwarder and several carriers on a simulated network.
type cluster struct {
	t         *testing.T
	forwarder *Forwarder
	endTerm   context.CancelFunc

	mu       sync.Mutex
	members  []string
	carriers map[string]*Carrier
	workers  map[string]*fakeWorkers
	// refusing instances refuse connections, unresponsive ones accept messages without
	// processing them, those in droppingReplies process messages and send no reply, and stalled
	// ones process messages when they go on.
	refusing, unresponsive, droppingReplies, stalled map[string]bool
	callCounts                                       map[string]int
	counters                                         *countersByName
}

func newCluster(t *testing.T, carriers int) *cluster {
	c := &cluster{
		t: t, carriers: map[string]*Carrier{}, workers: map[string]*fakeWorkers{},
		refusing: map[string]bool{}, unresponsive: map[string]bool{}, droppingReplies: map[string]bool{}, stalled: map[string]bool{},
		callCounts: map[string]int{}, counters: &countersByName{},
	}
	c.members = []string{"leader"}
	c.workers["leader"] = &fakeWorkers{}
	for i := range carriers {
		name := fmt.Sprintf("carrier-%d", i)
		c.members = append(c.members, name)
		c.workers[name] = &fakeWorkers{}
		c.restart(name)
	}
	c.forwarder = NewForwarder(ForwarderConfig{
		OwnAddress: "leader", Members: c.currentMembers, Transport: c,
		DirectWorkers: c.workers["leader"], ApplyHeartbeats: func([]control.BufferedHeartbeat) {}, Logger: log.NewNopLogger(), Counters: noCounters{}, Clock: leaderClock,
	})
	return c
}

const (
	// leaderBootTime and carrierBootTime are how long the machines have been up at the epoch of
	// simulated time; their clocks differ.
	leaderBootTime  = 3 * time.Hour
	carrierBootTime = time.Hour
)

// simulatedEpoch is the start of simulated time.
var simulatedEpoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func leaderClock() time.Duration  { return leaderBootTime + time.Since(simulatedEpoch) }
func carrierClock() time.Duration { return carrierBootTime + time.Since(simulatedEpoch) }

// restart replaces an instance's carrier by one without orders or outcomes.
func (c *cluster) restart(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	carrier := newTestCarrier(c.workers[name], "dc-"+name)
	carrier.cfg.Counters = c.counters
	c.carriers[name] = carrier
}

func (c *cluster) currentMembers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.members)
}

// setMembers replaces the members and waits until the leader has applied the change.
func (c *cluster) setMembers(members ...string) {
	c.mu.Lock()
	c.members = members
	c.mu.Unlock()
	time.Sleep(2 * membershipInterval)
}

func newTestCarrier(workers control.Workers, dataCentre string) *Carrier {
	return NewCarrier(CarrierConfig{
		Workers: workers, DataCentre: dataCentre, Counters: noCounters{}, Clock: carrierClock,
		CollectHeartbeats: func() []control.BufferedHeartbeat { return nil },
	})
}

// lead starts a leader term, which ends with the test or the next term. The simulated
// load is so high that the leader forwards all orders.
func (c *cluster) lead(term uint64) {
	if c.endTerm != nil {
		c.endTerm()
	}
	var ctx context.Context
	ctx, c.endTerm = context.WithCancel(c.t.Context())
	c.forwarder.Lead(ctx, term)
	go c.simulateLoad(ctx)
}

// overloadOrderCount is a count of orders per half membershipInterval at which the leader calls almost
// no worker directly.
const overloadOrderCount = 1e9

// simulateLoad raises the leader's order count so far that it forwards all orders.
func (c *cluster) simulateLoad(ctx context.Context) {
	for wait.For(ctx, membershipInterval/2) {
		c.forwarder.direct.orderCount.Add(overloadOrderCount)
	}
}

// setFault starts or ends a fault of an instance; faults is the cluster's map for the fault.
func (c *cluster) setFault(faults map[string]bool, name string, active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	faults[name] = active
}

func (c *cluster) hasFault(faults map[string]bool, name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return faults[name]
}

// callsOf returns the number of calls of a method.
func (c *cluster) callsOf(method string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.callCounts[method]
}

// Call implements Transport with a network delay and the faults that are set.
func (c *cluster) Call(ctx context.Context, address, method string, request, reply any) error {
	c.mu.Lock()
	carrier := c.carriers[address]
	c.callCounts[method]++
	c.mu.Unlock()
	if c.hasFault(c.refusing, address) {
		return errors.Mark(errors.New("refused"), link.ErrUnsent)
	}
	time.Sleep(networkDelay)
	if c.hasFault(c.unresponsive, address) {
		<-ctx.Done()
		return ctx.Err()
	}
	if c.hasFault(c.stalled, address) {
		go c.serveLater(address, carrier, method, request)
		<-ctx.Done()
		return ctx.Err()
	}
	response, err := serve(ctx, carrier, method, request)
	if err == nil && c.hasFault(c.droppingReplies, address) {
		<-ctx.Done()
		err = ctx.Err()
	}
	if err != nil {
		return err
	}
	time.Sleep(networkDelay)
	return copyMessage(response, reply)
}

// endStalls lets all stalled carriers go on.
func (c *cluster) endStalls() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.stalled)
}

// serveLater passes a call to a carrier once the carrier is no longer stalled.
func (c *cluster) serveLater(address string, carrier *Carrier, method string, request any) {
	for c.hasFault(c.stalled, address) {
		time.Sleep(networkDelay)
	}
	_, _ = serve(context.Background(), carrier, method, request)
}

// serve passes a call to a carrier.
func serve(ctx context.Context, carrier *Carrier, method string, request any) (any, error) {
	if method == MethodCarry {
		var call CarryCall
		if err := copyMessage(request, &call); err != nil {
			return nil, err
		}
		return carrier.Carry(ctx, &call)
	}
	var call CollectCall
	if err := copyMessage(request, &call); err != nil {
		return nil, err
	}
	return carrier.Collect(ctx, &call)
}

// copyMessage encodes from and decodes it into to, as a real transport does.
func copyMessage(from, to any) error {
	data, err := cbor.Marshal(from)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(data, to)
}

// fakeWorkers simulates all workers, for the calls that one instance makes.
type fakeWorkers struct {
	mu     sync.Mutex
	starts []control.StartOrder
	// startsByWorker counts the starts by worker.
	startsByWorker map[string]int
	// startErr is the error of starts; nil means that they succeed.
	startErr error
	polls    int
	// pollHold is how long polls are held. The first idlePolls of them find an idle worker.
	pollHold  time.Duration
	idlePolls int
	// hangStarts makes starts hang without a response.
	hangStarts bool
}

// workerClockMS is the clock that fake workers report, in milliseconds.
const workerClockMS = 77

func (w *fakeWorkers) Start(ctx context.Context, to control.Target, order control.StartOrder) (int64, error) {
	w.mu.Lock()
	w.starts = append(w.starts, order)
	if w.startsByWorker == nil {
		w.startsByWorker = map[string]int{}
	}
	w.startsByWorker[to.Worker]++
	startErr, hang := w.startErr, w.hangStarts
	w.mu.Unlock()
	if hang {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	time.Sleep(networkDelay)
	return workerClockMS, startErr
}

func (w *fakeWorkers) Stop(context.Context, control.Target, control.StopOrder) (int64, error) {
	return workerClockMS, nil
}

func (w *fakeWorkers) Throttle(context.Context, control.Target, control.ThrottleOrder) (int64, error) {
	return workerClockMS, nil
}

// Poll returns one ended and one running run after pollHold, or nothing for the first idlePolls.
func (w *fakeWorkers) Poll(_ context.Context, _ control.Target, order control.PollOrder) (control.Report, error) {
	time.Sleep(networkDelay + w.pollHold)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	if w.polls <= w.idlePolls {
		return control.Report{ClockMS: workerClockMS}, nil
	}
	end := workflow.RunEnd{Task: workflow.TaskKey{StepKey: workflow.StepKey{Job: "j", Step: 1}, Index: 2}, Number: 3, Outcome: workflow.OutcomeDone}
	return control.Report{
		ClockMS: workerClockMS, Ended: []control.Ended{{Position: order.LastEnd + 1, RunEnd: end}},
		Running: []control.Running{{Task: workflow.TaskKey{StepKey: workflow.StepKey{Job: "k"}}, Number: 1, Percent: 40, Measured: 9}},
	}, nil
}

func (w *fakeWorkers) started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.starts)
}

// noCounters discards all counts.
type noCounters struct{}

func (noCounters) Add(string, int64)                           {}
func (noCounters) Set(string, int64)                           {}
func (noCounters) Observe(string, time.Duration)               {}
func (noCounters) SetByLabel(string, string, map[string]int64) {}

// countersByName keeps counts and discards all other figures.
type countersByName struct {
	noCounters
	mu     sync.Mutex
	counts map[string]int64
}

func (c *countersByName) Add(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int64{}
	}
	c.counts[name] += n
}

func (c *countersByName) value(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[name]
}

// start sends a start to a worker with a timeout of startTimeout.
func (c *cluster) start(worker string) error {
	ctx, cancel := context.WithTimeout(c.t.Context(), startTimeout)
	defer cancel()
	_, err := c.forwarder.Start(ctx, control.Target{Worker: worker, Address: "a"}, control.StartOrder{Fence: 1, Payload: "p"})
	return err
}

// startsByInstance returns the number of starts that each instance has sent.
func (c *cluster) startsByInstance() map[string]int {
	starts := map[string]int{}
	for name, w := range c.workers {
		starts[name] = w.started()
	}
	return starts
}

// startsByWorker returns the number of starts that each worker got from all instances.
func (c *cluster) startsByWorker() map[string]int {
	starts := map[string]int{}
	for _, w := range c.workers {
		w.mu.Lock()
		for worker, n := range w.startsByWorker {
			starts[worker] += n
		}
		w.mu.Unlock()
	}
	return starts
}

// startMany sends starts to many workers concurrently and returns how many succeeded.
func (c *cluster) startMany(workers int) (succeeded int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range workers {
		group.Go(func() {
			if c.start(fmt.Sprint("worker-", i)) == nil {
				mu.Lock()
				defer mu.Unlock()
				succeeded++
			}
		})
	}
	group.Wait()
	return succeeded
}

// pendingOrders returns the number of orders without an outcome.
func (r *route) pendingOrders() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending)
}
