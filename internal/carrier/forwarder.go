package carrier

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/internal/boottime"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/panics"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/internal/worktime"
)

const (
	// membershipInterval is how often the leader checks for new and removed members.
	membershipInterval = 500 * time.Millisecond
	// baseMessageInterval, multiplied by the number of carriers that get orders, is the pause
	// between two messages to the same carrier, and between two messages from the same carrier.
	// The leader's message rate therefore doesn't grow with the number of carriers or workers.
	// Orders queued during the pause are sent in one message; an order after an idle time is
	// sent immediately.
	baseMessageInterval = time.Millisecond
	// maxMessageInterval is the longest pause that follows from the leader's mean scheduling delay. A leader
	// that is short of processor puts more orders into a message; each waits for the processor for longer
	// than for its message.
	maxMessageInterval = 40 * time.Millisecond
	// firstContactTimeout bounds a new leader's wait for the first response of each carrier;
	// it is enough for a few round trips.
	firstContactTimeout = 60 * time.Millisecond
)

// ForwarderConfig configures a Forwarder.
type ForwarderConfig struct {
	// OwnAddress is the address at which other instances reach this one.
	OwnAddress string
	// Members lists the addresses of the core instances; this instance may be included.
	Members   func() []string
	Transport Transport
	// DirectWorkers makes the calls to workers from this instance.
	DirectWorkers control.Workers
	// ApplyHeartbeats processes the heartbeats that other instances received.
	ApplyHeartbeats func([]control.BufferedHeartbeat)
	// MaxDirectCallsPerSecond bounds the calls to workers that the leader makes itself although a
	// carrier could make them. 0 stands for the default, a negative value for no such calls.
	MaxDirectCallsPerSecond int
	// SchedulingDelay returns the mean scheduling delay of this process since it was last called. While it is
	// long, the leader makes fewer calls itself and sends fewer messages. nil counts as no delay.
	SchedulingDelay func() time.Duration
	Logger          log.Logger
	Counters        control.Counters
	// Work sums up the time that the processing of collected outcomes takes; nil sums up nothing.
	Work *worktime.Ledger
	// Clock is a steady clock that counts the time for which the machine is suspended. nil means
	// package boottime.
	Clock func() time.Duration
}

// Forwarder sends the leader's orders to workers, by direct calls up to a rate and through
// carriers beyond that rate. It is safe for concurrent use.
type Forwarder struct {
	cfg ForwarderConfig

	mu sync.RWMutex
	// routes has a route to each other member in the current term, ordered by rank. It is empty
	// while this instance isn't the leader.
	routes []*route
	// latestTerm manages the routes of the latest leader term of this instance.
	latestTerm *termRoutes
	direct     directShare
	// lastOrderID is the ID of the last order on any route.
	lastOrderID atomic.Uint64
}

// NewForwarder returns a Forwarder of an instance that isn't the leader.
func NewForwarder(cfg ForwarderConfig) *Forwarder {
	if cfg.Clock == nil {
		cfg.Clock = boottime.Now
	}
	if cfg.SchedulingDelay == nil {
		cfg.SchedulingDelay = func() time.Duration { return 0 }
	}
	return &Forwarder{cfg: cfg, direct: directShare{maxPerSecond: directLimit(cfg.MaxDirectCallsPerSecond)}}
}

// Lead opens routes to the other members for a leader term. The routes stay open until ctx
// ends. Lead returns when the first call to each carrier has succeeded or failed, after
// firstContactTimeout at most: a new leader polls all workers at the same time and would call
// them all directly if no carrier had responded yet.
func (f *Forwarder) Lead(ctx context.Context, term uint64) {
	t := &termRoutes{forwarder: f, ctx: ctx, term: term, routes: map[string]*openRoute{}}
	f.mu.Lock()
	f.latestTerm = t
	f.mu.Unlock()
	f.direct.reset(time.Now())
	t.refresh(0)
	t.awaitContact()
	go t.run()
}

// termRoutes manages the routes of one leader term.
type termRoutes struct {
	forwarder *Forwarder
	ctx       context.Context
	term      uint64
	routes    map[string]*openRoute
}

// openRoute is a route with the function that stops its loops.
type openRoute struct {
	*route
	close context.CancelFunc
}

// awaitContact waits until the first call to each carrier has succeeded or failed,
// firstContactTimeout at most.
func (t *termRoutes) awaitContact() {
	ctx, cancel := context.WithTimeout(t.ctx, firstContactTimeout)
	defer cancel()
	for _, r := range t.routes {
		wait.Closed(ctx, r.contacted)
	}
}

// run updates the routes and the share of direct calls until the term ends, and removes the
// routes at the end.
func (t *termRoutes) run() {
	defer t.forwarder.setRoutes(t, nil)
	defer panics.Handle()
	for wait.For(t.ctx, membershipInterval) {
		delay := t.forwarder.cfg.SchedulingDelay()
		t.refresh(delay)
		t.forwarder.direct.update(time.Now(), delay)
	}
}

// refresh opens routes to new members, closes those to removed members, and adapts the pause between
// messages to their number and to the leader's mean scheduling delay.
func (t *termRoutes) refresh(schedulingDelay time.Duration) {
	members := t.forwarder.cfg.Members()
	for address, r := range t.routes {
		if !slices.Contains(members, address) {
			r.close()
			delete(t.routes, address)
		}
	}
	for _, address := range members {
		if address != t.forwarder.cfg.OwnAddress && t.routes[address] == nil {
			t.routes[address] = t.open(address)
		}
	}
	var routes []*route
	for _, r := range t.routes {
		routes = append(routes, r.route)
	}
	slices.SortFunc(routes, func(a, b *route) int { return cmp.Compare(a.rank, b.rank) })
	interval := messageInterval(carriersInUse(routes), schedulingDelay)
	for _, r := range routes {
		r.setInterval(interval)
	}
	t.forwarder.setRoutes(t, routes)
}

// messageInterval returns the pause between two messages of a route, with a number of carriers in use.
func messageInterval(carriers int, schedulingDelay time.Duration) time.Duration {
	usual := baseMessageInterval * time.Duration(carriers)
	return max(usual, min(schedulingDelay, maxMessageInterval))
}

// open starts a route to the carrier at address.
func (t *termRoutes) open(address string) *openRoute {
	r := newRoute(&t.forwarder.cfg, address, t.term, &t.forwarder.lastOrderID)
	ctx, cancel := context.WithCancel(t.ctx)
	go r.sendLoop(ctx)
	go r.collectLoop(ctx)
	return &openRoute{route: r, close: cancel}
}

// setRoutes replaces the routes, unless a later term has started.
func (f *Forwarder) setRoutes(t *termRoutes, routes []*route) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.latestTerm == t {
		f.routes = routes
	}
}

// Start sends a start order and returns the worker's clock in milliseconds.
func (f *Forwarder) Start(ctx context.Context, to control.Target, order control.StartOrder) (int64, error) {
	outcome, err := f.send(ctx, &Order{To: to, Start: &order})
	return outcome.ClockMS, err
}

// Stop sends a stop order and returns the worker's clock in milliseconds.
func (f *Forwarder) Stop(ctx context.Context, to control.Target, order control.StopOrder) (int64, error) {
	outcome, err := f.send(ctx, &Order{To: to, Stop: &order})
	return outcome.ClockMS, err
}

// Throttle sends an order that sets the share of its full speed at which a run works, and
// returns the worker's clock in milliseconds.
func (f *Forwarder) Throttle(ctx context.Context, to control.Target, order control.ThrottleOrder) (int64, error) {
	outcome, err := f.send(ctx, &Order{To: to, Throttle: &order})
	return outcome.ClockMS, err
}

// Poll requests a worker's report.
func (f *Forwarder) Poll(ctx context.Context, to control.Target, order control.PollOrder) (control.Report, error) {
	outcome, err := f.send(ctx, &Order{To: to, Poll: &order, CallTimeout: order.CallTimeout})
	switch {
	case err != nil:
		return control.Report{}, err
	case outcome.Report == nil:
		return control.Report{}, errors.Wrap(errNoResponse, "the response to a poll contains no report")
	}
	return *outcome.Report, nil
}

// errNotForwarded says that no carrier can execute an order.
var errNotForwarded = errors.New("no carrier executes the order")

// send forwards an order to a carrier. It calls the worker directly if no carrier can
// execute the order.
func (f *Forwarder) send(ctx context.Context, order *Order) (Outcome, error) {
	f.direct.countOrder()
	outcome, err := f.forward(ctx, order)
	if errors.Is(err, errNotForwarded) {
		return order.callWorker(ctx, f.cfg.DirectWorkers)
	}
	return outcome, err
}

// forward forwards an order and waits for its outcome. It returns errNotForwarded if the
// leader calls the worker directly or no carrier is usable.
func (f *Forwarder) forward(ctx context.Context, order *Order) (Outcome, error) {
	var r *route
	repeated := order.Poll != nil && order.Poll.Repeat
	if !f.direct.includes(order.To.Worker) || repeated && !f.direct.includesAll() {
		r = f.routeTo(order.To)
	}
	if r == nil {
		f.cfg.Counters.Add("orders_direct", 1)
		return Outcome{}, errNotForwarded
	}
	f.cfg.Counters.Add("orders_handed_over", 1)
	outcome, err := r.forward(ctx, order)
	if err != nil {
		return Outcome{}, errors.Wrapf(err, "carrier %s", r.address)
	}
	return outcome, outcome.err()
}
