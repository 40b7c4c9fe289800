package control

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/node"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/replica"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// Bounds are the deployment's times that the leader derives its own from.
type Bounds struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// Shown is how long an ended job is shown at least.
	EndedJobRetention time.Duration
	// MachineHandoverDelay is how long after another instance's last order for a machine
	// this one may give its first.
	MachineHandoverDelay time.Duration
	// Maintenance is how long a machine is down for its maintenance.
	MaintenanceDuration time.Duration
}

// Config is the fixed part of a Controller.
type Config struct {
	// Address is where other instances reach this one, Public is where workers
	// and operators do.
	Address, Public string
	Bounds          Bounds
	// Without names mechanisms that are switched off.
	Disabled dispatch.Disabled
	Workers  Workers
	// Lead is told of each tenure before it looks at any worker; what it begins ends
	// with ctx. It may be nil.
	OnElected func(ctx context.Context, term uint64)
	// OrdersByHeartbeat says that workers get their orders with the answers to their
	// heartbeats and aren't called.
	OrdersByHeartbeat bool
	Adviser           Adviser
	// Machines is nil where the deployment has no list of machines.
	Machines Machines
	// Instance names this one in orders for machines.
	Instance string
	Client   Caller
	Logger   log.Logger
	Counters Counters
	// Leader returns the address of the present leader, Members those of all.
	Leader  func() string
	Members func() []string
}

// Counters counts events and keeps gauges by name.
type Counters interface {
	Add(name string, n int64)
	// Set sets a gauge.
	Set(name string, n int64)
	Observe(name string, d time.Duration)
}

// Controller serves calls on a core instance and leads when the log lets it.
type Controller struct {
	cfg   Config
	state *StateMachine
	log   node.Log
	// beats is nil where workers are called.
	heartbeats *heartbeatTransport
	passedOn   forwardedHeartbeats
	// heartbeatBuffer are the heartbeats that this instance takes for the leader.
	heartbeatBuffer heartbeatBuffer

	mu         sync.Mutex
	leaderTerm *leaderTerm
}

// New returns a controller over a log whose state machine is state.
func New(cfg Config, state *StateMachine, replicatedLog node.Log) *Controller {
	c := &Controller{cfg: cfg, state: state, log: replicatedLog}
	if cfg.OrdersByHeartbeat {
		c.heartbeats = newHeartbeatTransport(cfg.Workers)
		c.cfg.Workers = c.heartbeats
	}
	return c
}

// Run leads whenever this member may decide, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := c.log.Changed()
		status := c.log.Status()
		if status.CanDecide {
			c.runLeaderTerm(ctx, status.Term)
			continue
		}
		waitForStatusChange(ctx, changed)
	}
	return nil
}

// statusPollInterval bounds how late a change of CanDecide is noticed.
const statusPollInterval = 200 * time.Millisecond

// waitForStatusChange waits until the log's status may have changed. CanDecide also
// ends by the passing of time alone, which closes no channel.
func waitForStatusChange(ctx context.Context, changed <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, statusPollInterval)
	defer cancel()
	wait.Closed(ctx, changed)
}

// lead runs one tenure until the leadership ends.
func (c *Controller) runLeaderTerm(ctx context.Context, term uint64) {
	tenureCtx, end := context.WithCancel(ctx)
	defer end()
	if err := c.log.Barrier(tenureCtx); err != nil {
		_ = c.cfg.Logger.Log("event", "tenure", "outcome", "not begun", "term", term, "err", err)
		wait.For(ctx, statusPollInterval)
		return
	}
	if c.cfg.OnElected != nil {
		c.cfg.OnElected(tenureCtx, term)
	}
	t := newLeaderTerm(tenureCtx, end, c, term)
	workers := len(t.sessions)
	c.setLeaderTerm(t)
	_ = c.cfg.Logger.Log("event", "tenure", "outcome", "begun", "term", term, "workers", workers)
	go c.endOnLeadershipLoss(tenureCtx, term, end)
	t.run()
	c.setLeaderTerm(nil)
	_ = c.cfg.Logger.Log("event", "tenure", "outcome", "ended", "term", term)
}

// watch ends the tenure when the leadership does.
func (c *Controller) endOnLeadershipLoss(ctx context.Context, term uint64, end func()) {
	defer end()
	for ctx.Err() == nil {
		changed := c.log.Changed()
		status := c.log.Status()
		if status.Term != term || status.Role != replica.Leader {
			return
		}
		waitForStatusChange(ctx, changed)
	}
}

func (c *Controller) setLeaderTerm(t *leaderTerm) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderTerm = t
	if t == nil {
		c.state.setOnApply(func() {})
		return
	}
	c.state.setOnApply(t.wake)
}

// leading returns the tenure in which this member may decide now.
//
// Failure guarded against: the log's goroutine is held up for a tenth of a second,
// and nothing shows that the member still leads. Refused as by a member that
// doesn't, all calls of that time went round all members. A barrier waits until
// the log has told; without the lead it fails at once.
func (c *Controller) currentLeaderTerm(ctx context.Context) (*leaderTerm, error) {
	c.mu.Lock()
	t := c.leaderTerm
	c.mu.Unlock()
	if t == nil {
		return nil, link.NotLeader(c.cfg.Leader())
	}
	if c.log.Status().CanDecide {
		return t, nil
	}
	if err := c.catchUp(ctx); err != nil {
		return nil, err
	}
	return t, nil
}

// propose commits one command. ErrFateOpen becomes a fault of kind Unknown, so
// that no caller is told that the command wasn't carried out.
func (c *Controller) propose(ctx context.Context, command *workflow.Command) (workflow.Result, error) {
	data, err := command.Encode()
	if err != nil {
		return workflow.Result{}, err
	}
	start := time.Now()
	value, err := c.log.Propose(ctx, data)
	switch {
	case errors.Is(err, node.ErrNotLeader):
		return workflow.Result{}, link.NotLeader(c.cfg.Leader())
	case errors.Is(err, node.ErrFateOpen):
		return workflow.Result{}, fault.New(fault.Unknown, "%v", err)
	case err != nil:
		return workflow.Result{}, err
	}
	c.cfg.Counters.Observe("commit", time.Since(start))
	return value.(workflow.Result), nil
}
