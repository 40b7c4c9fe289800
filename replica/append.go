package replica

// flushAppends queues what each member still lacks, as far as the bound on
// unanswered appends allows, and heartbeats when they are due. Collecting here
// rather than at each proposal is what makes group commit: all proposals since
// the last Ready share one append.
func (c *Core) flushAppends() {
	if c.role != Leader {
		return
	}
	beat := c.lead.beatDue || c.lead.reads.due
	for _, m := range c.members.current() {
		if m.ID != c.cfg.ID {
			c.feed(m.ID, c.lead.progress[m.ID], beat)
		}
	}
	c.lead.beatDue = false
	c.lead.reads.due = false
}

func (c *Core) feed(id string, p *progress, beat bool) {
	switch p.flow {
	case probing:
		if beat || !p.probeSent {
			p.probeSent = true
			c.sendEntries(id, p)
		}
	case streaming:
		sent := c.stream(id, p)
		if beat && !sent {
			c.sendHeartbeat(id, p.next-1)
		}
	case snapshotting:
		if beat {
			c.sendHeartbeat(id, 0)
		}
		c.repeatSnapshot(id, p)
	}
}

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

// sendEntries sends the entries from p.next on, or the snapshot when they
// aren't kept any more, and returns the last index sent.
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

// sendHeartbeat sends an append without entries. prev zero matches any log; it
// only tells that the leader is there.
func (c *Core) sendHeartbeat(id string, prev uint64) {
	m := c.appendMessage(id)
	m.Index = prev
	m.LogTerm, _ = c.log.term(prev)
	c.send(m)
}

func (c *Core) appendMessage(id string) Message {
	return Message{
		Type: MsgAppend, To: id, Term: c.term, Commit: c.commit,
		Tick: c.now, Read: c.lead.reads.round,
	}
}

func (c *Core) sendSnapshot(id string, p *progress) {
	p.flow = snapshotting
	p.inflight = nil
	p.snapshotIndex = c.snapshot.Index
	p.snapshotTick = c.now
	s := c.snapshot
	c.send(Message{Type: MsgSnapshot, To: id, Term: c.term, Tick: c.now, Read: c.lead.reads.round, Snapshot: &s})
}

// repeatSnapshot sends a snapshot again that may have been lost, but not to a
// member from which nothing is heard.
func (c *Core) repeatSnapshot(id string, p *progress) {
	pause := uint64(c.cfg.ElectionTicks)
	if c.now-p.snapshotTick >= pause && c.now-p.contact < pause {
		c.sendSnapshot(id, p)
	}
}

// onAppend takes in entries of the current term's leader.
func (c *Core) onAppend(m Message) {
	c.heardLeader(m.From)
	reply := c.appendReply(m)
	match, ok := c.takeEntries(m)
	if !ok {
		reply.Reject = true
		reply.Index = m.Index
		reply.Hint = c.log.conflictHint(m.Index)
		c.send(reply)
		return
	}
	c.commitTo(min(m.Commit, match))
	c.noteMatched(m.From, match)
	reply.Index = match
	reply.Recovering = c.role == Recovering
	c.send(reply)
}

func (c *Core) appendReply(m Message) Message {
	return Message{
		Type: MsgAppendReply, To: m.From, Term: c.term,
		Tick: m.Tick, Read: m.Read, Recovering: c.role == Recovering,
	}
}

// heardLeader notes a sign of life of the leader of the current term.
func (c *Core) heardLeader(id string) {
	invariant(c.role != Leader, "%s and %s both lead in term %d", c.cfg.ID, id, c.term)
	if c.leader != id || c.role == Candidate {
		c.follow(c.term, id)
	} else {
		c.gaps.note(c.sinceLeader, c.now)
	}
	c.sinceLeader = 0
	c.sinceCampaign = 0
	if c.outside {
		c.outside = false
		c.recovery.askIn = 0
		c.resetTimers()
	}
}

// takeEntries appends the entries that are missing and returns the last index
// at which the log now matches the leader's; false when the entry before them
// doesn't match.
func (c *Core) takeEntries(m Message) (uint64, bool) {
	prev, term, entries := m.Index, m.LogTerm, m.unpack()
	if prev < c.commit {
		// What is committed is in the leader's log too; only later entries
		// matter.
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

// mergeEntries replaces the tail from the first conflicting entry on. A tail
// that matches stays, so that a late, shorter append cuts off nothing that was
// acknowledged.
func (c *Core) mergeEntries(entries []Entry) {
	for i, e := range entries {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.last() {
			invariant(e.Index > c.commit, "%s: entry %d of term %d conflicts below commit %d", c.cfg.ID, e.Index, e.Term, c.commit)
			c.log.truncate(e.Index)
			c.members.truncate(e.Index)
		}
		c.log.append(entries[i:]...)
		err := c.learnMembers(entries[i:])
		invariant(err == nil, "%s: %v", c.cfg.ID, err)
		return
	}
}

// onSnapshot replaces a log that lacks what the snapshot holds.
func (c *Core) onSnapshot(m Message) {
	s := m.Snapshot
	if s == nil || checkMembers(s.Members) != nil {
		return
	}
	c.heardLeader(m.From)
	switch {
	case s.Index <= c.commit:
	case c.log.matches(s.Index, s.Term):
		c.commitTo(s.Index)
	default:
		c.install(*s)
	}
	c.noteMatched(m.From, c.commit)
	reply := c.appendReply(m)
	reply.Index = c.commit
	c.send(reply)
}

func (c *Core) install(s Snapshot) {
	c.log.reset(s.Index, s.Term)
	c.members = newMembership(s.Index, s.Members)
	c.noteMemberIncarnations(s.Members)
	c.snapshot = s
	c.newSnapshot = &s
	c.commitTo(s.Index)
}

// onAppendReply counts an acknowledgement and keeps the flow of entries going.
func (c *Core) onAppendReply(m Message) {
	p := c.lead.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.contact = c.now
	if !c.vectorKnown(m) {
		// Can't be counted; the next append carries the vector to the sender,
		// which then answers with one that can.
		c.lead.beatDue = true
		return
	}
	p.recovering = m.Recovering
	if !m.Recovering {
		p.heard = max(p.heard, m.Tick)
		p.readRound = max(p.readRound, m.Read)
	}
	if m.Reject {
		p.refused(m.Index, m.Hint)
	} else if m.Index <= c.log.last() {
		p.matched(m.Index)
	}
	c.noteCaughtUp(p)
	c.maybeCommit()
	c.confirmReads()
	c.tryTransfer(m.From)
}

// noteCaughtUp lets the commit rule wait for a disk voter again.
func (c *Core) noteCaughtUp(p *progress) {
	if p.match >= c.commit {
		p.lagging = false
	}
}
