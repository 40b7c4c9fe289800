package dispatch

import (
	"cmp"
	"slices"
)

// roundRobinQueryDivisor is the inverse of the share of a decision's queries that is held
// back and given to waiting steps round robin.
const roundRobinQueryDivisor = 3

// queryWaiter is a step that waits for a query.
type queryWaiter struct {
	step *Step
	// left is the number of tasks of the step that the decision couldn't start. reason is
	// reported for these tasks if the decision sends no query for the step.
	left   int
	reason Reason
}

// roundRobinQueries returns how many of n queries are held back for round-robin use. The
// rounding rotates, so the share also holds over decisions that have a single query each.
func (p *planner) roundRobinQueries(n int) int {
	return (n + p.limits.Round%roundRobinQueryDivisor) / roundRobinQueryDivisor
}

// holdBackQueries sets aside the queries for round-robin use.
func (p *planner) holdBackQueries() {
	p.reservedQueries = p.roundRobinQueries(p.limits.Queries)
	p.reservedNonInteractiveQueries = p.roundRobinQueries(p.limits.NonInteractiveQueries)
	p.reservedLongQueries = p.roundRobinQueries(p.limits.LongQueries)
	p.limits.Queries -= p.reservedQueries
	p.limits.NonInteractiveQueries -= p.reservedNonInteractiveQueries
	p.limits.LongQueries -= p.reservedLongQueries
}

// releaseQueries makes the queries that were held back available.
func (p *planner) releaseQueries() {
	p.limits.Queries += p.reservedQueries
	p.limits.NonInteractiveQueries += p.reservedNonInteractiveQueries
	p.limits.LongQueries += p.reservedLongQueries
	p.reservedQueries, p.reservedNonInteractiveQueries, p.reservedLongQueries = 0, 0, 0
}

// needsReservedLongQuery reports whether s can only be served by a long query that is held
// back, or with Limits.InteractiveQueryTime by one that isn't interactive.
func (p *planner) needsReservedLongQuery(s *Step) bool {
	nonInteractive := p.limits.InteractiveQueryTime > 0 && p.reservedNonInteractiveQueries > 0
	return s.NeedsPermit && !s.Spec.Gang && (p.reservedLongQueries > 0 || nonInteractive) && !p.mayQuery(s, p.limits.WorkersPerQuery)
}

// queryRoundRobin gives the remaining queries to the steps that wait for one. Without it,
// urgent steps that are permitted on hardly any worker use all queries. Other steps then get
// none although the pool is empty, and the larger the pool, the longer they wait.
func (p *planner) queryRoundRobin() {
	slices.SortStableFunc(p.queryWaiters, func(a, b queryWaiter) int { return p.compareQueryOrder(a.step, b.step) })
	for _, waiter := range p.queryWaiters {
		if p.blocked(waiter.step) {
			p.addWaiting(waiter.step, waiter.left, waiter.reason)
			continue
		}
		p.prepareRemaining(waiter.step, waiter.left)
	}
}

// compareQueryOrder puts steps that have had no response from the adviser and aren't
// unpromising first, since a first query yields the most information, and then steps whose
// last query is the oldest.
func (p *planner) compareQueryOrder(a, b *Step) int {
	return cmp.Or(compareBools(!p.needsFirstQuery(a), !p.needsFirstQuery(b)), cmp.Compare(a.LastQueryAt, b.LastQueryAt))
}

// needsFirstQuery reports whether s has had no response from the adviser and isn't
// unpromising.
func (p *planner) needsFirstQuery(s *Step) bool { return len(s.Permits) == 0 && !p.unpromising(s) }
