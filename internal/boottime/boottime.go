// Package boottime reads a steady clock that also counts the time for which the machine is suspended.
// The clock of package time stands still meanwhile.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the origin of the clock where the system has none that counts suspensions.
var processStart = time.Now()

// Now returns the time since the machine booted.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(now.Nano())
}
