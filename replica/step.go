package replica

import "github.com/cockroachdb/errors"

// Step takes in a message from another member. Messages of dead incarnations,
// for another incarnation of this member, and of past terms are dropped without
// an error; ErrBadMessage is returned for one that isn't addressed to this member.
//
// A message may be meant for an earlier incarnation, which has forgotten since,
// and reach the present one. Whether that is harmful depends on its type:
//
//   - MsgVote of a cold start and MsgVoteReply name the incarnation they are
//     meant for (Receiver), MsgStateReply does so by its Nonce: the first brings a
//     member out of its recovery, the others judged a log or answered a question
//     that this incarnation may not have.
//   - Any other MsgVote and MsgPreVote are judged by the present log, term and
//     vote, and the grant counts under the present incarnation; while it recovers
//     it grants none.
//   - MsgAppend and MsgSnapshot state facts of one leader's log in one term. The
//     answer is under the present incarnation and true of its log; the tick and
//     read round that it repeats are older, and the member refuses votes for a
//     whole timeout after its start and after the answer.
//   - MsgAppendReply counts on the leader of its term only. A later incarnation of
//     that leader doesn't lead in the same term: it has learned of the term while
//     recovering, since its majority shares a member with the one that elected it.
//   - MsgTimeoutNow lets the member stand in a term whose leader decides nothing
//     any more; its votes are judged as any others.
//   - MsgPreVoteReply and MsgFetchReply lead to questions and to log entries that
//     are acknowledged to nobody; MsgState and MsgFetch are questions; MsgNotMember
//     is a hint.
//
// Terms and incarnations that a message tells of are facts for whoever reads it.
func (c *Core) Step(m Message) error {
	if m.To != c.cfg.ID || m.From == "" || m.From == c.cfg.ID {
		return errors.Wrapf(ErrBadMessage, "from %q to %q", m.From, m.To)
	}
	if m.Incarnation < c.incarnations.of(m.From) {
		// The sender has forgotten what it promised under that incarnation.
		return nil
	}
	c.recordIncarnations(m)
	if m.ReceiverIncarnation != 0 && m.ReceiverIncarnation != c.incarnation {
		return nil
	}
	if !c.acceptTerm(m) {
		return nil
	}
	switch m.Type {
	case MsgPreVote:
		c.onPreVote(m)
	case MsgPreVoteReply, MsgVoteReply:
		c.onVoteReply(m)
	case MsgVote:
		c.onVote(m)
	case MsgAppend:
		c.onAppend(m)
	case MsgSnapshot:
		c.onSnapshot(m)
	case MsgAppendReply:
		c.onAppendReply(m)
	case MsgTimeoutNow:
		c.onTimeoutNow(m)
	case MsgState:
		c.onState(m)
	case MsgStateReply:
		c.onStateReply(m)
	case MsgFetch:
		c.onFetch(m)
	case MsgFetchReply:
		c.onFetchReply(m)
	case MsgNotMember:
		c.onNotMember(m)
	default:
		return errors.Wrapf(ErrBadMessage, "type %d", m.Type)
	}
	return nil
}

// recordIncarnations merges what the message tells about incarnations.
func (c *Core) recordIncarnations(m Message) {
	c.recordIncarnation(MemberIncarnation{ID: m.From, Incarnation: m.Incarnation})
	for _, k := range m.KnownIncarnations {
		c.recordIncarnation(k)
	}
	c.peerDigest[m.From] = m.IncarnationDigest
}

// recordIncarnation raises a known incarnation and discards all that the
// forgotten one told this member.
func (c *Core) recordIncarnation(k MemberIncarnation) {
	if k.ID == c.cfg.ID {
		c.recordOwnIncarnation(k.Incarnation)
	}
	if !c.incarnations.merge(k) || k.ID == c.cfg.ID {
		return
	}
	delete(c.campaign.votes, k.ID)
	delete(c.recovery.replies, k.ID)
	if p := c.leaderState.progress[k.ID]; p != nil {
		p.resetForIncarnation()
	}
}

// recordOwnIncarnation: others know a later start of this member than the one it
// runs under, for example because the wall clock that numbers the starts went
// back. A recovering member has promised nothing yet and takes a later number;
// for any other it means that the same ID runs twice.
func (c *Core) recordOwnIncarnation(incarnation uint64) {
	if incarnation <= c.incarnation {
		return
	}
	invariant(c.role == Recovering, "%s: incarnation %d runs while %d is known", c.cfg.ID, c.incarnation, incarnation)
	c.incarnation = incarnation + 1
	c.incarnations.merge(MemberIncarnation{ID: c.cfg.ID, Incarnation: c.incarnation})
	c.recovery = recovery{}
	c.campaign = campaign{}
}

// incarnationsKnown reports whether all that the sender knew of incarnations is
// known here too, so that its vote or acknowledgement may be counted.
func (c *Core) incarnationsKnown(m Message) bool {
	return len(m.KnownIncarnations) > 0 || m.IncarnationDigest == c.incarnations.digest
}

// acceptTerm brings the member to the term of a message; false when the
// message isn't to be handled further.
func (c *Core) acceptTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote, MsgState, MsgStateReply, MsgFetch, MsgFetchReply, MsgNotMember:
		return true
	case MsgPreVoteReply:
		if !m.Reject {
			return m.Term == c.term+1
		}
		if m.Term <= c.term {
			return true
		}
	case MsgVote:
		if c.ignoresVoteRequest(m) {
			return false
		}
	}
	if m.Term > c.term {
		leader := ""
		if m.Type == MsgAppend || m.Type == MsgSnapshot {
			leader = m.From
		}
		c.follow(m.Term, leader)
		return true
	}
	if m.Term < c.term {
		c.replyToOldTerm(m)
		return false
	}
	return true
}

// replyToOldTerm tells a deposed leader of the newer term.
func (c *Core) replyToOldTerm(m Message) {
	if m.Type == MsgAppend || m.Type == MsgSnapshot {
		c.send(Message{Type: MsgAppendReply, To: m.From, Term: c.term, Reject: true, Recovering: c.role == Recovering})
	}
}
