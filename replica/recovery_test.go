package replica

import (
	"testing"

	"github.com/shoenig/test/must"
)

// newSimWithDeposedLeader returns a group of three whose leader n0 is partitioned, with a
// removal of n1 that only n0's log holds. n1 leads the other members and has committed
// entries since. frozen stops the clock of n0, so that n0 goes on believing that it
// leads.
func newSimWithDeposedLeader(t *testing.T, opt simOptions, frozen bool) *sim {
	s := newSimWithLeader(t, opt)
	s.ensureLeader(t, "n0")
	s.nodes[0].clockStopped = frozen
	s.isolate(s.nodes[0])
	_, _, err := s.nodes[0].core.ProposeMembership(withoutMember(s.nodes[0].core.members.current(), "n1"))
	must.NoError(t, err)
	s.waitForLeader(t)
	s.ensureLeader(t, "n1")
	return s
}

// ensureLeader transfers the leadership to id unless id has it.
func (s *sim) ensureLeader(t *testing.T, id string) {
	t.Helper()
	if l := s.leader(); l.id != id {
		must.NoError(t, l.core.Transfer(id))
		must.Eq(t, id, s.waitForLeader(t).id)
	}
}

// restartN2WithoutState restarts n2 without state in a partition with n0 only.
func (s *sim) restartN2WithoutState() {
	s.inTransit = nil
	clear(s.blockedLinks)
	s.isolate(s.nodes[1])
	s.nodes[2].crash(false)
	s.nodes[2].restartStep = s.step + 1
	s.run(2)
}

// endPartitionsAndCheck ends the partitions and checks that the next leader has applied
// all entries committed before.
func (s *sim) endPartitionsAndCheck(t *testing.T) {
	t.Helper()
	last := s.lastApplied
	for n := s.nodes[0]; n.clockStopped; n.clockStopped = n.core.Status().CanDecide {
		n.core.Tick()
	}
	clear(s.blockedLinks)
	s.waitForLeader(t)
	must.GreaterEq(t, last, s.leader().core.applied)
}

// n0 leads, is partitioned and proposes to remove n1; no other member receives that
// entry. n2 votes for n1, acknowledges n1's commits and restarts without state. n0,
// which still believes that it leads, replies to n2's state request. If n2 counted by the
// proposed membership, whose only voters are n0 and n2, it would acknowledge entries to
// n0, and commands committed by n1 would be lost.
func TestRecoveryCountsCommittedMembership(t *testing.T) {
	s := newSimWithDeposedLeader(t, simOptions{voters: 3}, true)
	s.restartN2WithoutState()
	s.run(100)
	must.SliceEmpty(t, s.violations, must.Sprint(s.violations))
	must.Eq(t, Leader, roleOf(s.nodes[0]))
	must.Eq(t, Recovering, roleOf(s.nodes[2]))
	s.endPartitionsAndCheck(t)
}

// n0, which has a disk, is partitioned as leader with an uncommitted removal of n1 and
// steps down. n0 considers a cold start with n2, which has lost its state. If it counted
// by the proposed membership, n0 and n2 would be all voters, and commands committed by n1
// would be lost.
func TestColdStartCountsCommittedMembership(t *testing.T) {
	s := newSimWithDeposedLeader(t, simOptions{voters: 3, disks: 1}, false)
	s.restartN2WithoutState()
	term := s.nodes[0].core.term
	s.run(300)
	must.SliceEmpty(t, s.violations, must.Sprint(s.violations))
	must.Nil(t, s.leader())
	must.Eq(t, term, s.nodes[0].core.term) // waiting must not raise the term
	must.Eq(t, Recovering, roleOf(s.nodes[2]))
	s.endPartitionsAndCheck(t)
}

// n0 holds an uncommitted membership with a fourth voter. The disks of n1 and n2, a
// majority of the committed membership, are lost, and committed entries may have been only
// on these disks. n0 must not lead, although two of the four voters kept their state.
func TestColdStartRuleHoldsInEachMembership(t *testing.T) {
	for participated, role := range map[bool]Role{false: Leader, true: Candidate} {
		c := candidateCore(t, "n0", "n1", "n2")
		c.members.push(2, append(withoutMember(c.members.current(), ""), Member{ID: "n3", HasDisk: true}))
		for _, id := range []string{"n1", "n2", "n3"} {
			stepFromPeer(t, c, Message{Type: MsgStateReply, From: id, Term: 5, Nonce: 1, Recovering: id != "n3"})
		}
		for _, id := range []string{"n1", "n2", "n3"} {
			grant := Message{Type: MsgVoteReply, From: id, Term: 6, ColdStart: true, Recovering: id != "n3"}
			stepFromPeer(t, c, grant, MemberIncarnation{ID: "n1", Incarnation: 1, Participated: participated}, MemberIncarnation{ID: "n2", Incarnation: 1, Participated: participated})
		}
		must.Eq(t, role, c.role)
	}
}

// The removal of a member is committed, and power is lost before the next write. Unless
// the commit index was synced, the cold start waits for the removed member, which may
// never come back.
func TestCommittedMembershipIsSynced(t *testing.T) {
	c := leaderCore(t, "n0", "n1", "n2")
	ackAll(t, c, "n1", c.now)
	c.Advance(c.Ready())
	_, _, err := c.ProposeMembership(withoutMember(c.members.current(), "n2"))
	must.NoError(t, err)
	c.Advance(c.Ready())
	must.Len(t, 2, c.members.since(c.commit))
	ackAll(t, c, "n1", c.now)
	must.Len(t, 1, c.members.since(c.commit))
	must.True(t, c.Ready().MustSync)
}

// n0 has the disk and starts a new group by a cold start. Its request and its appends
// to n2 are duplicated, and the duplicates are delayed. n0 is partitioned, n2 leads a
// later term and commits with n1, then n2 restarts without state and receives the
// duplicates. If n2 granted the cold start again, it would recover with n0's old log and
// elect n0 in a term that had a leader, and acknowledged commands would be lost.
func TestColdStartVoteIsBoundToIncarnation(t *testing.T) {
	s := newSim(scenarioSeed, simOptions{voters: 3, disks: 1})
	var delayed []Message
	s.intercept = func(m Message) bool {
		if m.From == "n0" && m.To == "n2" && (m.ColdStart || m.Type == MsgAppend) {
			delayed = append(delayed, m)
		}
		return false
	}
	must.Eq(t, "n0", s.waitForLeader(t).id)
	must.True(t, delayed[0].ColdStart)
	s.intercept = nil
	s.isolate(s.nodes[0])
	s.waitForLeader(t)
	s.ensureLeader(t, "n2")
	s.restartN2WithoutState()
	s.run(2 * defaultElectionTicks)
	withoutReceiver := delayed[0] // as an older version sends it
	withoutReceiver.ReceiverIncarnation = 0
	for _, m := range append([]Message{delayed[0], withoutReceiver}, delayed[1:4]...) {
		s.inTransit = append(s.inTransit, simMessage{m, s.step})
		s.run(1)
	}
	s.run(300)
	must.SliceEmpty(t, s.violations, must.Sprint(s.violations))
	must.Nil(t, s.leader())
	must.Eq(t, Recovering, roleOf(s.nodes[2]))
	s.endPartitionsAndCheck(t)
}

// n0 requests votes in term 4, restarts without state, recovers with members that don't
// know term 4, and requests votes in term 4 again. A vote for the earlier incarnation was
// given to another log. If it counted for the new incarnation, a leader could be elected
// that lacks entries of the voter.
func TestVoteForEarlierIncarnationIsNotCounted(t *testing.T) {
	c := candidateCore(t, "n0", "n1", "n2")
	stepFromPeer(t, c, Message{Type: MsgPreVoteReply, From: "n1", Term: 4})
	stepFromPeer(t, c, Message{Type: MsgVoteReply, From: "n1", Term: 4, ReceiverIncarnation: 7})
	must.Eq(t, Candidate, c.role)
	stepFromPeer(t, c, Message{Type: MsgVoteReply, From: "n1", Term: 4, ReceiverIncarnation: 1})
	must.Eq(t, Leader, c.role)
	stepFromPeer(t, c, Message{Type: MsgVote, From: "n2", Term: 5, Force: true})
	must.Eq(t, 1, c.messages[len(c.messages)-1].ReceiverIncarnation)
}

// A new group begins with a cold start, and power is lost before the first leader has
// synced that it takes part. If the leader's appends had already told the others that it
// takes part, they would treat its empty disk as a lost one and wait for an operator.
func TestFirstLeaderSyncsBeforeItAppends(t *testing.T) {
	members := []Member{{ID: "n0", HasDisk: true}, {ID: "n1"}, {ID: "n2"}}
	c, err := New(Config{ID: "n0", Incarnation: 1, HasDisk: true, Members: members}, StoredState{})
	must.NoError(t, err)
	for c.campaign.kind != coldStarting {
		c.Tick()
		for _, id := range []string{"n1", "n2"} {
			stepFromPeer(t, c, Message{Type: MsgStateReply, From: id, Nonce: 1, Recovering: true})
		}
	}
	c.Advance(c.Ready())
	for _, id := range []string{"n1", "n2"} {
		stepFromPeer(t, c, Message{Type: MsgVoteReply, From: id, Term: c.term, ColdStart: true, Recovering: true})
	}
	must.Eq(t, Leader, c.role)
	for _, early := range []bool{false, true} {
		c.leaderState.heartbeatDue = true
		r := c.Ready()
		must.Eq(t, MsgAppend, r.Messages[0].Type)
		must.Eq(t, early, r.Messages[0].BeforeSync())
		c.Advance(r)
	}
}

// Guards against states that differ: all voters have lost their state, and one without entries leads
// although another has received, and applied, committed ones while it was recovering.
func TestColdStartOfRecoveringVotersKeepsCommittedEntries(t *testing.T) {
	s := newSimWithLeader(t, simOptions{voters: 3, disks: 3})
	s.ensureLeader(t, "n1")
	partial := s.nodes[2]
	partial.restartUnder(0)
	s.intercept = func(m Message) bool { return m.To == partial.id && m.Type == MsgStateReply }
	s.run(replicationSteps)
	must.Eq(t, Recovering, roleOf(partial))
	must.Positive(t, partial.core.applied)
	for _, n := range s.nodes[:2] {
		n.restartUnder(0)
	}
	s.intercept = nil
	s.inTransit = nil
	for s.leader() != nil {
		s.run(1)
	}
	s.waitForLeader(t)
}
