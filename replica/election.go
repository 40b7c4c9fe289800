package replica

// campaign is a candidacy under way. Its votes say who granted (true) or
// refused; a grant is struck out when its giver turns out to be forgotten.
type campaign struct {
	kind  campaignKind
	votes map[string]vote
}

type campaignKind uint8

// The zero campaignKind stands for no campaign.
const (
	// preVoting asks whether an election would be won. It costs no term, so a
	// member back from a long cut doesn't depose a working leader.
	preVoting campaignKind = iota + 1
	voting
	// coldStarting needs the grant of each voter.
	coldStarting
)

type vote struct {
	granted    bool
	recovering bool
}

// onElectionTimeout: no leader was heard for a whole timeout.
func (c *Core) onElectionTimeout() {
	c.resetTimers()
	c.leader = ""
	if !c.mayLead() {
		return
	}
	// Perhaps too many members have forgotten their promises for any election
	// to be won; their answers tell.
	c.requestState()
	c.startCampaign(preVoting, false)
}

// mayLead reports whether this member may stand for election.
func (c *Core) mayLead() bool {
	m, ok := c.members.find(c.cfg.ID)
	return ok && !m.Learner && !m.Witness
}

// startCampaign begins a round. force marks a transfer that the leader began.
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

// electorate returns who votes in the campaign under way: the voters of the
// latest membership, and in a cold start those of all from the committed one on.
func (c *Core) electorate() []Member {
	if c.campaign.kind == coldStarting {
		return votersOfAll(c.members.since(c.commit))
	}
	return voters(c.members.current())
}

// ignoresVoteRequest reports whether a vote request must not even raise the term.
// While a leader was heard within the election timeout its lease may count on
// this member, so only a transfer that the leader itself began may pass. This
// also keeps a member that was removed, or cut off alone, from raising terms.
func (c *Core) ignoresVoteRequest(m Message) bool {
	return c.hasRecentLeader() && !m.Force
}

// onPreVote answers whether a vote would be granted, and changes nothing.
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

// onVote decides on a request of the member's own term.
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

// grantsVote: one vote a term, and only for a log that holds at least what the
// own one does, so that a leader has every committed entry. A member that has
// forgotten what it acknowledged can't judge that, and takes part only in a
// cold start, where all the others judge too.
func (c *Core) grantsVote(m Message) bool {
	if c.vote != "" && c.vote != m.From {
		return false
	}
	if c.role == Recovering {
		return m.ColdStart && m.ReceiverIncarnation == c.incarnation
	}
	return c.log.upToDate(m.Index, m.LogTerm)
}

// onVoteReply counts an answer to the round under way.
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

// countVotes goes on when the round is won.
func (c *Core) countVotes() {
	list := c.electorate()
	granted := 0
	for _, m := range list {
		if c.campaign.votes[m.ID].granted {
			granted++
		}
	}
	switch c.campaign.kind {
	case preVoting:
		if granted >= majority(list) {
			c.startCampaign(voting, false)
		}
	case voting:
		if granted >= majority(list) {
			c.becomeLeader()
		}
	case coldStarting:
		if granted == len(list) && c.coldStartStillAllowed() {
			c.becomeLeader()
		}
	}
}

// onTimeoutNow: the leader hands over; its voters are asked at once.
func (c *Core) onTimeoutNow(m Message) {
	if c.role != Follower || c.leader != m.From || !c.mayLead() {
		return
	}
	c.startCampaign(voting, true)
}
