// Package carrier distributes the calls to workers over the core instances. The leader
// decides and commits; it forwards the resulting orders in batches to the other core
// instances, each of which runs a carrier that calls the workers and returns their responses.
// A carrier makes no decisions, doesn't retry, and holds no state that must survive a
// restart. To the leader it is a longer network path to a worker, on which an order may be
// delayed, or the order or its response may be lost.
//
// Without carriers, the leader calls each worker every second and holds several connections
// to each. These calls take most of the leader's processor time while the other instances are
// idle.
package carrier

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/internal/control"
)

// Names of the methods that the leader calls on the other core instances.
const (
	MethodCarry   = "carry"
	MethodCollect = "collect"
)

// Transport calls a method of another instance; *link.Client implements it. An error marked
// link.ErrUnsent means that the call can't have reached the other instance.
type Transport interface {
	Call(ctx context.Context, address, method string, request, reply any) error
}

// Order is one call to a worker. Exactly one of Start, Stop, Throttle and Poll is set.
type Order struct {
	// ID identifies the order within its leader term.
	ID       uint64                 `cbor:"1,keyasint"`
	To       control.Target         `cbor:"2,keyasint"`
	Start    *control.StartOrder    `cbor:"3,keyasint,omitempty"`
	Stop     *control.StopOrder     `cbor:"4,keyasint,omitempty"`
	Throttle *control.ThrottleOrder `cbor:"5,keyasint,omitempty"`
	Poll     *control.PollOrder     `cbor:"6,keyasint,omitempty"`
	// CallTimeout is how long the carrier waits for the worker's response.
	CallTimeout time.Duration `cbor:"7,keyasint"`
}

// callWorker makes the order's call through workers and returns the error of that call.
func (o *Order) callWorker(ctx context.Context, workers control.Workers) (outcome Outcome, err error) {
	switch {
	case o.Start != nil:
		outcome.ClockMS, err = workers.Start(ctx, o.To, *o.Start)
	case o.Stop != nil:
		outcome.ClockMS, err = workers.Stop(ctx, o.To, *o.Stop)
	case o.Throttle != nil:
		outcome.ClockMS, err = workers.Throttle(ctx, o.To, *o.Throttle)
	case o.Poll != nil:
		var report control.Report
		report, err = workers.Poll(ctx, o.To, *o.Poll)
		outcome.Report = &report
	}
	return outcome, err
}

// CarryCall forwards orders to a carrier.
type CarryCall struct {
	// Term is the leader term in which the orders are sent.
	Term   uint64  `cbor:"1,keyasint"`
	Orders []Order `cbor:"2,keyasint"`
	// Withdrawn are the IDs of polls that the carrier is to repeat no longer.
	Withdrawn []uint64 `cbor:"3,keyasint,omitempty"`
	// SentAt is when the call was sent, or a little earlier, on the carrier's own clock. It is valid
	// only for the carrier's incarnation that the call names.
	SentAt      time.Duration `cbor:"4,keyasint,omitempty"`
	Incarnation uint64        `cbor:"5,keyasint,omitempty"`
}

// CarryReply returns the carrier's term. If this term is later than the call's, the carrier
// executes none of the orders.
type CarryReply struct {
	Term uint64 `cbor:"1,keyasint"`
}

// CollectCall requests the outcomes of orders.
type CollectCall struct {
	Term uint64 `cbor:"1,keyasint"`
	// Acknowledged is the number of the last outcome that the leader has received. The
	// carrier lists later outcomes again, so that the leader gets those of a lost reply.
	Acknowledged uint64 `cbor:"2,keyasint"`
	// Incarnation is the carrier's incarnation in its last reply, 0 before the first reply.
	// Acknowledged is valid only for this incarnation.
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
}

// CollectReply lists outcomes in the order in which they were added.
type CollectReply struct {
	Term uint64 `cbor:"1,keyasint"`
	// DataCentre is the carrier's data centre.
	DataCentre string    `cbor:"2,keyasint,omitempty"`
	Outcomes   []Outcome `cbor:"3,keyasint,omitempty"`
	// LastNumber is the number of the last outcome in Outcomes.
	LastNumber uint64 `cbor:"4,keyasint,omitempty"`
	// Incarnation identifies one process of the carrier. A new incarnation has no record of
	// orders that were forwarded before it started.
	Incarnation uint64 `cbor:"5,keyasint"`
	// Heartbeats are the heartbeats that the carrier's instance received from workers.
	Heartbeats []control.BufferedHeartbeat `cbor:"6,keyasint,omitempty"`
	// Repeated are the IDs of the polls that were answered by an idle worker since the last
	// reply, and repeated.
	Repeated []uint64 `cbor:"7,keyasint,omitempty"`
	// Clock is the carrier's own clock, which counts from the start of its incarnation.
	Clock time.Duration `cbor:"8,keyasint,omitempty"`
}

// Outcome is the result of an order.
type Outcome struct {
	ID      uint64 `cbor:"1,keyasint"`
	ClockMS int64  `cbor:"2,keyasint,omitempty"`
	// Report is the response to a poll.
	Report *control.Report `cbor:"3,keyasint,omitempty"`
	// Refused is the reason why the worker refused the order; it is empty if the worker
	// executed the order or may have executed it.
	Refused control.Refusal `cbor:"4,keyasint,omitempty"`
	// OtherIncarnation says that the addressed incarnation of the worker has ended.
	OtherIncarnation bool `cbor:"5,keyasint,omitempty"`
	// NoResponse is the error of a call that may or may not have been executed.
	NoResponse string `cbor:"6,keyasint,omitempty"`
}

// errNoResponse says that an order may or may not have been executed.
var errNoResponse = errors.New("no response through the carrier")

// err returns the error that the outcome represents, or nil if the worker executed the order.
func (o *Outcome) err() error {
	switch {
	case o.OtherIncarnation:
		return control.ErrOtherIncarnation
	case o.Refused != "":
		return &control.RefusedError{Reason: o.Refused}
	case o.NoResponse != "":
		return errors.Wrap(errNoResponse, o.NoResponse)
	default:
		return nil
	}
}

// recordErr stores the error of a call to a worker in the outcome.
func (o *Outcome) recordErr(err error) {
	var refused *control.RefusedError
	switch {
	case err == nil:
	case errors.Is(err, control.ErrOtherIncarnation):
		o.OtherIncarnation = true
	case errors.As(err, &refused):
		o.Refused = refused.Reason
	default:
		o.NoResponse = err.Error()
	}
}
