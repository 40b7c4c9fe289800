package replica

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// A cold start elects a leader when so many members have lost their state that no
// ordinary election can be won: after a loss of power of all members, and at the very
// first start, which the members can't tell from such a loss.
//
// A cold start needs the vote of every voter of the group. Every voter thereby moves to
// the new term, so nothing can be committed or elected in an earlier term any more.
// Committed entries are found as follows. Let R be the voters that lost their state and N
// the voters that kept it. When the members of R that ever took part
// (MemberIncarnation.Participated) are fewer than a majority, each committed entry is on
// a member of N, since a majority held it. When all disk voters that ever took part are
// in N, each committed entry is on one of them, unless it was committed while no disk
// voter was available (Status.Degraded). When N is empty, no member has any data. In any
// other case, such as a lost disk together with a loss of power, an operator must decide,
// see ForceStart. The leader's log must hold at least as much as that of each member of
// N.
//
// These conditions must hold in each membership from the last committed one that the
// candidate knows to its latest. A deposed leader may have proposed, and failed to
// commit, the removal of the member that leads now. If only that proposal counted, the
// remaining members would be all voters, and two leaders and a lost commit would follow.

// voterState is the state of a voter that matters for a cold start.
type voterState struct {
	member       Member
	recovering   bool
	participated bool
	index        uint64
	term         uint64
}

// coldStartAllowed reports whether the voters that kept their state are certain to hold
// every committed entry, or no voter has kept any state.
func coldStartAllowed(states []voterState) bool {
	recovering, recoveringParticipants, intactDisks, lostDisks := 0, 0, 0, 0
	for _, s := range states {
		if s.recovering {
			recovering++
		}
		if s.recovering && s.participated {
			recoveringParticipants++
		}
		if s.member.HasDisk && !s.recovering {
			intactDisks++
		}
		if s.member.HasDisk && s.recovering && s.participated {
			lostDisks++
		}
	}
	quorum := len(states)/2 + 1
	switch {
	case recovering == len(states):
		return true
	case recoveringParticipants < quorum:
		return true
	default:
		return intactDisks > 0 && lostDisks == 0
	}
}

// electionPossible reports whether enough voters kept their state for an ordinary
// election.
func electionPossible(states []voterState) bool {
	intact := 0
	for _, s := range states {
		if !s.recovering {
			intact++
		}
	}
	return intact > len(states)/2
}

// tryColdStart starts a cold start and returns true if every voter has replied recently,
// none leads, no ordinary election can be won, no committed entry can be missing, and this
// member is the one to lead (see coldStartLeader).
func (c *Core) tryColdStart() bool {
	byMembership, ok := c.voterStates()
	if !ok || !c.mayLead() || !coldStartAllowedInAll(byMembership) {
		return false
	}
	latest := byMembership[len(byMembership)-1]
	if c.hasRecentLeader() || electionPossible(latest) || coldStartLeader(latest) != c.cfg.ID {
		return false
	}
	c.setTerm(c.highestReportedTerm())
	c.skipLostTerms()
	c.startCampaign(coldStarting, false)
	return true
}

// coldStartAllowedInAll reports whether a cold start is allowed in each membership.
func coldStartAllowedInAll(byMembership [][]voterState) bool {
	return !slices.ContainsFunc(byMembership, func(states []voterState) bool { return !coldStartAllowed(states) })
}

// voterStates returns, for each membership from the committed one on, the states of
// all voters by their recent replies. It returns false when a reply is missing or
// comes from a leader.
func (c *Core) voterStates() ([][]voterState, bool) {
	var byMembership [][]voterState
	for _, members := range c.members.since(c.commit) {
		states, ok := c.voterStatesOf(members)
		if !ok {
			return nil, false
		}
		byMembership = append(byMembership, states)
	}
	return byMembership, true
}

// voterStatesOf returns the states of the voters of one membership. Learners with
// disks must have replied too and may not be ahead, because an entry that this member
// lacks may have promoted them.
func (c *Core) voterStatesOf(members []Member) ([]voterState, bool) {
	var states []voterState
	for _, m := range members {
		s, ok := c.voterStateOf(m)
		switch {
		case m.Learner && !m.HasDisk:
		case !ok:
			return nil, false
		case !m.Learner:
			states = append(states, s)
		case !s.recovering && c.log.isBehind(s.index, s.term):
			return nil, false
		}
	}
	return states, true
}

// recentReplyTimeouts is the number of election timeouts for which a state reply counts.
const recentReplyTimeouts = 2

// voterStateOf returns the state of m. It returns false when m leads or hasn't replied
// within recentReplyTimeouts.
func (c *Core) voterStateOf(m Member) (voterState, bool) {
	if m.ID == c.cfg.ID {
		return voterState{m, c.role == Recovering, c.incarnations.participated(m.ID), c.log.last(), c.log.lastTerm()}, true
	}
	reply, ok := c.recovery.replies[m.ID]
	recent := c.now-reply.receivedTick < recentReplyTimeouts*uint64(c.cfg.ElectionTicks)
	return voterState{m, reply.recovering, c.incarnations.participated(m.ID), reply.index, reply.logTerm}, ok && recent && !reply.isLeader
}

// coldStartLeader returns the ID of the voter with the most complete log among those that
// kept their state, or among all voters if none did: a recovering voter may hold a log, with
// entries that it knows to be committed. Of equal logs, those of voters with a disk precede,
// then those of lower IDs. Witnesses never lead. All voters with the same replies get the same
// result.
func coldStartLeader(states []voterState) string {
	best := -1
	for i, s := range states {
		if s.member.Witness {
			continue
		}
		if best < 0 || s.precedes(states[best]) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return states[best].member.ID
}

// precedes reports whether s is preferred to other as the leader of a cold start.
func (s voterState) precedes(other voterState) bool {
	switch {
	case s.recovering != other.recovering:
		return !s.recovering
	case s.term != other.term:
		return s.term > other.term
	case s.index != other.index:
		return s.index > other.index
	case s.member.HasDisk != other.member.HasDisk:
		return s.member.HasDisk
	default:
		return s.member.ID < other.member.ID
	}
}

// coldStartStillAllowed checks the rule of coldStartAllowed again with the states that
// the voters reported with their votes, because a voter may have restarted since its
// state reply.
func (c *Core) coldStartStillAllowed() bool {
	var byMembership [][]voterState
	for _, members := range c.members.since(c.commit) {
		var states []voterState
		for _, m := range voters(members) {
			recovering := c.campaign.votes[m.ID].recovering
			states = append(states, voterState{member: m, recovering: recovering, participated: c.incarnations.participated(m.ID)})
		}
		byMembership = append(byMembership, states)
	}
	return coldStartAllowedInAll(byMembership)
}

// recordColdStartVote sets the recovery source of a recovering voter that has granted a
// cold start. A later append of the candidate in the term of the cold start proves that
// all voters granted it. The member then needs the candidate's log only up to the last
// entry that the request named.
//
// The request names the incarnation that sent the state reply, and no other incarnation
// grants the request (see grantsVote). A voter may since have led or followed a later
// leader and lost its state again. If it granted the delayed request, it would recover
// with the old candidate's log and help to elect that candidate in a term that already
// had a leader. A candidate sends one request per term to each voter, so it counted
// exactly the incarnation that holds this source, and its appends needn't name the
// incarnation.
func (c *Core) recordColdStartVote(m Message) {
	if m.ColdStart && c.role == Recovering {
		c.recovery.source = recoverySource{leader: m.From, term: m.Term, requiredIndex: m.Index}
	}
}

// campaignAsSoleVoter makes the only voter of a group its leader.
func (c *Core) campaignAsSoleVoter() {
	if c.mayLead() {
		c.skipLostTerms()
		c.startCampaign(voting, false)
	}
}

// incarnationsPerTerm divides an incarnation, which is a wall clock in milliseconds, to
// give a term. A term thus corresponds to about one second.
const incarnationsPerTerm = 1024

// skipLostTerms raises the term above all terms that only members without state knew.
// These terms may have had leaders, and a fencing token derived from a term must not
// recur. Less than one election happens per second, so the number of seconds in the
// latest incarnation is above all these terms. The function changes the term only after a
// start without stored state.
func (c *Core) skipLostTerms() {
	if term := c.incarnations.highest() / incarnationsPerTerm; c.anyRecovering() && term > c.term {
		c.setTerm(term)
	}
}

// anyRecovering reports whether this member, or any member that replied, is recovering.
func (c *Core) anyRecovering() bool {
	if c.role == Recovering {
		return true
	}
	for _, reply := range c.recovery.replies {
		if reply.recovering {
			return true
		}
	}
	return false
}

// ForceStart makes this member the only voter of its group and its leader. The other
// voters become learners, to be promoted again once they have caught up. It is an
// operator's last resort: committed entries that only other members hold are lost, and
// the other members must not continue on their own. It is allowed on a member with a
// disk, and on a sole voter without state, if no leader has made contact for an election
// timeout; otherwise it returns ErrForceStart. A member whose log contradicts the new
// leader's log rejects its appends when it rejoins, and must then be started without stored
// state.
func (c *Core) ForceStart() error {
	self, ok := c.members.find(c.cfg.ID)
	switch {
	case !ok || self.Witness:
		return errors.Wrap(ErrForceStart, "member may not lead")
	case !c.cfg.HasDisk && !c.soleVoter():
		return errors.Wrap(ErrForceStart, "member has no disk and isn't the only voter")
	case c.hasRecentLeader():
		return errors.Wrap(ErrForceStart, "a leader made contact within the election timeout")
	}
	c.setTerm(c.highestReportedTerm() + 1)
	c.skipLostTerms()
	c.vote = c.cfg.ID
	c.becomeLeader()
	var members []Member
	for _, m := range c.members.current() {
		m.Learner = m.ID != c.cfg.ID
		members = append(members, m)
	}
	c.appendMembership(members)
	return nil
}

// highestReportedTerm returns the highest of this member's term and the terms in the
// state replies.
func (c *Core) highestReportedTerm() uint64 {
	highest := c.term
	for _, reply := range c.recovery.replies {
		highest = max(highest, reply.term)
	}
	return highest
}
