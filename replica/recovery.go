package replica

// recovery is how a member that has forgotten its promises comes back.
//
// It gives its new incarnation to all members and waits for the answers of a
// majority of the voters, none of them recovering, with that of the leader of
// the highest term heard among them. Any quorum that its forgotten promises
// helped to form shares a member with that majority. So it learns the highest
// term in which it may have voted (there its vote counts as spent), and the
// leader's last entry at its answer lies at or after all that it may have
// acknowledged to that leader; what it acknowledged to earlier ones and was
// committed is in that leader's log. It votes and acknowledges nothing before
// it holds the leader's log up to there.
//
// The majority must be one in each membership of the answering leader from its
// last committed one on. A deposed leader may have proposed, and failed to
// commit, the removal of the very member that leads by now; counted by that
// proposal alone, the forgotten promises' quorum and the majority needn't share
// a member, and two leaders in a term or a lost commit would follow. Whatever
// came after the committed membership needed a quorum of it first, so a majority
// of it meets every such quorum (searched in spec/membership.pml).
type recovery struct {
	replies          map[string]stateReply
	requestCountdown int
	// memberships are those of the leader that answered.
	memberships [][]Member
	source      recoverySource
	// matched is the last index at which the log matches that of the leader of
	// matchedTerm.
	matched     uint64
	matchedTerm uint64
}

// recoverySource is the leader whose log must be held up to target.
type recoverySource struct {
	leader        string
	term          uint64
	requiredIndex uint64
}

// answer is what another member said of itself.
type stateReply struct {
	receivedTick uint64
	term         uint64
	index        uint64
	logTerm      uint64
	recovering   bool
	leader       bool
	// memberships of a leader, from its last committed one to its latest.
	memberships [][]Member
}

func (c *Core) tickRecovering() {
	if !c.hasRecentLeader() {
		c.leader = ""
	}
	c.recovery.requestCountdown--
	if c.recovery.requestCountdown <= 0 {
		c.recovery.requestCountdown = c.cfg.HeartbeatTicks * c.requestIntervalFactor()
		c.requestState()
	}
	if c.ticksSinceReset >= c.electionTimeout {
		c.resetTimers()
		c.tryColdStart()
	}
}

// requestState asks everybody for their state.
func (c *Core) requestState() {
	for _, id := range c.peers() {
		c.send(Message{Type: MsgState, To: id, Term: c.term, Recovering: c.role == Recovering})
	}
}

// onState answers with the own state. The asker's incarnation was noted when
// the message came in, and is synced with this Ready before the answer leaves:
// from now on this member's messages reveal that earlier ones are dead.
func (c *Core) onState(m Message) {
	reply := Message{
		Type: MsgStateReply, To: m.From, Term: c.term, Nonce: m.Incarnation,
		Index: c.log.last(), LogTerm: c.log.lastTerm(), Recovering: c.role == Recovering,
	}
	if c.role == Leader {
		reply.Leader = true
		lists := c.members.since(c.commit)
		reply.EarlierMemberships = lists[:len(lists)-1]
		reply.Members = c.members.current()
	}
	c.send(reply)
	c.notifyNonMember(m.From)
}

func (c *Core) onStateReply(m Message) {
	if m.Nonce != c.incarnation || !c.incarnationsKnown(m) {
		return
	}
	if c.recovery.replies == nil {
		c.recovery.replies = map[string]stateReply{}
	}
	c.recovery.replies[m.From] = stateReply{
		receivedTick: c.now, term: m.Term, index: m.Index, logTerm: m.LogTerm,
		recovering: m.Recovering, leader: m.Leader, memberships: m.memberships(),
	}
	switch {
	case c.role == Recovering:
		c.tryRecover()
	case c.campaign.kind == preVoting:
		c.tryColdStart()
	}
}

// tryRecover looks whether the answers suffice.
func (c *Core) tryRecover() {
	highest := c.term
	for _, a := range c.recovery.replies {
		highest = max(highest, a.term)
	}
	leader, ok := c.leaderReply(highest)
	if !ok || c.recovery.source.term >= highest {
		return
	}
	a := c.recovery.replies[leader]
	c.recovery.memberships = a.memberships
	latest := a.memberships[len(a.memberships)-1]
	if _, member := findMember(latest, c.cfg.ID); !member {
		return
	}
	for _, list := range a.memberships {
		if !c.hasRecoveryQuorum(list) {
			return
		}
	}
	c.setTerm(highest)
	c.vote = leader
	c.recovery.source = recoverySource{leader: leader, term: highest, requiredIndex: a.index}
	c.tryEndRecovery()
}

func (c *Core) leaderReply(term uint64) (string, bool) {
	for id, a := range c.recovery.replies {
		if a.leader && a.term == term {
			return id, true
		}
	}
	return "", false
}

// hasRecoveryQuorum: a majority of the voters of a membership, this member not among them; the
// only other one in a group of two, since it is in every quorum.
func (c *Core) hasRecoveryQuorum(list []Member) bool {
	count, others := 0, 0
	for _, m := range voters(list) {
		if m.ID == c.cfg.ID {
			continue
		}
		others++
		if a, ok := c.recovery.replies[m.ID]; ok && !a.recovering {
			count++
		}
	}
	return count >= min(majority(list), others)
}

// recordMatch: the log matches that of the current term's leader up to index.
func (c *Core) recordMatch(leader string, index uint64) {
	if c.role != Recovering {
		return
	}
	if c.recovery.matchedTerm != c.term {
		c.recovery.matchedTerm = c.term
		c.recovery.matched = 0
	}
	c.recovery.matched = max(c.recovery.matched, index)
	c.tryEndRecovery()
}

// tryEndRecovery makes the member a follower once it holds what it may have
// promised to hold.
func (c *Core) tryEndRecovery() {
	r := &c.recovery
	sameTerm := r.source.term == c.term && r.matchedTerm == c.term
	if r.source.leader == "" || !sameTerm || r.matched < r.source.requiredIndex {
		return
	}
	c.role = Follower
	c.recovery = recovery{}
	c.incarnations.merge(MemberIncarnation{ID: c.cfg.ID, Participated: true})
	// The leader's lease counts on this member from its first acknowledgement on.
	c.ticksSinceLeader = 0
}
