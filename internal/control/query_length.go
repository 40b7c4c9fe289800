package control

import (
	"math"
	"time"
)

const (
	// interactiveQueryThreshold is the duration up to which a query is interactive: the
	// objective of a preview leaves it about 0.6 s beyond its run time, in which 40 ms aren't
	// noticed. Every query for a backfill takes longer.
	interactiveQueryThreshold = 40 * time.Millisecond
	// longQueryThreshold is the duration above which a query is long. Long queries leave
	// some connections to short ones to prevent head-of-line blocking.
	longQueryThreshold = 150 * time.Millisecond
	// queryLoadWindow is the time constant of the decaying mean load of the queries of one
	// length. queryLoadDeviations is how many standard deviations above that mean are
	// reserved; the standard deviation of random arrivals is the square root of their mean.
	queryLoadWindow     = 3 * time.Second
	queryLoadDeviations = 2
	// queryLoadLearningTime is the time after the start of a leader term in which the load of
	// interactive queries isn't known yet, and the largest share is reserved for them. The
	// short queries of a backlog would otherwise occupy all connections but one at once.
	queryLoadLearningTime = 500 * time.Millisecond
	// interactiveDivisor and shortDivisor give the largest parts of the connections that are
	// reserved: a quarter for interactive queries and half for short ones. At least a quarter
	// is left to long queries.
	interactiveDivisor = 4
	shortDivisor       = 2
)

// queryLength classifies queries by how long the adviser is expected to take.
type queryLength int

// Lengths of queries, the shortest first. Without load control no query is interactive.
const (
	interactiveQuery queryLength = iota
	shortQuery
	longQuery
)

// queryLoad is the decaying mean number of connections that the queries of one length keep
// busy, as of updatedAt.
type queryLoad struct {
	mean      float64
	updatedAt time.Time
}

// add adds a query to the load.
func (l *queryLoad) add(now time.Time, duration time.Duration) {
	l.mean = l.at(now) + duration.Seconds()/queryLoadWindow.Seconds()
	l.updatedAt = now
}

// at returns the load at the given time.
func (l *queryLoad) at(now time.Time) float64 {
	return l.mean * math.Exp(-now.Sub(l.updatedAt).Seconds()/queryLoadWindow.Seconds())
}

// connsNeeded returns how many connections a mean load needs: the mean and some standard
// deviations.
func connsNeeded(load float64) int {
	return int(math.Ceil(load + queryLoadDeviations*math.Sqrt(load)))
}

// connReservation decides how many connections are reserved for queries of which length.
// The connections are in a fixed order: the first ones take only interactive queries, the
// next ones also short queries, and the rest takes all queries. The zero value reserves
// none for interactive queries, as without load control.
type connReservation struct {
	// loadControl says that connections are reserved for interactive queries.
	loadControl bool
	// startedAt is when the loads began to be recorded.
	startedAt time.Time
	// interactive and short are the loads of the queries of these lengths.
	interactive, short queryLoad
}

// lengthOf classifies a query by its expected duration.
func (r *connReservation) lengthOf(duration time.Duration) queryLength {
	switch {
	case duration > longQueryThreshold:
		return longQuery
	case duration > interactiveQueryThreshold || !r.loadControl:
		return shortQuery
	}
	return interactiveQuery
}

// record adds a query to the load of its length.
func (r *connReservation) record(now time.Time, duration time.Duration) {
	switch r.lengthOf(duration) {
	case interactiveQuery:
		r.interactive.add(now, duration)
	case shortQuery:
		r.short.add(now, duration)
	}
}

// reservedForInteractive returns how many of n connections are reserved for interactive
// queries. The mean load counts from startedAt: without that, a new leader would reserve
// too few connections for several seconds.
func (r *connReservation) reservedForInteractive(now time.Time, n int) int {
	most := n / interactiveDivisor
	elapsed := now.Sub(r.startedAt)
	if elapsed < queryLoadLearningTime {
		return most
	}
	recorded := 1 - math.Exp(-elapsed.Seconds()/queryLoadWindow.Seconds())
	return min(max(connsNeeded(r.interactive.at(now)/recorded), 1), most)
}

// reservedBefore returns how many of n connections are reserved for queries that are
// shorter than the given length.
//
// Large gangs, whose queries take over a second, compete with a hundred urgent jobs a
// second, whose queries take some milliseconds and keep only a few connections busy. If
// half of the connections are always reserved, the queries of the gangs wait for each
// other. If no connection is reserved, urgent jobs wait behind the queries of gangs under
// high load. Urgent jobs would also wait behind the other short queries, which take several
// times as long, if these could take all connections that long ones leave.
func (r *connReservation) reservedBefore(length queryLength, now time.Time, n int) int {
	reserved := 0
	if length > interactiveQuery && r.loadControl {
		reserved += r.reservedForInteractive(now, n)
	}
	if length > shortQuery {
		reserved += min(connsNeeded(r.short.at(now))+1, n/shortDivisor)
	}
	return reserved
}
