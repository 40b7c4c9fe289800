package carrier

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

const (
	// membershipInterval is how often a leader looks for other members.
	membershipInterval = 500 * time.Millisecond
	// baseMessageInterval times the number of carriers lies between two messages to one of
	// them and between two from it, so that the leader's messages a second don't grow
	// with the number of carriers or workers. What comes up meanwhile shares the next
	// one; a message after a longer pause goes at once.
	baseMessageInterval = time.Millisecond
	// firstContactTimeout bounds the wait of a new leader for its carriers: a few round trips.
	firstContactTimeout = 60 * time.Millisecond
)

// Config is the fixed part of a Spread.
type ForwarderConfig struct {
	// Own is where other instances reach this one.
	OwnAddress string
	// Members lists the core instances, this one included or not.
	Members   func() []string
	Transport Transport
	// Direct calls workers from here.
	DirectWorkers control.Workers
	// Heard takes in the heartbeats that other instances took.
	ApplyHeartbeats func([]control.BufferedHeartbeat)
	Logger          log.Logger
	Counters        control.Counters
}

// Spread is the leader's way to workers: by its own calls while there are few, and
// through carriers, where there are some, for what goes beyond. It is safe for concurrent
// use.
type Forwarder struct {
	cfg ForwarderConfig

	mu sync.RWMutex
	// routes are those to the other members under the present term, none while this
	// instance doesn't lead.
	routes []*route
	// leading is the leadership that the routes belong to.
	current *termRoutes
	direct  directShare
	// lastOrderID is the number of the last order.
	lastOrderID atomic.Uint64
}

// NewForwarder returns a Spread of an instance that doesn't lead.
func NewForwarder(cfg ForwarderConfig) *Forwarder { return &Forwarder{cfg: cfg} }

// Lead opens routes to the other members and returns when they have answered, or
// after a moment. They are kept until ctx ends, as long as this instance leads.
//
// Failure guarded against: a new leader looks at all workers at once, and does so by
// itself if no carrier has answered yet.
func (f *Forwarder) Lead(ctx context.Context, term uint64) {
	t := &termRoutes{forwarder: f, ctx: ctx, term: term, routes: map[string]*openRoute{}}
	f.mu.Lock()
	f.current = t
	f.mu.Unlock()
	f.direct.reset(time.Now())
	t.refresh()
	t.awaitContact()
	go t.run()
}

// leadership keeps the routes of one term.
type termRoutes struct {
	forwarder *Forwarder
	ctx       context.Context
	term      uint64
	routes    map[string]*openRoute
}

type openRoute struct {
	*route
	close context.CancelFunc
}

// awaitContact waits until each carrier has answered or failed to, firstContactTimeout at
// most.
func (t *termRoutes) awaitContact() {
	ctx, cancel := context.WithTimeout(t.ctx, firstContactTimeout)
	defer cancel()
	for _, r := range t.routes {
		wait.Closed(ctx, r.contacted)
	}
}

func (t *termRoutes) run() {
	defer t.forwarder.setRoutes(t, nil)
	for wait.For(t.ctx, membershipInterval) {
		t.refresh()
		t.forwarder.direct.update(time.Now())
	}
}

// refresh opens routes to new members and closes those to members that have left.
func (t *termRoutes) refresh() {
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
		r.setInterval(baseMessageInterval * time.Duration(len(t.routes)))
		routes = append(routes, r.route)
	}
	t.forwarder.setRoutes(t, routes)
}

func (t *termRoutes) open(address string) *openRoute {
	r := newRoute(&t.forwarder.cfg, address, t.term, &t.forwarder.lastOrderID)
	ctx, cancel := context.WithCancel(t.ctx)
	go r.sendLoop(ctx)
	go r.collectLoop(ctx)
	return &openRoute{route: r, close: cancel}
}

// setRoutes replaces the routes, unless another leadership has begun.
func (f *Forwarder) setRoutes(t *termRoutes, routes []*route) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == t {
		f.routes = routes
	}
}

// routeTo returns the route by which a worker is called, nil where the leader calls it
// itself. Workers are spread evenly over the carriers of their data centre, or over
// all where it has none; when one comes or goes only its share moves.
func (f *Forwarder) routeTo(to control.Target) *route {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now := time.Now()
	var best *route
	var bestLocal bool
	var bestWeight uint64
	for _, r := range f.routes {
		usable, dataCentre := r.usable(now)
		if !usable {
			continue
		}
		local := dataCentre == to.DataCentre
		weight := xxhash.Sum64String(r.address + "/" + to.Worker)
		if best == nil || local && !bestLocal || local == bestLocal && weight > bestWeight {
			best, bestLocal, bestWeight = r, local, weight
		}
	}
	return best
}

// Start sends a start.
func (f *Forwarder) Start(ctx context.Context, to control.Target, order control.StartOrder) (int64, error) {
	outcome, err := f.send(ctx, &Order{To: to, Start: &order})
	return outcome.ClockMS, err
}

// Stop sends a stop.
func (f *Forwarder) Stop(ctx context.Context, to control.Target, order control.StopOrder) (int64, error) {
	outcome, err := f.send(ctx, &Order{To: to, Stop: &order})
	return outcome.ClockMS, err
}

// Throttle sends a change of a run's share.
func (f *Forwarder) Throttle(ctx context.Context, to control.Target, order control.ThrottleOrder) (int64, error) {
	outcome, err := f.send(ctx, &Order{To: to, Throttle: &order})
	return outcome.ClockMS, err
}

// Look asks for a worker's lists.
func (f *Forwarder) Poll(ctx context.Context, to control.Target, order control.PollOrder) (control.Report, error) {
	outcome, err := f.send(ctx, &Order{To: to, Poll: &order})
	switch {
	case err != nil:
		return control.Report{}, err
	case outcome.Report == nil:
		return control.Report{}, errors.Wrap(errNoAnswer, "a look without a report")
	}
	return *outcome.Report, nil
}

// errNotForwarded says that an order was handed to no carrier.
var errNotForwarded = errors.New("no carrier has the order")

// send hands an order over where the worker is called by a carrier. One that no carrier
// has is sent from here.
func (f *Forwarder) send(ctx context.Context, order *Order) (Outcome, error) {
	f.direct.countOrder()
	outcome, err := f.forward(ctx, order)
	if errors.Is(err, errNotForwarded) {
		return order.callWorker(ctx, f.cfg.DirectWorkers)
	}
	return outcome, err
}

// carry hands an order over and waits for its outcome.
func (f *Forwarder) forward(ctx context.Context, order *Order) (Outcome, error) {
	var r *route
	if !f.direct.includes(order.To.Worker) {
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
