package replica

// A witness can be the only live member that holds the latest committed entries: the
// leader and the witness acknowledged them, then the leader failed. The witness refuses
// to vote for a log that lacks them and never leads itself, so the group would have no
// leader although a majority is alive. The refused candidate therefore fetches the log
// of the witness.
//
// Fetching the log of a member that is ahead loses no committed entry. If this member
// acknowledged a committed entry of term t, its last term is t or later. A log ahead of
// it either ends in the same term and is longer (both are parts of one leader's log, so
// they don't conflict), or ends in a later term, whose leader had the entry. Fetched
// entries aren't acknowledged to any member.

// addWitnessLogEnd adds the end of this witness's log to its rejection of a vote
// request when the requester's log lacks entries.
func (c *Core) addWitnessLogEnd(request Message, reply *Message) {
	self, ok := c.members.find(c.cfg.ID)
	if !ok || !self.Witness || c.role == Recovering || c.log.upToDate(request.Index, request.LogTerm) {
		return
	}
	reply.Index, reply.LogTerm = c.log.last(), c.log.lastTerm()
}

// wantsLog reports whether this member knows no leader and lacks entries of a log
// that ends at (index, term).
func (c *Core) wantsLog(index, term uint64) bool {
	leaderless := c.role != Leader && c.leader == ""
	return leaderless && c.newSnapshot == nil && c.log.isBehind(index, term)
}

// logFetch is the pending log request to a witness, if any. There is one at a time:
// otherwise each rejection in each round would start another request.
type logFetch struct {
	pending   bool
	prevIndex uint64
	sentTick  uint64
}

// startLogFetch requests the log of a witness that is ahead, unless an earlier
// request is pending and not yet older than an election timeout.
func (c *Core) startLogFetch(witness string) {
	if c.logFetch.pending && c.now-c.logFetch.sentTick < uint64(c.cfg.ElectionTicks) {
		return
	}
	c.requestLog(witness, c.log.last())
}

// requestLog requests the entries after prev from a witness.
func (c *Core) requestLog(witness string, prev uint64) {
	prev = max(prev, c.log.prevIndex)
	term, _ := c.log.term(prev)
	c.logFetch = logFetch{pending: true, prevIndex: prev, sentTick: c.now}
	c.send(Message{Type: MsgFetch, To: witness, Term: c.term, Index: prev, LogTerm: term})
}

// onFetch replies with entries, a snapshot, or an index at which the logs may match.
// The reply carries the end of this member's log in Tick (the term) and ReadRound
// (the index), so that the requester can tell whether it still lacks entries.
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

// onFetchReply appends the fetched entries and requests the remaining ones. It continues
// from the last entry that matched, because this member's entries after it may still
// conflict with the witness's.
func (c *Core) onFetchReply(m Message) {
	if !c.logFetch.pending || c.logFetch.prevIndex != m.Index {
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

// installFetchedSnapshot installs a snapshot that the log lacks and returns the last
// index that is known to match afterwards.
func (c *Core) installFetchedSnapshot(s Snapshot) uint64 {
	if s.Index > c.commit && !c.log.matches(s.Index, s.Term) && checkMembers(s.Members) == nil {
		c.install(s)
	}
	return max(c.commit, min(s.Index, c.log.last()))
}
