package control

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// instanceAnnounceInterval is the time between two announcements of an instance. From announceScaleInstances
	// instances on it grows with their number, up to maxInstanceAnnounceInterval: many that announce
	// themselves often would be a large part of the calls that their leader serves.
	instanceAnnounceInterval    = 300 * time.Millisecond
	announceScaleInstances      = 16
	maxInstanceAnnounceInterval = 600 * time.Millisecond
	// maxMissedAnnouncements is how many announcements an instance may miss before it is
	// asked no more to put questions.
	maxMissedAnnouncements = 3
	// adviserConnBackoff is how long a lane is left alone after a question without an answer.
	adviserConnBackoff = time.Second
	// longQuery is the length from which on a question leaves some lanes to short ones,
	// so that none of these waits behind it.
	longQuery = 150 * time.Millisecond
	// shortLoadWindow is the time over which short questions are counted for that, and
	// shortLoadDeviations how many lanes more they get than they keep busy on average, in
	// multiples of the square root: that of a random arrival's spread, twice.
	shortLoadWindow     = 3 * time.Second
	shortLoadDeviations = 2
	// maxInFlightPerConn bounds the questions under way on one lane.
	maxInFlightPerConn = 3
)

// lane is one instance that puts questions to the adviser, which serves the
// questions of one machine one after the other.
type adviserConn struct {
	address       string
	lastAnnounced time.Time
	// backoffUntil keeps a lane unused that failed.
	backoffUntil time.Time
	// busyUntil is when the questions under way will have been answered.
	busyUntil time.Time
	inFlight  int
}

// lanes spreads questions over the instances.
type adviserPool struct {
	ownAddress string
	adviser    Adviser
	client     Caller

	mu    sync.Mutex
	conns map[string]*adviserConn
	// shortLoad is how many lanes short questions have kept busy of late, as it was at
	// shortAt.
	shortLoad float64
	shortAt   time.Time
}

func newAdviserPool(own string, adviser Adviser, client Caller) *adviserPool {
	return &adviserPool{ownAddress: own, adviser: adviser, client: client, conns: map[string]*adviserConn{own: {address: own}}}
}

// pause is the time between two announcements of an instance.
func (l *adviserPool) announceInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.announceIntervalFor(len(l.conns))
}

func (l *adviserPool) announceIntervalFor(instances int) time.Duration {
	return min(max(instanceAnnounceInterval, instanceAnnounceInterval*time.Duration(instances)/announceScaleInstances), maxInstanceAnnounceInterval)
}

// note takes in that an instance is there.
func (l *adviserPool) recordAnnouncement(address string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.conns[address]
	if known == nil {
		known = &adviserConn{address: address}
		l.conns[address] = known
	}
	known.lastAnnounced = now
}

// present returns the lanes that can be reached, in a fixed order. l.mu is held.
func (l *adviserPool) reachable(now time.Time) []*adviserConn {
	var usable []*adviserConn
	maxAge := maxMissedAnnouncements * l.announceIntervalFor(len(l.conns))
	for _, candidate := range l.conns {
		heard := candidate.address == l.ownAddress || now.Sub(candidate.lastAnnounced) < maxAge
		if heard && now.After(candidate.backoffUntil) {
			usable = append(usable, candidate)
		}
	}
	slices.SortFunc(usable, func(a, b *adviserConn) int { return cmp.Compare(a.address, b.address) })
	return usable
}

// full reports whether no further question may be put on the lane.
func (l *adviserConn) full() bool { return l.inFlight >= maxInFlightPerConn }

// free returns how many questions may be put now, and how many of them may be long.
func (l *adviserPool) available(now time.Time) (all, long int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	usable := l.reachable(now)
	reserved := l.reservedForShort(now, len(usable))
	for i, candidate := range usable {
		if candidate.full() {
			continue
		}
		all++
		if i >= reserved {
			long++
		}
	}
	return all, long
}

// recordShortQuery takes in that a short question is put. l.mu is held.
func (l *adviserPool) recordShortQuery(now time.Time, duration time.Duration) {
	l.shortLoad = l.shortLoadAt(now) + duration.Seconds()/shortLoadWindow.Seconds()
	l.shortAt = now
}

// shortLoadAt returns how many lanes short questions keep busy. l.mu is held.
func (l *adviserPool) shortLoadAt(now time.Time) float64 {
	return l.shortLoad * math.Exp(-now.Sub(l.shortAt).Seconds()/shortLoadWindow.Seconds())
}

// reservedForShort returns how many of n lanes long questions leave to short ones: as many as
// these have needed of late, half at the most. l.mu is held.
//
// Load that it answers: large gangs, whose questions take over a second, and a hundred
// urgent jobs a second, whose questions take some milliseconds and keep a few lanes busy.
// With half of the lanes left to these the gangs' questions wait for each other; with
// none, urgent jobs wait behind them at a higher load.
func (l *adviserPool) reservedForShort(now time.Time, n int) int {
	load := l.shortLoadAt(now)
	return min(int(math.Ceil(load+shortLoadDeviations*math.Sqrt(load)))+1, n/2)
}

// freeAt is when a question that is put now is begun. Idle lanes are equal, so that
// short questions keep to the first ones.
func (l *adviserConn) freeAt(now time.Time) time.Time {
	if l.busyUntil.Before(now) {
		return now
	}
	return l.busyUntil
}

// take picks the lane that will be free first, and returns when the question will
// have been answered there. Short questions prefer the lanes that long ones leave.
func (l *adviserPool) acquire(now time.Time, duration time.Duration) (*adviserConn, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	candidates := l.reachable(now)
	if duration > longQuery {
		candidates = candidates[l.reservedForShort(now, len(candidates)):]
	} else {
		l.recordShortQuery(now, duration)
	}
	candidates = slices.DeleteFunc(candidates, (*adviserConn).full)
	if len(candidates) == 0 {
		return nil, now
	}
	chosen := slices.MinFunc(candidates, func(a, b *adviserConn) int { return a.freeAt(now).Compare(b.freeAt(now)) })
	chosen.busyUntil = chosen.freeAt(now).Add(duration)
	chosen.inFlight++
	return chosen, chosen.busyUntil
}

func (l *adviserPool) release(conn *adviserConn, now time.Time, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.inFlight--
	if conn.inFlight == 0 {
		conn.busyUntil = now
	}
	if failed {
		conn.backoffUntil = now.Add(adviserConnBackoff)
	}
}

func (l *adviserPool) send(ctx context.Context, conn *adviserConn, call AskCall) (AskReply, error) {
	if conn.address == l.ownAddress {
		return l.adviser.Ask(ctx, call)
	}
	var reply AskReply
	err := l.client.Call(ctx, conn.address, MethodAsk, &call, &reply)
	return reply, err
}

// queryDuration is how long the adviser takes to answer.
func queryDuration(policy *workflow.AdvicePolicy, workers int) time.Duration {
	return time.Duration((policy.BaseMS + policy.PerWorkerMS*float64(workers)) * float64(time.Millisecond))
}
