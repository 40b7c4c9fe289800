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
	// membersPause is how often a leader looks for other members.
	membersPause = 500 * time.Millisecond
	// messagePause times the number of carriers lies between two messages to one of
	// them and between two from it, so that the leader's messages a second don't grow
	// with the number of carriers or workers. What comes up meanwhile shares the next
	// one; a message after a longer pause goes at once.
	messagePause = time.Millisecond
	// answersWithin bounds the wait of a new leader for its carriers: a few round trips.
	answersWithin = 60 * time.Millisecond
)

// Config is the fixed part of a Spread.
type Config struct {
	// Own is where other instances reach this one.
	Own string
	// Members lists the core instances, this one included or not.
	Members   func() []string
	Transport Transport
	// Direct calls workers from here.
	Direct control.Workers
	// Heard takes in the heartbeats that other instances took.
	Heard    func([]control.BufferedHeartbeat)
	Logger   log.Logger
	Counters control.Counters
}

// Spread is the leader's way to workers: by its own calls while there are few, and
// through carriers, where there are some, for what goes beyond. It is safe for concurrent
// use.
type Spread struct {
	cfg Config

	mu sync.RWMutex
	// routes are those to the other members under the present term, none while this
	// instance doesn't lead.
	routes []*route
	// leading is the leadership that the routes belong to.
	leading *leadership
	own     ownShare
	// lastID is the number of the last order.
	lastID atomic.Uint64
}

// NewSpread returns a Spread of an instance that doesn't lead.
func NewSpread(cfg Config) *Spread { return &Spread{cfg: cfg} }

// Lead opens routes to the other members and returns when they have answered, or
// after a moment. They are kept until ctx ends, as long as this instance leads.
//
// Failure guarded against: a new leader looks at all workers at once, and does so by
// itself if no carrier has answered yet.
func (s *Spread) Lead(ctx context.Context, term uint64) {
	l := &leadership{s: s, ctx: ctx, term: term, routes: map[string]*openRoute{}}
	s.mu.Lock()
	s.leading = l
	s.mu.Unlock()
	s.own.begin(time.Now())
	l.refresh()
	l.awaitAnswers()
	go l.run()
}

// leadership keeps the routes of one term.
type leadership struct {
	s      *Spread
	ctx    context.Context
	term   uint64
	routes map[string]*openRoute
}

type openRoute struct {
	*route
	close context.CancelFunc
}

// awaitAnswers waits until each carrier has answered or failed to, answersWithin at
// most.
func (l *leadership) awaitAnswers() {
	ctx, cancel := context.WithTimeout(l.ctx, answersWithin)
	defer cancel()
	for _, r := range l.routes {
		wait.Closed(ctx, r.answered)
	}
}

func (l *leadership) run() {
	defer l.s.setRoutes(l, nil)
	for wait.For(l.ctx, membersPause) {
		l.refresh()
		l.s.own.adapt(time.Now())
	}
}

// refresh opens routes to new members and closes those to members that have left.
func (l *leadership) refresh() {
	members := l.s.cfg.Members()
	for address, r := range l.routes {
		if !slices.Contains(members, address) {
			r.close()
			delete(l.routes, address)
		}
	}
	for _, address := range members {
		if address != l.s.cfg.Own && l.routes[address] == nil {
			l.routes[address] = l.open(address)
		}
	}
	var routes []*route
	for _, r := range l.routes {
		r.setPause(messagePause * time.Duration(len(l.routes)))
		routes = append(routes, r.route)
	}
	l.s.setRoutes(l, routes)
}

func (l *leadership) open(address string) *openRoute {
	r := newRoute(&l.s.cfg, address, l.term, &l.s.lastID)
	ctx, cancel := context.WithCancel(l.ctx)
	go r.send(ctx)
	go r.collect(ctx)
	return &openRoute{route: r, close: cancel}
}

// setRoutes replaces the routes, unless another leadership has begun.
func (s *Spread) setRoutes(l *leadership, routes []*route) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leading == l {
		s.routes = routes
	}
}

// routeTo returns the route by which a worker is called, nil where the leader calls it
// itself. Workers are spread evenly over the carriers of their data centre, or over
// all where it has none; when one comes or goes only its share moves.
func (s *Spread) routeTo(to control.Target) *route {
	s.mu.RLock()
	defer s.mu.RUnlock()
	now := time.Now()
	var best *route
	var bestNear bool
	var bestWeight uint64
	for _, r := range s.routes {
		usable, dataCentre := r.usable(now)
		if !usable {
			continue
		}
		near := dataCentre == to.DataCentre
		weight := xxhash.Sum64String(r.address + "/" + to.Worker)
		if best == nil || near && !bestNear || near == bestNear && weight > bestWeight {
			best, bestNear, bestWeight = r, near, weight
		}
	}
	return best
}

// Start sends a start.
func (s *Spread) Start(ctx context.Context, to control.Target, order control.StartOrder) (int64, error) {
	outcome, err := s.send(ctx, &Order{To: to, Start: &order})
	return outcome.ClockMS, err
}

// Stop sends a stop.
func (s *Spread) Stop(ctx context.Context, to control.Target, order control.StopOrder) (int64, error) {
	outcome, err := s.send(ctx, &Order{To: to, Stop: &order})
	return outcome.ClockMS, err
}

// Throttle sends a change of a run's share.
func (s *Spread) Throttle(ctx context.Context, to control.Target, order control.ThrottleOrder) (int64, error) {
	outcome, err := s.send(ctx, &Order{To: to, Throttle: &order})
	return outcome.ClockMS, err
}

// Look asks for a worker's lists.
func (s *Spread) Poll(ctx context.Context, to control.Target, order control.PollOrder) (control.Report, error) {
	outcome, err := s.send(ctx, &Order{To: to, Look: &order})
	switch {
	case err != nil:
		return control.Report{}, err
	case outcome.Report == nil:
		return control.Report{}, errors.Wrap(errNoAnswer, "a look without a report")
	}
	return *outcome.Report, nil
}

// errNotCarried says that an order was handed to no carrier.
var errNotCarried = errors.New("no carrier has the order")

// send hands an order over where the worker is called by a carrier. One that no carrier
// has is sent from here.
func (s *Spread) send(ctx context.Context, order *Order) (Outcome, error) {
	s.own.noteOrder()
	outcome, err := s.carry(ctx, order)
	if errors.Is(err, errNotCarried) {
		return order.callBy(ctx, s.cfg.Direct)
	}
	return outcome, err
}

// carry hands an order over and waits for its outcome.
func (s *Spread) carry(ctx context.Context, order *Order) (Outcome, error) {
	var r *route
	if !s.own.has(order.To.Worker) {
		r = s.routeTo(order.To)
	}
	if r == nil {
		s.cfg.Counters.Add("orders_direct", 1)
		return Outcome{}, errNotCarried
	}
	s.cfg.Counters.Add("orders_handed_over", 1)
	outcome, err := r.carry(ctx, order)
	if err != nil {
		return Outcome{}, errors.Wrapf(err, "carrier %s", r.address)
	}
	return outcome, outcome.err()
}
