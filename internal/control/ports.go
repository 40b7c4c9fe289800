// Package control is what the leader of the core does: it takes in jobs and
// announcements of workers, decides which tasks start where, commits that and
// only then sends orders, holds the workers under leases and takes in how
// tasks ended. A tenure of the leadership is one value of type tenure; nothing
// of it outlives the leadership, and everything that must is in the log.
package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// Target is the incarnation of a worker that an order is meant for.
type Target struct {
	Worker  string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	// DataCentre is where the worker runs.
	DataCentre string `cbor:"3,keyasint,omitempty"`
}

// StartOrder tells a worker to begin a run.
type StartOrder struct {
	Run     workflow.Run `cbor:"1,keyasint"`
	Payload string       `cbor:"2,keyasint,omitempty"`
	// LeaseEndMS is on the worker's own clock and holds for all that runs there.
	LeaseEndMS int64 `cbor:"3,keyasint"`
	// Fence grows from one leader to the next; workers refuse lower ones.
	Fence      uint64 `cbor:"4,keyasint"`
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	// Ticket is the adviser's, empty where none is needed.
	Ticket string `cbor:"6,keyasint,omitempty"`
}

// StopOrder tells a worker to end a run, or never to begin it.
type StopOrder struct {
	Run   workflow.Run `cbor:"1,keyasint"`
	Fence uint64       `cbor:"2,keyasint"`
}

// ThrottleOrder lets a run work at a share of its speed only.
type ThrottleOrder struct {
	Run workflow.Run `cbor:"1,keyasint"`
	// Share is in percent, from 0 to 100; a run begins at 100.
	Share int    `cbor:"2,keyasint"`
	Fence uint64 `cbor:"3,keyasint"`
}

// PollOrder asks a worker what runs and what has ended.
type PollOrder struct {
	Fence uint64 `cbor:"1,keyasint"`
	// Seen is the last end that needn't be listed any more.
	Seen uint64 `cbor:"2,keyasint,omitempty"`
	// LeaseEndMS prolongs the lease, on the worker's own clock; 0 leaves it.
	LeaseEndMS int64 `cbor:"3,keyasint,omitempty"`
	// Wait is how long the worker may hold the answer back until a run ends.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
}

// Running is a run that a worker lists as alive.
type Running struct {
	Task       workflow.TaskKey `cbor:"1,keyasint"`
	Number     int              `cbor:"2,keyasint"`
	Checkpoint string           `cbor:"3,keyasint,omitempty"`
	// Percent is the share of the work that is done.
	Percent int `cbor:"4,keyasint,omitempty"`
	// Measured covers the last half second: the tail latency in milliseconds of a
	// task with a latency objective, the processor use of others in thousandths of
	// a core.
	Measured int64 `cbor:"5,keyasint,omitempty"`
}

// Ended is an end that a worker lists.
type Ended struct {
	// Position counts the ends of the incarnation from 1.
	Position uint64 `cbor:"9,keyasint"`
	workflow.RunEnd
}

// Report is a worker's answer to a PollOrder.
type Report struct {
	ClockMS int64     `cbor:"1,keyasint"`
	Running []Running `cbor:"2,keyasint,omitempty"`
	Ended   []Ended   `cbor:"3,keyasint,omitempty"`
	// Partial says that more ends are waiting than one answer lists.
	Partial bool `cbor:"4,keyasint,omitempty"`
}

// Refusal is why a worker didn't carry out an order.
type Refusal string

// Refusals.
const (
	// RefusedStaleFence: the worker has seen a later leader.
	RefusedStaleFence Refusal = "fence"
	// RefusedStaleRun: a run as high was stopped or has ended there.
	RefusedStaleRun Refusal = "old"
	// RefusedLeaseExpired: the lease in the order had ended.
	RefusedLeaseExpired Refusal = "late"
	// RefusedNoRoom: the worker has no room.
	RefusedNoRoom Refusal = "room"
	// RefusedTicket: the ticket isn't valid.
	RefusedTicket Refusal = "ticket"
	// RefusedInvalid: the worker can't read the order.
	RefusedInvalid Refusal = "invalid"
	// RefusedUnhealthy: the worker takes nothing at present.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedMachineNotUp: the machine isn't up, or is leaving.
	RefusedMachineNotUp Refusal = "busy"
	// RefusedWave: the machine doesn't belong to the wave.
	RefusedWave Refusal = "wave"
	// RefusedRate: too many calls; this one has done nothing.
	RefusedRate Refusal = "rate"
)

// RefusedError says that a worker refused an order and did nothing.
type RefusedError struct{ Reason Refusal }

// Error names the reason.
func (e *RefusedError) Error() string { return "refused: " + string(e.Reason) }

// ErrOtherIncarnation says that the target's incarnation is over.
var ErrOtherIncarnation = errors.New("another incarnation answers")

// Workers sends orders to workers. Start, Stop and Throttle return the worker's
// clock.
// An error that is neither a RefusedError nor ErrOtherIncarnation leaves open
// whether, and when, the order is carried out.
type Workers interface {
	Start(ctx context.Context, to Target, order StartOrder) (clockMS int64, err error)
	Stop(ctx context.Context, to Target, order StopOrder) (clockMS int64, err error)
	Throttle(ctx context.Context, to Target, order ThrottleOrder) (clockMS int64, err error)
	Poll(ctx context.Context, to Target, order PollOrder) (Report, error)
}

// MachineState is what the deployment's list says of a machine.
type MachineState uint8

// States of a machine.
const (
	MachineUp MachineState = iota + 1
	MachineMoving
	MachineInMaintenance
	MachineDown
)

// ListedMachine is an entry of the deployment's list. A worker is one life of a
// machine.
type ListedMachine struct {
	ID    string
	Pool  string
	State MachineState
	// Name is that of the worker that lives on the machine, empty for none or where each
	// incarnation has a name of its own, and Worker its incarnation.
	Name     string
	Worker   string
	Capacity workflow.Resources
}

// MachinePage is a part of the list; Next is empty on the last one.
type MachinePage struct {
	Machines []ListedMachine
	// Unreadable counts the entries that name no machine to use.
	Unreadable int
	Next       string
}

// MachineOrder is addressed to the deployment, which carries orders for one
// machine out in the order of their fences.
type MachineOrder struct {
	Machine string
	// Holder names this instance.
	Holder string
	Fence  uint64
}

// Machines is the deployment's own list of machines. Both orders end whatever
// runs on the machine, and succeed again when they have been carried out before.
// An error that isn't a RefusedError leaves open whether they are carried out.
type Machines interface {
	List(ctx context.Context, page string) (MachinePage, error)
	// Maintenance takes a machine down for its maintenance in a wave.
	Maintenance(ctx context.Context, order MachineOrder, wave int64) error
	// Move gives a machine to another pool.
	Move(ctx context.Context, order MachineOrder, pool string) error
}

// Grant permits a step to run on a worker.
type Grant struct {
	Worker string `cbor:"1,keyasint"`
	Ticket string `cbor:"2,keyasint"`
}

// AskCall is a question to the adviser, put by any instance.
type AskCall struct {
	Step    workflow.StepKey `cbor:"1,keyasint"`
	Workers []string         `cbor:"2,keyasint"`
}

// AskReply lists the workers that may run the step.
type AskReply struct {
	Granted []Grant `cbor:"1,keyasint"`
	// Valid is how long the tickets hold from the answer on.
	Valid time.Duration `cbor:"2,keyasint"`
}

// Adviser permits steps to run on workers. It serves the calls of one machine
// one after the other.
type Adviser interface {
	Ask(ctx context.Context, call AskCall) (AskReply, error)
}

// Caller makes calls of other instances; a link.Client is one.
type Caller interface {
	Call(ctx context.Context, address, method string, request, reply any) error
}
