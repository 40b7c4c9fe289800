package replica

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Step handles a message from another member. It drops messages of superseded
// incarnations, for another incarnation of this member, and of past terms without an
// error. It returns ErrBadMessage for a message that isn't addressed to this member,
// has an unknown type, or has a term or an incarnation that no member reaches.
//
// A message may be meant for an earlier incarnation of this member, which has lost its
// state since, and reach the current one. Each type is safe for its own reason:
//
//   - MsgVote of a cold start and MsgVoteReply name the incarnation they are
//     meant for in ReceiverIncarnation, and MsgStateReply names it in Nonce. A
//     MsgVote of a cold start can end the recovery of its receiver; the two
//     replies refer to a log or a request that the current incarnation may not
//     have.
//   - Any other MsgVote and MsgPreVote are judged by the current log, term and
//     vote, and the grant counts under the current incarnation. A recovering
//     member grants none.
//   - MsgAppend and MsgSnapshot describe one leader's log in one term, whoever
//     receives them. The reply is sent under the current incarnation and describes
//     its log. The tick and read round that the reply repeats are older, but the
//     member refuses votes for a whole election timeout after its start and after
//     the reply.
//   - MsgAppendReply counts only on the leader of its term. A later incarnation of
//     that leader doesn't lead in the same term: it learned of the term while
//     recovering, since the majority it asked shares a member with the majority
//     that elected it.
//   - MsgTimeoutNow lets the member campaign in a term whose leader no longer
//     decides anything. Votes for the member are judged like any other votes.
//   - MsgPreVoteReply and MsgFetchReply lead only to requests and to log entries
//     that aren't acknowledged to any member. MsgState and MsgFetch are requests.
//     MsgNotMember is a hint.
//
// Terms and incarnations that a message carries are valid for any receiver.
func (c *Core) Step(m Message) error {
	if m.To != c.cfg.ID || m.From == "" || m.From == c.cfg.ID {
		return errors.Wrapf(ErrBadMessage, "from %q to %q", m.From, m.To)
	}
	if err := c.checkExtremes(&m); err != nil {
		return err
	}
	if m.Incarnation < c.incarnations.of(m.From) {
		c.onEarlierIncarnation(m)
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

const (
	// maxIncarnation bounds the incarnations in messages. They are wall clocks in milliseconds.
	maxIncarnation = 1 << 53
	// maxTermStep bounds how far the term of a message may be ahead. The first term of a group follows from the
	// highest incarnation, and each election adds one.
	maxTermStep = 2 * maxIncarnation / incarnationsPerTerm
)

// checkExtremes returns ErrBadMessage for a message with a term or an incarnation that no member reaches. A member that
// took the highest term from a message could hold no further election, at none of its starts.
func (c *Core) checkExtremes(m *Message) error {
	if m.Term > c.term && m.Term-c.term > maxTermStep {
		return errors.Wrapf(ErrBadMessage, "term %d after term %d", m.Term, c.term)
	}
	if m.Incarnation > maxIncarnation {
		return errors.Wrapf(ErrBadMessage, "incarnation %d", m.Incarnation)
	}
	for _, k := range m.KnownIncarnations {
		if k.Incarnation > maxIncarnation {
			return errors.Wrapf(ErrBadMessage, "incarnation %d of %q", k.Incarnation, k.ID)
		}
	}
	return nil
}

// onEarlierIncarnation drops a message of an incarnation of the sender that is earlier than the
// known one. The sender may be the latest process after all, whose wall clock went back, and must
// learn of the known incarnation, so that it takes a later one (see recordOwnIncarnation);
// otherwise nobody would hear it again. The next message to the sender therefore carries the known
// incarnations. A member that recovers and a leader get a reply at once, as they may never get
// another message of this member. The reply counts for nothing else: it names the earlier
// incarnation in Nonce.
func (c *Core) onEarlierIncarnation(m Message) {
	c.peerDigest[m.From] = m.IncarnationDigest
	if m.Type != MsgState && m.Type != MsgAppend {
		return
	}
	c.send(Message{Type: MsgStateReply, To: m.From, Term: c.term, Nonce: m.Incarnation, Recovering: c.role == Recovering})
}

// recordIncarnations merges the incarnations that the message carries.
func (c *Core) recordIncarnations(m Message) {
	c.recordIncarnation(MemberIncarnation{ID: m.From, Incarnation: m.Incarnation})
	for _, k := range m.KnownIncarnations {
		c.recordIncarnation(k)
	}
	c.peerDigest[m.From] = m.IncarnationDigest
}

// recordIncarnation merges k. If it supersedes an incarnation, everything that the
// superseded one reported to this member is discarded.
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

// recordOwnIncarnation handles a message that knows a later incarnation of this member than the
// one it runs under. A wall clock that went back between two starts causes this. The member takes
// an even later incarnation, which differs from that of another start that learned of the same
// one; a delayed vote of that start would otherwise count as this member's.
//
// A recovering member has given no vote or acknowledgement yet and only repeats its requests. Any
// other member recovers again: it doesn't know which votes and acknowledgements the later
// incarnation gave. It keeps its term, vote and log, so it remembers more than a member that has
// lost its state, for which the recovery is safe.
func (c *Core) recordOwnIncarnation(incarnation uint64) {
	if incarnation <= c.incarnation {
		return
	}
	c.incarnation = incarnation + 1 + c.startDigest()%maxIncarnationSkip
	c.incarnations.merge(MemberIncarnation{ID: c.cfg.ID, Incarnation: c.incarnation})
	keepsLog := c.recovery.keepsLog
	if c.role != Recovering {
		c.recoverAgain()
		keepsLog = true
	}
	c.recovery = recovery{keepsLog: keepsLog}
	c.campaign = campaign{}
}

// recoverAgain makes a member that holds state Recovering.
func (c *Core) recoverAgain() {
	leader := c.leader
	if c.role == Leader {
		leader = ""
	}
	c.follow(c.term, leader)
	c.role = Recovering
	c.logFetch = logFetch{}
}

// maxIncarnationSkip bounds the distance between the incarnation that a member learns of and the
// later one that it takes, in milliseconds of the wall clock. It is short, so that the incarnations
// of a member that starts again and again don't run ahead of its clock.
const maxIncarnationSkip = 16 * incarnationsPerTerm

// startDigest returns a number that differs between the starts of a member.
func (c *Core) startDigest() uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(c.cfg.ID), c.cfg.Incarnation))
}

// incarnationsKnown reports whether this member knows all incarnations that the
// sender knew. Only then may the sender's vote or acknowledgement be counted.
func (c *Core) incarnationsKnown(m Message) bool {
	return len(m.KnownIncarnations) > 0 || m.IncarnationDigest == c.incarnations.digest
}

// acceptTerm moves the member to the term of a message. It returns false when the
// message must not be handled further.
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

// replyToOldTerm tells a deposed leader the newer term.
func (c *Core) replyToOldTerm(m Message) {
	if m.Type == MsgAppend || m.Type == MsgSnapshot {
		c.recordContact(m.From, m.Term)
		c.send(Message{Type: MsgAppendReply, To: m.From, Term: c.term, Reject: true, Recovering: c.role == Recovering})
	}
}
