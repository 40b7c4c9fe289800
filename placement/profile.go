package placement

import (
	"time"

	"github.com/tidwall/btree"
)

// profileStepSeconds is the width of the steps of a profile. Expected ends are
// rounded up to a step, so the usage of a task is overstated by less than one
// step.
const profileStepSeconds = 4

// profile is the usage of running tasks on the workers that count for admission, by
// expected end. It is updated with every start and end of a task, so that an
// admission check visits its steps instead of all tasks.
type profile struct {
	// steps holds the cells by profileKey, and need is the sum of their needs.
	steps btree.Map[int64, *profileCell]
	need  Resources
	// firstMoment is the sum over all tasks of need times expected end, in seconds
	// after origin (Unix seconds).
	firstMoment resourceSeconds
	origin      int64
}

// profileCell is the usage of all tasks whose expected ends round up to the
// same step.
type profileCell struct {
	need  Resources
	tasks int
}

// profileKey returns the step of an expected end, in Unix seconds.
func profileKey(end time.Time) int64 {
	return (end.Unix()/profileStepSeconds + 1) * profileStepSeconds
}

// add adds (sign 1) or removes (sign -1) a task.
func (p *profile) add(t *placedTask, sign int64) {
	key := profileKey(t.expectedEnd)
	if p.origin == 0 {
		p.origin = key
	}
	cell, found := p.steps.Get(key)
	if !found {
		cell = &profileCell{}
		p.steps.Set(key, cell)
	}
	cell.need = cell.need.plus(t.Need.times(sign))
	cell.tasks += int(sign)
	p.need = p.need.plus(t.Need.times(sign))
	p.firstMoment = p.firstMoment.plus(resourceSecondsOf(t.Need, float64(sign*(key-p.origin))))
	if cell.tasks == 0 {
		p.steps.Delete(key)
	}
	if p.steps.Len() == 0 {
		p.firstMoment = resourceSeconds{}
	}
}

// upperBound is the work that running tasks will still use, at most. Each task counts with
// overdueRemaining in addition to the time until its expected end (zero if that has passed),
// so the result is never below that of a profileIterator. Only the steps in the past are
// visited.
func (p *profile) upperBound(now time.Time) resourceSeconds {
	elapsed := float64(now.Unix()-p.origin) - overdueRemaining.Seconds()
	left := p.firstMoment.plus(resourceSecondsOf(p.need, -elapsed))
	p.steps.Scan(func(key int64, cell *profileCell) bool {
		if key >= now.Unix() {
			return false
		}
		left = left.plus(resourceSecondsOf(cell.need, float64(now.Unix()-key)))
		return true
	})
	return left
}

// profileIterator computes the work in a profile up to increasing times.
type profileIterator struct {
	steps   btree.MapIter[int64, *profileCell]
	hasNext bool
	// now is the time from which the work is counted, in Unix seconds.
	now float64
	// finished is the work of the tasks that end by the time of the last call of
	// workUntil, and active the usage of all other tasks.
	finished resourceSeconds
	active   Resources
}

// iterator returns a profileIterator that counts the work from now on.
func (p *profile) iterator(now time.Time) *profileIterator {
	it := &profileIterator{steps: p.steps.Iter(), active: p.need, now: float64(now.UnixMilli()) / 1000}
	it.hasNext = it.steps.First()
	return it
}

// workUntil returns the work that running tasks do from it.now until the given number
// of seconds later. Calls must pass increasing values.
func (it *profileIterator) workUntil(seconds float64) resourceSeconds {
	for it.hasNext {
		cell := it.steps.Value()
		left := max(float64(it.steps.Key())-it.now, overdueRemaining.Seconds())
		if left > seconds {
			break
		}
		it.finished = it.finished.plus(resourceSecondsOf(cell.need, left))
		it.active = it.active.minus(cell.need)
		it.hasNext = it.steps.Next()
	}
	return it.finished.plus(resourceSecondsOf(it.active, seconds))
}
