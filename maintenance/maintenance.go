// Package maintenance decides which machines of a maintenance wave to cordon and to take down.
// Decide is a pure function of a snapshot: it reads no clock and keeps no state between calls.
// The caller must commit each planned action before it sends the order for it.
package maintenance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// drainGrace is the time per machine that the plan allows for the tasks of a cordoned
	// machine to end on their own; most tasks run for less.
	drainGrace = 4 * time.Second
	// orderMargin is the time per machine that the plan allows for detecting that the machine
	// is empty or up again, for the commit and for the order. Reading the list of machines
	// takes up to 1 s.
	orderMargin = 1200 * time.Millisecond
	// stopTimeout is how long the plan waits for the runs on a machine to stop before it takes
	// the machine down. The runs of an unresponsive worker never stop.
	stopTimeout = 1500 * time.Millisecond
)

// Machine is a machine of a wave whose maintenance isn't complete.
type Machine struct {
	ID string
	// Down says that the machine's maintenance was ordered and that it isn't up again.
	Down bool
	// Up says that the machine is up and may be taken down.
	Up bool
	// Cordoned says that the machine is cordoned, and CordonedFor for how long.
	Cordoned    bool
	CordonedFor time.Duration
	// Empty says that no run on the machine can be alive.
	Empty bool
	// EmptyIn is the expected time until the runs on the machine have ended.
	EmptyIn time.Duration
	// Uninterruptible says that a long-running task on the machine can't be interrupted at
	// present.
	Uninterruptible bool
}

// Wave is the input of a decision about a wave.
type Wave struct {
	// Remaining is the time left for the whole wave; it is negative if the wave is late.
	Remaining time.Duration
	// MachineDowntime is how long a machine is down for its maintenance.
	MachineDowntime time.Duration
	// MaxDown is the maximum number of machines that are down at the same time.
	MaxDown int
}

// Plan lists the IDs of machines by the action to take now.
type Plan struct {
	// Cordon are the machines to cordon, so that they get no new runs.
	Cordon []string
	// Stop are the machines whose runs must be stopped.
	Stop []string
	// TakeDown are the machines to take down.
	TakeDown []string
}

// Decide plans the next actions for one wave. It cordons and takes down as few machines at the
// same time as the remaining time allows, so that the other machines keep serving, and begins
// with the machines that are expected to be empty first.
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
	cordonCount := min(max(concurrent-down-len(cordoned), 0), len(waiting))
	for _, m := range waiting[:cordonCount] {
		plan.Cordon = append(plan.Cordon, m.ID)
	}
	return plan
}

// concurrency returns how many machines must be cordoned or down at the same time so that the
// maintenance of n machines is complete in the remaining time; w.MaxDown at most.
func concurrency(w Wave, n int) int {
	if w.Remaining <= 0 {
		return w.MaxDown
	}
	timePerMachine := w.MachineDowntime + orderMargin + drainGrace
	needed := math.Ceil(float64(n) * float64(timePerMachine) / float64(w.Remaining))
	if needed >= float64(w.MaxDown) {
		return w.MaxDown
	}
	return max(int(needed), 1)
}

// drainTimeout returns how long a machine may stay cordoned before its runs are stopped, if n
// machines remain and concurrent ones are cordoned or down at the same time.
func (w Wave) drainTimeout(n, concurrent int) time.Duration {
	if n == 0 || concurrent == 0 {
		return 0
	}
	rounds := (n-1)/concurrent + 1
	return max(w.Remaining/time.Duration(rounds)-w.MachineDowntime-orderMargin, 0)
}
