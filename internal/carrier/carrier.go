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
	// maxOutcomes bounds the outcomes of one answer, and of those that wait for the
	// leader to ask: three seconds of a thousand ends.
	maxOutcomes     = 512
	maxKeptOutcomes = 4096
)

// CarrierConfig is the fixed part of a Carrier.
type CarrierConfig struct {
	// Workers calls workers from here.
	Workers    control.Workers
	DataCentre string
	// TakeHeard returns the heartbeats that this instance took and that the leader
	// hasn't been told of.
	TakeHeard func() []control.BufferedHeartbeat
	Counters  control.Counters
}

// Carrier calls workers for whoever leads. It is safe for concurrent use.
type Carrier struct {
	cfg   CarrierConfig
	epoch uint64

	mu   sync.Mutex
	term uint64
	// outcomes are those that the leader hasn't confirmed; first is the number of the
	// first of them.
	outcomes []Outcome
	first    uint64
	// came is closed when an outcome comes up.
	came chan struct{}
}

// NewCarrier returns a carrier without orders.
func NewCarrier(cfg CarrierConfig) *Carrier {
	return &Carrier{cfg: cfg, epoch: rand.Uint64() | 1, first: 1, came: make(chan struct{})}
}

// Register serves the carrier's calls on mux.
func (c *Carrier) Register(mux *link.Mux) {
	link.Handle(mux, MethodCarry, c.Carry)
	link.Handle(mux, MethodCollect, c.Collect)
}

// Carry takes orders over and returns at once; their outcomes are collected.
func (c *Carrier) Carry(ctx context.Context, call *CarryCall) (CarryReply, error) {
	if held := c.holds(call.Term); held != call.Term {
		return CarryReply{Term: held}, nil
	}
	c.cfg.Counters.Add("carried_orders", int64(len(call.Orders)))
	ctx = context.WithoutCancel(ctx)
	for i := range call.Orders {
		go c.do(ctx, call.Term, &call.Orders[i])
	}
	return CarryReply{Term: call.Term}, nil
}

// holds returns the term under which the carrier acts from now on: the latest that it
// has heard of. Outcomes of earlier terms are nobody's.
//
// Failure guarded against: an instance that was cut off still takes itself for the
// leader and hands over orders. Workers refuse them by their fence once the new leader
// has looked at them; the carrier refuses them from its first message.
func (c *Carrier) holds(term uint64) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term > c.term {
		c.term = term
		c.outcomes, c.first = nil, 1
	}
	return c.term
}

// do makes one call of a worker.
func (c *Carrier) do(ctx context.Context, term uint64, o *Order) {
	ctx, cancel := context.WithTimeout(ctx, o.Within)
	defer cancel()
	outcome, err := o.callBy(ctx, c.cfg.Workers)
	outcome.ID = o.ID
	outcome.noteErr(err)
	c.add(term, outcome)
}

func (c *Carrier) add(term uint64, outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term != c.term {
		return
	}
	if len(c.outcomes) >= maxKeptOutcomes {
		// The leader doesn't ask; it has given these orders up.
		c.outcomes = c.outcomes[1:]
		c.first++
		c.cfg.Counters.Add("carried_outcomes_dropped", 1)
	}
	c.outcomes = append(c.outcomes, outcome)
	close(c.came)
	c.came = make(chan struct{})
}

// Collect returns outcomes as soon as there are any. A leader that doesn't know this
// life of the carrier is answered at once.
func (c *Carrier) Collect(ctx context.Context, call *CollectCall) (CollectReply, error) {
	held := c.holds(call.Term)
	reply := CollectReply{Term: held, DataCentre: c.cfg.DataCentre, Epoch: c.epoch}
	if held != call.Term {
		return reply, nil
	}
	reply.Heard = c.cfg.TakeHeard()
	hold := time.NewTimer(collectHold)
	defer hold.Stop()
	for {
		var came <-chan struct{}
		reply.Outcomes, reply.Last, came = c.after(call)
		if len(reply.Outcomes) > 0 || call.Epoch != c.epoch {
			return reply, nil
		}
		select {
		case <-came:
		case <-hold.C:
			return reply, nil
		case <-ctx.Done():
			return reply, ctx.Err()
		}
	}
}

// after returns the outcomes after those that the leader has, and drops the latter;
// came is closed when there is another one.
func (c *Carrier) after(call *CollectCall) (outcomes []Outcome, last uint64, came <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.Term != c.term {
		return nil, call.Seen, c.came
	}
	for len(c.outcomes) > 0 && call.Epoch == c.epoch && c.first <= call.Seen {
		c.outcomes = c.outcomes[1:]
		c.first++
	}
	n := min(len(c.outcomes), maxOutcomes)
	outcomes = append(outcomes, c.outcomes[:n]...)
	return outcomes, c.first + uint64(n) - 1, c.came
}
