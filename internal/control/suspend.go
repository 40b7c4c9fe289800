package control

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendTolerance is how much CLOCK_BOOTTIME and CLOCK_MONOTONIC may seem to diverge
// because they aren't read at the same moment.
const suspendTolerance = 100 * time.Millisecond

// suspendedTime returns how long the machine has been suspended since it booted:
// CLOCK_BOOTTIME counts that time and CLOCK_MONOTONIC doesn't.
func suspendedTime() (time.Duration, error) {
	var boot, monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), nil
}

// endIfSuspended ends the leader term if the machine was suspended during it, and reports whether
// it was. It is called before each order that extends a lease.
func (t *leaderTerm) endIfSuspended() bool {
	if !t.wasSuspended() {
		return false
	}
	t.logger.Log("event", "tenure", "outcome", "given up", "cause", "the machine was suspended")
	t.end()
	return true
}

// wasSuspended reports whether the machine was suspended during this leader term.
//
// The monotonic clock stands still during a suspension. After a suspension of some
// seconds, a leader still considers its right to decide valid although another leader has
// taken over. It would then extend the lease of a worker that the new leader can't reach,
// although the new leader waits for that lease to expire.
func (t *leaderTerm) wasSuspended() bool {
	suspended, err := t.suspendedTime()
	if err != nil {
		// Without this clock a suspension isn't detected. The log still ends the leader
		// term when it learns of the new leader.
		return false
	}
	return suspended-t.suspendedBefore > suspendTolerance
}
