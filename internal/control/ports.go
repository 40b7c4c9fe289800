// Package control does the work of the core's leader: it accepts jobs and the heartbeats
// of workers, decides which tasks start where, commits these decisions and only
// afterwards sends orders, grants leases to workers, and records how tasks end. A value
// of type leaderTerm holds the state of one period of leadership and ends with it. All
// state that must persist is in the replicated log.
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
	// LeaseEndMS is the end of the lease on the worker's own clock, in milliseconds. The
	// lease applies to all runs on the worker.
	LeaseEndMS int64 `cbor:"3,keyasint"`
	// Fence is the fencing token. It increases from one leader to the next, and workers
	// refuse orders with a lower one than they have seen.
	Fence uint64 `cbor:"4,keyasint"`
	// Checkpoint is the checkpoint to resume from. It is empty if there is none.
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	// Ticket is issued by the adviser. It is empty if none is needed.
	Ticket string `cbor:"6,keyasint,omitempty"`
}

// StopOrder tells a worker to end a run, or never to start it.
type StopOrder struct {
	Run   workflow.Run `cbor:"1,keyasint"`
	Fence uint64       `cbor:"2,keyasint"`
}

// ThrottleOrder limits a run to a share of its full speed.
type ThrottleOrder struct {
	Run workflow.Run `cbor:"1,keyasint"`
	// Share is a percentage from 0 to 100. A run starts at 100.
	Share int    `cbor:"2,keyasint"`
	Fence uint64 `cbor:"3,keyasint"`
}

// PollOrder requests a worker's report.
type PollOrder struct {
	Fence uint64 `cbor:"1,keyasint"`
	// LastEnd is the position of the last end that the worker needn't list any more.
	LastEnd uint64 `cbor:"2,keyasint,omitempty"`
	// LeaseEndMS extends the lease, in milliseconds on the worker's own clock; 0 leaves it
	// unchanged.
	LeaseEndMS int64 `cbor:"3,keyasint,omitempty"`
	// Wait is how long the worker may hold the response until a run ends.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
	// Repeat lets the caller of the worker repeat the poll, as it is, while the reports show an
	// idle worker. Such a poll acknowledges no end and extends no lease. CallTimeout bounds each
	// call of it, and OnResponse is called after each response that caused a repetition.
	Repeat      bool          `cbor:"5,keyasint,omitempty"`
	CallTimeout time.Duration `cbor:"-"`
	OnResponse  func()        `cbor:"-"`
}

// Running is a live run in a worker's report.
type Running struct {
	Task       workflow.TaskKey `cbor:"1,keyasint"`
	Number     int              `cbor:"2,keyasint"`
	Checkpoint string           `cbor:"3,keyasint,omitempty"`
	// Percent is the share of the work that is done.
	Percent int `cbor:"4,keyasint,omitempty"`
	// Measured is a measurement over the last half second: the tail latency in milliseconds
	// of a task with a latency objective, the CPU use in millicores of any other task.
	Measured int64 `cbor:"5,keyasint,omitempty"`
}

// Ended is the end of a run in a worker's report.
type Ended struct {
	// Position counts the ends of the incarnation from 1.
	Position uint64 `cbor:"9,keyasint"`
	workflow.RunEnd
}

// Report is a worker's response to a PollOrder.
type Report struct {
	// ClockMS is the worker's own clock, in milliseconds.
	ClockMS int64     `cbor:"1,keyasint"`
	Running []Running `cbor:"2,keyasint,omitempty"`
	Ended   []Ended   `cbor:"3,keyasint,omitempty"`
	// Partial says that the worker has more ends to list than one response holds.
	Partial bool `cbor:"4,keyasint,omitempty"`
}

// IsIdle reports whether the worker runs nothing and has no end to list.
func (r *Report) IsIdle() bool { return len(r.Running) == 0 && len(r.Ended) == 0 && !r.Partial }

// Refusal is the reason why the receiver refused an order.
type Refusal string

// Reasons for a refusal.
const (
	// RefusedStaleFence means that the receiver has seen an order of a later leader.
	RefusedStaleFence Refusal = "fence"
	// RefusedStaleRun means that a run of the task with this or a higher number was stopped
	// or has ended on the worker.
	RefusedStaleRun Refusal = "old"
	// RefusedLeaseExpired means that the lease in the order had expired.
	RefusedLeaseExpired Refusal = "late"
	// RefusedNoCapacity means that the worker has too few free resources.
	RefusedNoCapacity Refusal = "room"
	// RefusedTicket means that the ticket isn't valid.
	RefusedTicket Refusal = "ticket"
	// RefusedInvalid means that the receiver can't carry out such an order: a worker can't
	// parse it, or the deployment doesn't accept it for the machine.
	RefusedInvalid Refusal = "invalid"
	// RefusedUnhealthy means that the worker accepts no task at present.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedMachineNotUp means that the machine isn't up, or is about to go down.
	RefusedMachineNotUp Refusal = "busy"
	// RefusedWave means that the machine doesn't belong to the maintenance wave.
	RefusedWave Refusal = "wave"
	// RefusedRate means that too many calls were made and that the call had no effect.
	RefusedRate Refusal = "rate"
)

// RefusedError is the error of an order that the receiver refused. The order had no
// effect.
type RefusedError struct{ Reason Refusal }

// Error returns a text with the reason.
func (e *RefusedError) Error() string { return "refused: " + string(e.Reason) }

// ErrOtherIncarnation is returned when the target's incarnation has ended and another one
// responds.
var ErrOtherIncarnation = errors.New("another incarnation responds")

// Workers sends orders to workers. Start, Stop and Throttle return the worker's clock in
// milliseconds. After an error other than a RefusedError or ErrOtherIncarnation, it is
// unknown whether, and when, the order is carried out.
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

// ListedMachine is an entry of the deployment's list of machines. At most one worker runs
// on a machine; each start of that worker is another incarnation.
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

// MachineOrder is the common part of all orders for a machine. They are addressed to the
// deployment, which carries out the orders for one machine in the order of their fencing
// tokens.
type MachineOrder struct {
	Machine string
	// Holder identifies the instance that gives the order.
	Holder string
	Fence  uint64
}

// Machines calls the deployment's machine service, which lists machines and carries out
// orders for them. StartMaintenance and Move end all runs on the machine. They are idempotent:
// repeating an order that was carried out succeeds. After an error other than a
// RefusedError it is unknown whether they are carried out.
type Machines interface {
	// ListMachines returns one page of the list, the first one if page is empty.
	ListMachines(ctx context.Context, page string) (MachinePage, error)
	// StartMaintenance takes a machine down for its maintenance in a wave.
	StartMaintenance(ctx context.Context, order MachineOrder, wave int64) error
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

// AdviserReply is the response to an AdviserQuery. It lists the workers on which the step
// may run.
type AdviserReply struct {
	Granted []Grant `cbor:"1,keyasint"`
	// TicketValidity is how long the tickets are valid, counted from the arrival of the response. It
	// is 0 if the response doesn't say.
	TicketValidity time.Duration `cbor:"2,keyasint"`
}

// Adviser is the external service that permits steps to run on workers. It serves the
// queries of one instance one after another.
type Adviser interface {
	Query(ctx context.Context, call AdviserQuery) (AdviserReply, error)
}

// Caller calls other instances; a link.Client is one.
type Caller interface {
	Call(ctx context.Context, address, method string, request, reply any) error
}
