package control

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendTolerance is by how much the two clocks may seem to differ because they
// aren't read at the same moment.
const suspendTolerance = 100 * time.Millisecond

// suspendedTime returns how long the machine has been suspended since it started:
// one of the two steady clocks counts that time and the other doesn't.
func suspendedTime() (time.Duration, error) {
	var boot, steady unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano() - steady.Nano()), nil
}

// suspended reports whether the machine was suspended during this tenure.
//
// Failure guarded against: the machine of a leader is suspended for seconds. Its
// steady clock doesn't count them, so it takes its right to decide for valid
// still, while another leader has taken over, and prolongs the lease of a worker
// that the other one can't reach and waits for.
func (t *leaderTerm) wasSuspended() bool {
	slept, err := t.suspendedTime()
	if err != nil {
		// Without the clock nothing shows a suspension; the log ends the tenure then.
		return false
	}
	return slept-t.suspendedBefore > suspendTolerance
}
