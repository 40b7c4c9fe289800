package dispatch

import (
	"cmp"
	"slices"
)

// askShare is the part of the questions that goes to steps in turn, as a divisor.
const askShare = 3

// unasked is a step that waits for a question.
type unasked struct {
	step *Step
	// left is how many of its tasks weren't started, reason what they wait for without a
	// question.
	left   int
	reason Reason
}

// forTurns is the part of n questions that steps in turn get. Over the decisions it is
// the same part where each has a single one to give.
func (p *planner) forTurns(n int) int { return (n + p.limits.Turn%askShare) / askShare }

// mayAskLater reports whether only a long question that is kept back would do for s.
func (p *planner) mayAskLater(s *Step) bool {
	return s.NeedsPermit && !s.Spec.Gang && p.keptLong > 0 && !p.mayAsk(s, p.limits.AskWorkers)
}

// askInTurn gives the questions that are left to the steps that wait for one.
//
// Failure guarded against: urgent steps that hardly any worker is permitted for ask on and
// on, and others learn of no worker beside an empty pool, the longer the larger it is.
func (p *planner) askInTurn() {
	slices.SortStableFunc(p.unasked, func(a, b unasked) int { return compareTurns(a.step, b.step) })
	for _, u := range p.unasked {
		if p.mustWait(u.step) {
			p.wait(u.step, u.left, u.reason)
			continue
		}
		p.seek(u.step, u.left)
	}
}

// compareTurns puts steps that know of no worker first, since a first question tells
// most, and then those whose last one is longest ago.
func compareTurns(a, b *Step) int {
	return cmp.Or(compareBools(len(a.Permits) > 0, len(b.Permits) > 0), cmp.Compare(a.Asked, b.Asked))
}
