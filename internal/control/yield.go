package control

import "time"

// maxUninterruptedPlanning is how long a decision plans before other goroutines get their turn.
// The runtime interrupts a goroutine only after 10 ms. With a long queue, each call and each report
// would wait that long several times on the leader's only processor, and the delay would make the
// gate of package overload refuse calls that don't cause it.
const maxUninterruptedPlanning = 2 * time.Millisecond

// yielder lets other goroutines run during a decision.
type yielder struct {
	now       func() time.Time
	gosched   func()
	runningAt time.Time
	// yielded is the time that others had.
	yielded time.Duration
}

// newYielder returns a yielder for a decision that begins now. gosched lets other goroutines run.
func newYielder(now func() time.Time, gosched func()) *yielder {
	return &yielder{now: now, gosched: gosched, runningAt: now()}
}

// yield lets other goroutines run if none could for maxUninterruptedPlanning.
func (y *yielder) yield() {
	if y.now().Sub(y.runningAt) < maxUninterruptedPlanning {
		return
	}
	before := y.now()
	y.gosched()
	y.runningAt = y.now()
	y.yielded += y.runningAt.Sub(before)
}
