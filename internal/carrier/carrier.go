package carrier

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
)

const (
	// collectHold is how long a question for outcomes waits for one. A carrier without
	// outcomes answers as often as that, which shows the leader that it is there.
	collectHold = 150 * time.Millisecond
	// maxReplyOutcomes bounds the outcomes of one answer, and of those that wait for the
	// leader to ask: three seconds of a thousand ends.
	maxReplyOutcomes    = 512
	maxBufferedOutcomes = 4096
)

// CarrierConfig is the fixed part of a Carrier.
type CarrierConfig struct {
	// Workers calls workers from here.
	Workers    control.Workers
	DataCentre string
	// CollectHeartbeats returns the heartbeats that this instance took and that the leader
	// hasn't been told of.
	CollectHeartbeats func() []control.BufferedHeartbeat
	Counters          control.Counters
}

// Carrier calls workers for whoever leads. It is safe for concurrent use.
type Carrier struct {
	cfg         CarrierConfig
	incarnation uint64

	mu   sync.Mutex
	term uint64
	// outcomes are those that the leader hasn't confirmed; first is the number of the
	// first of them.
	outcomes    []Outcome
	firstNumber uint64
	// came is closed when an outcome comes up.
	outcomeAdded chan struct{}
}

// NewCarrier returns a carrier without orders.
func NewCarrier(cfg CarrierConfig) *Carrier {
	return &Carrier{cfg: cfg, incarnation: rand.Uint64() | 1, firstNumber: 1, outcomeAdded: make(chan struct{})}
}

// Register serves the carrier's calls on mux.
func (c *Carrier) Register(mux *link.Mux) {
	link.Handle(mux, MethodCarry, c.Carry)
	link.Handle(mux, MethodCollect, c.Collect)
}

// Carry takes orders over and returns at once; their outcomes are collected.
func (c *Carrier) Carry(ctx context.Context, call *CarryCall) (CarryReply, error) {
	if current := c.adoptTerm(call.Term); current != call.Term {
		return CarryReply{Term: current}, nil
	}
	c.cfg.Counters.Add("carried_orders", int64(len(call.Orders)))
	ctx = context.WithoutCancel(ctx)
	for i := range call.Orders {
		go c.execute(ctx, call.Term, &call.Orders[i])
	}
	return CarryReply{Term: call.Term}, nil
}

// holds returns the term under which the carrier acts from now on: the latest that it
// has heard of. Outcomes of earlier terms are nobody's.
//
// Failure guarded against: an instance that was cut off still takes itself for the
// leader and hands over orders. Workers refuse them by their fence once the new leader
// has looked at them; the carrier refuses them from its first message.
func (c *Carrier) adoptTerm(term uint64) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term > c.term {
		c.term = term
		c.outcomes, c.firstNumber = nil, 1
	}
	return c.term
}

// do makes one call of a worker.
func (c *Carrier) execute(ctx context.Context, term uint64, order *Order) {
	ctx, cancel := context.WithTimeout(ctx, order.CallTimeout)
	defer cancel()
	outcome, err := order.callWorker(ctx, c.cfg.Workers)
	outcome.ID = order.ID
	outcome.recordErr(err)
	c.addOutcome(term, outcome)
}

func (c *Carrier) addOutcome(term uint64, outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term != c.term {
		return
	}
	if len(c.outcomes) >= maxBufferedOutcomes {
		// The leader doesn't ask; it has given these orders up.
		c.outcomes = c.outcomes[1:]
		c.firstNumber++
		c.cfg.Counters.Add("carried_outcomes_dropped", 1)
	}
	c.outcomes = append(c.outcomes, outcome)
	close(c.outcomeAdded)
	c.outcomeAdded = make(chan struct{})
}

// Collect returns outcomes as soon as there are any. A leader that doesn't know this
// life of the carrier is answered at once.
func (c *Carrier) Collect(ctx context.Context, call *CollectCall) (CollectReply, error) {
	current := c.adoptTerm(call.Term)
	reply := CollectReply{Term: current, DataCentre: c.cfg.DataCentre, Incarnation: c.incarnation}
	if current != call.Term {
		return reply, nil
	}
	reply.Heartbeats = c.cfg.CollectHeartbeats()
	holdTimer := time.NewTimer(collectHold)
	defer holdTimer.Stop()
	for {
		var added <-chan struct{}
		reply.Outcomes, reply.Last, added = c.outcomesAfter(call)
		if len(reply.Outcomes) > 0 || call.Incarnation != c.incarnation {
			return reply, nil
		}
		select {
		case <-added:
		case <-holdTimer.C:
			return reply, nil
		case <-ctx.Done():
			return reply, ctx.Err()
		}
	}
}

// after returns the outcomes after those that the leader has, and drops the latter;
// came is closed when there is another one.
func (c *Carrier) outcomesAfter(call *CollectCall) (outcomes []Outcome, last uint64, added <-chan struct{}) {
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
