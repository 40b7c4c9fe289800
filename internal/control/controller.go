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
	"github.com/bilberryferry/bilberryferry/internal/panics"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/internal/worktime"
	"github.com/bilberryferry/bilberryferry/replica"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// Bounds holds the durations that the deployment guarantees. The leader derives its own
// timeouts from them.
type Bounds struct {
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// EndedJobRetention is the shortest time for which an ended job can still be queried.
	EndedJobRetention time.Duration
	// MachineHandoverDelay is the shortest time between another instance's last order for a
	// machine and this instance's first one.
	MachineHandoverDelay time.Duration
	// MaintenanceDuration is how long maintenance keeps a machine down.
	MaintenanceDuration time.Duration
}

// Config configures a Controller and doesn't change after New.
type Config struct {
	// Address is where other instances reach this one; PublicAddress is where workers and
	// operators reach it.
	Address, PublicAddress string
	Bounds                 Bounds
	// Disabled names the mechanisms that are switched off.
	Disabled dispatch.Disabled
	// MaxWholeFleet is the number of monitored workers up to which each decision considers all of
	// them; 0 for the default. Of a larger fleet a decision considers a selection.
	MaxWholeFleet int
	// LoadControl switches on admission by what can end in time, and connections to the adviser that
	// are kept for the shortest queries.
	LoadControl bool
	// MemoryBytes is the memory that the process may use, in bytes; 0 for the default.
	MemoryBytes int64
	// SchedulingDelay returns the mean scheduling delay of this process since it was last called; nil counts as
	// no delay. With load control, new jobs are refused while it is long.
	SchedulingDelay func() time.Duration
	Workers         Workers
	// OnElected is called at the start of each leader term, before any worker is polled.
	// Whatever it starts must stop when ctx ends. It may be nil.
	OnElected func(ctx context.Context, term uint64)
	// OrdersByHeartbeat makes the leader put orders into its responses to the workers'
	// heartbeats instead of calling the workers.
	OrdersByHeartbeat bool
	Adviser           Adviser
	// Machines is nil if the deployment has no list of machines.
	Machines Machines
	// Instance identifies this instance in orders for machines.
	Instance string
	Client   Caller
	Logger   log.Logger
	Counters Counters
	// Work sums up the time of decisions and reports; nil sums up nothing.
	Work *worktime.Ledger
	// Leader returns the address of the current leader, Members the addresses of all core
	// members.
	Leader  func() string
	Members func() []string
}

// Counters records counters, gauges and durations by metric name.
type Counters interface {
	// Add adds n to a counter.
	Add(name string, n int64)
	// Set sets a gauge to n.
	Set(name string, n int64)
	// SetByLabel sets a gauge for each value of a label, and removes the gauge for all others.
	SetByLabel(name, label string, values map[string]int64)
	// Observe records one duration.
	Observe(name string, d time.Duration)
}

// Controller serves calls on a core instance. While the replicated log says that this
// member leads, it also does the work of the leader.
type Controller struct {
	cfg   Config
	state *StateMachine
	log   node.Log
	// heartbeats is nil if the leader calls workers.
	heartbeats *heartbeatTransport
	forwarded  forwardedHeartbeats
	// heartbeatBuffer holds heartbeats that this instance received until the leader
	// collects them.
	heartbeatBuffer heartbeatBuffer
	// suspendedTime returns how long the machine has been suspended since it booted.
	suspendedTime func() (time.Duration, error)

	mu         sync.Mutex
	leaderTerm *leaderTerm
}

// New returns a controller that proposes commands to replicatedLog. state must be the
// state machine of that log.
func New(cfg Config, state *StateMachine, replicatedLog node.Log) *Controller {
	c := &Controller{cfg: cfg, state: state, log: replicatedLog, suspendedTime: suspendedTime}
	state.setOnConfigured(c.recordConfiguration)
	if cfg.OrdersByHeartbeat {
		c.heartbeats = newHeartbeatTransport(cfg.Workers)
		c.cfg.Workers = c.heartbeats
	}
	return c
}

// recordConfiguration records the version of the configuration that this member has applied. A member
// that is behind shows by it for how long.
func (c *Controller) recordConfiguration(version uint64) {
	_ = c.cfg.Logger.Log("event", "configuration_applied", "version", version)
	if c.cfg.Counters != nil {
		c.cfg.Counters.Set("configuration_version", int64(version))
	}
}

// Run runs a leader term whenever this member may decide. It returns nil when ctx ends.
//
// It runs at most one in each term of the log, whose number is the fencing token: a worker that accepts the token
// of a later leader term refuses the orders of the earlier one, which may still be on their way. A leader
// term that ends while this member leads therefore ends the leadership too.
func (c *Controller) Run(ctx context.Context) error {
	var lastTerm uint64
	for ctx.Err() == nil {
		changed := c.log.Changed()
		status := c.log.Status()
		switch {
		case status.Term == lastTerm:
			c.stepDown(ctx, status)
		case status.CanDecide && c.runLeaderTerm(ctx, status.Term):
			lastTerm = status.Term
			continue
		}
		waitForStatusChange(ctx, changed)
	}
	return nil
}

// stepDown gives up the leadership if this member still leads.
func (c *Controller) stepDown(ctx context.Context, status replica.Status) {
	if status.Role != replica.Leader {
		return
	}
	outcome := "stepped down"
	err := c.log.StepDown(ctx, status.Term)
	if err != nil {
		outcome = "not stepped down"
	}
	_ = c.cfg.Logger.Log("event", "tenure", "outcome", outcome, "term", status.Term, "err", err)
}

// statusPollInterval is the longest time between two checks of the log's status, and thus
// the longest delay until a change of CanDecide is noticed.
const statusPollInterval = 200 * time.Millisecond

// waitForStatusChange waits until the log's status may have changed. The timeout is needed
// because CanDecide also turns false when time passes, which closes no channel.
func waitForStatusChange(ctx context.Context, changed <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, statusPollInterval)
	defer cancel()
	wait.Closed(ctx, changed)
}

// runLeaderTerm runs one leader term and returns when it has ended. It returns false if none has begun.
func (c *Controller) runLeaderTerm(ctx context.Context, term uint64) (begun bool) {
	termCtx, end := context.WithCancel(ctx)
	defer end()
	// The barrier proves nothing about the time after a suspension that follows it.
	suspendedBefore, clockErr := c.suspendedTime()
	if err := c.log.Barrier(termCtx); err != nil {
		_ = c.cfg.Logger.Log("event", "tenure", "outcome", "not begun", "term", term, "err", err)
		wait.For(ctx, statusPollInterval)
		return false
	}
	if c.cfg.OnElected != nil {
		c.cfg.OnElected(termCtx, term)
	}
	t := newLeaderTerm(termCtx, end, c, term)
	if clockErr == nil {
		t.suspendedBefore = suspendedBefore
	}
	workers := len(t.sessions)
	c.setLeaderTerm(t)
	_ = c.cfg.Logger.Log("event", "tenure", "outcome", "begun", "term", term, "workers", workers)
	go c.endOnLeadershipLoss(termCtx, term, end)
	t.run()
	c.setLeaderTerm(nil)
	_ = c.cfg.Logger.Log("event", "tenure", "outcome", "ended", "term", term)
	return true
}

// endOnLeadershipLoss calls end as soon as this member no longer leads in term.
func (c *Controller) endOnLeadershipLoss(ctx context.Context, term uint64, end func()) {
	defer end()
	defer panics.Handle()
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
		c.state.setOnApply(func(*workflow.Command) {})
		return
	}
	c.state.setOnApply(t.onApply)
}

// currentLeaderTerm returns the leader term in which this member may decide now. It
// returns a not-leader error if there is none.
//
// A delay of the log's goroutine by a tenth of a second makes CanDecide false although
// the member still leads. An immediate not-leader error would make every caller try all
// members in turn. The barrier waits until the log confirms the leadership, and fails
// immediately if the leadership is lost.
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

// propose commits one command and returns the result of applying it. It turns
// ErrOutcomeUnknown into a fault of kind Unknown, because the command may have been
// committed and callers must not assume otherwise.
func (c *Controller) propose(ctx context.Context, command *workflow.Command) (workflow.Result, error) {
	encoded, err := command.Encode()
	if err != nil {
		return workflow.Result{}, err
	}
	start := time.Now()
	value, err := c.log.Propose(ctx, encoded)
	switch {
	case errors.Is(err, node.ErrNotLeader):
		return workflow.Result{}, link.NotLeader(c.cfg.Leader())
	case errors.Is(err, node.ErrOutcomeUnknown):
		return workflow.Result{}, fault.New(fault.Unknown, "%v", err)
	case err != nil:
		return workflow.Result{}, err
	}
	c.cfg.Counters.Observe("commit", time.Since(start))
	return value.(workflow.Result), nil
}
