package replica

const (
	// gapWindowTicks is the least number of ticks for which the widest gap between
	// two messages of a leader is remembered: 200 ticks of 50 ms are 10 s.
	gapWindowTicks = 200
	// gapFactor times the widest gap, plus one tick, is the least election timeout.
	gapFactor = 2
	// maxTimeoutFactor bounds the least election timeout, in multiples of
	// Config.ElectionTicks.
	maxTimeoutFactor = 4
)

// heartbeatGaps holds the widest gaps between two messages of one leader, in ticks:
// in the current window and in the previous one.
type heartbeatGaps struct {
	windowStartTick        uint64
	widest, previousWidest int
}

// record adds the gap before a message of the leader, in ticks.
func (g *heartbeatGaps) record(gap int, now uint64) {
	if now-g.windowStartTick >= gapWindowTicks {
		g.windowStartTick, g.previousWidest, g.widest = now, g.widest, 0
	}
	g.widest = max(g.widest, gap)
}

// minElectionTimeoutTicks returns the least election timeout in ticks. The timeout is longer
// than the recent gaps after which the leader sent messages again, but at most
// maxTimeoutFactor times Config.ElectionTicks.
//
// If the timeout ignored these gaps, a leader under load that sends its heartbeats late
// would be replaced. The new leader has the most work right after its election, so its
// heartbeats would be late even sooner, and elections would never stop. The time for
// which votes are refused isn't extended, so no leader's lease depends on this value.
func (c *Core) minElectionTimeoutTicks() int {
	base := c.cfg.ElectionTicks
	widest := max(c.heartbeatGaps.widest, c.heartbeatGaps.previousWidest)
	return min(max(base, gapFactor*widest+1), maxTimeoutFactor*base)
}
