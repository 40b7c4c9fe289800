// Package maintenance decides which machines of a wave are cordoned and go down now.
// Decide is a function of a snapshot; it reads no clock and keeps nothing between
// calls. The caller commits each order before it sends it.
package maintenance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// drainGrace is how long a machine is given for its tasks to end by
	// themselves while the wave has time to spare: most tasks run for less.
	drainGrace = 4 * time.Second
	// orderMargin is kept for noticing that a machine is empty or back, for the
	// commit and for the order: a reading of the list takes up to a second.
	orderMargin = 1200 * time.Millisecond
	// stopTimeout is how long stops may take before a worker that doesn't answer is
	// taken down as it is.
	stopTimeout = 1500 * time.Millisecond
)

// Machine is a machine of a wave whose maintenance isn't over.
type Machine struct {
	ID string
	// Down says that its maintenance was ordered and it isn't back.
	Down bool
	// Up says that it may be ordered down.
	Up bool
	// Chosen says that it is cordoned, for CordonedFor by now.
	Cordoned    bool
	CordonedFor time.Duration
	// Empty says that no run may be alive there.
	Empty bool
	// EmptyIn is how long what runs there is expected to go on.
	EmptyIn time.Duration
	// Held says that a long-running task there can't be interrupted at present.
	Uninterruptible bool
}

// Wave is what a decision needs to know of a wave.
type Wave struct {
	// Remaining is the time left for the whole wave.
	Remaining time.Duration
	// Length is how long a machine is down.
	MachineDowntime time.Duration
	// MaxDown is how many machines may be down at the same time.
	MaxDown int
}

// Plan lists machines by ID.
type Plan struct {
	// Cordon are to be given nothing new from now on.
	Cordon []string
	// Stop are those whose runs are to be stopped now.
	Stop []string
	// Order are to go down now.
	TakeDown []string
}

// Decide plans for one wave. It takes as few machines as time allows at once, so
// that the others go on serving, and first those that are empty soonest.
func Decide(w Wave, machines []Machine) Plan {
	var plan Plan
	var waiting, cordoned []Machine
	down := 0
	for _, m := range machines {
		switch {
		case m.Down:
			down++
		case m.Cordoned:
			cordoned = append(cordoned, m)
		case m.Up:
			waiting = append(waiting, m)
		}
	}
	concurrent := concurrency(w, len(waiting)+len(cordoned))
	drainTimeout := w.drainTimeout(len(waiting)+len(cordoned), concurrent)
	for _, m := range cordoned {
		switch {
		case m.Empty, !m.Uninterruptible && m.CordonedFor > drainTimeout+stopTimeout:
			plan.TakeDown = append(plan.TakeDown, m.ID)
		case m.CordonedFor >= drainTimeout:
			plan.Stop = append(plan.Stop, m.ID)
		}
	}
	slices.SortFunc(waiting, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(a.EmptyIn, b.EmptyIn), cmp.Compare(a.ID, b.ID))
	})
	slots := min(max(concurrent-down-len(cordoned), 0), len(waiting))
	for _, m := range waiting[:slots] {
		plan.Cordon = append(plan.Cordon, m.ID)
	}
	return plan
}

// parallel is how many machines are taken at once so that n of them are through
// in time.
func concurrency(w Wave, n int) int {
	if w.Remaining <= 0 {
		return w.MaxDown
	}
	timePerMachine := w.MachineDowntime + orderMargin + drainGrace
	needed := int(math.Ceil(float64(n) * float64(timePerMachine) / float64(w.Remaining)))
	return min(max(needed, 1), w.MaxDown)
}

// patience is how long a machine may stay cordoned before its runs are stopped.
func (w Wave) drainTimeout(n, concurrent int) time.Duration {
	if n == 0 || concurrent == 0 {
		return 0
	}
	rounds := (n + concurrent - 1) / concurrent
	return max(w.Remaining/time.Duration(rounds)-w.MachineDowntime-orderMargin, 0)
}
