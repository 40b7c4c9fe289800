package replica

// campaign is one round of a pre-vote or an election in which this member asks for votes.
// A vote is deleted when a later incarnation of its voter becomes known.
type campaign struct {
	kind  campaignKind
	votes map[string]vote
}

type campaignKind uint8

// The zero campaignKind stands for no campaign.
const (
	// preVoting asks whether an election would be won, without raising the term. A
	// member that returns from a long partition therefore doesn't depose a working
	// leader.
	preVoting campaignKind = iota + 1
	// voting is an election that needs the votes of a majority.
	voting
	// coldStarting is an election that needs the vote of every voter.
	coldStarting
)

// vote is a voter's reply in the current round of a campaign.
type vote struct {
	granted    bool
	recovering bool
}

// onElectionTimeout starts a pre-vote after an election timeout without a leader.
func (c *Core) onElectionTimeout() {
	c.resetTimers()
	c.leader = ""
	if !c.mayLead() {
		return
	}
	// So many members may have lost their state that no election can be won. The state
	// replies show whether that is the case and may allow a cold start.
	c.requestState()
	c.startCampaign(preVoting, false)
}

// mayLead reports whether this member may campaign.
func (c *Core) mayLead() bool {
	m, ok := c.members.find(c.cfg.ID)
	return ok && !m.Learner && !m.Witness
}

// startCampaign starts a round and requests the votes. force marks a leadership
// transfer that the leader started.
func (c *Core) startCampaign(kind campaignKind, force bool) {
	request := Message{Type: MsgPreVote, Term: c.term + 1, Force: force}
	recovering := c.role == Recovering
	if kind != preVoting {
		c.setTerm(c.term + 1)
		c.vote = c.cfg.ID
		request.Type = MsgVote
		request.Term = c.term
	}
	if !recovering {
		c.role = Candidate
	}
	c.leader = ""
	c.resetTimers()
	c.campaign = campaign{kind: kind, votes: map[string]vote{}}
	c.campaign.votes[c.cfg.ID] = vote{granted: true, recovering: recovering}
	request.ColdStart = kind == coldStarting
	request.Index, request.LogTerm = c.log.last(), c.log.lastTerm()
	for _, m := range c.electorate() {
		if m.ID != c.cfg.ID {
			request.To = m.ID
			if kind == coldStarting {
				request.ReceiverIncarnation = c.incarnations.of(m.ID)
			}
			c.send(request)
		}
	}
	c.countVotes()
}

// electorate returns the voters of the current campaign: those of the latest
// membership, and in a cold start those of all memberships from the committed one on.
func (c *Core) electorate() []Member {
	if c.campaign.kind == coldStarting {
		return votersOfAll(c.members.since(c.commit))
	}
	return c.members.currentVoters()
}

// ignoresVoteRequest reports whether a vote request is dropped without raising the term.
// If a leader made contact within the election timeout, its lease may be valid because
// this member replied, so only a vote request of a leadership transfer that this leader
// started may pass. This also keeps a removed or partitioned member from raising terms.
func (c *Core) ignoresVoteRequest(m Message) bool {
	return c.hasRecentLeader() && !m.Force
}

// onPreVote replies whether this member would grant a vote. It changes no state.
func (c *Core) onPreVote(m Message) {
	grant := m.Term > c.term && !c.hasRecentLeader() && c.role != Recovering && c.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Type: MsgPreVoteReply, To: m.From, Term: m.Term, Reject: !grant}
	if !grant {
		reply.Term = c.term
		reply.Recovering = c.role == Recovering
		c.addWitnessLogEnd(m, &reply)
	}
	c.send(reply)
	c.notifyNonMember(m.From)
}

// onVote replies to a vote request of the member's own term.
func (c *Core) onVote(m Message) {
	grant := c.grantsVote(m)
	if grant {
		c.vote = m.From
		c.resetTimers()
		c.recordColdStartVote(m)
	}
	reply := Message{
		Type: MsgVoteReply, To: m.From, Term: c.term, ReceiverIncarnation: m.Incarnation, Reject: !grant,
		ColdStart: m.ColdStart, Recovering: c.role == Recovering,
	}
	if !grant {
		c.addWitnessLogEnd(m, &reply)
	}
	c.send(reply)
}

// grantsVote reports whether to grant a vote request: at most one vote per term, and only
// for a log that holds at least as much as this member's, so that a leader has every
// committed entry. A recovering member can't compare the logs and grants only a cold
// start, in which all voters that kept their state compare their logs.
func (c *Core) grantsVote(m Message) bool {
	if c.vote != "" && c.vote != m.From {
		return false
	}
	if c.role == Recovering {
		return m.ColdStart && m.ReceiverIncarnation == c.incarnation
	}
	return c.log.upToDate(m.Index, m.LogTerm)
}

// onVoteReply counts a reply to the current round.
func (c *Core) onVoteReply(m Message) {
	if m.Reject && c.wantsLog(m.Index, m.LogTerm) {
		c.startLogFetch(m.From)
	}
	kind := c.campaign.kind
	matchesRound := m.Type == MsgPreVoteReply && kind == preVoting ||
		m.Type == MsgVoteReply && (kind == voting || kind == coldStarting) && m.ColdStart == (kind == coldStarting)
	if !matchesRound || !c.incarnationsKnown(m) || !isVoter(c.electorate(), m.From) {
		return
	}
	if _, ok := c.campaign.votes[m.From]; ok {
		return
	}
	c.campaign.votes[m.From] = vote{granted: !m.Reject, recovering: m.Recovering}
	c.countVotes()
}

// countVotes starts the election after a won pre-vote and makes this member leader
// after a won election.
func (c *Core) countVotes() {
	electorate := c.electorate()
	granted := 0
	for _, m := range electorate {
		if c.campaign.votes[m.ID].granted {
			granted++
		}
	}
	switch c.campaign.kind {
	case preVoting:
		if granted >= majority(electorate) {
			c.startCampaign(voting, false)
		}
	case voting:
		if granted >= majority(electorate) {
			c.becomeLeader()
		}
	case coldStarting:
		if granted == len(electorate) && c.coldStartStillAllowed() {
			c.becomeLeader()
		}
	}
}

// onTimeoutNow campaigns immediately because the leader transfers its leadership.
func (c *Core) onTimeoutNow(m Message) {
	if c.role != Follower || c.leader != m.From || !c.mayLead() {
		return
	}
	c.startCampaign(voting, true)
}
