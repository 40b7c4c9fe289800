package placement

import (
	"time"

	"github.com/tidwall/btree"
)

// profileStepSeconds is the width in seconds of the steps of a profile. Ends are
// rounded up to a step, which overstates what runs by less than one step each.
const profileStepSeconds = 4

// profile is what the running tasks on open workers hold, by expected end. It
// is kept with every start and end, so that admission only walks its steps.
type profile struct {
	steps btree.Map[int64, *profileCell]
	need  Resources
	// moment is the sum of need times end, in seconds after the origin.
	firstMoment resourceSeconds
	origin      int64
}

type profileCell struct {
	need  Resources
	tasks int
}

func profileKey(end time.Time) int64 {
	return (end.Unix()/profileStepSeconds + 1) * profileStepSeconds
}

// add counts a task in (sign 1) or out (sign -1).
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

// upperBound is about all that the running tasks still take. Tasks that have run
// longer than expected count as if they took the tail from now on, so it is
// never less than what walk finds.
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

// profileWalk reads a profile at growing times.
type profileWalk struct {
	steps    btree.MapIter[int64, *profileCell]
	more     bool
	now      float64
	finished resourceSeconds
	active   Resources
}

func (p *profile) walk(now time.Time) *profileWalk {
	w := &profileWalk{steps: p.steps.Iter(), active: p.need, now: float64(now.UnixMilli()) / 1000}
	w.more = w.steps.First()
	return w
}

// until is the work that running tasks take within the next seconds; it may
// only be asked for growing times.
func (w *profileWalk) until(seconds float64) resourceSeconds {
	for w.more {
		cell := w.steps.Value()
		left := max(float64(w.steps.Key())-w.now, overdueRemaining.Seconds())
		if left > seconds {
			break
		}
		w.finished = w.finished.plus(resourceSecondsOf(cell.need, left))
		w.active = w.active.minus(cell.need)
		w.more = w.steps.Next()
	}
	return w.finished.plus(resourceSecondsOf(w.active, seconds))
}
