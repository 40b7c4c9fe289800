package replica

// A witness can be the only one left that holds the latest committed entries:
// the leader and the witness acknowledged them, then the leader died. The
// witness refuses to vote for a log that lacks them and never leads itself, so
// the group would stand still with a majority alive. It therefore hands its
// log over to the candidate that it refuses.
//
// Taking over the log of a member that is ahead loses nothing committed: if
// this member acknowledged a committed entry of term t, then its last term is
// t or later. A log ahead of it ends in the same term and is longer (both are
// parts of one leader's log, so nothing conflicts), or in a later term, whose
// leader had the entry. Nothing taken over is acknowledged to anyone.

// addWitnessLogEnd adds the end of a witness's log to its refusal.
func (c *Core) addWitnessLogEnd(request Message, reply *Message) {
	self, ok := c.members.find(c.cfg.ID)
	if !ok || !self.Witness || c.role == Recovering || c.log.upToDate(request.Index, request.LogTerm) {
		return
	}
	reply.Index, reply.LogTerm = c.log.last(), c.log.lastTerm()
}

// wantsLog reports whether this member, without a leader, should take over a
// log that ends at (index, term).
func (c *Core) wantsLog(index, term uint64) bool {
	leaderless := c.role != Leader && c.leader == ""
	return leaderless && c.newSnapshot == nil && c.log.isBehind(index, term)
}

// handover is the question to a witness that is open, if any. One at a time:
// each refusal of each round would begin another one otherwise.
type logFetch struct {
	pending  bool
	prev     uint64
	sentTick uint64
}

// startLogFetch asks a witness that is ahead for its log, unless a question is
// open that may still be answered.
func (c *Core) startLogFetch(witness string) {
	if c.logFetch.pending && c.now-c.logFetch.sentTick < uint64(c.cfg.ElectionTicks) {
		return
	}
	c.requestLog(witness, c.log.last())
}

// fetch asks a witness for what follows the entry at prev.
func (c *Core) requestLog(witness string, prev uint64) {
	prev = max(prev, c.log.prevIndex)
	term, _ := c.log.term(prev)
	c.logFetch = logFetch{pending: true, prev: prev, sentTick: c.now}
	c.send(Message{Type: MsgFetch, To: witness, Term: c.term, Index: prev, LogTerm: term})
}

// onFetch answers with entries, a snapshot, or where the logs may match. The
// reply names the end of the own log in Tick (term) and Read (index), so that
// the receiver can judge again whether it is behind.
func (c *Core) onFetch(m Message) {
	if c.role == Recovering || c.role == Leader {
		return
	}
	reply := Message{Type: MsgFetchReply, To: m.From, Term: c.term, Index: m.Index, LogTerm: m.LogTerm}
	reply.Tick, reply.ReadRound = c.log.lastTerm(), c.log.last()
	switch {
	case c.log.matches(m.Index, m.LogTerm):
		last := min(c.log.last(), m.Index+uint64(c.cfg.MaxEntriesPerMessage))
		reply.pack(c.log.slice(m.Index+1, last))
	case m.Index <= c.log.prevIndex:
		s := c.snapshot
		reply.Snapshot = &s
	default:
		reply.Reject = true
		reply.RejectHint = c.log.conflictHint(m.Index)
	}
	c.send(reply)
}

// onFetchReply takes the entries over and asks for the rest. It goes on from
// the last entry that matched: own entries after it may still contradict the
// witness's.
func (c *Core) onFetchReply(m Message) {
	if !c.logFetch.pending || c.logFetch.prev != m.Index {
		return
	}
	c.logFetch = logFetch{}
	if !c.wantsLog(m.ReadRound, m.Tick) {
		return
	}
	match := uint64(0)
	switch {
	case m.Reject:
		match = min(m.RejectHint, c.log.last())
	case m.Snapshot != nil:
		match = c.installFetchedSnapshot(*m.Snapshot)
	default:
		match, _ = c.appendMissing(m)
	}
	if c.wantsLog(m.ReadRound, m.Tick) {
		c.requestLog(m.From, match)
	}
}

// installFetchedSnapshot returns the last index that is sure to match afterwards.
func (c *Core) installFetchedSnapshot(s Snapshot) uint64 {
	if s.Index > c.commit && !c.log.matches(s.Index, s.Term) && checkMembers(s.Members) == nil {
		c.install(s)
	}
	return max(c.commit, min(s.Index, c.log.last()))
}
