package replica

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// A cold start begins a group again after so many members have forgotten their
// promises that no election can be won: after a loss of power everywhere, and
// at the very first start, which looks the same.
//
// It needs the vote of every voter of the group. Every voter thereby moves on
// to the new term, so nothing can be committed or elected in an earlier one
// any more, and what was committed is found as follows. Let R be the voters
// that have forgotten and N the others. When those of R that ever took part
// (Known.Held) are fewer than a majority, each committed entry is on a member
// of N, since a majority held it. When all
// disk voters that ever took part are in N, each committed entry
// is on one of them, unless it was committed while no disk voter answered
// (Status.Degraded). When N is empty there is no data anywhere. In any other
// case, such as a lost disk together with a loss of power, an operator must
// decide, see ForceStart. The leader's log must hold at least what each member
// of N holds.
//
// All this must hold in each membership from the last committed one that the
// candidate knows to its latest: a deposed leader may have proposed, and failed
// to commit, the removal of the member that leads by now. Without it, the others
// would be every voter, and two leaders and a lost commit would follow.

// standing is how a voter takes part in a cold start.
type voterState struct {
	member       Member
	recovering   bool
	participated bool
	index        uint64
	term         uint64
}

// coldStartAllowed reports whether nothing committed can be missing from the
// members that have not forgotten.
func coldStartAllowed(list []voterState) bool {
	recovering, recoveringParticipants, intactDisks, lostDisks := 0, 0, 0, 0
	for _, s := range list {
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
	quorum := len(list)/2 + 1
	switch {
	case recovering == len(list):
		return true
	case recoveringParticipants < quorum:
		return true
	default:
		return intactDisks > 0 && lostDisks == 0
	}
}

// electionPossible reports whether enough voters remember their promises for
// an ordinary election.
func electionPossible(list []voterState) bool {
	intact := 0
	for _, s := range list {
		if !s.recovering {
			intact++
		}
	}
	return intact > len(list)/2
}

// tryColdStart starts a cold start when every voter has answered lately, none
// leads, it is allowed, and this member is the one to lead.
func (c *Core) tryColdStart() bool {
	lists, ok := c.voterStates()
	if !ok || !c.mayLead() || !coldStartAllowedInAll(lists) {
		return false
	}
	latest := lists[len(lists)-1]
	if c.hasRecentLeader() || electionPossible(latest) || coldStartLeader(latest) != c.cfg.ID {
		return false
	}
	c.setTerm(c.highestReportedTerm())
	c.skipLostTerms()
	c.startCampaign(coldStarting, false)
	return true
}

func coldStartAllowedInAll(lists [][]voterState) bool {
	return !slices.ContainsFunc(lists, func(list []voterState) bool { return !coldStartAllowed(list) })
}

// standings collects, for each membership from the committed one on, the fresh
// answers of all voters; false when one is missing or leads.
func (c *Core) voterStates() ([][]voterState, bool) {
	var lists [][]voterState
	for _, list := range c.members.since(c.commit) {
		s, ok := c.voterStatesOf(list)
		if !ok {
			return nil, false
		}
		lists = append(lists, s)
	}
	return lists, true
}

// voterStatesOf: learners with disks must have answered too and may not be ahead:
// one may have been promoted by an entry that isn't in the own log.
func (c *Core) voterStatesOf(members []Member) ([]voterState, bool) {
	var list []voterState
	for _, m := range members {
		s, ok := c.voterStateOf(m)
		switch {
		case m.Learner && !m.HasDisk:
		case !ok:
			return nil, false
		case !m.Learner:
			list = append(list, s)
		case !s.recovering && c.log.isBehind(s.index, s.term):
			return nil, false
		}
	}
	return list, true
}

func (c *Core) voterStateOf(m Member) (voterState, bool) {
	if m.ID == c.cfg.ID {
		return voterState{m, c.role == Recovering, c.incarnations.participated(m.ID), c.log.last(), c.log.lastTerm()}, true
	}
	a, ok := c.recovery.replies[m.ID]
	recent := c.now-a.receivedTick < 2*uint64(c.cfg.ElectionTicks)
	return voterState{m, a.recovering, c.incarnations.participated(m.ID), a.index, a.logTerm}, ok && recent && !a.leader
}

// coldStartLeader picks the voter with the best log among those that remember.
// Without any, a disk voter goes before others, then the lowest ID. Every voter
// that sees the same answers picks the same one.
func coldStartLeader(list []voterState) string {
	best := -1
	for i, s := range list {
		if s.member.Witness {
			continue
		}
		if best < 0 || s.precedes(list[best]) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return list[best].member.ID
}

func (s voterState) precedes(o voterState) bool {
	switch {
	case s.recovering != o.recovering:
		return !s.recovering
	case !s.recovering && s.term != o.term:
		return s.term > o.term
	case !s.recovering && s.index != o.index:
		return s.index > o.index
	case s.member.HasDisk != o.member.HasDisk:
		return s.member.HasDisk
	default:
		return s.member.ID < o.member.ID
	}
}

// coldStartStillAllowed checks the rule again with what the voters said when they
// granted: one may have restarted since it answered.
func (c *Core) coldStartStillAllowed() bool {
	var lists [][]voterState
	for _, members := range c.members.since(c.commit) {
		var list []voterState
		for _, m := range voters(members) {
			recovering := c.campaign.votes[m.ID].recovering
			list = append(list, voterState{member: m, recovering: recovering, participated: c.incarnations.participated(m.ID)})
		}
		lists = append(lists, list)
	}
	return coldStartAllowedInAll(lists)
}

// recordColdStartVote: a forgetful voter has granted a cold start. An append of that
// candidate in that term proves that all voters did; then its log up to the
// end that the request named is all there is to hold.
//
// The request names the incarnation that answered the candidate, and no other
// grants it (grantsVote). A voter may have led or helped a later leader since
// and come back blank; consenting again to the late request it would come back
// with the old candidate's log and help to elect it, in a term that already had
// a leader. A candidate sends one request a term to each voter, so it counted
// the very incarnation that keeps this source, and its appends needn't name it.
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

// incarnationsPerTerm is how many incarnations go into one term: with wall clock
// milliseconds, about a second.
const incarnationsPerTerm = 1024

// skipLostTerms: terms that only forgetful members knew may have had
// leaders, and whoever fences by term must not meet them twice. Elections are
// rarer than one a second, so the number of seconds in the latest incarnation
// is above all of them. It matters only after a blank start.
func (c *Core) skipLostTerms() {
	if term := c.incarnations.highest() / incarnationsPerTerm; c.anyRecovering() && term > c.term {
		c.setTerm(term)
	}
}

// anyRecovering reports whether this member or one that answered has forgotten
// its promises.
func (c *Core) anyRecovering() bool {
	if c.role == Recovering {
		return true
	}
	for _, a := range c.recovery.replies {
		if a.recovering {
			return true
		}
	}
	return false
}

// ForceStart makes this member the only voter of its group and its leader; the
// other voters become learners, to be promoted again once they have caught up.
// It is an operator's last resort: committed entries that only other members
// hold are lost, and the others must not go on by themselves. Allowed on a
// member with a disk and on a blank only voter that hasn't heard a leader for
// an election timeout; ErrForceStart otherwise. A member whose log contradicts
// the new one stops with a broken invariant when it comes back: it must be
// started blank.
func (c *Core) ForceStart() error {
	self, ok := c.members.find(c.cfg.ID)
	switch {
	case !ok || self.Witness:
		return errors.Wrap(ErrForceStart, "not a member that may lead")
	case !c.cfg.HasDisk && !c.soleVoter():
		return errors.Wrap(ErrForceStart, "neither a disk nor the only voter")
	case c.hasRecentLeader():
		return errors.Wrap(ErrForceStart, "a leader was heard lately")
	}
	c.setTerm(c.highestReportedTerm() + 1)
	c.skipLostTerms()
	c.vote = c.cfg.ID
	c.becomeLeader()
	var list []Member
	for _, m := range c.members.current() {
		m.Learner = m.ID != c.cfg.ID
		list = append(list, m)
	}
	c.appendMembership(list)
	return nil
}

func (c *Core) highestReportedTerm() uint64 {
	highest := c.term
	for _, a := range c.recovery.replies {
		highest = max(highest, a.term)
	}
	return highest
}
