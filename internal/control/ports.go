// Package control does the work of the core's leader: it accepts jobs and the heartbeats
// of workers, decides which tasks start where, commits these decisions and only then sends
// orders, grants leases to workers, and records how tasks end. A value of type leaderTerm
// holds the state of one period of leadership and ends with it. Everything that must
// persist is in the replicated log.
package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// Target is the incarnation of a worker to which an order is addressed.
type Target struct {
	Worker  string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	// DataCentre is where the worker runs.
	DataCentre string `cbor:"3,keyasint,omitempty"`
}

// StartOrder tells a worker to start a run.
type StartOrder struct {
	Run     workflow.Run `cbor:"1,keyasint"`
	Payload string       `cbor:"2,keyasint,omitempty"`
	// LeaseEndMS is a time on the worker's own clock, in milliseconds. It applies to all
	// runs there.
	LeaseEndMS int64 `cbor:"3,keyasint"`
	// Fence is the fencing token. It increases from one leader to the next, and workers
	// refuse orders with a lower one.
	Fence      uint64 `cbor:"4,keyasint"`
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	// Ticket is issued by the adviser. It is empty if none is needed.
	Ticket string `cbor:"6,keyasint,omitempty"`
}

// StopOrder tells a worker to end a run, or never to start it.
type StopOrder struct {
	Run   workflow.Run `cbor:"1,keyasint"`
	Fence uint64       `cbor:"2,keyasint"`
}

// ThrottleOrder limits a run to a share of its speed.
type ThrottleOrder struct {
	Run workflow.Run `cbor:"1,keyasint"`
	// Share is a percentage from 0 to 100. A run starts at 100.
	Share int    `cbor:"2,keyasint"`
	Fence uint64 `cbor:"3,keyasint"`
}

// PollOrder asks a worker for its report.
type PollOrder struct {
	Fence uint64 `cbor:"1,keyasint"`
	// LastEnd is the position of the last end that the worker needn't list any more.
	LastEnd uint64 `cbor:"2,keyasint,omitempty"`
	// LeaseEndMS extends the lease, in milliseconds on the worker's own clock; 0 leaves it
	// unchanged.
	LeaseEndMS int64 `cbor:"3,keyasint,omitempty"`
	// Wait is how long the worker may hold the answer until a run ends.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
}

// Running is a live run in a worker's report.
type Running struct {
	Task       workflow.TaskKey `cbor:"1,keyasint"`
	Number     int              `cbor:"2,keyasint"`
	Checkpoint string           `cbor:"3,keyasint,omitempty"`
	// Percent is the share of the work that is done.
	Percent int `cbor:"4,keyasint,omitempty"`
	// Measured covers the last half second. For a task with a latency objective it is the
	// tail latency in milliseconds, for other tasks the processor use in thousandths of a
	// core.
	Measured int64 `cbor:"5,keyasint,omitempty"`
}

// Ended is the end of a run in a worker's report.
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
	// Partial says that the worker has more ends to list than one answer holds.
	Partial bool `cbor:"4,keyasint,omitempty"`
}

// Refusal is why a worker refused an order.
type Refusal string

// Reasons for a refusal.
const (
	// RefusedStaleFence means that the worker has seen an order of a later leader.
	RefusedStaleFence Refusal = "fence"
	// RefusedStaleRun means that a run of the task with this or a higher number was stopped
	// or has ended on the worker.
	RefusedStaleRun Refusal = "old"
	// RefusedLeaseExpired means that the lease in the order had expired.
	RefusedLeaseExpired Refusal = "late"
	// RefusedNoCapacity means that the worker has too little free capacity.
	RefusedNoCapacity Refusal = "room"
	// RefusedTicket means that the ticket isn't valid.
	RefusedTicket Refusal = "ticket"
	// RefusedInvalid means that the worker can't parse the order.
	RefusedInvalid Refusal = "invalid"
	// RefusedUnhealthy means that the worker accepts no task at present.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedMachineNotUp means that the machine isn't up, or is about to go down.
	RefusedMachineNotUp Refusal = "busy"
	// RefusedWave means that the machine doesn't belong to the maintenance wave.
	RefusedWave Refusal = "wave"
	// RefusedRate means that there were too many calls. This one had no effect.
	RefusedRate Refusal = "rate"
)

// RefusedError says that the receiver refused an order, which had no effect.
type RefusedError struct{ Reason Refusal }

// Error names the reason.
func (e *RefusedError) Error() string { return "refused: " + string(e.Reason) }

// ErrOtherIncarnation says that the target's incarnation has ended and another one answers.
var ErrOtherIncarnation = errors.New("another incarnation answers")

// Workers sends orders to workers. Start, Stop and Throttle return the worker's clock. An
// error other than a RefusedError or ErrOtherIncarnation leaves open whether, and when, the
// order is carried out.
type Workers interface {
	Start(ctx context.Context, to Target, order StartOrder) (clockMS int64, err error)
	Stop(ctx context.Context, to Target, order StopOrder) (clockMS int64, err error)
	Throttle(ctx context.Context, to Target, order ThrottleOrder) (clockMS int64, err error)
	Poll(ctx context.Context, to Target, order PollOrder) (Report, error)
}

// MachineState is the state of a machine in the deployment's list.
type MachineState uint8

// States of a machine.
const (
	MachineUp MachineState = iota + 1
	MachineMoving
	MachineInMaintenance
	MachineDown
)

// ListedMachine is an entry of the deployment's list of machines. A worker is one
// incarnation of a machine.
type ListedMachine struct {
	ID    string
	Pool  string
	State MachineState
	// Name is the name of the worker on the machine. It is empty if there is none, or if
	// each incarnation has its own name. Worker is the worker's incarnation.
	Name     string
	Worker   string
	Capacity workflow.Resources
}

// MachinePage is one page of the list. Next requests the following page and is empty on the
// last one.
type MachinePage struct {
	Machines []ListedMachine
	// Unreadable counts the entries that describe no usable machine.
	Unreadable int
	Next       string
}

// MachineOrder is addressed to the deployment, which carries out the orders for one machine
// in the order of their fences.
type MachineOrder struct {
	Machine string
	// Holder identifies the instance that gives the order.
	Holder string
	Fence  uint64
}

// Machines is the deployment's own list of machines. Both orders end all runs on the
// machine. They are idempotent: repeating one that was carried out succeeds. An error other
// than a RefusedError leaves open whether they are carried out.
type Machines interface {
	List(ctx context.Context, page string) (MachinePage, error)
	// Maintenance takes a machine down for its maintenance in a wave.
	Maintenance(ctx context.Context, order MachineOrder, wave int64) error
	// Move assigns a machine to another pool.
	Move(ctx context.Context, order MachineOrder, pool string) error
}

// Grant permits a step to run on a worker.
type Grant struct {
	Worker string `cbor:"1,keyasint"`
	Ticket string `cbor:"2,keyasint"`
}

// AdviserQuery is a query to the adviser. Any instance may send it.
type AdviserQuery struct {
	Step    workflow.StepKey `cbor:"1,keyasint"`
	Workers []string         `cbor:"2,keyasint"`
}

// AdviserReply lists the workers on which the step may run.
type AdviserReply struct {
	Granted []Grant `cbor:"1,keyasint"`
	// Valid is how long the tickets are valid, counted from the answer.
	Valid time.Duration `cbor:"2,keyasint"`
}

// Adviser permits steps to run on workers. It serves the queries of one machine one after
// another.
type Adviser interface {
	Query(ctx context.Context, call AdviserQuery) (AdviserReply, error)
}

// Caller calls other instances; a link.Client is one.
type Caller interface {
	Call(ctx context.Context, address, method string, request, reply any) error
}
