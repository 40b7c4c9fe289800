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

// heartbeatGaps holds the widest gaps between two messages of one leader, or between two replies of a
// majority to it, in ticks: in the current window and in the previous one.
type heartbeatGaps struct {
	windowStartTick        uint64
	widest, previousWidest int
	// contacts holds the last contact of each leader.
	contacts map[string]leaderContact
	// steppedDownTerm is the term in which this member led until it missed the replies of a majority,
	// 0 for none. lastQuorumTick is when it had them last.
	steppedDownTerm, lastQuorumTick uint64
}

// leaderContact is a message from a leader: the term that it led and the tick of its arrival.
type leaderContact struct{ term, tick uint64 }

// record adds the gap before a message of the leader, in ticks.
func (g *heartbeatGaps) record(gap int, now uint64) {
	if now-g.windowStartTick >= gapWindowTicks {
		g.windowStartTick, g.previousWidest, g.widest = now, g.widest, 0
	}
	g.widest = max(g.widest, gap)
}

// recordContact records a message from the leader of the current term, or from an earlier leader that has
// not heard of its successor. The gap since its last message of the same term is recorded even if this member
// has given the leader up meanwhile: a leader that is heard of again was late, not lost. Longer gaps than any
// election timeout don't count; after these the leader was lost. Nor does the time between two terms of
// one leader, in which it had no reason to send.
//
// If such gaps didn't count, members would give up each leader that is later than they have seen a leader be.
// The group would never learn how late its leaders are.
func (c *Core) recordContact(leader string, term uint64) {
	g := &c.heartbeatGaps
	if last, ok := g.contacts[leader]; ok && last.term == term {
		c.recordGap(last.tick)
	}
	if g.contacts == nil {
		g.contacts = map[string]leaderContact{}
	}
	g.contacts[leader] = leaderContact{term: term, tick: c.now}
}

// recordGap records the gap since a tick if a late member can have caused it.
func (c *Core) recordGap(since uint64) {
	if gap := c.now - since; gap <= uint64(maxTimeoutFactor*c.cfg.ElectionTicks) {
		c.heartbeatGaps.record(int(gap), c.now)
	}
}

// recordQuorum records that a majority has replied to this leader.
func (c *Core) recordQuorum() {
	ls := &c.leaderState
	if quorum := c.quorumAckTick(); quorum > ls.quorumTick {
		c.recordGap(max(ls.quorumTick, ls.electedTick))
		ls.quorumTick = quorum
	}
}

// recordStepDown records that this leader steps down because a majority doesn't reply.
func (c *Core) recordStepDown() {
	c.heartbeatGaps.steppedDownTerm = c.term
	c.heartbeatGaps.lastQuorumTick = max(c.leaderState.quorumTick, c.leaderState.electedTick)
}

// recordLateReply records a reply that arrives after this member has stepped down for want of it.
func (c *Core) recordLateReply() {
	if g := &c.heartbeatGaps; g.steppedDownTerm == c.term {
		c.recordGap(g.lastQuorumTick)
		g.steppedDownTerm = 0
	}
}

// minElectionTimeoutTicks returns the least election timeout in ticks. The timeout is longer
// than the recent gaps after which a leader sent messages again, but at most
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
