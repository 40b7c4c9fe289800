package replica

const (
	// gapTicks is for how long the widest gap between two signs of life of a leader
	// is remembered at least: 200 ticks of 50 ms are 10 s.
	gapTicks = 200
	// gapFactor times the widest gap seen, and one tick, a member waits before it
	// stands for election.
	gapFactor = 2
	// mostPatience bounds the wait, in election timeouts.
	mostPatience = 4
)

// gaps are the widest gaps between two signs of life of one leader, in ticks: in the
// span under way and in the one before.
type gaps struct {
	began             uint64
	widest, wasWidest int
}

// note takes in that a leader was heard again after gap ticks.
func (g *gaps) note(gap int, now uint64) {
	if now-g.began >= gapTicks {
		g.began, g.wasWidest, g.widest = now, g.widest, 0
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
func (c *Core) patience() int {
	base := c.cfg.ElectionTicks
	widest := max(c.gaps.widest, c.gaps.wasWidest)
	return min(max(base, gapFactor*widest+1), mostPatience*base)
}
