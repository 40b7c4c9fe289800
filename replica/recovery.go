package replica

// recovery is the state of a member that has lost its state and rejoins the group, or that has
// learned of a later incarnation of itself (see recordOwnIncarnation) and keeps its log meanwhile.
//
// The member tells all members its new incarnation. It waits for the replies of a
// majority of the voters, none of them recovering, including the leader of the
// highest term reported in the replies. Any quorum that the member's lost votes and
// acknowledgements helped to form shares a member with that majority. The recovering
// member thus learns the highest term in which it may have voted, and its vote of that
// term counts as given. The last entry that the leader names in its reply is at or after
// everything that the member may have acknowledged to that leader. Committed entries that
// the member acknowledged to earlier leaders are in that leader's log. The member votes
// and acknowledges nothing before it holds the leader's log up to that entry.
//
// The members that replied must be a majority in each membership of the replying leader,
// from its last committed one on. A deposed leader may have proposed, and failed to commit, the
// removal of the very member that leads now. If only that proposal counted, the
// quorum of the lost votes and this majority needn't share a member, and two leaders
// of one term or a lost commit would follow. Every change after the committed membership
// needed a quorum of the committed membership first, so a majority of the latter shares a
// member with every such quorum (the model spec/membership.pml checks this).
type recovery struct {
	// keepsLog says that the member recovers again and its log holds all that it acknowledged. The log of
	// any other recovering member may end at a membership that the group has left since.
	keepsLog         bool
	replies          map[string]stateReply
	requestCountdown int
	// memberships are the memberships in the reply of the leader, empty before the leader
	// has replied.
	memberships [][]Member
	source      recoverySource
	// matched is the last index at which the log matches that of the leader of
	// matchedTerm.
	matched     uint64
	matchedTerm uint64
}

// recoverySource is the leader whose log the member must hold up to requiredIndex.
type recoverySource struct {
	leader        string
	term          uint64
	requiredIndex uint64
}

// stateReply is the reply of another member to a state request.
type stateReply struct {
	receivedTick uint64
	term         uint64
	index        uint64
	logTerm      uint64
	recovering   bool
	isLeader     bool
	// memberships of a leader, from its last committed one to its latest.
	memberships [][]Member
}

// tickRecovering repeats the state requests and tries a cold start at each election
// timeout.
func (c *Core) tickRecovering() {
	if c.recovery.keepsLog && c.onlyVoter() {
		c.campaignAsSoleVoter()
		return
	}
	if !c.hasRecentLeader() {
		c.leader = ""
	}
	c.recovery.requestCountdown--
	if c.recovery.requestCountdown <= 0 {
		c.recovery.requestCountdown = c.cfg.HeartbeatTicks * c.requestIntervalFactor()
		c.requestState()
	}
	if c.ticksSinceReset >= c.electionTimeoutTicks {
		c.resetTimers()
		c.tryColdStart()
	}
}

// onlyVoter reports whether this member is the only voter of each membership from the committed
// one on, so that no other member could tell it anything that it must wait for.
func (c *Core) onlyVoter() bool {
	electorate := votersOfAll(c.members.since(c.commit))
	return len(electorate) == 1 && electorate[0].ID == c.cfg.ID
}

// requestState sends a state request to all other members.
func (c *Core) requestState() {
	for _, id := range c.peers() {
		c.send(Message{Type: MsgState, To: id, Term: c.term, Recovering: c.role == Recovering})
	}
}

// onState replies with this member's state. The requester's incarnation was recorded
// when the message arrived and is synced with this Ready before the reply is sent.
// From then on this member's messages show that earlier incarnations are superseded.
func (c *Core) onState(m Message) {
	reply := Message{
		Type: MsgStateReply, To: m.From, Term: c.term, Nonce: m.Incarnation,
		Index: c.log.last(), LogTerm: c.log.lastTerm(), Recovering: c.role == Recovering,
	}
	if c.role == Leader {
		reply.IsLeader = true
		memberships := c.members.since(c.commit)
		reply.EarlierMemberships = memberships[:len(memberships)-1]
		reply.Members = c.members.current()
	}
	c.send(reply)
	c.notifyNonMember(m.From)
}

// onStateReply records the reply and tries to recover or to cold start.
func (c *Core) onStateReply(m Message) {
	if m.Nonce != c.incarnation || !c.incarnationsKnown(m) {
		return
	}
	if c.recovery.replies == nil {
		c.recovery.replies = map[string]stateReply{}
	}
	c.recovery.replies[m.From] = stateReply{
		receivedTick: c.now, term: m.Term, index: m.Index, logTerm: m.LogTerm,
		recovering: m.Recovering, isLeader: m.IsLeader, memberships: m.memberships(),
	}
	switch {
	case c.role == Recovering:
		c.tryRecover()
	case c.campaign.kind == preVoting:
		c.tryColdStart()
	}
}

// tryRecover sets the leader to recover from once the replies suffice (see recovery).
func (c *Core) tryRecover() {
	highest := c.term
	for _, reply := range c.recovery.replies {
		highest = max(highest, reply.term)
	}
	leader, ok := c.leaderReply(highest)
	if !ok || c.recovery.source.term >= highest {
		return
	}
	reply := c.recovery.replies[leader]
	c.recovery.memberships = reply.memberships
	latest := reply.memberships[len(reply.memberships)-1]
	if _, member := findMember(latest, c.cfg.ID); !member {
		return
	}
	for _, members := range reply.memberships {
		if !c.hasRecoveryQuorum(members) {
			return
		}
	}
	c.setTerm(highest)
	c.vote = leader
	c.recovery.source = recoverySource{leader: leader, term: highest, requiredIndex: reply.index}
	c.tryEndRecovery()
}

// leaderReply returns the ID of the leader of term among the replies.
func (c *Core) leaderReply(term uint64) (string, bool) {
	for id, reply := range c.recovery.replies {
		if reply.isLeader && reply.term == term {
			return id, true
		}
	}
	return "", false
}

// hasRecoveryQuorum reports whether enough voters other than this member have replied and
// aren't recovering: a majority of the voters of the membership. In a group of two the
// only other voter suffices, since it is in every quorum.
func (c *Core) hasRecoveryQuorum(members []Member) bool {
	count, otherVoters := 0, 0
	for _, m := range voters(members) {
		if m.ID == c.cfg.ID {
			continue
		}
		otherVoters++
		if reply, ok := c.recovery.replies[m.ID]; ok && !reply.recovering {
			count++
		}
	}
	return count >= min(majority(members), otherVoters)
}

// recordMatch records that the log matches that of the current term's leader up to
// index.
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

// tryEndRecovery makes the member a follower once it holds everything that it may
// have acknowledged before.
func (c *Core) tryEndRecovery() {
	r := &c.recovery
	sameTerm := r.source.term == c.term && r.matchedTerm == c.term
	if r.source.leader == "" || !sameTerm || r.matched < r.source.requiredIndex {
		return
	}
	c.role = Follower
	c.recovery = recovery{}
	c.incarnations.merge(MemberIncarnation{ID: c.cfg.ID, Participated: true})
	// From its first acknowledgement on, this member's replies extend the leader's lease,
	// so it must refuse votes for an election timeout.
	c.ticksSinceLeader = 0
}
