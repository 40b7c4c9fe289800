package replica

import "slices"

// learnersPerTick is how many learners get their entries at the same tick. A leader thus
// sends learners a bounded number of messages a tick, however many learners and proposals
// there are.
const learnersPerTick = 25

// flushAppends queues the entries that each member lacks, up to MaxInflight appends in
// flight, and the heartbeats that are due. It runs once for each Ready
// rather than for each proposal, so that all proposals since the last Ready share one
// append (group commit).
//
// No commit and no read waits for a learner, so the entries of a whole tick share one append
// to it. Without that, a group of five voters and twenty learners sends five times the
// messages for each commit.
func (c *Core) flushAppends() {
	if c.role != Leader {
		return
	}
	s := &c.leaderState
	learner := 0
	for _, m := range c.members.current() {
		p := s.progress[m.ID]
		switch {
		case m.ID == c.cfg.ID:
		case m.Learner:
			p.heartbeatDue = p.heartbeatDue || s.heartbeatDue
			if c.learnerDue(learner) {
				c.replicateTo(m.ID, p, p.heartbeatDue)
				p.heartbeatDue = false
			}
			learner++
		default:
			c.replicateTo(m.ID, p, s.heartbeatDue || s.reads.due)
		}
	}
	s.learnersDue, s.heartbeatDue, s.reads.due = false, false, false
}

// learnerDue reports whether the learner with an index among the learners gets its entries
// now. Learners beyond learnersPerTick take turns.
func (c *Core) learnerDue(index int) bool {
	learners := len(c.members.current()) - len(c.members.currentVoters())
	groups := uint64((learners + learnersPerTick - 1) / learnersPerTick)
	return c.leaderState.learnersDue && uint64(index)%groups == c.now%groups
}

// replicateTo queues the appends, heartbeat or snapshot for one member.
func (c *Core) replicateTo(id string, p *progress, heartbeat bool) {
	switch p.flow {
	case probing:
		if heartbeat || !p.probeSent {
			p.probeSent = true
			c.sendEntries(id, p)
		}
	case streaming:
		sent := c.stream(id, p)
		if heartbeat && !sent {
			c.sendHeartbeat(id, p.next-1)
		}
	case snapshotting:
		if heartbeat {
			c.sendHeartbeat(id, 0)
		}
		c.resendSnapshot(id, p)
	}
}

// stream queues appends up to MaxInflight and reports whether it queued any.
func (c *Core) stream(id string, p *progress) bool {
	sent := false
	for p.flow == streaming && p.next <= c.log.last() && len(p.inflight) < c.cfg.MaxInflight {
		last := c.sendEntries(id, p)
		sent = true
		if p.flow == streaming {
			p.next = last + 1
			p.inflight = append(p.inflight, last)
		}
	}
	return sent
}

// sendEntries sends the entries from p.next on and returns the last index sent. It
// sends the snapshot and returns 0 when the log no longer holds the entry before
// p.next.
func (c *Core) sendEntries(id string, p *progress) uint64 {
	prev := p.next - 1
	term, ok := c.log.term(prev)
	if !ok {
		c.sendSnapshot(id, p)
		return 0
	}
	last := min(c.log.last(), prev+uint64(c.cfg.MaxEntriesPerMessage))
	m := c.appendMessage(id)
	m.Index, m.LogTerm = prev, term
	m.pack(c.log.slice(p.next, last))
	c.send(m)
	return last
}

// sendHeartbeat sends an append without entries after the entry prev. A heartbeat with
// prev zero matches any log and serves only to keep up the contact with the member.
func (c *Core) sendHeartbeat(id string, prev uint64) {
	m := c.appendMessage(id)
	m.Index = prev
	m.LogTerm, _ = c.log.term(prev)
	c.send(m)
}

func (c *Core) appendMessage(id string) Message {
	return Message{
		Type: MsgAppend, To: id, Term: c.term, Commit: c.commit,
		Tick: c.now, ReadRound: c.leaderState.reads.round,
	}
}

// sendSnapshot sends the current snapshot and pauses appends until it is installed.
func (c *Core) sendSnapshot(id string, p *progress) {
	p.flow = snapshotting
	p.inflight = nil
	p.snapshotIndex = c.snapshot.Index
	p.snapshotTick = c.now
	s := c.snapshot
	c.send(Message{Type: MsgSnapshot, To: id, Term: c.term, Tick: c.now, ReadRound: c.leaderState.reads.round, Snapshot: &s})
}

// resendSnapshot sends the snapshot again after an election timeout, in case it was
// lost. It sends nothing to a member that didn't reply within that time.
func (c *Core) resendSnapshot(id string, p *progress) {
	interval := uint64(c.cfg.ElectionTicks)
	if c.now-p.snapshotTick >= interval && c.now-p.lastReplyTick < interval {
		c.sendSnapshot(id, p)
	}
}

// onAppend handles the entries of the current term's leader.
func (c *Core) onAppend(m Message) {
	c.recordLeaderContact(m.From)
	reply := c.appendReply(m)
	match, ok := c.appendMissing(m)
	if !ok {
		reply.Reject = true
		reply.Index = m.Index
		reply.RejectHint = c.log.conflictHint(m.Index)
		c.send(reply)
		return
	}
	c.commitTo(min(m.Commit, match))
	c.recordMatch(m.From, match)
	reply.Index = match
	reply.Recovering = c.role == Recovering
	c.send(reply)
}

func (c *Core) appendReply(m Message) Message {
	return Message{
		Type: MsgAppendReply, To: m.From, Term: c.term,
		Tick: m.Tick, ReadRound: m.ReadRound, Recovering: c.role == Recovering,
	}
}

// recordLeaderContact records a message of the leader of the current term.
func (c *Core) recordLeaderContact(id string) {
	invariant(c.role != Leader, "%s and %s are both leaders of term %d", c.cfg.ID, id, c.term)
	c.recordContact(id, c.term)
	if c.leader != id || c.role == Candidate {
		c.follow(c.term, id)
	}
	c.ticksSinceLeader = 0
	c.ticksSinceReset = 0
	if c.notMember {
		c.notMember = false
		c.recovery.requestCountdown = 0
		c.resetTimers()
	}
}

// appendMissing appends the missing entries of m and returns the last index at which
// the log matches the sender's. It returns false when the entry before them doesn't
// match, or when m contradicts committed entries.
func (c *Core) appendMissing(m Message) (uint64, bool) {
	prev, term, entries := m.Index, m.LogTerm, m.unpack()
	if prev < c.commit {
		if c.contradictsCommitted(prev, term, entries) {
			return 0, false
		}
		// Committed entries are also in the leader's log, so only later entries can be
		// missing or conflict.
		skip := min(uint64(len(entries)), c.commit-prev)
		prev += skip
		entries = entries[skip:]
		if prev < c.commit {
			return c.commit, true
		}
		term, _ = c.log.term(c.commit)
	}
	if !c.log.matches(prev, term) {
		return 0, false
	}
	c.mergeEntries(entries)
	return prev + uint64(len(entries)), true
}

// contradictsCommitted reports whether a leader's log has other entries than this member at indexes up to
// the commit index: the entry prev of a term, or one of the entries after it. That can happen only
// after an operator's ForceStart, or after more members have lost their state than the group
// tolerates. If the member took the leader's later entries, its state would differ from the others'
// without a sign. A term of zero is one that the leader doesn't know any more.
func (c *Core) contradictsCommitted(prev, term uint64, entries []Entry) bool {
	if c.committedDiffers(prev, term) {
		return true
	}
	return slices.ContainsFunc(entries, func(e Entry) bool { return c.committedDiffers(e.Index, e.Term) })
}

// committedDiffers reports whether the log holds a committed entry at index, of another term.
func (c *Core) committedDiffers(index, term uint64) bool {
	held, ok := c.log.term(index)
	return ok && index <= c.commit && term != 0 && held != term
}

// mergeEntries replaces the tail of the log from the first conflicting entry on. A
// tail that matches stays: otherwise a delayed, shorter append would remove entries
// that were acknowledged.
func (c *Core) mergeEntries(entries []Entry) {
	for i, e := range entries {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.last() {
			invariant(e.Index > c.commit, "%s: entry %d of term %d conflicts with an entry up to commit index %d", c.cfg.ID, e.Index, e.Term, c.commit)
			c.log.truncate(e.Index)
			c.members.truncate(e.Index)
		}
		c.log.append(entries[i:]...)
		err := c.recordMemberships(entries[i:])
		invariant(err == nil, "%s: %v", c.cfg.ID, err)
		return
	}
}

// onSnapshot installs the snapshot of a leader unless the log holds its entries
// already.
func (c *Core) onSnapshot(m Message) {
	s := m.Snapshot
	if s == nil || checkMembers(s.Members) != nil || c.committedDiffers(s.Index, s.Term) {
		return
	}
	c.recordLeaderContact(m.From)
	switch {
	case s.Index <= c.commit:
	case c.log.matches(s.Index, s.Term):
		c.commitTo(s.Index)
	default:
		c.install(*s)
	}
	c.recordMatch(m.From, c.commit)
	reply := c.appendReply(m)
	reply.Index = c.commit
	c.send(reply)
}

// install replaces the log and the membership by a snapshot.
func (c *Core) install(s Snapshot) {
	c.log.reset(s.Index, s.Term)
	c.members = newMembershipHistory(s.Index, s.Members)
	c.recordMemberIncarnations(s.Members)
	c.snapshot = s
	c.newSnapshot = &s
	c.commitTo(s.Index)
}

// onAppendReply counts an acknowledgement and lets replication continue.
func (c *Core) onAppendReply(m Message) {
	p := c.leaderState.progress[m.From]
	if c.role != Leader {
		c.recordLateReply()
		return
	}
	if p == nil {
		return
	}
	p.lastReplyTick = c.now
	if !c.incarnationsKnown(m) {
		// The reply can't be counted before both sides know the same incarnations.
		// The next append carries them to the sender, whose reply to it can be
		// counted.
		c.leaderState.heartbeatDue = true
		return
	}
	p.recovering = m.Recovering
	if !m.Recovering {
		p.ackedTick = max(p.ackedTick, m.Tick)
		p.readRound = max(p.readRound, m.ReadRound)
		c.recordQuorum()
	}
	if m.Reject {
		p.rejected(m.Index, m.RejectHint)
	} else if m.Index <= c.log.last() {
		p.matched(m.Index)
	}
	c.clearLagging(p)
	c.maybeCommit()
	c.confirmReads()
	c.tryTransfer(m.From)
}

// clearLagging clears the lagging mark of a member that holds all committed entries. If the
// member is a disk voter, commits wait again until a disk voter has synced the entry.
func (c *Core) clearLagging(p *progress) {
	if p.match >= c.commit {
		p.lagging = false
	}
}
