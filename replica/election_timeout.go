package replica

const (
	// gapWindowTicks is for how long the widest gap between two signs of life of a leader
	// is remembered at least: 200 ticks of 50 ms are 10 s.
	gapWindowTicks = 200
	// gapFactor times the widest gap seen, and one tick, a member waits before it
	// stands for election.
	gapFactor = 2
	// maxTimeoutFactor bounds the wait, in election timeouts.
	maxTimeoutFactor = 4
)

// gaps are the widest gaps between two signs of life of one leader, in ticks: in the
// span under way and in the one before.
type heartbeatGaps struct {
	windowStart            uint64
	widest, previousWidest int
}

// note takes in that a leader was heard again after gap ticks.
func (g *heartbeatGaps) record(gap int, now uint64) {
	if now-g.windowStart >= gapWindowTicks {
		g.windowStart, g.previousWidest, g.widest = now, g.widest, 0
	}
	g.widest = max(g.widest, gap)
}

// patience is how many ticks without a sign of life let this member stand for
// election: more than the gaps that it has seen and that the leader outlived.
//
// Failure guarded against: a leader that has much to do sends its heartbeats late.
// The others elect a new one, whose first work is the longest of all, so that it is
// late sooner, and so on without end. The
// refusal of votes isn't prolonged by it, so no leader's lease counts on it.
func (c *Core) minElectionTimeout() int {
	base := c.cfg.ElectionTicks
	widest := max(c.heartbeatGaps.widest, c.heartbeatGaps.previousWidest)
	return min(max(base, gapFactor*widest+1), maxTimeoutFactor*base)
}
