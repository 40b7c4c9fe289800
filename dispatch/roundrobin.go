package dispatch

import (
	"cmp"
	"slices"
)

// roundRobinQueryDivisor is the part of the questions that goes to steps in turn, as a divisor.
const roundRobinQueryDivisor = 3

// unasked is a step that waits for a question.
type queryWaiter struct {
	step *Step
	// left is how many of its tasks weren't started, reason what they wait for without a
	// question.
	left   int
	reason Reason
}

// roundRobinPart is the part of n questions that steps in turn get. Over the decisions it is
// the same part where each has a single one to give.
func (p *planner) roundRobinPart(n int) int {
	return (n + p.limits.Round%roundRobinQueryDivisor) / roundRobinQueryDivisor
}

// needsReservedLongQuery reports whether only a long question that is kept back would do for s.
func (p *planner) needsReservedLongQuery(s *Step) bool {
	return s.NeedsPermit && !s.Spec.Gang && p.reservedLongQueries > 0 && !p.mayQuery(s, p.limits.WorkersPerQuery)
}

// queryRoundRobin gives the questions that are left to the steps that wait for one.
//
// Failure guarded against: urgent steps that hardly any worker is permitted for ask on and
// on, and others learn of no worker beside an empty pool, the longer the larger it is.
func (p *planner) queryRoundRobin() {
	slices.SortStableFunc(p.queryWaiters, func(a, b queryWaiter) int { return compareQueryOrder(a.step, b.step) })
	for _, u := range p.queryWaiters {
		if p.blocked(u.step) {
			p.addWaiting(u.step, u.left, u.reason)
			continue
		}
		p.prepareRest(u.step, u.left)
	}
}

// compareQueryOrder puts steps that know of no worker first, since a first question tells
// most, and then those whose last one is longest ago.
func compareQueryOrder(a, b *Step) int {
	return cmp.Or(compareBools(len(a.Permits) > 0, len(b.Permits) > 0), cmp.Compare(a.LastQuery, b.LastQuery))
}
