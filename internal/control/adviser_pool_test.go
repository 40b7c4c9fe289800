package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// newTestAdviserPool returns a pool of n adviser connections: the leader's own one, and
// those of n-1 instances that were last announced at now.
func newTestAdviserPool(n int, now time.Time) *adviserPool {
	pool := newAdviserPool("own", nil, nil, false, now)
	for i := 1; i < n; i++ {
		pool.recordAnnouncement(fmt.Sprintf("10.1.0.%02d", i), now)
	}
	return pool
}

const (
	// shortQueryDuration and longQueryDuration are the expected durations of a query for
	// an urgent job and of one for a gang.
	shortQueryDuration = 17 * time.Millisecond
	longQueryDuration  = time.Second
)

// acquireLong acquires each connection that a query of one second may use, and returns
// their number.
func acquireLong(pool *adviserPool, now time.Time) int {
	used := map[string]bool{}
	for {
		conn, _ := pool.acquire(now, longQueryDuration)
		if conn == nil || used[conn.address] {
			return len(used)
		}
		used[conn.address] = true
	}
}

// Guards against delaying the long queries of gangs while half of the connections are
// idle because they are reserved for short queries, of which there are few.
func TestLongQueriesLeaveConnsForShortOnes(t *testing.T) {
	start := time.Now()
	must.Eq(t, 43, acquireLong(newTestAdviserPool(44, start), start))
	must.Eq(t, 1, acquireLong(newTestAdviserPool(2, start), start))
	must.Eq(t, 1, acquireLong(newTestAdviserPool(1, start), start))
	const loadSeconds = 9
	for _, c := range []struct{ perSecond, minLong, maxLong int }{{10, 40, 43}, {110, 36, 39}, {2000, 22, 22}} {
		pool := newTestAdviserPool(44, start)
		now := start
		for range loadSeconds * c.perSecond {
			now = now.Add(time.Second / time.Duration(c.perSecond))
			conn, _ := pool.acquire(now, shortQueryDuration)
			must.NotNil(t, conn)
			pool.release(conn, now, false)
			for _, known := range pool.conns {
				known.lastAnnounced = now
			}
		}
		long := acquireLong(pool, now)
		must.Between(t, c.minLong, long, c.maxLong, must.Sprintf("%d a second", c.perSecond))
	}
}

// Guards against head-of-line blocking: the short query of an urgent job must not wait
// behind the long one of a gang while other connections are idle.
func TestShortQueriesUseReservedConns(t *testing.T) {
	now := time.Now()
	pool := newTestAdviserPool(8, now)
	for range 100 {
		conn, responseDue := pool.acquire(now, shortQueryDuration)
		must.Eq(t, "10.1.0.01", conn.address)
		must.Eq(t, now.Add(shortQueryDuration), responseDue)
		now = now.Add(shortQueryDuration)
		pool.release(conn, now, false)
		pool.recordAnnouncement("10.1.0.01", now)
	}
}

// Guards against a step that becomes ready while long queries of other steps are queued on
// every connection: its own long query would wait for all of them.
func TestLongQueriesQueueForABoundedTime(t *testing.T) {
	now := time.Now()
	pool := newTestAdviserPool(2, now)
	for range 2 {
		must.Eq(t, 1, pool.available(now).long)
		conn, _ := pool.acquire(now, maxQueriesAhead/2)
		must.NotNil(t, conn)
	}
	must.Eq(t, freeConns{total: 2, nonInteractive: 2, reachable: 2}, pool.available(now))
}

// Guards against queries that sort all known instances: connections stay in the order of their addresses.
func TestConnectionsStayOrdered(t *testing.T) {
	now := time.Now()
	pool := newTestAdviserPool(30, now)
	pool.addKnown([]string{"10.0.0.1", "10.1.0.05", "9.0.0.1"}, now)
	pool.removeGone(now.Add(2 * instanceRetention))
	must.Len(t, 1, pool.order, must.Sprint("only the leader's own connection is left"))
	pool.recordAnnouncement("b", now)
	pool.recordAnnouncement("a", now)
	pool.recordAnnouncement("b", now)
	var addresses []string
	for _, conn := range pool.reachable(now.Add(time.Millisecond)) {
		addresses = append(addresses, conn.address)
	}
	must.Eq(t, []string{"a", "b", "own"}, addresses)
}

// Guards against checks over all workers that take more of the leader's time the larger the fleet is.
func TestChecksOfLargeFleetAreFarApart(t *testing.T) {
	must.Eq(t, runCheckInterval, nextCheckAfter(runCheckInterval, time.Millisecond))
	must.Eq(t, 500*time.Millisecond, nextCheckAfter(runCheckInterval, 5*time.Millisecond))
	must.Eq(t, maxCheckInterval, nextCheckAfter(runCheckInterval, time.Second))
}
