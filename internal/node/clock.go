package node

import (
	"time"

	"github.com/bilberryferry/bilberryferry/internal/boottime"
)

// steadyNow returns a clock that also counts the time for which the machine is suspended. With the clock
// of package time, a leader would trust its lease after a suspension in which another leader was elected.
func steadyNow() func() time.Time {
	origin, bootOrigin := time.Now(), boottime.Now()
	return func() time.Time { return origin.Add(boottime.Now() - bootOrigin) }
}

// clock converts elapsed time into ticks. It doesn't count timer events: a process gets no
// timer events while it is paused, and a leader that missed its ticks would still trust a
// lease that expired long ago.
type clock struct {
	start    time.Time
	interval time.Duration
	ticks    uint64
}

func newClock(now time.Time, interval time.Duration) clock {
	return clock{start: now, interval: interval}
}

// due returns the number of ticks since the last call.
func (c *clock) due(now time.Time) uint64 {
	total := uint64(now.Sub(c.start) / c.interval)
	n := total - c.ticks
	c.ticks = total
	return n
}

// statusExpiry returns when the status of the last tick expires: half an interval after
// the next tick is due. This is early enough, because the core's lease expires at least
// two ticks before another member may lead.
func (c *clock) statusExpiry() time.Time {
	next := c.start.Add(time.Duration(c.ticks+1) * c.interval)
	return next.Add(c.interval / 2)
}
