package node

import "time"

// clock turns elapsed time into ticks. Ticks are counted from the time that
// has passed and not from a timer's events: a process that was paused gets no
// events for the pause, and a leader that missed its ticks would still believe
// in a lease that ended long ago.
type clock struct {
	start    time.Time
	interval time.Duration
	ticks    uint64
}

func newClock(now time.Time, interval time.Duration) clock {
	return clock{start: now, interval: interval}
}

// due returns how many ticks have come due since the last call.
func (c *clock) due(now time.Time) uint64 {
	total := uint64(now.Sub(c.start) / c.interval)
	n := total - c.ticks
	c.ticks = total
	return n
}

// lapses returns when what the last tick told is no longer to be relied on:
// half an interval after the next tick is due. The core's lease ends at least
// two ticks before another member may lead.
func (c *clock) statusExpiry() time.Time {
	next := c.start.Add(time.Duration(c.ticks+1) * c.interval)
	return next.Add(c.interval / 2)
}
