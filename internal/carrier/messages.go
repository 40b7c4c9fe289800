// Package carrier spreads the calls of workers over the core instances. The leader
// decides and commits; it hands its orders over in batches to carriers, which call the
// workers and hand back what these answered. A carrier decides nothing, repeats
// nothing, and keeps nothing that matters: it is a longer way to a worker, which may
// delay an order, lose it, or lose its answer, as a network does.
//
// Load that it answers: a leader that calls each worker itself does work for each of
// them every second, most of its processor's, and holds some connections to each,
// while the other instances idle.
package carrier

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/internal/control"
)

// Names of the calls between instances.
const (
	MethodCarry   = "carry"
	MethodCollect = "collect"
)

// Transport makes a call of another instance; *link.Client is one. An error marked
// link.ErrUnsent says that the call can't have reached the other side.
type Transport interface {
	Call(ctx context.Context, address, method string, request, reply any) error
}

// Order is one call of a worker. Exactly one of the orders is set.
type Order struct {
	// ID names the order within its term.
	ID       uint64                 `cbor:"1,keyasint"`
	To       control.Target         `cbor:"2,keyasint"`
	Start    *control.StartOrder    `cbor:"3,keyasint,omitempty"`
	Stop     *control.StopOrder     `cbor:"4,keyasint,omitempty"`
	Throttle *control.ThrottleOrder `cbor:"5,keyasint,omitempty"`
	Poll     *control.PollOrder     `cbor:"6,keyasint,omitempty"`
	// Within is how long the carrier may wait for the worker's answer.
	CallTimeout time.Duration `cbor:"7,keyasint"`
}

// callWorker makes the call that the order stands for.
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

// CarryCall hands orders over.
type CarryCall struct {
	// Term is that of the leader who gives the orders.
	Term   uint64  `cbor:"1,keyasint"`
	Orders []Order `cbor:"2,keyasint"`
}

// CarryReply names the term under which the carrier acts. If it is a later one than
// the call's, none of the orders are carried.
type CarryReply struct {
	Term uint64 `cbor:"1,keyasint"`
}

// CollectCall asks for the outcomes of orders.
type CollectCall struct {
	Term uint64 `cbor:"1,keyasint"`
	// Seen is the number of the last outcome that the leader has; the others are
	// listed again, so that one that was lost on its way isn't missed.
	Acknowledged uint64 `cbor:"2,keyasint"`
	// Epoch is the carrier's own, as its last answer named it; Seen counts from there.
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
}

// CollectReply lists outcomes in the order in which they came up.
type CollectReply struct {
	Term uint64 `cbor:"1,keyasint"`
	// DataCentre is where the carrier runs.
	DataCentre string    `cbor:"2,keyasint,omitempty"`
	Outcomes   []Outcome `cbor:"3,keyasint,omitempty"`
	// Last is the number of the last outcome listed.
	Last uint64 `cbor:"4,keyasint,omitempty"`
	// Epoch names one life of the carrier. In another one it knows nothing of orders
	// that were handed to it before.
	Incarnation uint64 `cbor:"5,keyasint"`
	// Heard are the heartbeats that the carrier's instance took.
	Heartbeats []control.BufferedHeartbeat `cbor:"6,keyasint,omitempty"`
}

// Outcome is what became of an order.
type Outcome struct {
	ID      uint64 `cbor:"1,keyasint"`
	ClockMS int64  `cbor:"2,keyasint,omitempty"`
	// Report answers a look.
	Report *control.Report `cbor:"3,keyasint,omitempty"`
	// Refused is why the worker did nothing; empty where it did, or may have done.
	Refused control.Refusal `cbor:"4,keyasint,omitempty"`
	// OtherIncarnation says that the target's incarnation is over.
	OtherIncarnation bool `cbor:"5,keyasint,omitempty"`
	// NoAnswer says what went wrong with a call that may have been carried out.
	NoAnswer string `cbor:"6,keyasint,omitempty"`
}

// errNoAnswer leaves open what became of an order.
var errNoAnswer = errors.New("no answer through the carrier")

// err is the error that the outcome stands for.
func (o *Outcome) err() error {
	switch {
	case o.OtherIncarnation:
		return control.ErrOtherIncarnation
	case o.Refused != "":
		return &control.RefusedError{Reason: o.Refused}
	case o.NoAnswer != "":
		return errors.Wrap(errNoAnswer, o.NoAnswer)
	default:
		return nil
	}
}

// recordErr notes a worker's answer that is an error.
func (o *Outcome) recordErr(err error) {
	var refused *control.RefusedError
	switch {
	case err == nil:
	case errors.Is(err, control.ErrOtherIncarnation):
		o.OtherIncarnation = true
	case errors.As(err, &refused):
		o.Refused = refused.Reason
	default:
		o.NoAnswer = err.Error()
	}
}
