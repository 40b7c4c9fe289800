package carrier

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/internal/boottime"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/panics"
)

const (
	// collectHold is how long a collect call without outcomes is held open. An idle carrier
	// therefore responds at this interval, which shows the leader that the carrier is alive.
	collectHold = 150 * time.Millisecond
	// maxReplyOutcomes bounds the outcomes in one collect reply.
	maxReplyOutcomes = 512
	// maxBufferedOutcomes bounds the outcomes that wait to be collected; it is enough for
	// three seconds at a thousand ended runs per second.
	maxBufferedOutcomes = 4096
)

// CarrierConfig configures a Carrier.
type CarrierConfig struct {
	// Workers makes the calls to workers from this instance.
	Workers    control.Workers
	DataCentre string
	// CollectHeartbeats returns the heartbeats that this instance has received from workers
	// and not yet reported to the leader.
	CollectHeartbeats func() []control.BufferedHeartbeat
	Counters          control.Counters
	// Clock is a steady clock that counts the time for which the machine is suspended. nil means
	// package boottime.
	Clock func() time.Duration
	// Logger logs expired orders; nil logs nothing.
	Logger log.Logger
}

// withDefaults sets the fields of the configuration that have defaults.
func (cfg CarrierConfig) withDefaults() CarrierConfig {
	if cfg.Clock == nil {
		cfg.Clock = boottime.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	return cfg
}

// Carrier makes calls to workers on behalf of the current leader. It is safe for concurrent
// use.
type Carrier struct {
	cfg CarrierConfig
	// incarnation identifies this Carrier. It is random, so that it differs after a restart,
	// and never 0, which means that a CollectCall names no incarnation.
	incarnation uint64
	expired     expiredOrders

	mu sync.Mutex
	// term is the latest leader term seen.
	term uint64
	// outcomes are the outcomes that the leader hasn't acknowledged. They are numbered
	// consecutively; firstNumber is the number of outcomes[0].
	outcomes    []Outcome
	firstNumber uint64
	// outcomeAdded is closed, and replaced, when an outcome is added.
	outcomeAdded chan struct{}
	// repeating are the IDs of the polls that are repeated while their workers are idle, repeated
	// those of them that were since the last collect reply.
	repeating   map[uint64]bool
	repeated    []uint64
	collectedAt time.Time
}

// NewCarrier returns a Carrier that has no orders and has seen no leader.
func NewCarrier(cfg CarrierConfig) *Carrier {
	return &Carrier{cfg: cfg.withDefaults(), incarnation: rand.Uint64() | 1, firstNumber: 1, outcomeAdded: make(chan struct{}), repeating: map[uint64]bool{}}
}

// Register serves the carrier's methods on mux.
func (c *Carrier) Register(mux *link.Mux) {
	link.Handle(mux, MethodCarry, c.Carry)
	link.Handle(mux, MethodCollect, c.Collect)
}

// Carry starts to execute the orders of a call and returns immediately; the leader fetches
// their outcomes with Collect. If the carrier has seen a later term, Carry executes no order
// and returns that term. It executes none either if the call names another incarnation.
func (c *Carrier) Carry(ctx context.Context, call *CarryCall) (CarryReply, error) {
	if currentTerm := c.adoptTerm(call.Term); currentTerm != call.Term {
		return CarryReply{Term: currentTerm}, nil
	}
	if call.Incarnation != 0 && call.Incarnation != c.incarnation {
		return CarryReply{Term: call.Term, OtherIncarnation: true}, nil
	}
	c.cfg.Counters.Add("carried_orders", int64(len(call.Orders)))
	c.startRepeating(call)
	ctx = context.WithoutCancel(ctx)
	for i := range call.Orders {
		go c.execute(ctx, call.Term, &call.Orders[i])
	}
	return CarryReply{Term: call.Term}, nil
}

// adoptTerm raises the carrier's term to term if term is later, and returns the resulting
// term. A new term drops the outcomes of earlier ones.
//
// A former leader that was partitioned may still send orders. A worker rejects them by their
// fencing token only after the new leader has polled the worker; the carrier rejects them as
// soon as it has received one message of the new leader.
func (c *Carrier) adoptTerm(term uint64) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term > c.term {
		c.term = term
		c.outcomes, c.firstNumber = nil, 1
		clear(c.repeating)
		c.repeated = nil
	}
	return c.term
}

// execute makes an order's call to the worker, unless the order has expired, and stores the outcome.
func (c *Carrier) execute(ctx context.Context, term uint64, order *Order) {
	defer panics.Handle()
	outcome, err := c.callOnce(ctx, order)
	for err == nil && outcome.Report != nil && outcome.Report.IsIdle() && c.repeats(term, order.ID) {
		outcome, err = c.call(ctx, order, order.CallTimeout)
	}
	outcome.ID = order.ID
	outcome.recordErr(err)
	c.addOutcome(term, outcome)
}

// call makes one call of an order to the worker, within timeout.
func (c *Carrier) call(ctx context.Context, order *Order, timeout time.Duration) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return order.callWorker(ctx, c.cfg.Workers)
}

// addOutcome stores the outcome of an order sent in term, unless a later term has started.
// It drops the oldest outcome if the buffer is full.
func (c *Carrier) addOutcome(term uint64, outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.repeating, outcome.ID)
	if term != c.term {
		return
	}
	if len(c.outcomes) >= maxBufferedOutcomes {
		// The buffer is full only if the leader has stopped collecting. The orders of
		// the oldest outcomes have timed out by that time.
		c.outcomes = c.outcomes[1:]
		c.firstNumber++
		c.cfg.Counters.Add("carried_outcomes_dropped", 1)
	}
	c.outcomes = append(c.outcomes, outcome)
	close(c.outcomeAdded)
	c.outcomeAdded = make(chan struct{})
}

// Collect returns the outcomes that the leader hasn't acknowledged. If there are none, it
// waits up to collectHold for one. It returns immediately if the call names another
// incarnation of the carrier or an earlier term. Errors are those of ctx.
func (c *Carrier) Collect(ctx context.Context, call *CollectCall) (CollectReply, error) {
	currentTerm := c.adoptTerm(call.Term)
	c.recordCollect()
	reply := CollectReply{Term: currentTerm, DataCentre: c.cfg.DataCentre, Incarnation: c.incarnation}
	if currentTerm != call.Term {
		return reply, nil
	}
	reply.Heartbeats = c.cfg.CollectHeartbeats()
	holdTimer := time.NewTimer(collectHold)
	defer holdTimer.Stop()
	for {
		var added <-chan struct{}
		reply.Outcomes, reply.LastNumber, added = c.outcomesAfter(call)
		if len(reply.Outcomes) > 0 || call.Incarnation != c.incarnation {
			reply.Repeated, reply.Clock = c.takeRepeated(call.Term), c.cfg.Clock()
			return reply, nil
		}
		select {
		case <-added:
		case <-holdTimer.C:
			reply.Repeated, reply.Clock = c.takeRepeated(call.Term), c.cfg.Clock()
			return reply, nil
		case <-ctx.Done():
			return reply, ctx.Err()
		}
	}
}

// outcomesAfter drops the outcomes that the call acknowledges. It returns the next outcomes,
// the number of the last of them, and a channel that is closed when an outcome is added.
func (c *Carrier) outcomesAfter(call *CollectCall) (outcomes []Outcome, lastNumber uint64, added <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.Term != c.term {
		return nil, call.Acknowledged, c.outcomeAdded
	}
	for len(c.outcomes) > 0 && call.Incarnation == c.incarnation && c.firstNumber <= call.Acknowledged {
		c.outcomes = c.outcomes[1:]
		c.firstNumber++
	}
	n := min(len(c.outcomes), maxReplyOutcomes)
	outcomes = append(outcomes, c.outcomes[:n]...)
	return outcomes, c.firstNumber + uint64(n) - 1, c.outcomeAdded
}
