package cell

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/conf"
	"github.com/bilberryferry/bilberryferry/internal/daemon"
	"github.com/bilberryferry/bilberryferry/internal/proxy"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/state"
	"github.com/bilberryferry/bilberryferry/internal/wire"
	"github.com/bilberryferry/bilberryferry/placement"
)

// Logs are the replicated logs that a cell uses.
type Logs struct {
	// Home is the log of the data centre, and StateMachine its state machine.
	Home         Log
	StateMachine *StateMachine
	// Configuration is the configuration log, and Register its state machine. Both are
	// nil on instances that aren't voters of that log.
	Configuration Log
	Register      *conf.Register
	// Groups holds the logs whose members can be changed, by group name: the home log,
	// whose group has the name of the data centre, and the configuration log if this
	// instance is one of its voters.
	Groups map[string]Group
}

// Cell is the replica of one data centre on one instance. It serves the calls of entry
// instances and peers, and schedules the jobs of the data centre while it leads.
type Cell struct {
	base         *daemon.Base
	log          Log
	stateMachine *StateMachine
	configLog    Log
	register     *conf.Register
	groups       map[string]Group
	groupName    string

	// slots allocates the slots of the data centre's minions while this replica leads.
	slots   *proxy.SlotAllocator
	stats   Stats
	started time.Time
	// leaderTerm is nil while this replica doesn't lead.
	leaderTerm atomic.Pointer[leaderTerm]
	// draining is closed when a shutdown begins.
	draining  chan struct{}
	drainOnce sync.Once
}

// New returns a cell. Run makes it lead when it is elected.
func New(b *daemon.Base, logs Logs) *Cell {
	c := &Cell{
		base: b, log: logs.Home, stateMachine: logs.StateMachine, configLog: logs.Configuration, register: logs.Register,
		groups: logs.Groups, groupName: b.Instance.DataCentre, started: time.Now(), draining: make(chan struct{}),
	}
	c.slots = proxy.NewSlotAllocator(wire.LeaseOptions(b.Settings.Timing), c.monotonic)
	c.stats.init()
	return c
}

// now returns the wall clock time, which deadlines and event timestamps use.
func (c *Cell) now() time.Time { return time.Now() }

// monotonic returns the time since the cell was created, which leases use. Its clock
// continues while the process is paused.
func (c *Cell) monotonic() time.Duration { return time.Since(c.started) }

// Run leads the data centre whenever this replica is elected, until ctx ends.
func (c *Cell) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := c.log.Changed()
		if status := c.log.Status(); status.CanDecide {
			c.runLeaderTerm(ctx, status.Term)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(leaseCheckInterval):
		}
	}
	return nil
}

// BeginShutdown ends calls that are held, so that a shutdown doesn't wait for idle long
// polls.
func (c *Cell) BeginShutdown() { c.drainOnce.Do(func() { close(c.draining) }) }

// Handler returns the handler for calls of entry instances and peers. exchange handles
// the messages of the replication groups.
func (c *Cell) Handler(exchange func(context.Context, *apiv1.ExchangeRequest) (*apiv1.ExchangeResponse, error)) http.Handler {
	mux := http.NewServeMux()
	hooks := twirp.WithServerInterceptors(rpc.ErrorInterceptor())
	servers := []apiv1.TwirpServer{
		apiv1.NewSchedulerServer(c, hooks),
		apiv1.NewOperationsServer(c, hooks),
		apiv1.NewWorkerGatewayServer(c, hooks),
	}
	for _, server := range servers {
		mux.Handle(server.PathPrefix(), rpc.Authenticate(c.base.Tokens, int64(c.base.Settings.Limits.Body), server))
	}
	peers := apiv1.NewPeerServer(&peerServer{Cell: c, exchange: exchange}, hooks)
	mux.Handle(peers.PathPrefix(), rpc.Authenticate(c.base.Tokens, maxPeerBody, peers))
	return mux
}

// maxPeerBody bounds a request from another instance, in bytes. A snapshot of a data
// centre's state is far longer than a caller's request may be, and an instance that
// can't receive one never returns to service.
const maxPeerBody = 256 << 20

// placementOptions returns the limits of placement from the settings.
func (c *Cell) placementOptions() placement.Options {
	options := placement.DefaultOptions()
	options.MaxQueue = c.base.Settings.Limits.Queue
	return options
}

// recordQueueTime records how long a job waited for its first start.
func (c *Cell) recordQueueTime(j *state.Job) {
	if j == nil || j.Started == 0 {
		return
	}
	c.stats.Waits.Record(time.Duration(max(j.Started-j.Submitted, 0)) * time.Millisecond)
}
