package control

import (
	"fmt"
	"time"
)

// searchTick is the time between two looks at the day.
const searchTick = 25 * time.Millisecond

// longestSpell bounds a disturbance of the log or of a worker that comes back.
const longestSpell = 1500 * time.Millisecond

// disturbed lets traffic come in and disturbances happen, and returns what was found
// meanwhile.
func (x *search) disturbed() []string {
	begun := time.Now()
	next := begun.Add(between(x.random, 0, x.drawn.spells))
	for time.Since(begun) < x.drawn.disturbed {
		time.Sleep(searchTick)
		x.traffic(time.Since(begun))
		if time.Now().After(next) {
			x.disturb()
			next = time.Now().Add(between(x.random, 0, 2*x.drawn.spells))
		}
		if found := x.always(); len(found) > 0 {
			return found
		}
	}
	return nil
}

// traffic hands in as many jobs as the load allows for, no more than the adviser can
// answer for in twice the time.
func (x *search) traffic(age time.Duration) {
	load := x.drawn.load
	if age >= x.drawn.burstAt && age < x.drawn.burstAt+x.drawn.burstFor {
		load = max(load, x.drawn.burst)
	}
	tick := float64(searchTick / time.Millisecond)
	x.work += load * tick * float64(x.drawn.workers) * float64(x.drawn.capacity.MilliCPU)
	x.asks += max(load, 1) * tick * float64(x.drawn.lanes)
	for x.work > 0 && x.asks > 0 {
		queue, steps := &x.drawn.queues[x.random.IntN(len(x.drawn.queues))], x.drawn.drawJob(x.random)
		x.work -= workOf(steps)
		for i := range steps {
			x.asks -= float64(x.drawn.askTime(queue, &steps[i]) / time.Millisecond)
		}
		x.submit(queue, steps)
	}
}

// disturb makes one fault.
func (x *search) disturb() {
	kind := x.random.IntN(15)
	spell := between(x.random, 30*time.Millisecond, longestSpell)
	until := time.Now().Add(spell)
	x.lines.say("disturbance %d for %v", kind, spell)
	switch kind {
	case 0, 1:
		x.crashOne()
	case 2:
		x.cutSome(until)
	case 3:
		x.each(func(w *searchWorker) { w.sickUntil = until })
	case 4, 5:
		x.each(func(w *searchWorker) { w.partialUntil = until })
	case 6, 7:
		x.changeLeader()
	case 12:
		x.adviser.cut(fmt.Sprint("lane", x.random.IntN(x.drawn.lanes)), until)
	case 14:
		// Around the length of a lease: what runs there goes on, or has lapsed.
		lease := x.drawn.lease
		x.cutSome(time.Now().Add(between(x.random, lease*2/5, lease*13/10)))
	case 13:
		if x.drawn.shrinks {
			x.shrinkSome()
		}
	default:
		x.disturbLog(kind, until)
	}
}

func (x *search) disturbLog(kind int, until time.Time) {
	x.store.mu.Lock()
	defer x.store.mu.Unlock()
	switch kind {
	case 8:
		x.store.slowUntil = until
	case 9:
		x.store.heldUntil = until
	default:
		x.store.fullUntil = until
	}
}

// each changes one in three of the workers.
func (x *search) each(change func(*searchWorker)) {
	x.workers.mu.Lock()
	defer x.workers.mu.Unlock()
	for _, w := range x.workers.all {
		if oneIn(x.random, 3) {
			change(w)
		}
	}
}

// cutSome cuts one worker off, or a third of them.
func (x *search) cutSome(until time.Time) {
	if oneIn(x.random, 2) {
		x.each(func(w *searchWorker) { w.cutUntil = until })
		return
	}
	x.workers.mu.Lock()
	defer x.workers.mu.Unlock()
	x.workers.all[x.random.IntN(len(x.workers.all))].cutUntil = until
}

// neverBack is one in how many crashed workers stays away.
const neverBack = 2

// crashOne ends a worker, which comes back under another incarnation or never.
func (x *search) crashOne() {
	away, back := between(x.random, 50*time.Millisecond, 4*time.Second), !oneIn(x.random, neverBack)
	x.workers.mu.Lock()
	defer x.workers.mu.Unlock()
	w := x.workers.all[x.random.IntN(len(x.workers.all))]
	if w.gone {
		return
	}
	x.workers.crash(w)
	if back {
		x.workers.comeBack(w, away)
	}
}
