package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// instanceAnnounceInterval is the time between two announcements of an instance to the
	// leader. From announceScaleInstances instances on, the interval grows in proportion to
	// their number, up to maxInstanceAnnounceInterval. Otherwise the announcements of many
	// instances would be a large part of the calls that the leader serves.
	instanceAnnounceInterval    = 300 * time.Millisecond
	announceScaleInstances      = 16
	maxInstanceAnnounceInterval = 600 * time.Millisecond
	// maxMissedAnnouncements is how many announcements an instance may miss before queries
	// are no longer sent through it.
	maxMissedAnnouncements = 3
	// adviserConnBackoff is how long a connection stays unused after a failed query.
	adviserConnBackoff = time.Second
	// maxInFlightPerConn bounds the queries in flight on one connection.
	maxInFlightPerConn = 3
	// maxQueriesAhead bounds the time that a long query waits for the queries before it on
	// its connection. A step that becomes ready later would wait behind all of them.
	maxQueriesAhead = time.Second
)

// adviserConn is a connection to the adviser: an instance through which the leader sends
// queries. The adviser serves the queries of one instance one after another.
type adviserConn struct {
	address string
	// lastAnnounced is the time of the last announcement of the instance.
	lastAnnounced time.Time
	// addedAt is when the connection was added. knownUntil is until when an instance that
	// announced itself to an earlier leader counts as announced; zero for others.
	addedAt, knownUntil time.Time
	// committing says that the address is being committed to the log.
	committing bool
	// backoffUntil is when the connection may be used again after a failed query.
	backoffUntil time.Time
	// busyUntil is when the responses to all queries in flight are expected to have arrived.
	busyUntil time.Time
	inFlight  int
}

// adviserPool distributes queries over the adviser connections. ownAddress is the address
// of the leader's own instance, which needs no announcements.
type adviserPool struct {
	ownAddress string
	adviser    Adviser
	client     Caller

	mu    sync.Mutex
	conns map[string]*adviserConn
	// order holds the connections by address.
	order       []*adviserConn
	reservation connReservation
}

// newAdviserPool returns a pool that contains only the connection of the leader's own
// instance. With loadControl, it reserves connections for interactive queries. started is
// the start of the leader term.
func newAdviserPool(own string, adviser Adviser, client Caller, loadControl bool, started time.Time) *adviserPool {
	p := &adviserPool{
		ownAddress: own, adviser: adviser, client: client, conns: map[string]*adviserConn{},
		reservation: connReservation{loadControl: loadControl, startedAt: started},
	}
	p.add(&adviserConn{address: own})
	return p
}

// add adds a connection. p.mu must be held, or p isn't shared yet.
func (p *adviserPool) add(conn *adviserConn) {
	p.conns[conn.address] = conn
	position, _ := slices.BinarySearchFunc(p.order, conn, compareAddresses)
	p.order = slices.Insert(p.order, position, conn)
}

// remove removes a connection. p.mu must be held.
func (p *adviserPool) remove(conn *adviserConn) {
	delete(p.conns, conn.address)
	if position, found := slices.BinarySearchFunc(p.order, conn, compareAddresses); found {
		p.order = slices.Delete(p.order, position, position+1)
	}
}

func compareAddresses(a, b *adviserConn) int { return cmp.Compare(a.address, b.address) }

// announceInterval returns the time between two announcements of an instance.
func (p *adviserPool) announceInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.announceIntervalFor(len(p.conns))
}

// announceIntervalFor returns the announcement interval for a number of instances.
func (p *adviserPool) announceIntervalFor(instances int) time.Duration {
	return min(max(instanceAnnounceInterval, instanceAnnounceInterval*time.Duration(instances)/announceScaleInstances), maxInstanceAnnounceInterval)
}

// recordAnnouncement records that an instance has announced itself, and adds a connection
// for a new one.
func (p *adviserPool) recordAnnouncement(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[address]
	if conn == nil {
		conn = &adviserConn{address: address, addedAt: now}
		p.add(conn)
	}
	conn.lastAnnounced, conn.knownUntil = now, time.Time{}
}

// reachable returns the connections whose instances are announced, or known to a new
// leader for a short time, and that aren't backing off, ordered by address. p.mu must be held.
func (p *adviserPool) reachable(now time.Time) []*adviserConn {
	usable := make([]*adviserConn, 0, len(p.order))
	maxAge := maxMissedAnnouncements * p.announceIntervalFor(len(p.conns))
	for _, candidate := range p.order {
		announced := candidate.address == p.ownAddress || now.Sub(candidate.lastAnnounced) < maxAge || now.Before(candidate.knownUntil)
		if announced && now.After(candidate.backoffUntil) {
			usable = append(usable, candidate)
		}
	}
	return usable
}

// full reports whether the connection has the maximum number of queries in flight.
func (c *adviserConn) full() bool { return c.inFlight >= maxInFlightPerConn }

// freeConns says how many connections may take queries now.
type freeConns struct {
	// total connections may take an interactive query, nonInteractive of them also a short
	// one, and long of these also a long one.
	total, nonInteractive, long int
	// reachable counts the connections in use or free, reservedInteractive those of them that
	// are reserved for interactive queries.
	reachable, reservedInteractive int
}

// available returns how many connections may take queries now.
func (p *adviserPool) available(now time.Time) (free freeConns) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := p.reachable(now)
	firstShort := p.reservation.reservedBefore(shortQuery, now, len(usable))
	firstLong := p.reservation.reservedBefore(longQuery, now, len(usable))
	free.reachable, free.reservedInteractive = len(usable), firstShort
	for i, candidate := range usable {
		if candidate.full() {
			continue
		}
		free.total++
		if i >= firstShort {
			free.nonInteractive++
		}
		if i >= firstLong && candidate.freeAt(now).Sub(now) < maxQueriesAhead {
			free.long++
		}
	}
	return free
}

// lengthOf classifies a query by its expected duration.
func (p *adviserPool) lengthOf(duration time.Duration) queryLength {
	return p.reservation.lengthOf(duration)
}

// freeAt returns when the adviser would begin to serve a query that is sent now. It
// returns now for every idle connection, so that a query prefers the first connections that
// it may use, which are reserved for its length.
func (c *adviserConn) freeAt(now time.Time) time.Time {
	if c.busyUntil.Before(now) {
		return now
	}
	return c.busyUntil
}

// acquire picks the connection that is free first, and returns it with the expected time
// of the response. Each query prefers the connections that are reserved for its length. It
// returns nil when no connection is available.
func (p *adviserPool) acquire(now time.Time, duration time.Duration) (*adviserConn, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.reachable(now)
	candidates = candidates[p.reservation.reservedBefore(p.lengthOf(duration), now, len(candidates)):]
	p.reservation.record(now, duration)
	candidates = slices.DeleteFunc(candidates, (*adviserConn).full)
	if len(candidates) == 0 {
		return nil, now
	}
	chosen := slices.MinFunc(candidates, func(a, b *adviserConn) int { return a.freeAt(now).Compare(b.freeAt(now)) })
	chosen.busyUntil = chosen.freeAt(now).Add(duration)
	chosen.inFlight++
	return chosen, chosen.busyUntil
}

// release records that the response to a query has arrived or that the query has failed.
func (p *adviserPool) release(conn *adviserConn, now time.Time, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.inFlight--
	if conn.inFlight == 0 {
		conn.busyUntil = now
	}
	if failed {
		conn.backoffUntil = now.Add(adviserConnBackoff)
	}
}

// send sends a query to the adviser: directly if the connection is that of the leader's
// own instance, else through the instance of the connection.
func (p *adviserPool) send(ctx context.Context, conn *adviserConn, call AdviserQuery) (AdviserReply, error) {
	if conn.address == p.ownAddress {
		return p.adviser.Query(ctx, call)
	}
	var reply AdviserReply
	err := p.client.Call(ctx, conn.address, MethodQueryAdviser, &call, &reply)
	return reply, err
}

// queryDuration returns how long the adviser is expected to take for a query about a
// number of workers.
func queryDuration(policy *workflow.AdvicePolicy, workers int) time.Duration {
	return boundedDuration(policy.BaseMS + policy.PerWorkerMS*float64(workers))
}
