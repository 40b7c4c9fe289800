package control

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// arrivals is a kind of query in a simulated load: how many arrive per second at random,
// and how many wait at the start.
type arrivals struct {
	duration  time.Duration
	perSecond float64
	backlog   int
}

// simulatedQuery is a query that waits or is in flight.
type simulatedQuery struct {
	kind    int
	at, due time.Time
	conn    *adviserConn
}

// simulateQueries sends random queries through 42 connections for a duration, with a clock
// of its own and without a network. At each arrival and response, it plans as many of the
// waiting queries as the pool says, interactive ones before long ones before short ones,
// and sends the longest first. It returns how long the queries of each kind waited beside
// their duration, in ascending order.
func simulateQueries(t *testing.T, loadControl bool, kinds []arrivals, length time.Duration) [][]time.Duration {
	const conns = 42
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Now()
	pool := newTestAdviserPool(conns, start)
	pool.reservation.loadControl = loadControl
	var future, inFlight []simulatedQuery
	for kind, a := range kinds {
		for range a.backlog {
			future = append(future, simulatedQuery{kind: kind, at: start})
		}
		for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() / a.perSecond * float64(time.Second)) {
			future = append(future, simulatedQuery{kind: kind, at: start.Add(at)})
		}
	}
	slices.SortStableFunc(future, func(a, b simulatedQuery) int { return a.at.Compare(b.at) })
	waiting, waits := make([][]simulatedQuery, len(kinds)), make([][]time.Duration, len(kinds))
	send := func(now time.Time, kind, n int) {
		for _, query := range waiting[kind][:min(n, len(waiting[kind]))] {
			query.conn, query.due = pool.acquire(now, kinds[kind].duration)
			must.NotNil(t, query.conn, must.Sprint("a planned query finds a connection"))
			inFlight = append(inFlight, query)
			waits[kind] = append(waits[kind], query.due.Sub(query.at)-kinds[kind].duration)
		}
		waiting[kind] = waiting[kind][min(n, len(waiting[kind])):]
	}
	for now := start; now.Before(start.Add(length)); {
		free := pool.available(now)
		interactive := min(free.total, len(waiting[0]))
		long := min(free.long, free.total-interactive, len(waiting[2]))
		send(now, 2, long)
		send(now, 1, min(free.nonInteractive, free.total-interactive)-long)
		send(now, 0, interactive)
		slices.SortFunc(inFlight, func(a, b simulatedQuery) int { return a.due.Compare(b.due) })
		if len(inFlight) > 0 && (len(future) == 0 || inFlight[0].due.Before(future[0].at)) {
			now = inFlight[0].due
			pool.release(inFlight[0].conn, now, false)
			inFlight = inFlight[1:]
		} else {
			now = future[0].at
			waiting[future[0].kind] = append(waiting[future[0].kind], future[0])
			future = future[1:]
		}
		for _, conn := range pool.conns {
			conn.lastAnnounced = now
		}
	}
	for _, w := range waits {
		slices.Sort(w)
	}
	return waits
}

// Guards against interactive queries that wait for 100 ms and more behind backfill queries
// of 147 ms, which take all connections reserved for short ones, and against a reservation
// with which the backlog makes no progress.
func TestInteractiveQueriesDoNotWaitBehindBacklog(t *testing.T) {
	const length = 20 * time.Second
	for _, backlog := range []int{0, 3000} {
		kinds := []arrivals{{13 * time.Millisecond, 103, 0}, {147 * time.Millisecond, 50, backlog}, {1100 * time.Millisecond, 10, backlog / 20}}
		figures := map[bool][][]time.Duration{}
		for _, loadControl := range []bool{false, true} {
			waits := simulateQueries(t, loadControl, kinds, length)
			figures[loadControl] = waits
			t.Logf("backlog %d, reservation %t: interactive queries waited %v in the 99th percentile; sent %d %d %d",
				backlog, loadControl, waits[0][len(waits[0])*99/100], len(waits[0]), len(waits[1]), len(waits[2]))
		}
		waits := figures[true]
		must.Less(t, 20*time.Millisecond, waits[0][len(waits[0])*99/100])
		must.Greater(t, int(103*length.Seconds()*9/10), len(waits[0]))
		must.Greater(t, int(50*length.Seconds()*9/10), len(waits[1]))
		must.Greater(t, int(10*length.Seconds()*9/10), len(waits[2]))
	}
}

// Guards against a reservation that starves a length of query, however few connections
// there are and however high the load is, and against one that acts with load control off.
func TestEachLengthKeepsConnections(t *testing.T) {
	now := time.Now()
	for _, load := range []float64{0, 1.3, 1000} {
		for n := range 50 {
			r := connReservation{loadControl: true, interactive: queryLoad{load, now}, short: queryLoad{load, now}}
			firstShort, firstLong := r.reservedBefore(shortQuery, now, n), r.reservedBefore(longQuery, now, n)
			must.Eq(t, 0, r.reservedBefore(interactiveQuery, now, n))
			must.LessEq(t, n/4, firstShort)
			must.Eq(t, n >= 4, firstShort >= 1)
			must.LessEq(t, n/4+n/2, firstLong)
			r.loadControl = false
			must.Eq(t, 0, r.reservedBefore(shortQuery, now, n))
			must.Eq(t, shortQuery, r.lengthOf(time.Millisecond))
		}
	}
}
